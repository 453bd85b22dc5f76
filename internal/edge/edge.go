package edge

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"golang.org/x/net/netutil"

	"github.com/auburndyke/auburndyke/internal/adapters/upstreamhttp"
	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/inventory"
	"github.com/auburndyke/auburndyke/internal/peers"
	"github.com/auburndyke/auburndyke/internal/relay"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// memoryShare of the process's limit is the goal of the garbage collector.
	// The rest covers stacks, buffers of the kernel and the binary.
	memoryShare = 0.6
	// bodyShare of the process's limit is for request bodies, which are held until
	// their requests end. On the smallest VM that is five of the largest bodies
	// that the operators allow.
	bodyShare = 0.2
	// leaveMargin is taken off LeaveBound for requests on their way.
	leaveMargin = 300 * time.Millisecond
	// defaultLeaveBound replaces a LeaveBound of zero.
	defaultLeaveBound = 2500 * time.Millisecond
	// settleShare is the share of LeaveBound for which the list of upstreams
	// settles after a change. Restarts and releases change it many times a
	// second.
	settleShare = 0.33
	// sweepInterval is how often expired connections are closed.
	sweepInterval = 2 * time.Second
	// headerTimeout bounds the reading of a request's header while the
	// configuration states less strict limits or none.
	headerTimeout = 5 * time.Second
	// idleTimeout ends idle connections of callers while the configuration
	// states no limit.
	idleTimeout = 2 * time.Minute
	// unknownFleet is the number of daemons that is assumed while the peers are
	// not known. It is the size that the project plans for.
	unknownFleet = 330
	// maxHeaderBytes bounds a request's header in memory.
	maxHeaderBytes = 64 << 10
	// connectionShare is the share of the descriptors for callers; the rest is
	// for upstreams, the store and peers.
	connectionShare = 0.5
)

// Names of the tables that daemons follow.
const (
	tableConfiguration = "configuration"
	tableUpstreams     = "upstreams"
)

// Deps are the adapters that a daemon needs.
type Deps struct {
	Protocol      relay.Protocol
	Decoders      Decoders
	Configuration follow.Source
	Upstreams     follow.Source
	// Daemons is the directory in which daemons find each other. Nil means that
	// there is one daemon.
	Daemons peers.Directory
	// ReadSettings reads the settings again. Nil means that they never change.
	ReadSettings func() (*Settings, error)
	Log          *telemetry.Log
	Metrics      *telemetry.Metrics
}

// Edge is one daemon.
type Edge struct {
	settings atomic.Pointer[Settings]
	deps     Deps
	state    *state
	handler  *relay.Handler
	pool     *upstreamhttp.Pool
	stop     stopper
}

// New assembles a daemon.
func New(s *Settings, d Deps) *Edge {
	pool := upstreamhttp.NewPool(upstreamhttp.Options{})
	b := balancer.New(balancer.Site{Zone: s.Zone, Region: s.Region, Regions: s.Regions})
	handler := relay.New(relay.Options{
		Protocol: d.Protocol,
		Balancer: b,
		Pool:     pool,
		Retries:  relay.NewRetryBudgets(s.RetryRatio, relay.RetryFloor(s.RetrySlack, unknownFleet), rand.Float64()),
		Log:      d.Log,
		Metrics:  relay.NewMetrics(d.Metrics),
	})
	e := &Edge{
		deps:    d,
		handler: handler,
		pool:    pool,
		state: &state{
			formats: d.Decoders, log: d.Log, handler: handler, balancer: b,
			inventory: inventory.New(removalHold(s)),
		},
	}
	e.settings.Store(s)
	return e
}

// removalHold is how long an upstream without a registration may get work.
func removalHold(s *Settings) time.Duration {
	return max(leaveBound(s)-listSettle(s)-leaveMargin, 0)
}

func leaveBound(s *Settings) time.Duration { return cmp.Or(s.RemovalTimeout, defaultLeaveBound) }

// listSettle is the pause after a change of the list of upstreams.
func listSettle(s *Settings) time.Duration {
	return time.Duration(settleShare * float64(leaveBound(s)))
}

// Run serves until SIGTERM or ctx ends, and then stops in order.
func (e *Edge) Run(ctx context.Context) error {
	s := e.settings.Load()
	e.limitMemory(s)
	e.deps.Log.Event(telemetry.DaemonStarting).
		Str("zone", string(s.Zone)).Str("callers", s.CallerAddress).
		Str("readiness", s.ReadinessAddress).Str("internal", s.InternalAddress).Strs("seeds", s.Seeds).
		Str("platform", s.PlatformAddress).Send()
	front, err := net.Listen("tcp", s.CallerAddress)
	if err != nil {
		return eris.Wrap(err, "listening for callers")
	}
	if s.FileDescriptors > 0 {
		front = netutil.LimitListener(front, max(int(connectionShare*float64(s.FileDescriptors)), 1))
	}
	front = callerListener{front, e.connectionLimits}
	ready, err := net.Listen("tcp", s.ReadinessAddress)
	if err != nil {
		_ = front.Close() // never served
		return eris.Wrap(err, "listening for readiness probes")
	}
	var g run.Group
	addServer(&g, e.frontServer(), front, e.stopServing)
	addServer(&g, &http.Server{Handler: e.probes(), ReadHeaderTimeout: headerTimeout}, ready, closeNow)
	var node *peers.Node
	covered := func(table string) func(time.Time) time.Duration {
		return func(now time.Time) time.Duration {
			if node == nil {
				return 0
			}
			return node.Covered(table, now)
		}
	}
	configuration := follow.New(e.deps.Configuration, configSink{e.state}, follow.Options{
		Covered: covered(tableConfiguration), Rand: newRand(),
	})
	upstreams := follow.New(e.deps.Upstreams, upstreamSink{e.state}, follow.Options{
		Settle: listSettle(s), Covered: covered(tableUpstreams), Rand: newRand(),
	})
	e.handler.OnListOutdated = upstreams.Hurry
	node = e.newPeers(map[string]peers.Table{tableConfiguration: configuration, tableUpstreams: upstreams})
	addLoop(&g, configuration.Run)
	addLoop(&g, upstreams.Run)
	if node != nil {
		e.state.changed = node.Changed
		addLoop(&g, node.Run)
	}
	for _, address := range []string{s.InternalAddress, s.ControlAddress} {
		if err := e.addInternal(&g, address, node); err != nil {
			return err
		}
	}
	addLoop(&g, e.sweep)
	addLoop(&g, e.watchSettings)
	addLoop(&g, func(group context.Context) error { return e.awaitStop(group, ctx) })
	return g.Run()
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// addLoop runs f in the group with a context that ends with the group.
func addLoop(g *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

func addServer(g *run.Group, s *http.Server, l net.Listener, end func(*http.Server)) {
	g.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) { end(s) })
}

func closeNow(s *http.Server) { _ = s.Close() } // the process ends

func (e *Edge) frontServer() *http.Server {
	return &http.Server{
		Handler:           endHeaderLimit(e.handler),
		ConnState:         observeState,
		ConnContext:       rememberConnection,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// connectionLimits are those of the configuration in force.
func (e *Edge) connectionLimits() connectionLimits {
	table := e.handler.Table()
	if table == nil {
		return connectionLimits{}
	}
	return connectionLimits{idle: table.Limits.IdleTimeout, header: table.Limits.HeaderTimeout}
}

// probes answers the balancer's readiness probes.
func (e *Edge) probes() http.Handler {
	router := echo.New()
	router.GET("/readyz", func(c echo.Context) error {
		if e.stop.stopping() || !e.state.ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	return router
}

// addInternal serves the metrics and the copies that peers read.
func (e *Edge) addInternal(g *run.Group, address string, node *peers.Node) error {
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listening for metrics and peers")
	}
	router := echo.New()
	router.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
		return e.deps.Metrics.WritePrometheus(c.Response())
	})
	if node != nil {
		router.GET(peers.TablePath, node.ServeTable)
	}
	addServer(g, &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}, l, closeNow)
	return nil
}

// sweep closes expired connections and notes whether the daemon is ready.
func (e *Edge) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			e.pool.Sweep(now)
			opened, reused := e.pool.Stats()
			e.deps.Metrics.Gauge("auburndyke_upstream_connections_opened").Update(float64(opened))
			e.deps.Metrics.Gauge("auburndyke_upstream_connections_reused").Update(float64(reused))
		}
	}
}

// newPeers returns the exchange with the other daemons, or nil if the daemon
// works alone.
func (e *Edge) newPeers(tables map[string]peers.Table) *peers.Node {
	s := e.settings.Load()
	if e.deps.Daemons == nil || s.InternalAddress == "" {
		return nil
	}
	return peers.New(peers.Config{
		Daemon: string(s.Daemon), Address: s.InternalAddress, Zone: string(s.Zone), Directory: e.deps.Daemons,
		Observer: peerObserver{e.state.balancer, e}, Tables: tables, Seeds: e.otherSeeds(), Rand: newRand(), Log: e.deps.Log,
	})
}

// otherSeeds returns the seeds without the daemon itself.
func (e *Edge) otherSeeds() []string {
	s := e.settings.Load()
	return slices.DeleteFunc(slices.Clone(s.Seeds), func(seed string) bool { return seed == s.ControlAddress })
}

// limitMemory sets the goal of the garbage collector and the bound of bodies.
func (e *Edge) limitMemory(s *Settings) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
		e.handler.SetBodyMemoryLimit(int64(float64(s.MemoryBytes) * bodyShare))
	}
}

// notify returns a channel that tells of signals.
func notify(which ...os.Signal) (<-chan os.Signal, func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, which...)
	return signals, func() { signal.Stop(signals) }
}
