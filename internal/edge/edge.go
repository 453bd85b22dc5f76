package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/adapters/telemetry"
	"github.com/auburndyke/auburndyke/internal/adapters/upstreamhttp"
	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/inventory"
	"github.com/auburndyke/auburndyke/internal/relay"
)

const (
	// memoryShare of the process's limit is the goal of the garbage collector.
	// The rest covers stacks, buffers of the kernel and the binary.
	memoryShare = 0.6
	// leaveMargin is taken off LeaveBound for requests on their way.
	leaveMargin = 300 * time.Millisecond
	// defaultLeaveBound replaces a LeaveBound of zero.
	defaultLeaveBound = 2500 * time.Millisecond
	// sweepInterval is how often expired connections are closed.
	sweepInterval = 2 * time.Second
	// headerTimeout bounds the reading of a request's header while the
	// configuration states no limit.
	headerTimeout = 5 * time.Second
	// idleTimeout ends idle connections of callers. It is longer than the
	// limit of any configuration, so that callers end them first.
	idleTimeout = 2 * time.Minute
	// retryFloor is the daemon's share of the retry budget without traffic.
	retryFloor = 2
)

// Deps are the adapters that a daemon needs.
type Deps struct {
	Protocol      relay.Protocol
	Formats       Formats
	Configuration follow.Source
	Upstreams     follow.Source
	Log           *telemetry.Log
	Metrics       *telemetry.Metrics
}

// Edge is one daemon.
type Edge struct {
	settings *Settings
	deps     Deps
	state    *state
	handler  *relay.Handler
	pool     *upstreamhttp.Pool
	stop     stopper
}

// New assembles a daemon.
func New(s *Settings, d Deps) *Edge {
	pool := upstreamhttp.NewPool(upstreamhttp.Options{})
	b := balancer.New()
	handler := relay.New(relay.Options{
		Protocol: d.Protocol,
		Balancer: b,
		Pool:     pool,
		Retries:  relay.NewRetries(s.RetryRatio, retryFloor),
		Zone:     s.Zone,
		Log:      d.Log,
		Metrics:  relay.NewMetrics(d.Metrics),
	})
	leaveBound := s.LeaveBound
	if leaveBound == 0 {
		leaveBound = defaultLeaveBound
	}
	return &Edge{
		settings: s,
		deps:     d,
		handler:  handler,
		pool:     pool,
		state: &state{
			formats: d.Formats, log: d.Log, handler: handler, balancer: b,
			inventory: inventory.New(max(leaveBound-leaveMargin, 0)),
		},
	}
}

// Run serves until SIGTERM or ctx ends, and then stops in order.
func (e *Edge) Run(ctx context.Context) error {
	if e.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(e.settings.MemoryBytes) * memoryShare))
	}
	e.deps.Log.Event(telemetry.DaemonStarting).
		Str("zone", string(e.settings.Zone)).Str("callers", e.settings.Callers).
		Str("readiness", e.settings.Readiness).Str("metrics", e.settings.Metrics).
		Str("platform", e.settings.Platform).Send()
	front, err := net.Listen("tcp", e.settings.Callers)
	if err != nil {
		return eris.Wrap(err, "listening for callers")
	}
	ready, err := net.Listen("tcp", e.settings.Readiness)
	if err != nil {
		_ = front.Close() // never served
		return eris.Wrap(err, "listening for readiness probes")
	}
	var g run.Group
	addServer(&g, e.frontServer(), front, e.stopServing)
	addServer(&g, &http.Server{Handler: e.probes(), ReadHeaderTimeout: headerTimeout}, ready, closeNow)
	if err := e.addMetrics(&g); err != nil {
		return err
	}
	for _, f := range []*follow.Follower{
		follow.New(e.deps.Configuration, configSink{e.state}, 0, newRand()),
		follow.New(e.deps.Upstreams, upstreamSink{e.state}, 0, newRand()),
	} {
		addLoop(&g, f.Run)
	}
	addLoop(&g, e.sweep)
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
		Handler:           e.handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
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

func (e *Edge) addMetrics(g *run.Group) error {
	if e.settings.Metrics == "" {
		return nil
	}
	l, err := net.Listen("tcp", e.settings.Metrics)
	if err != nil {
		return eris.Wrap(err, "listening for metrics")
	}
	router := echo.New()
	router.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
		return e.deps.Metrics.WritePrometheus(c.Response())
	})
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

// notifyStop returns a channel that tells of signals to stop.
func notifyStop() (<-chan os.Signal, func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	return signals, func() { signal.Stop(signals) }
}
