package exchange

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

type phase uint8

const (
	phaseWaiting phase = iota // for admission
	phaseRunning
	phaseDone
)

// Exchange is the state machine of one request. It is not safe for concurrent
// use. The actions that a method returns are valid until the next call.
type Exchange struct {
	cfg    Config
	budget *Budget
	phase  phase

	attempts    []attempt
	attemptsBuf [2]attempt // backs attempts; a third one moves them to the heap
	// selected is the attempt whose events reach the caller; -1 means none.
	selected int

	text    []byte // sent to the caller
	emitted int    // tokens sent to the caller
	events  int    // events sent to the caller

	retries int
	hedged  bool
	// freeAttemptUsed reports whether the one attempt that is exempt from the
	// budget after a broken stream has been made.
	freeAttemptUsed bool
	hedgeAt         time.Time
	recovery        recovery
	exclude         []domain.UpstreamID

	armed   time.Time
	actions []Action
	out     ports.Event
}

// New returns the state machine of one request. The budget is shared by all
// requests of a daemon; nil means unlimited retries.
func New(cfg Config, budget *Budget) *Exchange {
	cfg.setDefaults()
	e := &Exchange{cfg: cfg, budget: budget, selected: -1}
	e.attempts = e.attemptsBuf[:0]
	return e
}

// Admitted starts the request on upstream, or resumes it there after a
// preemption.
func (e *Exchange) Admitted(now time.Time, upstream domain.UpstreamID) []Action {
	e.begin()
	if e.phase != phaseWaiting {
		return e.finish(now)
	}
	e.phase = phaseRunning
	if len(e.attempts) == 0 && e.budget != nil {
		e.budget.Deposit(now)
	}
	purpose := PurposeFirst
	if e.emitted > 0 {
		purpose = PurposeResume
	}
	e.start(now, upstream, purpose)
	if e.cfg.Repeatable && e.cfg.HedgeDelay > 0 && e.events == 0 {
		e.hedgeAt = now.Add(e.cfg.HedgeDelay)
	}
	return e.finish(now)
}

// NotReadmitted fails a preempted request that was not admitted again.
func (e *Exchange) NotReadmitted(now time.Time, err error) []Action {
	e.begin()
	if e.phase == phaseWaiting {
		e.fail(now, ReasonNotReadmitted, domain.WastePreempted, err)
	}
	return e.finish(now)
}

// Event handles one event that arrived on connection conn of attempt n.
func (e *Exchange) Event(now time.Time, n, conn int, ev *ports.Event) []Action {
	e.begin()
	a := &e.attempts[n]
	switch {
	case ev.Attempt != a.id:
		e.connFailed(now, n, conn, ports.ErrMismatch)
	case a.ended:
		e.countLate(a, ev)
	case ev.Index < a.next:
		// A stream repeats events that the caller has after a reconnect.
	case ev.Index > a.next:
		e.connFailed(now, n, conn, ports.ErrMismatch)
	default:
		e.accept(now, n, ev)
	}
	return e.finish(now)
}

// Failed handles the failure of connection conn of attempt n.
func (e *Exchange) Failed(now time.Time, n, conn int, err error) []Action {
	e.begin()
	e.connFailed(now, n, conn, err)
	return e.finish(now)
}

// CallerStalled records that the caller did not take events until now, so that
// the time since the last event does not count as silence of the upstream.
func (e *Exchange) CallerStalled(now time.Time) {
	for i := range e.attempts {
		if a := &e.attempts[i]; !a.ended && a.next > 0 {
			a.silenceStart = now
		}
	}
}

// CallerDisconnected fails the request because its caller has disconnected.
func (e *Exchange) CallerDisconnected(now time.Time) []Action {
	e.begin()
	if e.phase != phaseDone {
		e.fail(now, ReasonCallerDisconnected, domain.WasteCallerGone, nil)
	}
	return e.finish(now)
}

// Preemptable reports whether Preempted would take effect: the request is
// running and may be repeated.
func (e *Exchange) Preemptable() bool {
	return e.phase == phaseRunning && e.cfg.Repeatable
}

// Preempted cancels the running attempts and keeps the text sent so far, so that
// the request can be resumed after readmission.
func (e *Exchange) Preempted(now time.Time) []Action {
	e.begin()
	if e.Preemptable() {
		e.cancelAll(now, domain.WastePreempted)
		e.recovery = recovery{}
		e.hedgeAt = time.Time{}
		e.exclude = e.exclude[:0]
		e.phase = phaseWaiting
		e.push(Action{Kind: ActionReadmit, Tokens: e.emitted})
	}
	return e.finish(now)
}

// Draining records that upstream shuts down at deadline. A repeatable stream
// that still runs there MoveMargin before is moved to another upstream; with a
// zero deadline none is.
func (e *Exchange) Draining(now time.Time, upstream domain.UpstreamID, deadline time.Time) []Action {
	e.begin()
	if e.cfg.Repeatable && !deadline.IsZero() {
		for i := range e.attempts {
			a := &e.attempts[i]
			if !a.ended && a.upstream == upstream {
				a.moveAt = deadline.Add(-e.cfg.MoveMargin)
				a.moveDeadline = deadline
			}
		}
	}
	e.runDue(now)
	return e.finish(now)
}

// Tick performs all timed work that is due at now.
func (e *Exchange) Tick(now time.Time) []Action {
	e.begin()
	e.runDue(now)
	return e.finish(now)
}

// Done reports whether the request has ended.
func (e *Exchange) Done() bool { return e.phase == phaseDone }

// Emitted returns the number of tokens sent to the caller.
func (e *Exchange) Emitted() int { return e.emitted }

// Attempts returns the number of attempts started.
func (e *Exchange) Attempts() int { return len(e.attempts) }

func (e *Exchange) begin() { e.actions = e.actions[:0] }

func (e *Exchange) push(a Action) { e.actions = append(e.actions, a) }

// finish appends a timer if it has to fire before the armed one. A timer that
// fires too early is harmless, and Tick arms it again.
func (e *Exchange) finish(now time.Time) []Action {
	if e.phase == phaseDone {
		return e.actions
	}
	if !e.armed.IsZero() && !e.armed.After(now) {
		e.armed = time.Time{}
	}
	at := e.nextDue()
	if !at.IsZero() && (e.armed.IsZero() || at.Before(e.armed)) {
		e.armed = at
		e.push(Action{Kind: ActionTimer, At: at})
	}
	return e.actions
}

func (e *Exchange) start(now time.Time, upstream domain.UpstreamID, purpose Purpose) {
	n := len(e.attempts)
	e.attempts = append(e.attempts, attempt{
		id:           domain.NewAttemptID(e.cfg.Request, n),
		upstream:     upstream,
		hedge:        purpose == PurposeHedge,
		mayHaveRun:   true,
		started:      now,
		silenceStart: now,
	})
	e.push(Action{
		Kind:     ActionStart,
		Purpose:  purpose,
		Attempt:  n,
		ID:       e.attempts[n].id,
		Upstream: upstream,
		Suffix:   string(e.text),
		Skip:     e.emitted,
	})
}

// accept handles the next event of a running attempt.
func (e *Exchange) accept(now time.Time, n int, ev *ports.Event) {
	a := &e.attempts[n]
	first := a.next == 0
	d := a.progress(now, ev.Tokens)
	if e.selected < 0 {
		e.selectAttempt(now, n)
	}
	if first {
		e.push(Action{Kind: ActionFirstToken, Attempt: n, Upstream: a.upstream, Duration: now.Sub(a.started)})
	} else {
		e.push(Action{Kind: ActionInterTokenGap, Attempt: n, Upstream: a.upstream, Duration: d, Tokens: ev.Tokens})
	}
	if ev.Final && ev.CompletionTokens != a.tokens {
		// All events have arrived, so reading the stream again would not help.
		e.emitted += ev.Tokens
		e.cancelAttempt(now, n, ResultMismatch, domain.WasteMismatch)
		e.fail(now, ReasonIncomplete, domain.WasteMismatch, ports.ErrMismatch)
		return
	}
	e.emit(ev)
	if ev.Final {
		e.endAttempt(now, n, ResultFinished)
		e.phase = phaseDone
		e.push(Action{Kind: ActionComplete, Tokens: e.emitted, Attempt: n, Upstream: a.upstream, Outcome: domain.OutcomeRan})
	}
}

// selectAttempt makes attempt n the one whose events reach the caller and cancels
// the others.
func (e *Exchange) selectAttempt(now time.Time, n int) {
	e.selected = n
	e.hedgeAt = time.Time{}
	e.recovery = recovery{}
	for i := range e.attempts {
		if i != n && !e.attempts[i].ended {
			e.cancelAttempt(now, i, ResultCancelled, domain.WasteHedge)
		}
	}
}

func (e *Exchange) emit(ev *ports.Event) {
	e.text = append(e.text, ev.Text...)
	e.emitted += ev.Tokens
	e.events++
	e.out = *ev
	if ev.Final {
		e.out.CompletionTokens = e.emitted
	}
	e.push(Action{Kind: ActionEmit, Attempt: e.selected, Event: &e.out, Tokens: ev.Tokens})
}

// countLate counts the tokens of an event that arrived after the end of its
// attempt.
func (e *Exchange) countLate(a *attempt, ev *ports.Event) {
	if ev.Index < a.next {
		return
	}
	a.next = ev.Index + 1
	a.tokens += ev.Tokens
	if ev.Tokens > 0 && a.lateCause != "" {
		e.push(Action{Kind: ActionWaste, Cause: a.lateCause, Tokens: ev.Tokens})
	}
}

// endAttempt records how attempt n ended.
func (e *Exchange) endAttempt(now time.Time, n int, result Result) {
	a := &e.attempts[n]
	a.ended = true
	a.probing = false
	if e.selected == n {
		e.selected = -1
	}
	e.push(Action{
		Kind:     ActionAttemptEnded,
		Attempt:  n,
		Upstream: a.upstream,
		Result:   result,
		Tokens:   a.tokens,
		Duration: now.Sub(a.started),
	})
}

// cancelAttempt cancels attempt n at its upstream. Tokens that still arrive from
// it are wasted for cause.
func (e *Exchange) cancelAttempt(now time.Time, n int, result Result, cause domain.WasteCause) {
	a := &e.attempts[n]
	a.lateCause = cause
	e.push(Action{Kind: ActionCancel, Attempt: n, ID: a.id, Upstream: a.upstream, Conn: a.conn})
	e.endAttempt(now, n, result)
}

func (e *Exchange) cancelAll(now time.Time, cause domain.WasteCause) {
	for i := range e.attempts {
		if !e.attempts[i].ended {
			e.cancelAttempt(now, i, ResultCancelled, cause)
		}
	}
}

// outcome returns what is known about the execution of the request.
func (e *Exchange) outcome() domain.Outcome {
	outcome := domain.OutcomeNotRun
	for i := range e.attempts {
		a := &e.attempts[i]
		if a.next > 0 {
			return domain.OutcomeRan
		}
		if a.mayHaveRun {
			outcome = domain.OutcomeUnknown
		}
	}
	return outcome
}
