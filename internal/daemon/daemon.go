package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/auburndyke/auburndyke/internal/adapters/adminhttp"
	"github.com/auburndyke/auburndyke/internal/adapters/callerhttp"
	"github.com/auburndyke/auburndyke/internal/adapters/engineclient"
	"github.com/auburndyke/auburndyke/internal/adapters/peerws"
	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/claims"
	"github.com/auburndyke/auburndyke/internal/configlog"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/gateway"
	"github.com/auburndyke/auburndyke/internal/membership"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// Config describes one daemon process.
type Config struct {
	ID     domain.DaemonID
	Region domain.Region
	Zone   domain.AvailabilityZone
	// Boot is unique to this run of the process.
	Boot string
	// Callers accepts callers' connections.
	Callers net.Listener
	Caller  callerhttp.Options
	// Admin accepts operators' connections. Nil means no administration API.
	Admin        net.Listener
	AdminOptions adminhttp.Options
	// Peers exchanges frames with other daemons.
	Peers ports.PeerTransport
	// PeerAddress is the IP:port that other daemons connect to.
	PeerAddress string
	// Seeds are peer addresses that a starting daemon asks during an outage of
	// the platform. The daemon's own address may be among them. Empty asks
	// none.
	Seeds []string
	// Asker asks them. It is required with Seeds.
	Asker *peerws.Asker
	// Platform is the platform's client.
	Platform ports.Platform
	// Upstream sets up the clients of upstreams.
	Upstream engineclient.Options
	// ShutdownBound is how long a planned stop waits for requests in
	// progress. Default 2 min.
	ShutdownBound time.Duration
	// LameDuck is how long a stopping daemon is unready but still accepts
	// requests, so that the load balancer notices first. Default 0.
	LameDuck time.Duration
	Log      *telemetry.Log
	Metrics  *telemetry.Metrics
	// Seed feeds all random choices. Zero takes a random one.
	Seed uint64
}

const (
	defaultShutdownBound = 2 * time.Minute
	// finalAnswerShare is the share of the shutdown bound, and maxFinalAnswerTime the
	// longest time, by which the requests in progress end before their connections
	// close, so that the daemon's own answers reach their callers.
	finalAnswerShare   = 0.1
	maxFinalAnswerTime = time.Second
)

// Daemon is one process of the system.
type Daemon struct {
	cfg      Config
	seeds    atomic.Uint64
	gateway  *gateway.Gateway
	claims   *claims.Claims
	watcher  *configlog.Watcher
	proposer *configlog.Proposer
	backends *backends
	policy   atomic.Pointer[policy.Policy]
	document atomic.Pointer[policy.Document] // of the same revision
	previous configlog.Document              // enforced before; used by the watcher's goroutine
	cluster  *cluster
	director *director
	rebuild  chan struct{}
	// configured is what the configuration log says about readiness.
	configured atomic.Pointer[configlog.Readiness]
	readying   sync.Mutex // serializes changes of the readiness
	// cacheBudget bounds the traffic of cache events, in bytes.
	cacheBudget *rate.Limiter
	applying    sync.Mutex // serializes changes of the request path's snapshot
	callers     *callerhttp.Server
	// requests is the parent of the contexts of all requests, and endRequests ends it.
	requests    context.Context
	endRequests context.CancelCauseFunc
}

// New returns a daemon that works once Run is called.
func New(cfg Config) *Daemon {
	if cfg.ShutdownBound == 0 {
		cfg.ShutdownBound = defaultShutdownBound
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	d := &Daemon{cfg: cfg, backends: newBackends(cfg.Upstream), rebuild: make(chan struct{}, 1), cacheBudget: rate.NewLimiter(cacheBudget, cacheBurst)}
	d.seeds.Store(cfg.Seed)
	d.cluster = newCluster(d, cfg.Peers)
	d.director = newDirector(d)
	d.claims = claims.New(claims.Config{
		Table: cfg.Platform,
		Owner: d.cluster.owner,
		Gone:  func(o claims.Owner) bool { return d.cluster.gone(o.Daemon, o.Incarnation) },
		Seed:  d.rng,
	})
	d.gateway = gateway.New(gateway.Options{
		Backend: d.backends.get,
		Claims:  d.claims,
		Log:     cfg.Log,
		Metrics: cfg.Metrics,
		Seed:    cfg.Seed,
		Fresh:   d.cluster.evidence.fresh,
	})
	d.watcher = configlog.NewWatcher(cfg.Platform, cfg.ID, cfg.Region, d.rng(), d.configurationHooks())
	d.proposer = configlog.NewProposer(cfg.Platform, administration.Merger{}, d.rng)
	d.callers = callerhttp.NewServer(d.gateway, cfg.Caller)
	d.requests, d.endRequests = context.WithCancelCause(context.Background())
	d.callers.BaseContext = func(net.Listener) context.Context { return d.requests }
	return d
}

// Gateway returns the request path.
func (d *Daemon) Gateway() *gateway.Gateway { return d.gateway }

// Revision returns the configuration in force; zero before the first.
func (d *Daemon) Revision() domain.Revision { return d.watcher.InForce().Revision }

// rng returns a new random source.
func (d *Daemon) rng() *rand.Rand {
	return rand.New(rand.NewPCG(d.cfg.Seed, d.seeds.Add(1)))
}

// Run serves until ctx ends, then stops gracefully: it refuses new requests
// and waits for those in progress up to the shutdown bound.
func (d *Daemon) Run(ctx context.Context) error {
	d.cfg.Log.Event(telemetry.DaemonStarting).Str("region", string(d.cfg.Region)).Str("zone", string(d.cfg.Zone)).
		Str("callers", d.cfg.Callers.Addr().String()).Msg("")
	// Background work outlives the signal to stop, since requests in progress
	// still need it.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	d.cluster.ctx = background
	var group run.Group
	served := make(chan error, 1)
	go func() { served <- d.callers.Serve(d.cfg.Callers) }()
	group.Add(func() error { return d.serve(ctx, served, background.Done()) }, func(error) { stop() })
	for _, loop := range d.loops() {
		loopCtx, cancel := context.WithCancel(background)
		group.Add(func() error { return loop(loopCtx) }, func(error) { cancel() })
	}
	err := group.Run()
	d.backends.close()
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// serve returns when the daemon has stopped gracefully. The group interrupts
// its other actors when the first one returns, so that requests in progress
// have the background work until they end.
func (d *Daemon) serve(ctx context.Context, served <-chan error, failed <-chan struct{}) error {
	select {
	case err := <-served:
		return eris.Wrap(err, "caller listener failed")
	case <-ctx.Done():
		d.shutdown()
		return context.Cause(ctx)
	case <-failed:
		return nil
	}
}

// loops lists the background work of the daemon.
func (d *Daemon) loops() []func(context.Context) error {
	loops := []func(context.Context) error{
		d.watcher.Run,
		d.rebuildLoop,
		d.pumpLoop,
		d.loadLoop,
		d.housekeeping,
		d.serveAdmin,
	}
	if len(d.cfg.Seeds) > 0 {
		loops = append(loops, d.askLoop)
	}
	loops = append(loops, d.director.loops()...)
	return append(loops, d.cluster.loops()...)
}

// serveAdmin serves operators until ctx ends, which is after the requests in
// progress have ended.
func (d *Daemon) serveAdmin(ctx context.Context) error {
	if d.cfg.Admin == nil {
		<-ctx.Done()
		return nil
	}
	options := d.cfg.AdminOptions
	options.Log, options.Metrics = d.cfg.Log, d.cfg.Metrics
	server := adminhttp.NewServer(d.Control(), options)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(d.cfg.Admin); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "administration listener failed")
	}
	return nil
}

// shutdown waits for requests in progress, up to the bound. Shortly before it, those that
// remain end with an answer of the daemon's own.
func (d *Daemon) shutdown() {
	d.cfg.Log.Event(telemetry.ShutdownStarted).Int("in_progress", d.gateway.InProgress()).Msg("")
	d.gateway.Retire()
	d.callers.DisableKeepAlives()
	time.Sleep(d.cfg.LameDuck)
	d.gateway.StopAccepting()
	bound, cancel := context.WithTimeout(context.Background(), d.cfg.ShutdownBound)
	defer cancel()
	finalAnswerTime := min(time.Duration(finalAnswerShare*float64(d.cfg.ShutdownBound)), maxFinalAnswerTime)
	waiting, stopWaiting := context.WithTimeout(bound, d.cfg.ShutdownBound-finalAnswerTime)
	defer stopWaiting()
	ended, cut := 0, 0
	if d.callers.Drain(waiting) != nil {
		ended = d.gateway.InProgress()
		d.endRequests(gateway.ErrStopping)
		if d.callers.Drain(bound) != nil {
			cut = d.gateway.InProgress()
			_ = d.callers.Close() // the bound is over
		}
	}
	d.claims.Close(bound)
	if ended == 0 {
		d.cluster.leave()
	}
	d.cfg.Log.Event(telemetry.ShutdownComplete).Int("ended", ended).Int("cut", cut).Msg("")
}

// Roster returns the daemons that this one knows.
func (d *Daemon) Roster() *membership.View { return d.cluster.view.Load() }
