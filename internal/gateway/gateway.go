package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/internal/admission"
	"github.com/auburndyke/auburndyke/internal/claims"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/estimate"
	"github.com/auburndyke/auburndyke/internal/exchange"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/routing"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// Backend is the client of one upstream. Which half is used depends on the
// upstream's kind.
type Backend interface {
	ports.Engine
	ports.Service
	// ResetPool closes idle connections, which may be as silent as one that
	// was found so.
	ResetPool()
}

// Options configures a Gateway.
type Options struct {
	// Backend returns the client for an address. It may be called often and
	// returns the same client for the same address.
	Backend func(address string) (Backend, error)
	Claims  *claims.Claims
	Log     *telemetry.Log
	Metrics *telemetry.Metrics
	// Fresh reports whether the view of leaving upstreams is recent enough to
	// start new work. Nil means always.
	Fresh func(now time.Time) bool
	// Seed feeds the random choices among equally good upstreams.
	Seed uint64
}

// Gateway is the path of a request through one daemon. Its methods may be
// called concurrently.
type Gateway struct {
	options Options
	log     *telemetry.Log
	metrics *telemetry.Metrics
	router  *routing.Router
	lengths estimate.Lengths
	budget  *exchange.Budget
	limiter atomic.Pointer[admission.Limiter]

	unready  atomic.Pointer[string] // reason; nil means ready
	retiring atomic.Bool            // unready, still accepting
	stopping atomic.Bool
	active   activeSet
	demand   sync.Map // demandKey -> *demandCount
	tiers    sync.Map // rank -> *tierCount
	seeds    atomic.Uint64

	poolsLock sync.RWMutex // held for writing only while a pool is added
	pools     map[string]*pool
}

// New returns a gateway without a configuration. It is unready until Apply.
func New(options Options) *Gateway {
	g := &Gateway{
		options: options,
		log:     options.Log,
		metrics: options.Metrics,
		router:  routing.NewRouter(nil),
		budget:  exchange.NewBudget(exchange.DefaultRetryRatio, exchange.DefaultRetryFloor, 0),
		pools:   make(map[string]*pool),
	}
	g.seeds.Store(options.Seed)
	g.SetUnready("no configuration is in force yet")
	return g
}

// ErrStopping is the cause with which the contexts of requests end when a planned stop
// is over. The requests' callers are then still there, and get an answer.
var ErrStopping = errors.New("the daemon is shutting down")

// stopped returns the failure of a request whose context has ended by ErrStopping, and
// otherwise the given one.
func stopped(ctx context.Context, failure *domain.Failure) *domain.Failure {
	if failure == nil || failure.Code != domain.CodeCallerGone || !errors.Is(context.Cause(ctx), ErrStopping) {
		return failure
	}
	if failure.Outcome == domain.OutcomeNotRun {
		return domain.NotRun(domain.CodeShuttingDown, "the daemon is shutting down; another one serves this request")
	}
	return &domain.Failure{Code: domain.CodeOutcomeUnknown, Outcome: failure.Outcome, Message: "the daemon shut down before the answer was complete"}
}

// SetUnready makes the gateway refuse requests and say why.
func (g *Gateway) SetUnready(reason string) { g.unready.Store(&reason) }

// SetReady makes the gateway accept requests.
func (g *Gateway) SetReady() { g.unready.Store(nil) }

// Ready reports whether load balancers should send requests here, or why not.
func (g *Gateway) Ready() (bool, string) {
	if g.retiring.Load() || g.stopping.Load() {
		return false, "the daemon is shutting down"
	}
	return g.Accepting()
}

// Accepting reports whether requests can be served, or why not.
func (g *Gateway) Accepting() (bool, string) {
	if reason := g.unready.Load(); reason != nil {
		return false, *reason
	}
	if g.router.Table() == nil {
		return false, "no configuration is in force yet"
	}
	return true, ""
}

// Retire makes the gateway unready, so that load balancers send requests
// elsewhere. Requests that still arrive are served.
func (g *Gateway) Retire() { g.retiring.Store(true) }

// StopAccepting makes the gateway refuse new requests. Those in progress and
// those waiting continue.
func (g *Gateway) StopAccepting() { g.stopping.Store(true) }

// InProgress returns the number of requests that were accepted and have not
// ended.
func (g *Gateway) InProgress() int { return g.active.len() }

// Table returns the routing table in force; nil before the first Apply.
func (g *Gateway) Table() *routing.Table { return g.router.Table() }

// Apply puts a policy and this daemon's view of the fleet in force. Limits are
// shared equally among the given number of daemons. It is not called
// concurrently.
func (g *Gateway) Apply(now time.Time, p *policy.Policy, site routing.Site, daemons int) {
	previous := g.router.Table()
	table := routing.NewTable(now, previous, p, site)
	g.router.SetTable(table)
	g.limiter.Store(admission.NewLimiter(g.limiter.Load(), p, daemons))
	if previous == nil || previous.Policy != p {
		g.configurePools(now, p)
	}
	g.Pump(now)
}

func (g *Gateway) configurePools(now time.Time, p *policy.Policy) {
	g.poolsLock.RLock()
	defer g.poolsLock.RUnlock()
	for _, pool := range g.pools {
		pool.configure(now, p.Tiers)
	}
}

// policy returns the configuration in force.
func (g *Gateway) policy() *policy.Policy { return g.router.Table().Policy }

// Authenticate finds the customer of an API key.
func (g *Gateway) Authenticate(apiKey string) (domain.CustomerID, bool) {
	customer := g.policy().CustomerByKey(policy.HashKey(apiKey))
	if customer == nil {
		return "", false
	}
	return customer.ID, true
}

// Models lists the models that a customer reaches with any class.
func (g *Gateway) Models(customer domain.CustomerID) []domain.ModelID {
	p := g.policy()
	found := make(map[domain.ModelID]bool)
	for class := range p.Classes {
		route, ok := p.Route(customer, class)
		if !ok {
			continue
		}
		for _, i := range route.Upstreams {
			for _, m := range p.Upstreams[i].Models {
				found[m] = true
			}
		}
	}
	models := make([]domain.ModelID, 0, len(found))
	for m := range found {
		models = append(models, m)
	}
	slices.Sort(models)
	return models
}

// rng returns a random source for one request.
func (g *Gateway) rng() *rand.Rand {
	return rand.New(rand.NewPCG(g.seeds.Add(1), g.options.Seed))
}

// Pump dispatches waiting requests, expires overdue ones and preempts where a
// higher tier would miss its target. It is called when slots change and
// regularly, because reports and time change what fits.
func (g *Gateway) Pump(now time.Time) {
	g.poolsLock.RLock()
	defer g.poolsLock.RUnlock()
	for _, pool := range g.pools {
		if pool.waiting.Load() > 0 {
			pool.pump(now)
		}
	}
}

// pool returns the pool of a model or service.
func (g *Gateway) pool(name string, tiers []policy.Tier) *pool {
	g.poolsLock.RLock()
	found := g.pools[name]
	g.poolsLock.RUnlock()
	if found != nil {
		return found
	}
	g.poolsLock.Lock()
	defer g.poolsLock.Unlock()
	if g.pools[name] == nil {
		g.pools[name] = newPool(g, name, tiers)
	}
	return g.pools[name]
}

// Leaving tells that an upstream takes no new work, or that it does again.
// Streams that cannot finish before the deadline move away in time; a zero
// deadline leaves them until they finish.
func (g *Gateway) Leaving(upstream domain.UpstreamID, leaving bool, deadline time.Time) {
	table := g.router.Table()
	if table == nil {
		return
	}
	if state := table.State(upstream); state != nil {
		state.SetLeaving(leaving)
	}
	if leaving {
		g.active.drain(upstream, deadline)
	}
}

// Running returns the number of requests that this daemon has in progress at
// an upstream.
func (g *Gateway) Running(upstream domain.UpstreamID) int {
	return g.active.at(upstream)
}
