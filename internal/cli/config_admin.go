package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
)

const mimeTOML = "application/toml"

// itemKinds completes the argument KIND.
var itemKinds = []string{
	"tiers", "service_levels", "models", "classes", "customers",
	"upstreams", "regions", "rules", "admin_tokens",
}

// NewConfigGetCommand returns the command "config get".
func NewConfigGetCommand() *cobra.Command {
	var o adminOptions
	var revision string
	cmd := newAdminCommand(&o, "get [KIND [ID]]", "Print the configuration of a deployment",
		"Prints the whole configuration, the items of one kind, or one item as TOML. The\nfirst line names the revision, for --base of a later change.",
		func(cmd *cobra.Command, client *adminClient, args []string) error {
			r := adminRequest{method: http.MethodGet, path: "/admin/v1/config", accept: mimeTOML}
			if len(args) > 0 {
				r.path = itemsPath(args...)
			}
			if revision != "" {
				if len(args) > 0 {
					return usageErrorf("--revision prints the whole configuration only")
				}
				r.query = url.Values{"revision": {revision}}
			}
			resp, err := client.do(cmd.Context(), r)
			if err != nil {
				return err
			}
			return writeConfig(cmd.OutOrStdout(), o.format, resp)
		})
	cmd.Args = cobra.MaximumNArgs(2)
	cmd.ValidArgsFunction = completeKind
	cmd.Flags().StringVar(&revision, "revision", "", "print this revision instead of the one in force")
	return cmd
}

func completeKind(_ *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(args) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	return itemKinds, cobra.ShellCompDirectiveNoFileComp
}

// configReport is the JSON output of config get.
type configReport struct {
	Revision domain.Revision `json:"revision"`
	TOML     string          `json:"toml"`
}

func writeConfig(w io.Writer, format output, resp adminResponse) error {
	if format == outputJSON {
		return writeJSON(w, configReport{resp.revision, string(resp.body)})
	}
	_, err := fmt.Fprintf(w, "# revision %d\n%s", resp.revision, resp.body)
	return err
}

// NewConfigApplyCommand returns the command "config apply".
func NewConfigApplyCommand() *cobra.Command {
	var o adminOptions
	var change changeOptions
	var replace bool
	cmd := newAdminCommand(&o, "apply FILES...", "Change the configuration of a deployment",
		"Adds the items of one TOML file to the configuration or replaces the items of\nthe same id. With --replace the files together are the whole new configuration.",
		func(cmd *cobra.Command, client *adminClient, args []string) error {
			r, err := applyRequest(args, replace)
			if err != nil {
				return err
			}
			change.first = true
			answer, err := client.change(cmd.Context(), change, r)
			if err != nil {
				return err
			}
			return client.writeChange(cmd.OutOrStdout(), answer)
		})
	cmd.Args = cobra.MinimumNArgs(1)
	change.addFlags(cmd)
	cmd.Flags().BoolVar(&replace, "replace", false, "the files are the whole configuration")
	return cmd
}

// applyRequest reads the files. A whole configuration is checked here, where
// findings can name each file.
func applyRequest(paths []string, replace bool) (adminRequest, error) {
	sources, err := readSources(paths)
	if err != nil {
		return adminRequest{}, err
	}
	r := adminRequest{method: http.MethodPatch, path: "/admin/v1/config", mime: mimeTOML}
	if !replace {
		if len(sources) > 1 {
			return r, usageErrorf("several files need --replace; one change holds one file otherwise")
		}
		r.body = sources[0].Data
		r.query = url.Values{"file": {sources[0].Name}}
		return r, nil
	}
	d, list := policy.DecodeFiles(sources...)
	if list.HasErrors() {
		return r, &administration.ErrorResponse{
			Code:     administration.CodeFindings,
			Message:  "the configuration would have errors",
			Findings: list,
		}
	}
	r.method, r.body = http.MethodPut, d.Encode()
	return r, nil
}

// NewConfigLabelCommand returns the command "config label".
func NewConfigLabelCommand() *cobra.Command {
	var o adminOptions
	var change changeOptions
	cmd := newAdminCommand(&o, "label KIND ID KEY=VALUE|KEY-...", "Set or remove labels of a customer, class or upstream",
		"Sets labels given as KEY=VALUE and removes labels given as KEY-.",
		func(cmd *cobra.Command, client *adminClient, args []string) error {
			return client.label(cmd, change, args[0], args[1], args[2:])
		})
	cmd.Args = cobra.MinimumNArgs(3)
	cmd.ValidArgsFunction = completeKind
	change.addFlags(cmd)
	return cmd
}

func (c *adminClient) label(cmd *cobra.Command, change changeOptions, kind, id string, edits []string) error {
	body, err := parseLabels(edits)
	if err != nil {
		return err
	}
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	answer, err := c.change(cmd.Context(), change, adminRequest{
		method: http.MethodPatch,
		path:   itemsPath(kind, id) + "/labels",
		body:   data,
		mime:   "application/json",
	})
	if err != nil {
		return err
	}
	return c.writeChange(cmd.OutOrStdout(), answer)
}

func parseLabels(edits []string) (administration.LabelsRequest, error) {
	r := administration.LabelsRequest{Set: map[string]string{}}
	for _, e := range edits {
		key, value, set := strings.Cut(e, "=")
		switch {
		case set && key != "":
			r.Set[key] = value
		case !set && len(e) > 1 && strings.HasSuffix(e, "-"):
			r.Remove = append(r.Remove, strings.TrimSuffix(e, "-"))
		default:
			return r, usageErrorf("%q is neither KEY=VALUE nor KEY-", e)
		}
	}
	return r, nil
}

// NewConfigHistoryCommand returns the command "config history".
func NewConfigHistoryCommand() *cobra.Command {
	var o adminOptions
	var last uint64
	var limit int
	cmd := newAdminCommand(&o, "history", "List accepted changes, newest first",
		"Lists who changed the configuration when and why.",
		func(cmd *cobra.Command, client *adminClient, _ []string) error {
			query := url.Values{"limit": {strconv.Itoa(limit)}, "last": {strconv.FormatUint(last, 10)}}
			var answer administration.HistoryResponse
			if _, err := client.get(cmd.Context(), "/admin/v1/config/history", query, &answer); err != nil {
				return err
			}
			if o.format == outputJSON {
				return writeJSON(cmd.OutOrStdout(), answer)
			}
			p := &printer{w: cmd.OutOrStdout()}
			for _, e := range answer.Entries {
				p.printf("%d %s %s %s (from revision %d, change id %s)\n", e.Revision, e.Time.UTC().Format(time.RFC3339), e.Author, orNone(e.Message), e.Base, e.ChangeID)
			}
			return p.err
		})
	cmd.Args = cobra.NoArgs
	cmd.Flags().Uint64Var(&last, "last", 0, "newest revision to list (default: the newest of all)")
	cmd.Flags().IntVar(&limit, "limit", 20, "number of revisions, up to 200")
	return cmd
}

// NewConfigRollForwardCommand returns the command "config rollforward".
func NewConfigRollForwardCommand() *cobra.Command {
	var o adminOptions
	var change changeOptions
	cmd := newAdminCommand(&o, "rollforward REVISION", "Make the content of an earlier revision a new revision",
		"Makes the content of an earlier revision the newest revision. Revisions never go\nbackwards, so a bad change is undone by a new revision.",
		func(cmd *cobra.Command, client *adminClient, args []string) error {
			to, err := strconv.ParseUint(args[0], 10, 63)
			if err != nil {
				return usageErrorf("%q is no revision", args[0])
			}
			body, err := json.Marshal(administration.RollForwardRequest{To: domain.Revision(to)})
			if err != nil {
				return err
			}
			answer, err := client.change(cmd.Context(), change, adminRequest{
				method: http.MethodPost,
				path:   "/admin/v1/config/rollforward",
				body:   body,
				mime:   "application/json",
			})
			if err != nil {
				return err
			}
			return client.writeChange(cmd.OutOrStdout(), answer)
		})
	cmd.Args = cobra.ExactArgs(1)
	change.addFlags(cmd)
	return cmd
}
