package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/internal/admission"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/exchange"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/routing"
)

// pool holds the queue of one model or service. Its lock is held for queue
// operations only, never during I/O.
type pool struct {
	gateway *Gateway
	name    string
	waiting atomic.Int64 // requests in the queue; read without the lock
	// firstToken is the recent time from dispatch to the first token, in ns. It
	// tells which waiting requests can still meet their target.
	firstToken atomic.Int64

	mu    sync.Mutex
	queue *admission.Queue
	rng   *rand.Rand
}

// waiter is one request in a pool.
type waiter struct {
	admission.Request
	job    *job
	grants chan grant // holds at most one
	runner *exchange.Runner
}

// grant ends the wait of a request: with a place, or with a failure.
type grant struct {
	choice  routing.Choice
	failure *domain.Failure
}

func newPool(g *Gateway, name string, tiers []policy.Tier) *pool {
	return &pool{gateway: g, name: name, queue: admission.NewQueue(tiers), rng: g.rng()}
}

func (p *pool) configure(now time.Time, tiers []policy.Tier) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.Configure(tiers)
	p.pumpLocked(now)
}

// admit waits for a place for w.
func (p *pool) admit(ctx context.Context, w *waiter) (routing.Choice, *domain.Failure) {
	now := time.Now()
	// Once the request is queued, a change of the configuration may give its
	// job a new route under p.mu.
	demand := p.gateway.demandOf(w.job)
	p.mu.Lock()
	d := p.queue.Offer(now, &w.Request)
	p.follow(now, d)
	if d.Action == admission.ActionShed {
		p.mu.Unlock()
		return routing.Choice{}, shedFailure(d)
	}
	p.pumpLocked(now)
	p.mu.Unlock()
	return p.wait(ctx, w, demand)
}

// readmit waits for another place after a preemption.
func (p *pool) readmit(ctx context.Context, w *waiter) (routing.Choice, *domain.Failure) {
	now := time.Now()
	demand := p.gateway.demandOf(w.job)
	p.mu.Lock()
	p.queue.RequeuePreempted(now, &w.Request)
	p.pumpLocked(now)
	p.mu.Unlock()
	return p.wait(ctx, w, demand)
}

func (p *pool) wait(ctx context.Context, w *waiter, demand *demandCount) (routing.Choice, *domain.Failure) {
	demand.waiting.Add(int64(w.Tokens))
	defer demand.waiting.Add(-int64(w.Tokens))
	select {
	case g := <-w.grants:
		return g.choice, g.failure
	case <-ctx.Done():
	}
	p.mu.Lock()
	removed := p.queue.Remove(&w.Request)
	p.waiting.Store(int64(p.queue.Len()))
	p.mu.Unlock()
	if !removed {
		// A grant was given at the same moment; it must not keep its slot.
		if g := <-w.grants; g.choice.Slot != nil {
			p.gateway.drop(&g.choice, routing.ResultCancelled)
			p.finish(w)
		}
	}
	return routing.Choice{}, domain.NotRun(domain.CodeCallerGone, "the caller disconnected while waiting")
}

// finish ends a request that had a place.
func (p *pool) finish(w *waiter) {
	now := time.Now()
	p.mu.Lock()
	p.queue.Finish(now, &w.Request)
	p.mu.Unlock()
	p.gateway.Pump(now)
}

func (p *pool) pump(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pumpLocked(now)
}

func (p *pool) pumpLocked(now time.Time) {
	for _, d := range p.queue.Expire(now) {
		p.follow(now, d)
	}
	for {
		var choice routing.Choice
		d, ok := p.queue.Next(now, func(r *admission.Request) bool {
			var placed bool
			choice, placed = p.place(now, r.Value.(*waiter))
			return placed
		})
		if !ok {
			break
		}
		w := d.Request.Value.(*waiter)
		p.gateway.logDispatch(p, d, w)
		w.grants <- grant{choice: choice}
	}
	if d, ok := p.queue.Preempt(now); ok {
		p.follow(now, d)
	}
	p.waiting.Store(int64(p.queue.Len()))
}

// place looks for an upstream for a waiting request and takes a slot there.
func (p *pool) place(now time.Time, w *waiter) (routing.Choice, bool) {
	choice, ok := w.job.pick(now, p.rng, nil)
	if ok {
		w.Upstream = choice.Upstream
	}
	return choice, ok
}

// follow carries out what a decision asks for besides its own request.
func (p *pool) follow(now time.Time, d admission.Decision) {
	p.gateway.logAdmission(p, d)
	for _, s := range d.Shed {
		p.follow(now, s)
		s.Request.Value.(*waiter).grants <- grant{failure: shedFailure(s)}
	}
	if d.Action == admission.ActionExpire {
		d.Request.Value.(*waiter).grants <- grant{failure: shedFailure(d)}
	}
	if d.Preempt == nil {
		return
	}
	if runner := d.Preempt.Value.(*waiter).runner; runner != nil {
		runner.Preempt()
	}
}

func shedFailure(d admission.Decision) *domain.Failure {
	f := domain.NotRun(domain.CodeOverloaded, "no capacity for this request now: "+d.Reason.String())
	if d.Action == admission.ActionExpire {
		f.Code = domain.CodeDeadline
		f.Message = "the request waited longer than its class allows"
	}
	f.RetryAfter = d.RetryAfter
	return f
}

// firstTokenGain is the weight of one observation.
const firstTokenGain = 0.05

// observeFirstToken records the time from dispatch to the first token.
func (p *pool) observeFirstToken(d time.Duration) {
	old := p.firstToken.Load()
	if old == 0 {
		p.firstToken.CompareAndSwap(0, int64(d))
		return
	}
	// A lost update costs one observation.
	p.firstToken.CompareAndSwap(old, old+int64(firstTokenGain*float64(int64(d)-old)))
}
