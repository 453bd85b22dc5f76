package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/auburndyke/auburndyke/internal/admission"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/estimate"
	"github.com/auburndyke/auburndyke/internal/exchange"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/routing"
)

// bytesPerToken is the assumed size of prompt text per token.
const bytesPerToken = 4

// job is one accepted request, whether generation or service call.
type job struct {
	gateway *Gateway
	id      domain.RequestID
	policy  *policy.Policy // that route belongs to
	route   *policy.Route
	query   routing.Request
	arrived time.Time
	pool    *pool
	waiter  *waiter
}

// newJob finds the route of a customer's request.
func (g *Gateway) newJob(id domain.RequestID, customer domain.CustomerID, class domain.ClassID) (*job, *domain.Failure) {
	p := g.policy()
	account := p.Customers[customer]
	if account == nil {
		return nil, domain.NotRun(domain.CodeUnauthorized, "the customer no longer exists")
	}
	if class == "" {
		class = account.DefaultClass
	}
	if p.Classes[class] == nil {
		return nil, domain.NotRun(domain.CodeUnknownClass, "request class "+string(class)+" does not exist")
	}
	route, ok := p.Route(customer, class)
	if !ok {
		return nil, domain.NotRun(domain.CodeNoRoute, "no rule lets class "+string(class)+" of this customer reach an upstream")
	}
	return &job{gateway: g, id: id, policy: p, route: route, arrived: time.Now()}, nil
}

// limit applies the customer's and the class's limits.
func (j *job) limit() (*admission.Permit, *domain.Failure) {
	permit, refusal := j.gateway.limiter.Load().Admit(j.arrived, j.route.Customer.ID, j.route.Class.ID, j.query.Tokens())
	if permit != nil {
		return permit, nil
	}
	j.gateway.logLimited(j, refusal)
	f := domain.NotRun(domain.CodeRateLimited, "the limit "+refusal.Kind.String()+" of this customer or class is exhausted")
	f.RetryAfter = refusal.RetryAfter
	return nil, f
}

// enqueue prepares the request for its pool.
func (j *job) enqueue(name string) {
	j.pool = j.gateway.pool(name, j.policy.Tiers)
	w := &waiter{job: j, grants: make(chan grant, 1)}
	w.Request = admission.Request{
		ID:       j.id,
		Customer: j.route.Customer.ID,
		Weight:   j.route.Customer.Weight,
		Rank:     j.route.Tier.Rank,
		Tokens:   j.query.Tokens(),
		Group:    j.query.Group(),
		Route:    j.route,
		Arrived:  j.arrived,
		MaxWait:  j.route.Class.MaxWait,
		Value:    w,
	}
	if target := j.route.Level.FirstToken; target > 0 {
		w.Deadline = j.arrived.Add(target)
		w.TimeToFirstToken = time.Duration(j.pool.firstToken.Load())
		j.query.Deadline = w.Deadline
	}
	j.waiter = w
}

// pick chooses an upstream by the configuration in force, takes a slot there
// and counts the attempt. The choice is given back by drop. A request that was
// routed by an earlier configuration is routed again.
func (j *job) pick(now time.Time, rng *rand.Rand, tried []domain.UpstreamID) (routing.Choice, bool) {
	router := j.gateway.router
	if fresh := j.gateway.options.Fresh; fresh != nil && !fresh(now) {
		return routing.Choice{}, false
	}
	for {
		p := router.Table().Policy
		if !j.reroute(p) {
			return routing.Choice{}, false
		}
		query := j.query
		query.Route, query.Policy, query.WaitingSince = j.route, j.policy, j.arrived
		query.Tried = indexes(p, tried)
		query.Explain = j.gateway.explanation()
		choice, ok := router.Pick(now, &query, rng)
		if !ok {
			return choice, false
		}
		j.gateway.active.counter(choice.ID).Add(1)
		if j.gateway.confirm(p, &choice) {
			j.gateway.logRouting(j, &choice, query.Explain)
			return choice, true
		}
		j.gateway.drop(&choice, routing.ResultCancelled)
	}
}

// confirm reports whether a choice that has been counted still holds. The
// configuration may have changed meanwhile, so that the route's indexes were
// applied to another list of upstreams. Leaving is checked after counting, and
// Leaving sets it before Running is read, so that a drain never misses an
// attempt.
func (g *Gateway) confirm(p *policy.Policy, choice *routing.Choice) bool {
	table := g.router.Table()
	if table.Policy != p {
		return false
	}
	state := table.State(choice.ID)
	return state == nil || !state.Leaving()
}

// drop gives a place back.
func (g *Gateway) drop(choice *routing.Choice, result routing.Result) {
	choice.Slot.Release(time.Now(), result)
	g.active.counter(choice.ID).Add(-1)
}

// reroute brings the job's route to a policy.
func (j *job) reroute(p *policy.Policy) bool {
	if j.policy == p {
		return true
	}
	route, ok := p.Route(j.route.Customer.ID, j.route.Class.ID)
	if ok {
		j.policy, j.route = p, route
	}
	return ok
}

func indexes(p *policy.Policy, ids []domain.UpstreamID) []int {
	if len(ids) == 0 {
		return nil
	}
	out := make([]int, 0, len(ids))
	for i := range p.Upstreams {
		for _, id := range ids {
			if p.Upstreams[i].ID == id {
				out = append(out, i)
			}
		}
	}
	return out
}

// backend returns the client of a chosen upstream.
func (j *job) backend(choice *routing.Choice) (Backend, bool) {
	b, err := j.gateway.options.Backend(choice.Address)
	if err != nil {
		j.gateway.logBackend(choice, err)
		j.gateway.drop(choice, routing.ResultFailed)
		return nil, false
	}
	return b, true
}

// exchangeConfig derives the exchange's settings from class and service level.
func (j *job) exchangeConfig(choice *routing.Choice) exchange.Config {
	class, level := j.route.Class, j.route.Level
	cfg := exchange.Config{
		Request:           j.id,
		Repeatable:        class.Repeatable,
		Reconnectable:     true,
		InterTokenLatency: max(choice.InterTokenLatency, level.BetweenTokens),
	}
	if level.FirstToken > 0 {
		cfg.FirstTokenSilence = max(minFirstTokenSilence, firstTokenSilenceFactor*level.FirstToken)
		if class.Hedge {
			cfg.HedgeDelay = max(minHedgeDelay, level.FirstToken/2)
		}
	}
	return cfg
}

const (
	// minFirstTokenSilence and firstTokenSilenceFactor times the target bound
	// how soon a first token that does not come leads to a probe.
	minFirstTokenSilence    = 2 * time.Second
	firstTokenSilenceFactor = 4
	minHedgeDelay           = 50 * time.Millisecond
)

// lengthKey says whose answer lengths predict this request's.
func (j *job) lengthKey() estimate.LengthKey {
	return estimate.LengthKey{Model: j.query.Model, Class: j.route.Class.ID, Customer: j.route.Customer.ID}
}
