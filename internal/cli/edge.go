package cli

import (
	"context"
	"errors"
	"io"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/spf13/cobra"

	"github.com/auburndyke/auburndyke/internal/edge"
	"github.com/auburndyke/auburndyke/internal/telemetry"
	"github.com/auburndyke/auburndyke/platform"
)

// logBuffer is the number of log lines that wait to be written. When it is
// full the oldest lines are dropped and counted.
const logBuffer = 4096

func newEdgeCommand() *cobra.Command {
	var file string
	cmd := newCommand("edge [--settings FILE]", "Run one daemon on the platform",
		"Runs one daemon with the platform's settings file, by default the one that\nthe platform names in the environment. SIGTERM stops it gracefully.",
		func(cmd *cobra.Command, _ []string) error {
			read := func() (*edge.Settings, error) { return platformSettings(file) }
			return failure(runEdge(cmd.Context(), read, cmd.OutOrStdout()))
		})
	cmd.Args = cobra.NoArgs
	cmd.Flags().StringVar(&file, "settings", "", "settings file of the platform")
	return cmd
}

func platformSettings(file string) (*edge.Settings, error) {
	if file == "" {
		path, err := platform.SettingsPath()
		if err != nil {
			return nil, err
		}
		file = path
	}
	return platform.ReadSettings(file)
}

func runEdge(ctx context.Context, read func() (*edge.Settings, error), out io.Writer) (err error) {
	s, err := read()
	if err != nil {
		return err
	}
	metrics := telemetry.NewMetrics()
	dropped := metrics.Counter("auburndyke_log_lines_dropped_total")
	writer := diode.NewWriter(out, logBuffer, 0, func(missed int) { dropped.Inc(int64(missed)) })
	defer func() { err = errors.Join(err, writer.Close()) }()
	store := platform.NewStore(s.PlatformAddress)
	var duties edge.DutyDeps
	if s.Duties.Any() {
		duties = edge.DutyDeps{Table: store.Duties(), API: platform.NewAPI(s.Duties.APIAddress)}
	}
	e := edge.New(s, edge.Deps{
		Duties:   duties,
		Protocol: platform.Protocol{},
		Decoders: edge.Decoders{
			IsConfig:     platform.IsConfig,
			Config:       platform.DecodeConfig,
			Registration: platform.DecodeReplica,
		},
		Configuration: store.Configuration(),
		Upstreams:     store.Replicas(),
		Daemons:       store.Daemons(),
		Streams:       store.Streams(),
		Era:           store.Era(),
		ReadSettings:  read,
		Log:           telemetry.NewLog(writer, zerolog.InfoLevel, string(s.Daemon)),
		Metrics:       metrics,
	})
	return e.Run(ctx)
}
