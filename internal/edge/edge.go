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

	"github.com/auburndyke/auburndyke/internal/adapters/upstreamhttp"
	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/bootclock"
	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/inventory"
	"github.com/auburndyke/auburndyke/internal/origin"
	"github.com/auburndyke/auburndyke/internal/peers"
	"github.com/auburndyke/auburndyke/internal/quarantine"
	"github.com/auburndyke/auburndyke/internal/relay"
	"github.com/auburndyke/auburndyke/internal/telemetry"
	"github.com/auburndyke/auburndyke/internal/usage"
)

const (
	// gcMemoryShare is the share of the process's memory limit that is the garbage
	// collector's soft limit. The rest covers stacks, kernel buffers and the binary.
	gcMemoryShare = 0.6
	// bodyMemoryShare is the share of the process's memory limit for request bodies,
	// which are kept until their requests end. On the smallest VM it holds five
	// bodies of the largest size that the operators allow.
	bodyMemoryShare = 0.2
	// responseMemoryShare is the same for responses that are read in full before
	// they are relayed.
	responseMemoryShare = 0.1
	// unsizedLinkShare is the share of the VM's link for long responses whose
	// upstreams state no length.
	unsizedLinkShare = 0.25
	// removalMargin is subtracted from RemovalTimeout for requests in transit.
	removalMargin = 300 * time.Millisecond
	// defaultRemovalTimeout replaces a RemovalTimeout of zero.
	defaultRemovalTimeout = 2500 * time.Millisecond
	// defaultConfigTimeout replaces a ConfigTimeout of zero.
	defaultConfigTimeout = 2500 * time.Millisecond
	// settleShare is the share of RemovalTimeout for which the daemon waits after a
	// change of the list of upstreams. Restarts and releases change it many times a
	// second.
	settleShare = 0.33
	// sweepInterval is how often expired connections to upstreams are closed.
	sweepInterval = 2 * time.Second
	// headerTimeout bounds the reading of a request's header, in addition to the
	// timeout of the configuration.
	headerTimeout = 5 * time.Second
	// idleTimeout bounds idle connections of callers, in addition to the timeout of
	// the configuration.
	idleTimeout = 2 * time.Minute
	// assumedFleetSize is the number of daemons that is assumed while the peers are
	// not known. It is the planned size of the fleet.
	assumedFleetSize = 330
	// maxHeaderBytes bounds the header of a caller's request.
	maxHeaderBytes = 64 << 10
	// smallHeaderBytes bounds the header of probes, of peers and of readers of metrics,
	// which send under 1 KB.
	smallHeaderBytes = 8 << 10
	// smallWriteTimeout bounds the responses to them. A peer gives up on the copy of a
	// table after a few seconds.
	smallWriteTimeout = 30 * time.Second
	// callerDescriptorShare is the share of the file descriptors for callers. The
	// rest is for upstreams, the store and peers.
	callerDescriptorShare = 0.5
)

// Names of the platform's tables that daemons follow.
const (
	tableConfiguration = "configuration"
	tableUpstreams     = "upstreams"
)

// Deps are the dependencies of a daemon.
type Deps struct {
	Protocol      relay.Protocol
	Decoders      Decoders
	Configuration follow.Source
	Upstreams     follow.Source
	// Daemons is the directory in which daemons find each other. Nil means that the
	// daemon has no peers.
	Daemons peers.Directory
	// Streams is the table in which daemons share at which software versions streams
	// began. Nil means that the daemon knows only its own.
	Streams origin.Table
	// Era is the latest era that any call to the platform has shown. Nil means one of the
	// daemon's own, which only the followed tables raise.
	Era *follow.Era
	// ReadSettings rereads the settings. Nil means that they never change.
	ReadSettings func() (*Settings, error)
	// Usage replaces what Duties give the metering of usage. Nil means that nothing is
	// replaced.
	Usage *UsageDeps
	// Duties are used only if the settings name duties.
	Duties  DutyDeps
	Log     *telemetry.Log
	Metrics *telemetry.Metrics
}

// Edge is one daemon.
type Edge struct {
	settings atomic.Pointer[Settings]
	deps     Deps
	state    *state
	handler  *relay.Handler
	pool     *upstreamhttp.Pool
	shutdown shutdownState
	callers  callerConns
	// usage counts the requests of customers. Nil means that none are counted.
	usage   *usage.Meter
	origins *origin.Keeper
	// upstreams follows the list of upstreams once Run has begun.
	upstreams atomic.Pointer[follow.Follower]
	// fleet is the number of daemons.
	fleet  atomic.Int64
	duties dutyRunner
	guard  *connGuard
	// requests is the parent of the contexts of all requests, and endRequests ends it.
	requests    context.Context
	endRequests context.CancelCauseFunc
}

// New returns a daemon with the given settings and dependencies.
func New(s *Settings, d Deps) *Edge {
	if d.Era == nil {
		d.Era = follow.NewEra()
	}
	pool := upstreamhttp.NewPool(upstreamhttp.Options{})
	b := balancer.New(balancer.Site{Zone: s.Zone, Region: s.Region, Regions: s.Regions})
	var handler *relay.Handler
	tracker := quarantine.New(newRand(), func(c quarantine.Change) { handler.PartChanged(c) })
	handler = relay.New(relay.Options{
		Protocol: d.Protocol,
		Balancer: b,
		Pool:     pool,
		Retries:  relay.NewRetryBudgets(s.RetryRatio, relay.RetryFloor(s.RetrySlack, assumedFleetSize), rand.Float64()),
		Log:      d.Log,
		Metrics:  relay.NewMetrics(d.Metrics),

		Quarantine: tracker,
	})
	e := &Edge{
		deps:    d,
		handler: handler,
		pool:    pool,
		state: &state{
			decoders: d.Decoders, log: d.Log, era: d.Era, handler: handler, balancer: b,
			inventory: inventory.New(removalGrace(s)),
		},
	}
	if d.Streams != nil {
		e.origins = origin.NewKeeper(origin.Options{
			Daemon: string(s.Daemon), Address: s.InternalAddress, Table: d.Streams, Era: d.Era, Confirm: e.confirmUpstreams, FirstStart: s.FirstStart,
			WriteRate: s.PlatformWriteRate, Log: d.Log,
			Daemons: func() int { return int(e.fleet.Load()) },
		})
		handler.Origins, e.state.origins = e.origins, e.origins
	}
	e.guard = newConnGuard(connLimits(s), d.Log, d.Metrics)
	e.settings.Store(s)
	e.duties = newDuties(s, d)
	e.meterUsage(s)
	e.requests, e.endRequests = context.WithCancelCause(context.Background())
	return e
}

// confirmUpstreams brings the list of upstreams up to date as of a time.
func (e *Edge) confirmUpstreams(ctx context.Context, asOf time.Time) error {
	f := e.upstreams.Load()
	if f == nil {
		return follow.ErrNotConfirmed
	}
	return f.Confirm(ctx, asOf)
}

// missUpstreams records that upstreams may have come and gone unseen.
func (e *Edge) missUpstreams() {
	if e.origins != nil {
		e.origins.Gap(time.Now())
	}
}

// removalGrace returns how long an upstream without a registration may get requests.
func removalGrace(s *Settings) time.Duration {
	return max(removalTimeout(s)-settleInterval(s)-removalMargin, 0)
}

func removalTimeout(s *Settings) time.Duration {
	return cmp.Or(s.RemovalTimeout, defaultRemovalTimeout)
}

// settleInterval returns how long to wait after a change of the list of upstreams.
func settleInterval(s *Settings) time.Duration {
	return time.Duration(settleShare * float64(removalTimeout(s)))
}

// changeBound returns the time within which the daemon has to act on a change of a table.
func (e *Edge) changeBound(table string) time.Duration {
	s := e.settings.Load()
	if table == tableConfiguration {
		return cmp.Or(s.ConfigTimeout, defaultConfigTimeout)
	}
	return removalTimeout(s)
}

// Run serves until SIGTERM, which begins a graceful shutdown, or until ctx ends.
func (e *Edge) Run(ctx context.Context) error {
	s := e.settings.Load()
	e.applyLimits(s)
	e.deps.Log.Event(telemetry.DaemonStarting).
		Str("zone", string(s.Zone)).Str("callers", s.CallerAddress).
		Str("readiness", s.ReadinessAddress).Str("internal", s.InternalAddress).Strs("seeds", s.Seeds).
		Str("platform", s.PlatformAddress).Send()
	for _, finding := range s.Findings {
		e.deps.Log.Event(telemetry.SettingsFinding).Str("finding", finding).Send()
	}
	if s.Duties.Ordering {
		e.deps.Log.Event(telemetry.SettingsFinding).Str("finding", "the settings ask for orders of upstreams, which this version does not make").Send()
	}
	callers, err := net.Listen("tcp", s.CallerAddress)
	if err != nil {
		return eris.Wrap(err, "listening for callers")
	}
	callers = callerListener{e.guard.listener(callers, groupCallers), e.callerTimeouts, &e.callers}
	readiness, err := net.Listen("tcp", s.ReadinessAddress)
	if err != nil {
		_ = callers.Close() // never served
		return eris.Wrap(err, "listening for readiness probes")
	}
	var g run.Group
	addServer(&g, e.callerServer(), callers, e.closeCallerServer)
	e.addSmallServer(&g, e.readinessHandler(), readiness, groupReadiness)
	var node *peers.Node
	delegatedFor := func(table string) func(time.Time) time.Duration {
		return func(now time.Time) time.Duration {
			if node == nil {
				return 0
			}
			return node.DelegatedFor(table, now)
		}
	}
	returnSpread := func() time.Duration {
		if node == nil {
			return 0
		}
		return node.ReturnSpread()
	}
	retryPolicy := func() backoff.Policy {
		if node == nil {
			return follow.DefaultRetryPolicy
		}
		return node.RetryPolicy()
	}
	onAnswer := func(table string) func(time.Duration) {
		return func(since time.Duration) {
			if node != nil {
				node.NotifyAnswer(table, since)
			}
		}
	}
	contact := follow.NewContact()
	configuration := follow.New(e.deps.Configuration, configSink{e.state}, follow.Options{
		Delegated: delegatedFor(tableConfiguration), Contact: contact, ReturnSpread: returnSpread, RetryPolicy: retryPolicy,
		OnAnswer: onAnswer(tableConfiguration), Log: e.deps.Log, Rand: newRand(),
	})
	upstreams := follow.New(e.deps.Upstreams, upstreamSink{e.state}, follow.Options{
		CoalesceDelay: settleInterval(s), Delegated: delegatedFor(tableUpstreams),
		Contact: contact, ReturnSpread: returnSpread, RetryPolicy: retryPolicy, OnGap: e.missUpstreams, OnAnswer: onAnswer(tableUpstreams),
		Log: e.deps.Log, Rand: newRand(),
	})
	e.upstreams.Store(upstreams)
	e.handler.OnListOutdated = upstreams.Refresh
	node = e.newPeerNode(contact, map[string]peers.Table{tableConfiguration: configuration, tableUpstreams: upstreams})
	e.duties.start(node, func(f func(context.Context) error) { addLoop(&g, f) })
	addLoop(&g, configuration.Run)
	addLoop(&g, upstreams.Run)
	if node != nil {
		e.state.onChange = node.NotifyChange
		e.state.listChangedSince = func(now time.Time) time.Time { return node.ChangedSince(now, tableUpstreams) }
		addLoop(&g, node.Run)
	}
	for group, address := range map[int]string{groupInternal: s.InternalAddress, groupControl: s.ControlAddress} {
		if err := e.addInternalServer(&g, address, group, node); err != nil {
			return err
		}
	}
	followers := map[string]*follow.Follower{tableConfiguration: configuration, tableUpstreams: upstreams}
	addLoop(&g, func(ctx context.Context) error { return e.sweep(ctx, followers) })
	addLoop(&g, func(ctx context.Context) error {
		return e.watchPauses(ctx, bootclock.Now, func() {
			if node != nil {
				node.ForgetReaders()
			}
			for _, f := range followers {
				f.Refresh()
				f.RepeatCall()
			}
		})
	})
	addLoop(&g, e.watchSettings)
	if e.usage != nil {
		addLoop(&g, e.usage.Run)
	}
	if e.origins != nil {
		addLoop(&g, e.origins.Run)
	}
	addLoop(&g, func(group context.Context) error { return e.awaitShutdown(group, ctx) })
	return g.Run()
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// addLoop adds f to the group. Its context is cancelled when the group stops.
func addLoop(g *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

func addServer(g *run.Group, s *http.Server, l net.Listener, stop func(*http.Server)) {
	g.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) { stop(s) })
}

func closeServer(s *http.Server) { _ = s.Close() } // the process exits

func (e *Edge) callerServer() *http.Server {
	s := &http.Server{
		Handler:           onRequest(e.handler),
		BaseContext:       func(net.Listener) context.Context { return e.requests },
		ConnState:         onConnState,
		ConnContext:       connContext,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	allowHeaderLines(s, maxHeaderBytes+headerSlop)
	return s
}

// callerTimeouts returns the timeouts of the current configuration.
func (e *Edge) callerTimeouts() connTimeouts {
	table := e.handler.Table()
	if table == nil {
		return connTimeouts{}
	}
	return connTimeouts{idle: table.Limits.IdleTimeout, header: table.Limits.HeaderTimeout}
}

// readinessHandler serves the load balancer's readiness probes.
func (e *Edge) readinessHandler() http.Handler {
	router := echo.New()
	router.GET("/readyz", func(c echo.Context) error {
		if e.shutdown.stopping() || !e.state.ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	return router
}

// addInternalServer adds a server for metrics and for the table copies that peers
// read.
func (e *Edge) addInternalServer(g *run.Group, address string, group int, node *peers.Node) error {
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
	e.addSmallServer(g, router, l, group)
	return nil
}

// addSmallServer adds a server whose requests are small and have no body.
func (e *Edge) addSmallServer(g *run.Group, handler http.Handler, l net.Listener, group int) {
	timeouts := func() connTimeouts { return connTimeouts{} } // those of the server never change
	addServer(g, &http.Server{
		Handler:           onRequest(handler),
		ConnState:         onConnState,
		ConnContext:       connContext,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       headerTimeout,
		WriteTimeout:      smallWriteTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    smallHeaderBytes,
	}, callerListener{e.guard.listener(l, group), timeouts, &callerConns{}}, closeServer)
}

// sweep closes expired connections to upstreams, ends the blocks of prompt parts whose
// time is over, and updates the metrics of these and of the platform's tables.
func (e *Edge) sweep(ctx context.Context, followers map[string]*follow.Follower) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			e.pool.Sweep(now)
			e.guard.updateMetrics()
			e.handler.Quarantine.Expire(now)
			e.deps.Metrics.Gauge("auburndyke_blocked_parts").Update(float64(e.handler.Quarantine.BlockedParts()))
			leaving, paused := e.state.balancer.Unavailable(now)
			e.deps.Metrics.Gauge("auburndyke_upstreams_leaving").Update(float64(leaving))
			e.deps.Metrics.Gauge("auburndyke_upstreams_paused").Update(float64(paused))
			e.deps.Metrics.Gauge("auburndyke_upstreams_ramping_up").Update(float64(e.state.balancer.RampingUp(now)))
			e.deps.Metrics.Gauge("auburndyke_response_memory_bytes").Update(float64(e.handler.ResponseMemory()))
			opened, reused := e.pool.Stats()
			e.deps.Metrics.Gauge("auburndyke_upstream_connections_opened").Update(float64(opened))
			e.deps.Metrics.Gauge("auburndyke_upstream_connections_reused").Update(float64(reused))
			for table, f := range followers {
				e.deps.Metrics.Gauge("auburndyke_table_age_seconds", "table", table).Update(f.Age(now).Seconds())
				e.deps.Metrics.Gauge("auburndyke_table_call_open_seconds", "table", table).Update(f.OpenFor(now).Seconds())
				e.deps.Metrics.Gauge("auburndyke_table_version", "table", table).Update(float64(f.Versions().AsOf.Number()))
				e.deps.Metrics.Gauge("auburndyke_table_era", "table", table).Update(float64(f.Versions().AsOf.Era()))
			}
		}
	}
}

// newPeerNode returns the node that exchanges messages with the other daemons, or
// nil if the daemon has no peers.
func (e *Edge) newPeerNode(contact *follow.Contact, tables map[string]peers.Table) *peers.Node {
	s := e.settings.Load()
	if e.deps.Daemons == nil || s.InternalAddress == "" {
		return nil
	}
	return peers.New(peers.Config{
		Usage: e.peerUsage(), Streams: e.peerStreams(), Daemon: string(s.Daemon), Address: s.InternalAddress, Zone: string(s.Zone), Directory: e.deps.Daemons,
		Local: peerObserver{e.state.balancer, e}, Tables: tables, Evidence: e.handler.Quarantine, Contact: contact, Era: e.deps.Era, PlatformReadRate: s.PlatformReadRate, ChangeBound: e.changeBound,
		Duties: e.duties.candidates(), FirstStart: s.FirstStart, Seeds: e.otherSeeds(), Rand: newRand(), Log: e.deps.Log,
	})
}

// peerStreams returns what tells peers where streams began, or nil.
func (e *Edge) peerStreams() peers.Streams {
	if e.origins == nil {
		return nil
	}
	return e.origins
}

// otherSeeds returns the seeds other than the daemon itself.
func (e *Edge) otherSeeds() []string {
	s := e.settings.Load()
	return slices.DeleteFunc(slices.Clone(s.Seeds), func(seed string) bool { return seed == s.ControlAddress })
}

// applyLimits sets the soft limit of the garbage collector and the limits for bodies,
// responses, headers and connections.
func (e *Edge) applyLimits(s *Settings) {
	e.guard.setLimits(connLimits(s))
	e.handler.SetUnsizedResponseRate(unsizedLinkShare * s.LinkByteRate)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * gcMemoryShare))
		e.handler.SetBodyMemoryLimit(int64(float64(s.MemoryBytes) * bodyMemoryShare))
		e.handler.SetResponseMemoryLimit(int64(float64(s.MemoryBytes) * responseMemoryShare))
	}
}

// notifySignals returns a channel that receives the given signals, and a function
// that stops it.
func notifySignals(sigs ...os.Signal) (<-chan os.Signal, func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, sigs...)
	return signals, func() { signal.Stop(signals) }
}
