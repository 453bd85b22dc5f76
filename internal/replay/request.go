package replay

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/admission"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/estimate"
	"github.com/auburndyke/auburndyke/internal/exchange"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/routing"
)

const (
	bytesPerPromptToken = 4
	bytesPerEvent       = 180
	// connectTimeout is how long a connection to a severed region is tried.
	connectTimeout = 500 * time.Millisecond
	// intervalEvery is how many tokens one interval observation covers.
	intervalEvery = 8

	hedgeQuantile     = 0.95
	hedgeFactor       = 1.5
	minHedgeDelay     = 100 * time.Millisecond
	silenceFactor     = 6
	minFirstSilence   = 2 * time.Second
	maxFirstSilence   = 15 * time.Second
	minObservedFirsts = 20
)

// request is one request of the trace on its way through a daemon.
type request struct {
	run      *run
	daemon   *daemon
	id       domain.RequestID
	record   *Record
	route    *policy.Route
	weight   float64
	answer   int // expected tokens
	deadline time.Time
	entry    admission.Request
	machine  *exchange.Exchange
	exclude  []int
	attempts []tried

	ran         bool // an engine ran a part of it
	shed        bool
	preemptions int
	dispatched  time.Duration // first dispatch
	first, last time.Duration // tokens at the caller
	tokens      int
	text        []byte
	outcome     exchange.Outcome
	done        bool
	timer       int
}

// tried is one attempt at an engine.
type tried struct {
	place
	id     domain.AttemptID
	conn   int
	since  time.Time // of the latest interval observation
	tokens int       // since then
}

func (r *request) lengthKey() estimate.LengthKey {
	return estimate.LengthKey{Model: modelName, Class: r.route.Class.ID, Customer: domain.CustomerID(r.record.Customer)}
}

// word is token i of the request's true answer.
func (r *request) word(i int) string {
	n := (len(r.id)*31 + int(r.id[len(r.id)-1])*7 + i*13) % len(letters)
	return letters[n : n+1]
}

const letters = "abcdefghijklmnopqrstuvwxyz"

func (r *request) admitted(p place) {
	if r.machine == nil {
		r.dispatched = r.run.clock.elapsed
		r.machine = exchange.New(r.config(), r.daemon.budget)
	}
	id := r.run.policy.Upstreams[p.engine].ID
	r.attempts = append(r.attempts, tried{place: p})
	r.apply(r.machine.Admitted(r.run.clock.now(), id))
}

// config derives the exchange's settings from the route and the estimates.
func (r *request) config() exchange.Config {
	cfg := exchange.Config{
		Request:       r.id,
		Repeatable:    r.route.Class.Repeatable,
		Reconnectable: true,
	}
	if r.daemon.firsts.Count() < minObservedFirsts {
		return cfg
	}
	high := time.Duration(r.daemon.firsts.Quantile(hedgeQuantile, 0)) * time.Millisecond
	cfg.FirstTokenSilence = min(max(silenceFactor*high, minFirstSilence), maxFirstSilence)
	if r.route.Class.Hedge {
		cfg.HedgeDelay = max(time.Duration(hedgeFactor*float64(high)), minHedgeDelay)
	}
	return cfg
}

// apply executes actions; a pick comes last because it calls the machine
// again.
func (r *request) apply(actions []exchange.Action) {
	pick := -1
	for i := range actions {
		if actions[i].Kind == exchange.ActionPick {
			pick = i
			continue
		}
		r.perform(&actions[i])
	}
	if pick >= 0 {
		r.pick(actions[pick].Exclude)
	}
}

func (r *request) pick(exclude []domain.UpstreamID) {
	r.exclude = r.exclude[:0]
	for i := range r.run.policy.Upstreams {
		for _, id := range exclude {
			if r.run.policy.Upstreams[i].ID == id {
				r.exclude = append(r.exclude, i)
			}
		}
	}
	now := r.run.clock.now()
	p, ok := r.daemon.pick(r, r.exclude)
	if !ok {
		r.apply(r.machine.NotPicked(now))
		return
	}
	before := len(r.attempts)
	r.attempts = append(r.attempts, tried{place: p})
	actions := r.machine.Picked(now, r.run.policy.Upstreams[p.engine].ID)
	if r.machine.Attempts() == before {
		if p.slot != nil {
			p.slot.Release(now, routing.ResultCancelled)
		}
		r.attempts = r.attempts[:before]
	}
	r.apply(actions)
}

func (r *request) perform(a *exchange.Action) {
	now := r.run.clock.now()
	switch a.Kind {
	case exchange.ActionStart:
		r.start(a)
	case exchange.ActionReconnect:
		r.resume(a)
	case exchange.ActionCancel:
		e := r.engine(a.Attempt)
		id := a.ID
		r.run.toEngine(r, e, 0, func() { e.cancel(id) }, nil)
	case exchange.ActionProbe:
		r.probe(a)
	case exchange.ActionEmit:
		r.emit(a.Event)
	case exchange.ActionFirstToken:
		r.daemon.firsts.Observe(int(a.Duration / time.Millisecond))
		if slot := r.attempts[a.Attempt].slot; slot != nil {
			slot.ObserveFirstToken(now)
		}
		r.attempts[a.Attempt].since = now
	case exchange.ActionInterTokenGap:
		r.interval(a, now)
	case exchange.ActionAttemptEnded:
		r.ended(a, now)
	case exchange.ActionWaste:
		r.run.measure.waste[a.Cause] += a.Tokens
	case exchange.ActionReadmit:
		r.entry.Tokens = r.record.Prompt + max(r.answer, a.Tokens+1)
		r.daemon.queue.RequeuePreempted(now, &r.entry)
		r.daemon.wake()
	case exchange.ActionTimer:
		r.arm(a.At)
	case exchange.ActionComplete:
		r.finish(exchange.Outcome{Outcome: a.Outcome, Complete: true, Tokens: a.Tokens})
	case exchange.ActionFail:
		r.finish(exchange.Outcome{Outcome: a.Outcome, Reason: a.Reason, Tokens: a.Tokens})
	}
}

func (r *request) engine(n int) *engine { return r.run.engines[r.attempts[n].place.engine] }

func (r *request) arm(at time.Time) {
	r.timer++
	armed := r.timer
	r.run.clock.after(at.Sub(r.run.clock.now()), func() {
		if armed == r.timer && !r.machine.Done() {
			r.apply(r.machine.Tick(r.run.clock.now()))
		}
	})
}

func (r *request) start(a *exchange.Action) {
	n, e := a.Attempt, r.engine(a.Attempt)
	r.attempts[n].id = a.ID
	e.assigned++
	s := &sequence{
		attempt:  a.ID,
		request:  r,
		priority: r.route.Tier.Rank,
		prompt:   r.record.Prompt + a.Skip,
		skip:     a.Skip,
		total:    r.record.Answer - a.Skip,
		conn:     connection{number: n, open: true},
	}
	if a.Skip > 0 {
		r.run.measure.repeatedPrompt += r.record.Prompt + a.Skip
	}
	bytes := r.record.Prompt*bytesPerPromptToken + a.Skip
	r.run.toEngine(r, e, bytes, func() {
		if e.down {
			r.fail(e, n, 0, ports.ErrNotSent)
		} else if err := e.submit(s); err != nil {
			r.fail(e, n, 0, err)
		}
	}, func() { r.failed(n, 0, ports.ErrNotSent) })
}

func (r *request) resume(a *exchange.Action) {
	n, conn, last, e, id := a.Attempt, a.Conn, a.Last, r.engine(a.Attempt), a.ID
	r.attempts[n].conn = conn
	r.run.toEngine(r, e, bytesPerEvent, func() {
		if e.down {
			r.fail(e, n, conn, ports.ErrNotSent)
		} else if err := e.resume(id, last, connection{number: n, conn: conn, open: true}); err != nil {
			r.fail(e, n, conn, err)
		}
	}, func() { r.failed(n, conn, ports.ErrNotSent) })
}

func (r *request) probe(a *exchange.Action) {
	n, e := a.Attempt, r.engine(a.Attempt)
	answer := func(err error) {
		if !r.machine.Done() {
			r.apply(r.machine.Probed(r.run.clock.now(), n, err))
		}
	}
	r.run.toEngine(r, e, 0, func() {
		var err error
		if e.down {
			err = ports.ErrNotSent
		}
		r.run.toDaemon(r, e, 0, func() { answer(err) })
	}, func() { answer(ports.ErrNotSent) })
}

// fail sends the failure of a connection back from an engine.
func (r *request) fail(e *engine, n, conn int, err error) {
	r.run.toDaemon(r, e, 0, func() { r.failed(n, conn, err) })
}

func (r *request) failed(n, conn int, err error) {
	if !r.machine.Done() {
		r.apply(r.machine.Failed(r.run.clock.now(), n, conn, err))
	}
}

// broken tells that an engine closed a connection.
func (r *request) broken(e *engine, c connection) {
	r.fail(e, c.number, c.conn, ports.ErrStreamBroken)
}

// deliver carries an event from an engine to the daemon.
func (r *request) deliver(e *engine, c connection, ev ports.Event) {
	r.run.toDaemon(r, e, bytesPerEvent, func() {
		r.apply(r.machine.Event(r.run.clock.now(), c.number, c.conn, &ev))
	})
}

func (r *request) emit(ev *ports.Event) {
	at := r.run.clock.elapsed + r.run.trace.Header.ClientHop.Duration()
	r.text = append(r.text, ev.Text...)
	if ev.Tokens == 0 {
		return
	}
	if r.tokens == 0 {
		r.first = at
	} else {
		r.run.measure.interval(r, at-r.last)
	}
	r.last = at
	r.tokens += ev.Tokens
	r.entry.GeneratedTokens.Add(int64(ev.Tokens))
}

func (r *request) interval(a *exchange.Action, now time.Time) {
	t := &r.attempts[a.Attempt]
	t.tokens += a.Tokens
	if t.tokens < intervalEvery || t.slot == nil {
		return
	}
	t.slot.ObserveInterTokenLatency(now, now.Sub(t.since)/time.Duration(t.tokens))
	t.since, t.tokens = now, 0
}

func (r *request) ended(a *exchange.Action, now time.Time) {
	r.engine(a.Attempt).assigned--
	if slot := r.attempts[a.Attempt].slot; slot != nil {
		slot.Release(now, results[a.Result])
	}
	r.daemon.wake()
}

var results = map[exchange.Result]routing.Result{
	exchange.ResultFinished:  routing.ResultOK,
	exchange.ResultNotSent:   routing.ResultFailed,
	exchange.ResultRefused:   routing.ResultRefused,
	exchange.ResultBroken:    routing.ResultFailed,
	exchange.ResultSilent:    routing.ResultFailed,
	exchange.ResultMismatch:  routing.ResultFailed,
	exchange.ResultCancelled: routing.ResultCancelled,
}

// impatient ends the request of a caller that waited too long.
func (r *request) impatient() {
	if r.done || r.tokens > 0 || r.daemon == nil {
		return
	}
	r.daemon.queue.Remove(&r.entry)
	if r.machine != nil {
		r.apply(r.machine.CallerDisconnected(r.run.clock.now()))
		return
	}
	r.finish(exchange.Outcome{Outcome: domain.OutcomeNotRun, Reason: exchange.ReasonCallerDisconnected})
}

func (r *request) finish(outcome exchange.Outcome) {
	if r.done {
		return
	}
	r.done = true
	r.outcome = outcome
	now := r.run.clock.now()
	if r.machine != nil {
		r.daemon.queue.Finish(now, &r.entry)
	}
	if outcome.Complete {
		r.daemon.lengths.Observe(r.lengthKey(), outcome.Tokens)
	}
	r.run.finished(r)
	r.daemon.wake()
}
