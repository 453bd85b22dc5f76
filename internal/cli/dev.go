package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/auburndyke/auburndyke/examples"
	"github.com/auburndyke/auburndyke/internal/dev"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// startTimeout bounds how long the development deployment takes to be ready.
const startTimeout = 30 * time.Second

func newDevCommand() *cobra.Command {
	var options dev.Options
	var duration time.Duration
	var level string
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a whole deployment on loopback with stand-ins of platform and upstreams",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			parsed, err := zerolog.ParseLevel(level)
			if err != nil {
				return err
			}
			options.Log = func(daemon string) *telemetry.Log {
				return telemetry.NewLog(zerolog.SyncWriter(cmd.ErrOrStderr()), parsed, daemon)
			}
			return failure(runDev(cmd.Context(), cmd.OutOrStdout(), options, duration))
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&options.Example, "example", "maraval-bay", fmt.Sprintf("example configuration, one of %v", examples.Names()))
	flags.IntVar(&options.Daemons, "daemons", 2, "number of daemons, spread over the regions")
	flags.StringVar(&options.Callers, "address", "127.0.0.1:8080", "address of the first daemon for callers")
	flags.Float64Var(&options.Speed, "speed", 1, "factor by which the engines run faster")
	flags.DurationVar(&duration, "duration", 0, "stop after this time; zero runs until interrupted")
	flags.StringVar(&level, "log-level", "warn", "lowest level of log lines on standard error")
	return cmd
}

func runDev(ctx context.Context, out io.Writer, options dev.Options, duration time.Duration) error {
	ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if duration > 0 {
		ctx, cancel = context.WithTimeout(ctx, duration)
		defer cancel()
	}
	start, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fleet, err := dev.Start(start, options)
	if err != nil {
		return err
	}
	defer fleet.Close()
	describe(out, fleet)
	<-ctx.Done()
	return nil
}

// describe tells where to send requests, with a command line that works.
func describe(out io.Writer, fleet *dev.Fleet) {
	for _, m := range fleet.Members {
		fmt.Fprintf(out, "%s in %s serves callers at %s and operators at %s/admin/\n", m.ID, m.Region, m.URL, m.Admin)
	}
	key, class, model := fleet.SampleRequest()
	fmt.Fprintf(out, "\nTry:\n  curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Auburndyke-Class: %s' "+
		"-d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"How are the waves today?\"}]}'\n",
		fleet.Members[0].URL, key, class, model)
	fmt.Fprintf(out, "\nOperators' token: %s\n  echo %s > token && auburndyke status --admin %s --token-file token\n",
		dev.AdminToken, dev.AdminToken, fleet.Members[0].Admin)
}
