package exchange

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// recovery is the search for an upstream after a failure, for a hedge or for
// a move. The zero value means that no search is in progress.
type recovery struct {
	active   bool
	picking  bool // an ActionPick is pending
	granted  bool // charged to the budget or exempt from it
	purpose  Purpose
	moving   int // attempt that PurposeMove replaces
	at       time.Time
	deadline time.Time // for finding an upstream
	tries    int
	reason   Reason
	cause    domain.WasteCause
	err      error
}

// connFailed handles the failure of one connection of an attempt.
func (e *Exchange) connFailed(now time.Time, n, conn int, err error) {
	a := &e.attempts[n]
	if a.ended || conn != a.conn || !a.reconnectAt.IsZero() {
		return
	}
	unsent := errors.Is(err, ports.ErrNotSent)
	refused := errors.Is(err, ports.ErrRefused)
	switch {
	case conn == 0 && a.next == 0 && (unsent || refused):
		e.attemptNotRun(now, n, unsent, err)
	case errors.Is(err, ports.ErrStreamGone):
		e.streamLost(now, n, err)
	case !e.cfg.Reconnectable || a.reconnects >= e.cfg.MaxReconnects:
		e.streamLost(now, n, err)
	case conn > 0 && (unsent || refused) && e.cfg.Repeatable:
		e.streamLost(now, n, err)
	case a.reconnects > 0:
		a.reconnectAt = now.Add(e.backoff(n, a.reconnects))
	default:
		e.reconnect(now, n)
	}
}

// attemptNotRun ends an attempt of which its upstream ran no part.
func (e *Exchange) attemptNotRun(now time.Time, n int, unsent bool, err error) {
	e.attempts[n].mayHaveRun = false
	result, reason := ResultRefused, ReasonRefused
	if unsent {
		result, reason = ResultNotSent, ReasonNotSent
	}
	e.endAttempt(now, n, result)
	e.startRecovery(now, n, reason, "", err)
}

// streamLost cancels an attempt whose stream cannot be read any further.
func (e *Exchange) streamLost(now time.Time, n int, err error) {
	result, reason, cause := ResultBroken, ReasonBroken, domain.WasteBroken
	if errors.Is(err, ports.ErrMismatch) {
		result, reason, cause = ResultMismatch, ReasonMismatch, domain.WasteMismatch
	}
	e.cancelAttempt(now, n, result, cause)
	e.startRecovery(now, n, reason, cause, err)
}

// reconnect reads the attempt's stream again over a new connection.
func (e *Exchange) reconnect(now time.Time, n int) {
	a := &e.attempts[n]
	a.reconnects++
	a.conn++
	a.silenceStart = now
	a.reconnectAt = time.Time{}
	e.push(Action{
		Kind:     ActionReconnect,
		Attempt:  n,
		Conn:     a.conn,
		ID:       a.id,
		Upstream: a.upstream,
		Last:     a.next - 1,
	})
}

// startRecovery looks for another upstream after attempt n ended, or fails the
// request if another attempt is not allowed.
func (e *Exchange) startRecovery(now time.Time, n int, reason Reason, cause domain.WasteCause, err error) {
	failed := &e.attempts[n]
	e.exclude = append(e.exclude, failed.upstream)
	if e.anyRunning() {
		return
	}
	if (failed.mayHaveRun && !e.cfg.Repeatable) || e.retries >= e.cfg.MaxRetries {
		e.fail(now, reason, cause, err)
		return
	}
	purpose := PurposeRetry
	if e.events > 0 {
		purpose = PurposeResume
	}
	e.recovery = recovery{
		active:   true,
		purpose:  purpose,
		at:       now,
		deadline: now.Add(e.cfg.RecoveryTimeout),
		reason:   reason,
		cause:    cause,
		err:      err,
	}
	if e.retries > 0 {
		e.recovery.at = now.Add(e.backoff(n, e.retries))
		return
	}
	e.requestPick(now)
}

// requestPick asks for an upstream if the retry budget allows it.
func (e *Exchange) requestPick(now time.Time) {
	r := &e.recovery
	if !e.exemptFromBudget() && !e.budget.Withdraw(now) {
		e.postpone(now)
		return
	}
	r.granted = true
	r.picking = true
	e.push(Action{Kind: ActionPick, Purpose: r.purpose, Exclude: e.exclude})
}

// exemptFromBudget reports whether the next attempt does not draw on the
// budget. An attempt that was refused or not sent cost its upstream no work, so
// its retry is exempt. The first attempt after a broken stream is exempt as
// well: a crashed upstream can break more streams than the budget covers while
// no new requests arrive, and one exempt attempt per request cannot multiply
// the load. An attempt after silence draws on the budget, because an overloaded
// upstream falls silent too.
func (e *Exchange) exemptFromBudget() bool {
	r := &e.recovery
	switch {
	case r.granted, e.budget == nil, r.purpose == PurposeMove:
		return true
	case r.purpose == PurposeHedge:
		return false
	}
	switch r.reason {
	case ReasonNotSent, ReasonRefused:
		return true
	case ReasonBroken, ReasonMismatch:
		return !e.freeAttemptUsed
	}
	return false
}

// Picked reports the upstream chosen for ActionPick. It is used only if the
// returned actions contain an ActionStart.
func (e *Exchange) Picked(now time.Time, upstream domain.UpstreamID) []Action {
	e.begin()
	r := e.recovery
	if e.phase != phaseRunning || !r.picking {
		return e.finish(now)
	}
	e.recovery = recovery{}
	switch r.purpose {
	case PurposeMove:
		if e.attempts[r.moving].ended {
			return e.finish(now)
		}
		e.cancelAttempt(now, r.moving, ResultCancelled, domain.WastePreempted)
	case PurposeRetry, PurposeResume:
		e.retries++
		e.freeAttemptUsed = e.freeAttemptUsed || r.reason == ReasonBroken || r.reason == ReasonMismatch
	}
	e.start(now, upstream, r.purpose)
	return e.finish(now)
}

// NotPicked reports that ActionPick found no eligible upstream.
func (e *Exchange) NotPicked(now time.Time) []Action {
	e.begin()
	if e.phase == phaseRunning && e.recovery.picking {
		e.recovery.picking = false
		e.postpone(now)
	}
	return e.finish(now)
}

// postpone retries the search after a backoff until its deadline, when there is
// no eligible upstream or the budget is spent. A hedge is given up, and a move is
// tried again as long as the upstream does not shut down.
func (e *Exchange) postpone(now time.Time) {
	r := &e.recovery
	switch {
	case r.purpose == PurposeHedge:
		e.recovery = recovery{}
	case r.purpose == PurposeMove:
		a := &e.attempts[r.moving]
		a.moveAt = now.Add(maxRetryBackoff / 2)
		if a.moveAt.After(a.moveDeadline) {
			a.moveAt = time.Time{}
		}
		e.recovery = recovery{}
	case !now.Before(r.deadline):
		e.fail(now, r.reason, r.cause, r.err)
	default:
		// Upstreams that failed may have recovered by the next try.
		e.exclude = e.exclude[:0]
		r.tries++
		r.at = now.Add(e.backoff(len(e.attempts), r.tries))
	}
}

// fail ends the request. Tokens that the caller has count as waste for cause,
// because they are not a whole response.
func (e *Exchange) fail(now time.Time, reason Reason, cause domain.WasteCause, err error) {
	e.cancelAll(now, cause)
	if e.emitted > 0 {
		e.push(Action{Kind: ActionWaste, Cause: cause, Tokens: e.emitted})
	}
	e.phase = phaseDone
	e.push(Action{Kind: ActionFail, Outcome: e.outcome(), Reason: reason, Err: err, Tokens: e.emitted})
}

func (e *Exchange) anyRunning() bool {
	for i := range e.attempts {
		if !e.attempts[i].ended {
			return true
		}
	}
	return false
}

// backoff returns the delay before try number tries. It doubles from 25 ms up to
// 1 s, and half of it is jitter from a hash of the request ID, so that requests
// that failed together are not retried at the same time.
func (e *Exchange) backoff(n, tries int) time.Duration {
	d := min(minRetryBackoff<<min(tries, 10), maxRetryBackoff)
	h := xxhash.Sum64String(string(e.cfg.Request)) + uint64(n*31+tries)*0x9e3779b97f4a7c15
	h ^= h >> 29
	return d/2 + time.Duration(h%uint64(d/2+1))
}
