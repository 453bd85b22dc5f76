package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/routing"
	"github.com/auburndyke/auburndyke/internal/standin/engine"
	"github.com/auburndyke/auburndyke/internal/standin/platform"
	"github.com/auburndyke/auburndyke/internal/standin/service"
)

// standin is a stand-in that serves a listener.
type standin interface {
	Start(net.Listener)
	Close() error
}

func newStandinCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in of the platform or of an upstream, for tests",
		Long: "Runs a stand-in until SIGTERM or SIGINT. Fault switches are read and replaced\n" +
			"at /faults; upstreams show what they ran at /ledger.",
	}
	cmd.AddCommand(newStandinPlatformCommand(), newStandinEngineCommand(), newStandinServiceCommand())
	return cmd
}

// newStandinKind returns the command of one kind of stand-in. build is called
// after the flags are parsed.
func newStandinKind(kind, short string, flags func(*pflag.FlagSet), build func() standin) *cobra.Command {
	address := "127.0.0.1:0"
	cmd := newCommand(kind, short, short+".", func(cmd *cobra.Command, _ []string) error {
		return failure(runStandin(cmd.Context(), cmd.OutOrStdout(), address, build()))
	})
	cmd.Args = cobra.NoArgs
	cmd.Flags().StringVar(&address, "address", address, "IP:port to listen on; port 0 takes a free one")
	flags(cmd.Flags())
	return cmd
}

func runStandin(ctx context.Context, out io.Writer, address string, s standin) error {
	ctx, restore := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer restore()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listening on %s", address)
	}
	s.Start(l)
	fmt.Fprintf(out, "listening on %s\n", l.Addr())
	<-ctx.Done()
	return s.Close()
}

func newStandinPlatformCommand() *cobra.Command {
	var cfg platform.Config
	return newStandinKind("platform", "Run a stand-in of the platform", func(f *pflag.FlagSet) {
		f.StringSliceVar(&cfg.Credentials, "credential", nil, "accepted bearer tokens; none accepts every call")
		f.DurationVar(&cfg.Latency, "latency", 0, "time of each call")
		f.Float64Var(&cfg.WriteRate, "write-rate", 0, "writes per second; 0 means no limit")
		f.Float64Var(&cfg.ReadRate, "read-rate", 0, "reads per second; 0 means no limit")
		f.DurationVar(&cfg.VMLag, "vm-lag", 0, "age of the VM list")
		f.Uint64Var(&cfg.Seed, "seed", 0, "seed of random faults")
	}, func() standin { return platform.New(cfg) })
}

func newStandinEngineCommand() *cobra.Command {
	cfg := engine.Config{BlockBytes: routing.PrefixBlockBytes}
	var id, role string
	return newStandinKind("engine", "Run a stand-in of a model engine", func(f *pflag.FlagSet) {
		f.StringVar(&id, "id", "engine", "upstream identifier")
		f.StringSliceVar(&cfg.Models, "models", nil, "models that it holds; none means any")
		f.StringSliceVar(&cfg.Adapters, "adapters", nil, "adapters that it holds")
		f.StringVar(&role, "role", string(domain.RoleBoth), "role of the engine")
		f.IntVar(&cfg.Slots, "slots", 16, "requests in a batch")
		f.IntVar(&cfg.QueueLimit, "queue", 32, "waiting requests; negative means none")
		f.Float64Var(&cfg.Speed, "speed", 1, "factor by which the engine runs faster")
		f.DurationVar(&cfg.BaseInterval, "interval", 20*time.Millisecond, "time per token of an empty batch")
		f.DurationVar(&cfg.LoadLag, "load-lag", 0, "age of load reports")
		f.BoolVar(&cfg.ChecksFencing, "checks-fencing", false, "reject orders with an old fencing token")
		f.Uint64Var(&cfg.Seed, "seed", 0, "seed of random losses")
	}, func() standin {
		cfg.ID = domain.UpstreamID(id)
		cfg.Role = domain.Role(role)
		return engine.New(cfg)
	})
}

func newStandinServiceCommand() *cobra.Command {
	var cfg service.Config
	var id string
	return newStandinKind("service", "Run a stand-in of a plain service", func(f *pflag.FlagSet) {
		f.StringVar(&id, "id", "service", "upstream identifier")
		f.DurationVar(&cfg.Latency, "latency", 0, "time of each call")
		f.IntVar(&cfg.Slots, "slots", 16, "calls at once in load reports")
		f.DurationVar(&cfg.LoadLag, "load-lag", 0, "age of load reports")
	}, func() standin {
		cfg.ID = domain.UpstreamID(id)
		return service.New(cfg)
	})
}
