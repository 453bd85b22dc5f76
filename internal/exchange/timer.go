package exchange

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// nextDue returns when Tick next has work to do. Zero means never.
func (e *Exchange) nextDue() time.Time {
	at := e.cfg.Deadline
	if e.phase != phaseRunning {
		return at
	}
	at = earlier(at, e.hedgeAt)
	if e.recovery.active && !e.recovery.picking {
		at = earlier(at, e.recovery.at)
	}
	for i := range e.attempts {
		if a := &e.attempts[i]; !a.ended {
			at = earlier(at, e.attemptNextDue(a))
		}
	}
	return at
}

func (e *Exchange) attemptNextDue(a *attempt) time.Time {
	at := a.moveAt
	switch {
	case !a.reconnectAt.IsZero():
		return earlier(at, a.reconnectAt)
	case a.probing:
		return earlier(at, a.probeDeadline)
	default:
		return earlier(at, a.silentAt(&e.cfg))
	}
}

// runDue performs all timed work that is due at now.
func (e *Exchange) runDue(now time.Time) {
	if e.phase == phaseDone {
		return
	}
	if reached(e.cfg.Deadline, now) {
		e.fail(now, ReasonDeadline, domain.WasteDeadline, nil)
		return
	}
	if e.phase != phaseRunning {
		return
	}
	for i := 0; i < len(e.attempts) && e.phase == phaseRunning; i++ {
		if !e.attempts[i].ended {
			e.runAttemptDue(now, i)
		}
	}
	if e.phase != phaseRunning {
		return
	}
	if reached(e.hedgeAt, now) {
		e.hedge(now)
	}
	if r := &e.recovery; r.active && !r.picking && reached(r.at, now) {
		e.requestPick(now)
	}
}

func (e *Exchange) runAttemptDue(now time.Time, n int) {
	a := &e.attempts[n]
	switch {
	case !a.reconnectAt.IsZero():
		if reached(a.reconnectAt, now) {
			e.reconnect(now, n)
		}
	case a.probing:
		if reached(a.probeDeadline, now) {
			e.handleSilence(now, n, false)
		}
	case reached(a.silentAt(&e.cfg), now):
		a.probing = true
		a.probeDeadline = now.Add(e.cfg.ProbeTimeout)
		e.push(Action{Kind: ActionProbe, Attempt: n, Upstream: a.upstream, Duration: e.cfg.ProbeTimeout})
	}
	if !a.ended && reached(a.moveAt, now) && !e.recovery.active {
		a.moveAt = time.Time{}
		e.exclude = append(e.exclude, a.upstream)
		e.recovery = recovery{active: true, purpose: PurposeMove, moving: n}
		e.requestPick(now)
	}
}

// hedge races a second attempt against the running one.
func (e *Exchange) hedge(now time.Time) {
	e.hedgeAt = time.Time{}
	if e.hedged || e.events > 0 || e.recovery.active || !e.anyRunning() {
		return
	}
	e.hedged = true
	for i := range e.attempts {
		if a := &e.attempts[i]; !a.ended {
			e.exclude = append(e.exclude, a.upstream)
		}
	}
	e.recovery = recovery{active: true, purpose: PurposeHedge}
	e.requestPick(now)
}

// Probed handles the result of the probe for attempt n. A nil err means that
// the upstream responded.
func (e *Exchange) Probed(now time.Time, n int, err error) []Action {
	e.begin()
	a := &e.attempts[n]
	if a.ended || !a.probing {
		return e.finish(now)
	}
	e.handleSilence(now, n, err == nil)
	return e.finish(now)
}

// handleSilence reconnects, keeps or replaces a silent attempt once it is known
// whether its upstream responds on a new connection.
func (e *Exchange) handleSilence(now time.Time, n int, responds bool) {
	a := &e.attempts[n]
	a.probing = false
	if a.silenceStart.After(a.probeDeadline.Add(-e.cfg.ProbeTimeout)) {
		return // an event arrived since the probe started
	}
	a.silences++
	if e.cfg.Reconnectable && a.reconnects < e.cfg.MaxReconnects && (responds || !e.cfg.Repeatable) {
		e.reconnect(now, n)
		return
	}
	if !e.cfg.Reconnectable && (responds || (!e.cfg.Repeatable && a.silences <= e.cfg.MaxReconnects)) {
		// A plain service that responds to probes is assumed to be processing
		// the call. A call that must not be repeated can only wait.
		a.silenceStart = now
		return
	}
	e.cancelAttempt(now, n, ResultSilent, domain.WasteSilent)
	e.startRecovery(now, n, ReasonSilent, domain.WasteSilent, ports.ErrStreamBroken)
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func reached(at, now time.Time) bool {
	return !at.IsZero() && !at.After(now)
}
