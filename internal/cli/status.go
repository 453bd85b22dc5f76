package cli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/auburndyke/auburndyke/internal/administration"
)

// clearScreen moves a terminal's cursor home and clears what follows.
const clearScreen = "\x1b[H\x1b[2J"

// NewStatusCommand returns the command "status".
func NewStatusCommand() *cobra.Command {
	var o adminOptions
	var watch bool
	var interval time.Duration
	cmd := newAdminCommand(&o, "status", "Show the state of all daemons",
		"Shows the revision and readiness of each daemon, the load, attainment and sheds of\neach tier by region, and the drains in progress. With --watch it refreshes the\nterminal until it is interrupted.",
		func(cmd *cobra.Command, client *adminClient, _ []string) error {
			if !watch {
				return client.writeStatus(cmd.Context(), cmd.OutOrStdout(), "")
			}
			if interval < time.Second {
				return usageErrorf("--interval must be at least 1s")
			}
			return client.watchStatus(cmd.Context(), cmd.OutOrStdout(), interval)
		})
	cmd.Args = cobra.NoArgs
	cmd.Flags().BoolVarP(&watch, "watch", "w", false, "refresh until interrupted")
	cmd.Flags().DurationVar(&interval, "interval", 2*time.Second, "time between refreshes")
	return cmd
}

// watchStatus shows the state until ctx ends. Failed calls are shown, because
// the daemon may come back.
func (c *adminClient) watchStatus(ctx context.Context, w io.Writer, interval time.Duration) error {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	before := clearScreen
	if c.format == outputJSON {
		before = ""
	}
	for {
		if err := c.writeStatus(ctx, w, before); err != nil && ctx.Err() == nil {
			if _, err := fmt.Fprintf(w, "%s%v\n", before, err); err != nil {
				return err
			}
		}
		if !pause(ctx, interval) {
			return nil
		}
	}
}

// writeStatus prints the state in one write, so that a refresh does not
// flicker.
func (c *adminClient) writeStatus(ctx context.Context, w io.Writer, before string) error {
	var fleet administration.Fleet
	if _, err := c.get(ctx, "/admin/v1/status", nil, &fleet); err != nil {
		return err
	}
	out := bytes.NewBufferString(before)
	var err error
	if c.format == outputJSON {
		err = writeJSON(out, fleet)
	} else {
		err = writeFleet(out, fleet)
	}
	if err != nil {
		return err
	}
	_, err = out.WriteTo(w)
	return err
}

func writeFleet(w io.Writer, f administration.Fleet) error {
	s := administration.Summarize(f)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	p := &printer{w: table}
	p.printf("%d of %d daemons ready, %d not reporting, as %s knows at %s\n", s.Ready, len(f.Daemons), s.Silent, f.Daemon, f.Time.UTC().Format(time.RFC3339))
	for _, r := range s.Revisions {
		p.printf("revision %d on %d daemons\n", r.Revision, r.Daemons)
	}
	p.printf("\nDAEMON\tREGION\tZONE\tREVISION\tREADY\tIN PROGRESS\tPEERS\n")
	for _, d := range f.Daemons {
		p.printf("%s\t%s\t%s\t%d\t%s\t%d\t%s\n", d.Daemon, d.Region, d.Zone, d.Revision, readyText(d), d.InProgress, peersText(d))
	}
	p.printf("\nREGION\tTIER\tQUEUED\tRUNNING\tATTAINMENT\tFINISHED\tSHEDS\n")
	for _, t := range s.Tiers {
		p.printf("%s\t%s\t%d\t%d\t%s\t%d\t%d\n", t.Region, t.Tier, t.Queued, t.Running, shareText(t.TierStatus), t.Finished, t.Sheds)
	}
	p.printf("\n")
	if len(f.Drains) == 0 {
		p.printf("no drains in progress\n")
	}
	for _, d := range f.Drains {
		writeDrain(p, d)
	}
	if p.err != nil {
		return p.err
	}
	return table.Flush()
}

func readyText(d administration.DaemonStatus) string {
	switch {
	case d.Seen.IsZero():
		return "not reporting"
	case d.Ready:
		return "yes"
	}
	return "no: " + orNone(d.Reason)
}

func peersText(d administration.DaemonStatus) string {
	connected := 0
	for _, peer := range d.Peers {
		if peer.Connected {
			connected++
		}
	}
	return fmt.Sprintf("%d of %d", connected, len(d.Peers))
}

func shareText(t administration.TierStatus) string {
	share, ok := t.Attainment()
	if !ok {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", share*100)
}
