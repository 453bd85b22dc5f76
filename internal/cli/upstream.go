package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/domain"
)

// drainPollInterval is how often "upstream drain --wait" looks at the drain.
const drainPollInterval = time.Second

// NewUpstreamCommand returns the command "upstream" with its subcommands.
func NewUpstreamCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "upstream",
		Short: "List, label, drain and undrain upstreams",
		Args:  cobra.NoArgs,
	}
	cmd.AddCommand(newUpstreamListCommand(), newUpstreamLabelCommand(), newDrainCommand(), newUndrainCommand())
	return cmd
}

// upstreamRow is one upstream in the output of upstream list.
type upstreamRow struct {
	ID     string                    `json:"id"`
	Phase  administration.DrainPhase `json:"phase"`
	Fields map[string]string         `json:"fields"`
}

func newUpstreamListCommand() *cobra.Command {
	var o adminOptions
	var selector string
	cmd := newAdminCommand(&o, "list", "List the upstreams and their drain phases",
		"Lists the upstreams. A selector has the syntax of rules, such as\n\"rental=night,region in (port-city)\"; region, zone, kind, service and id count as\nlabels.",
		func(cmd *cobra.Command, client *adminClient, _ []string) error {
			wanted, err := labels.Parse(selector)
			if err != nil {
				return &ExitError{ExitUsage, err}
			}
			rows, err := client.upstreams(cmd.Context(), wanted)
			if err != nil {
				return err
			}
			if o.format == outputJSON {
				return writeJSON(cmd.OutOrStdout(), rows)
			}
			return writeUpstreams(cmd.OutOrStdout(), rows)
		})
	cmd.Args = cobra.NoArgs
	cmd.Flags().StringVarP(&selector, "selector", "l", "", "list only upstreams with matching labels")
	return cmd
}

func (c *adminClient) upstreams(ctx context.Context, wanted labels.Selector) ([]upstreamRow, error) {
	var items administration.ItemsResponse
	if _, err := c.get(ctx, itemsPath("upstreams"), nil, &items); err != nil {
		return nil, err
	}
	phases, err := c.drains(ctx)
	if err != nil {
		return nil, err
	}
	rows := []upstreamRow{}
	for _, item := range items.Items {
		if !wanted.Matches(labelSet(item)) {
			continue
		}
		row := upstreamRow{item.ID, administration.PhaseServing, item.Fields}
		if d, ok := phases[domain.UpstreamID(item.ID)]; ok {
			row.Phase = d.Phase
		} else if item.Fields["draining"] == "true" {
			row.Phase = administration.PhaseDraining
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func (c *adminClient) drains(ctx context.Context) (map[domain.UpstreamID]administration.Drain, error) {
	var list []administration.Drain
	if _, err := c.get(ctx, "/admin/v1/drains", nil, &list); err != nil {
		return nil, err
	}
	byID := make(map[domain.UpstreamID]administration.Drain, len(list))
	for _, d := range list {
		byID[d.Upstream] = d
	}
	return byID, nil
}

// labelSet returns the own and implicit labels of an upstream.
func labelSet(item administration.ItemResponse) labels.Set {
	set := labels.Set{}
	for name, value := range item.Fields {
		plain := strings.Trim(value, `"`)
		if key, ok := strings.CutPrefix(name, "labels."); ok {
			set[strings.Trim(key, `"`)] = plain
		}
		switch name {
		case "region", "zone", "kind", "service":
			set[name] = plain
		}
	}
	set["id"] = item.ID
	return set
}

func writeUpstreams(w io.Writer, rows []upstreamRow) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	p := &printer{w: table}
	p.printf("UPSTREAM\tPHASE\tKIND\tREGION\tZONE\tSLOTS\tLABELS\n")
	for _, r := range rows {
		field := func(name string) string { return orNone(strings.Trim(r.Fields[name], `"`)) }
		p.printf("%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.ID, r.Phase, field("kind"), field("region"), field("zone"), field("slots"), labelText(r.Fields))
	}
	if p.err != nil {
		return p.err
	}
	return table.Flush()
}

func labelText(fields map[string]string) string {
	var list []string
	for name, value := range fields {
		if key, ok := strings.CutPrefix(name, "labels."); ok {
			list = append(list, key+"="+strings.Trim(value, `"`))
		}
	}
	sort.Strings(list)
	return strings.Join(list, ",")
}

func newUpstreamLabelCommand() *cobra.Command {
	var o adminOptions
	var change changeOptions
	cmd := newAdminCommand(&o, "label ID KEY=VALUE|KEY-...", "Set or remove labels of an upstream",
		"Sets labels given as KEY=VALUE and removes labels given as KEY-.",
		func(cmd *cobra.Command, client *adminClient, args []string) error {
			return client.label(cmd, change, "upstreams", args[0], args[1:])
		})
	cmd.Args = cobra.MinimumNArgs(2)
	change.addFlags(cmd)
	return cmd
}

func newDrainCommand() *cobra.Command {
	var o adminOptions
	var change changeOptions
	var wait time.Duration
	cmd := newAdminCommand(&o, "drain ID", "Stop sending work to an upstream",
		"Stops new work for an upstream; requests in progress finish. When the upstream is\nthe last one of a class, the command lists the affected classes and needs --force.\nWith --wait it ends once the upstream can be returned.",
		func(cmd *cobra.Command, client *adminClient, args []string) error {
			answer, err := client.setDraining(cmd.Context(), change, args[0], "drain")
			if err != nil {
				return err
			}
			if err := client.writeChange(cmd.OutOrStdout(), answer); err != nil || wait == 0 || change.dryRun {
				return err
			}
			return client.awaitReleasable(cmd.Context(), cmd.OutOrStdout(), domain.UpstreamID(args[0]), wait)
		})
	cmd.Args = cobra.ExactArgs(1)
	change.addFlags(cmd)
	cmd.Flags().DurationVar(&wait, "wait", 0, "wait up to this time until no request is in progress")
	return cmd
}

func newUndrainCommand() *cobra.Command {
	var o adminOptions
	var change changeOptions
	cmd := newAdminCommand(&o, "undrain ID", "Let a draining upstream serve again",
		"Ends the drain of an upstream.",
		func(cmd *cobra.Command, client *adminClient, args []string) error {
			answer, err := client.setDraining(cmd.Context(), change, args[0], "undrain")
			if err != nil {
				return err
			}
			return client.writeChange(cmd.OutOrStdout(), answer)
		})
	cmd.Args = cobra.ExactArgs(1)
	change.addFlags(cmd)
	return cmd
}

func (c *adminClient) setDraining(ctx context.Context, change changeOptions, id, verb string) (administration.ChangeResponse, error) {
	return c.change(ctx, change, adminRequest{
		method: http.MethodPost,
		path:   "/admin/v1/upstreams/" + url.PathEscape(id) + "/" + verb,
	})
}

func (c *adminClient) awaitReleasable(ctx context.Context, w io.Writer, id domain.UpstreamID, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	p := &printer{w: w}
	var last administration.Drain
	for {
		drains, err := c.drains(ctx)
		if err != nil {
			return err
		}
		if d, ok := drains[id]; ok && (d.Phase != last.Phase || d.InProgress != last.InProgress) {
			last = d
			if c.format != outputJSON {
				writeDrain(p, d)
			}
		}
		if last.Phase.Ended() {
			return p.err
		}
		if time.Now().After(deadline) {
			return &ExitError{ExitUnavailable, fmt.Errorf("upstream %s is not releasable after %s; its drain goes on", id, wait)}
		}
		if !pause(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
}

func writeDrain(p *printer, d administration.Drain) {
	p.printf("upstream %s is %s, %d requests in progress", d.Upstream, d.Phase, d.InProgress)
	if len(d.Waiting) > 0 {
		p.printf(", waiting for %v", d.Waiting)
	}
	p.printf("\n")
}
