package cli

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
	"golang.org/x/net/netutil"

	"github.com/auburndyke/auburndyke/internal/adapters/adminhttp"
	"github.com/auburndyke/auburndyke/internal/adapters/callerhttp"
	"github.com/auburndyke/auburndyke/internal/adapters/certs"
	"github.com/auburndyke/auburndyke/internal/adapters/httpsend"
	"github.com/auburndyke/auburndyke/internal/adapters/peerws"
	"github.com/auburndyke/auburndyke/internal/adapters/platformclient"
	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/daemon"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/settings"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// adminConnections bounds the connections of the administration interface,
	// so that its callers cannot exhaust the process's file descriptors.
	adminConnections = 64
	// peerConnections bounds those of other daemons. A neighbour needs one or
	// two, and all daemons of a region may ask at their start.
	peerConnections = 512
	// readsPerCall is the number of tries that fit into one platform timeout.
	readsPerCall = 2
)

func newServeCommand() *cobra.Command {
	var files []string
	cmd := newCommand("serve --settings FILE...", "Run one daemon",
		"Runs one daemon until SIGTERM or SIGINT, which stop it gracefully within\nshutdown_bound. A second signal ends it at once.",
		func(cmd *cobra.Command, _ []string) error {
			s, err := readSettings(cmd, files)
			if err != nil {
				return err
			}
			return failure(serve(cmd.Context(), s, zerolog.SyncWriter(cmd.ErrOrStderr())))
		})
	cmd.Args = cobra.NoArgs
	cmd.Flags().StringArrayVar(&files, "settings", nil, "settings file; repeat for several (required)")
	cobra.CheckErr(cmd.MarkFlagRequired("settings"))
	return cmd
}

// readSettings prints all findings and fails when one is an error.
func readSettings(cmd *cobra.Command, files []string) (*settings.Settings, error) {
	sources, err := readSources(files)
	if err != nil {
		return nil, err
	}
	s, list := settings.Decode(sources...)
	if err := writeFindings(cmd.ErrOrStderr(), list); err != nil {
		return nil, err
	}
	return s, findingsError(list)
}

func serve(ctx context.Context, s *settings.Settings, out io.Writer) error {
	ctx, restore := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer restore()
	// The default action of a second signal ends the process.
	context.AfterFunc(ctx, restore)
	level, err := zerolog.ParseLevel(string(s.LogLevel))
	if err != nil {
		return eris.Wrap(err, "log_level")
	}
	p := &process{settings: s, log: telemetry.NewLog(out, level, string(s.Daemon))}
	defer p.close()
	d, err := p.assemble()
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

// process collects what one daemon is built from.
type process struct {
	settings  *settings.Settings
	log       *telemetry.Log
	platform  *platformclient.Client
	listeners []net.Listener
}

// close releases what assemble opened. Listeners that the daemon has closed
// already report an error, which does not matter here.
func (p *process) close() {
	for _, l := range p.listeners {
		_ = l.Close()
	}
	if p.platform != nil {
		p.platform.Close()
	}
}

func (p *process) assemble() (*daemon.Daemon, error) {
	s := p.settings
	callers, callersErr := p.listen(s.Caller.Address, s.Caller.TLS, s.Caller.MaxConnections)
	admin, adminErr := p.listen(s.Admin.Address, s.Admin.TLS, adminConnections)
	peers, peersErr := p.peers()
	platformErr := p.openPlatform()
	if err := errors.Join(callersErr, adminErr, peersErr, platformErr); err != nil {
		return nil, err
	}
	transport := peerws.New(peers)
	d := daemon.New(daemon.Config{
		ID:            s.Daemon,
		Region:        s.Region,
		Zone:          s.Zone,
		Boot:          uuid.NewString(),
		Callers:       callers,
		Caller:        callerOptions(&s.Caller),
		Admin:         admin,
		AdminOptions:  adminhttp.Options{Bootstrap: administration.BootstrapTokens(s.Admin.TokenHashes...)},
		LameDuck:      s.LameDuck,
		Peers:         transport,
		PeerAddress:   s.Peer.Advertise,
		Seeds:         s.Peer.Seeds,
		Asker:         peerws.NewAsker(peers),
		Platform:      p.platform,
		ShutdownBound: max(s.ShutdownBound, time.Nanosecond), // zero means the default there
		Log:           p.log,
		Metrics:       telemetry.NewMetrics(),
	})
	transport.Handle("GET "+peerws.StartupPath, d.StartupHandler())
	transport.Handle("GET "+peerws.StatusPath, d.StatusHandler())
	return d, nil
}

func callerOptions(s *settings.Caller) callerhttp.Options {
	return callerhttp.Options{
		MaxBodyBytes:   s.MaxBody,
		MaxHeaderBytes: int(s.MaxHeader),
		HeaderTimeout:  s.ReadHeaderTimeout,
		BodyTimeout:    s.ReadTimeout,
		WriteTimeout:   s.WriteTimeout,
		IdleTimeout:    s.IdleTimeout,
	}
}

// listen opens a listener with a bound on its connections and, if it has a
// certificate, TLS.
func (p *process) listen(address string, files settings.TLS, connections int) (net.Listener, error) {
	l, err := p.listenPlain(address, connections)
	if err != nil || !files.Enabled() {
		return l, err
	}
	source, err := p.certificates(files)
	if err != nil {
		return nil, err
	}
	return tls.NewListener(l, source.Server()), nil
}

func (p *process) listenPlain(address string, connections int) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listening on %s", address)
	}
	p.listeners = append(p.listeners, l)
	return netutil.LimitListener(l, connections), nil
}

func (p *process) certificates(files settings.TLS) (*certs.Source, error) {
	return certs.Open(files, p.log, certs.DefaultCheckInterval)
}

func (p *process) peers() (peerws.Config, error) {
	s := p.settings
	cfg := peerws.Config{Self: ports.Member{Daemon: s.Daemon, Address: s.Peer.Advertise, Region: s.Region, Zone: s.Zone}}
	l, err := p.listenPlain(s.Peer.Address, peerConnections)
	if err != nil {
		return cfg, err
	}
	cfg.Listener = l
	if !s.Peer.TLS.Enabled() {
		return cfg, nil
	}
	source, err := p.certificates(s.Peer.TLS)
	if err != nil {
		return cfg, err
	}
	cfg.ServerTLS = source.Server()
	cfg.ClientTLS = source.Peer()
	if s.Peer.TLS.CAFile != "" {
		cfg.VerifyPeer = certs.VerifyPeer
	}
	return cfg, nil
}

func (p *process) openPlatform() error {
	s := p.settings.Platform
	source, err := p.certificates(s.TLS)
	if err != nil {
		return err
	}
	p.platform, err = platformclient.NewFailover(s.URLs, platformclient.Options{
		Name:         string(p.settings.Daemon),
		Token:        platformclient.FileToken(s.CredentialFile),
		Transport:    httpsend.Options{TLS: source.Client},
		ReadTimeout:  s.Timeout / readsPerCall,
		WriteTimeout: s.Timeout,
	})
	return err
}
