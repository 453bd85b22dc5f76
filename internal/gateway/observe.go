package gateway

import (
	"sync"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/exchange"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/routing"
)

// observer feeds what happens to a request into the estimates, the metrics
// and the log. It is also the request's emitter, since what the caller sees is
// what counts for the latency targets.
type observer struct {
	job  *job
	sink Sink // nil for service calls

	mu    sync.Mutex // Pick and Readmit may run on other goroutines than Run
	slots map[domain.UpstreamID]*place

	firstAt  time.Time
	lastAt   time.Time
	tokens   int
	bytes    int64
	attempts int
	wasted   int
	place    *place // of the latest event
}

// place is one attempt's slot and its progress.
type place struct {
	choice  routing.Choice
	backend Backend
	intervals
}

// intervals is the mean interval between the tokens of one attempt.
type intervals struct {
	sum    time.Duration
	tokens int
}

func newObserver(j *job, sink Sink) *observer {
	return &observer{job: j, sink: sink, slots: make(map[domain.UpstreamID]*place, 1)}
}

// assign turns a choice into an assignment whose slot is released at the end
// of the attempt.
func (o *observer) assign(choice *routing.Choice, backend Backend) exchange.Reservation {
	p := &place{choice: *choice, backend: backend}
	o.mu.Lock()
	o.slots[choice.ID] = p
	o.mu.Unlock()
	return exchange.Reservation{
		Upstream: choice.ID,
		Engine:   backend,
		Release: func() {
			o.job.gateway.drop(&p.choice, routing.ResultCancelled)
			o.job.gateway.Pump(time.Now())
		},
	}
}

func (o *observer) at(upstream domain.UpstreamID) *place {
	if o.place != nil && o.place.choice.ID == upstream {
		return o.place
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.place = o.slots[upstream]
	return o.place
}

// Emit passes an event to the caller and keeps the time.
func (o *observer) Emit(ev *ports.Event) error {
	now := time.Now()
	if ev.Tokens > 0 {
		if o.firstAt.IsZero() {
			o.firstAt = now
		}
		o.lastAt = now
		o.tokens += ev.Tokens
		o.job.waiter.GeneratedTokens.Add(int64(ev.Tokens))
	}
	o.bytes += int64(len(ev.Data))
	if ev.Final {
		o.cached(ev)
	}
	return o.sink.Emit(ev)
}

// cached compares the prefix cache's contribution with what was expected.
func (o *observer) cached(ev *ports.Event) {
	table := o.job.gateway.router.Table()
	p := o.place
	if p == nil {
		return
	}
	if state := table.State(p.choice.ID); state != nil {
		state.Prefixes.Observe(p.choice.CachedTokens, ev.CachedTokens)
		for _, h := range o.job.query.Prefix {
			state.Prefixes.Add(h)
		}
	}
}

// AttemptStarted implements exchange.Observer.
func (o *observer) AttemptStarted(n int, upstream domain.UpstreamID, purpose exchange.Purpose) {
	o.attempts++
	if n > 0 {
		o.job.gateway.logAttempt(o.job, n, upstream, purpose)
	}
}

// FirstToken implements exchange.Observer.
func (o *observer) FirstToken(upstream domain.UpstreamID, d time.Duration) {
	o.job.pool.observeFirstToken(d)
	if p := o.at(upstream); p != nil {
		p.choice.Slot.ObserveFirstToken(time.Now())
	}
}

// InterTokenGap implements exchange.Observer.
func (o *observer) InterTokenGap(upstream domain.UpstreamID, d time.Duration, tokens int) {
	p := o.at(upstream)
	if p == nil || tokens == 0 {
		return
	}
	p.sum += d
	p.tokens += tokens
	p.choice.Slot.ObserveInterTokenLatency(time.Now(), p.sum/time.Duration(p.tokens))
}

// AttemptEnded implements exchange.Observer.
func (o *observer) AttemptEnded(n int, upstream domain.UpstreamID, result exchange.Result, tokens int, _ time.Duration) {
	if p := o.at(upstream); p != nil {
		p.choice.Slot.Release(time.Now(), slotResult(result))
		if result == exchange.ResultSilent {
			p.backend.ResetPool()
		}
	}
	if result != exchange.ResultFinished && result != exchange.ResultCancelled {
		o.job.gateway.logAttemptFailed(o.job, n, upstream, result, tokens)
	}
}

// Wasted implements exchange.Observer.
func (o *observer) Wasted(cause domain.WasteCause, tokens int) {
	o.wasted += tokens
	o.job.gateway.metrics.Counter(metricWasted, "cause", string(cause)).Inc(int64(tokens))
}

func slotResult(r exchange.Result) routing.Result {
	switch r {
	case exchange.ResultFinished:
		return routing.ResultOK
	case exchange.ResultRefused:
		return routing.ResultRefused
	case exchange.ResultCancelled:
		return routing.ResultCancelled
	default:
		return routing.ResultFailed
	}
}

// firstToken is the time from the request's arrival to its first token.
func (o *observer) firstToken() time.Duration {
	if o.firstAt.IsZero() {
		return 0
	}
	return o.firstAt.Sub(o.job.arrived)
}

// interval is the mean time between the tokens that the caller got.
func (o *observer) interval() time.Duration {
	if o.tokens < 2 {
		return 0
	}
	return o.lastAt.Sub(o.firstAt) / time.Duration(o.tokens-1)
}

// metTargets reports whether a complete answer met its service level.
func (o *observer) metTargets(total time.Duration) bool {
	level := o.job.route.Level
	if level.FirstToken > 0 && o.sink != nil && o.firstToken() > level.FirstToken {
		return false
	}
	if level.BetweenTokens > 0 && o.interval() > level.BetweenTokens {
		return false
	}
	return level.WholeAnswer == 0 || total <= level.WholeAnswer
}

// spent is the work that counts against the limits, in tokens.
func (o *observer) spent() int {
	if o.attempts == 0 {
		return 0
	}
	return o.job.query.PromptTokens + o.tokens
}

// finish reports the end of the request.
func (o *observer) finish(failure *domain.Failure) {
	j := o.job
	total := time.Since(j.arrived)
	met := failure == nil && o.metTargets(total)
	if failure == nil && o.sink != nil {
		j.gateway.lengths.Observe(j.lengthKey(), o.tokens)
	}
	j.gateway.countRequest(o, failure, met, total)
	j.gateway.logFinished(o, failure, met, total)
}
