package exchange

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// wake returns when Tick has something to do. Zero means never.
func (e *Exchange) wake() time.Time {
	at := e.cfg.Deadline
	if e.phase != phaseRunning {
		return at
	}
	at = earlier(at, e.hedgeAt)
	if e.recovery.active && !e.recovery.picking {
		at = earlier(at, e.recovery.at)
	}
	for i := range e.attempts {
		if a := &e.attempts[i]; !a.over {
			at = earlier(at, e.attemptWake(a))
		}
	}
	return at
}

func (e *Exchange) attemptWake(a *attempt) time.Time {
	at := a.moveAt
	switch {
	case !a.resumeAt.IsZero():
		return earlier(at, a.resumeAt)
	case a.probing:
		return earlier(at, a.probeBy)
	default:
		return earlier(at, a.silentAt(&e.cfg))
	}
}

// due does everything that is due at now.
func (e *Exchange) due(now time.Time) {
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
		if !e.attempts[i].over {
			e.attemptDue(now, i)
		}
	}
	if e.phase != phaseRunning {
		return
	}
	if reached(e.hedgeAt, now) {
		e.hedge(now)
	}
	if r := &e.recovery; r.active && !r.picking && reached(r.at, now) {
		e.seek(now)
	}
}

func (e *Exchange) attemptDue(now time.Time, n int) {
	a := &e.attempts[n]
	switch {
	case !a.resumeAt.IsZero():
		if reached(a.resumeAt, now) {
			e.resume(now, n)
		}
	case a.probing:
		if reached(a.probeBy, now) {
			e.silent(now, n, false)
		}
	case reached(a.silentAt(&e.cfg), now):
		a.probing = true
		a.probeBy = now.Add(e.cfg.ProbeTimeout)
		e.push(Action{Kind: ActionProbe, Attempt: n, Upstream: a.upstream, Duration: e.cfg.ProbeTimeout})
	}
	if !a.over && reached(a.moveAt, now) && !e.recovery.active {
		a.moveAt = time.Time{}
		e.exclude = append(e.exclude, a.upstream)
		e.recovery = recovery{active: true, purpose: PurposeMove, moving: n}
		e.seek(now)
	}
}

// hedge races a second attempt against the running one.
func (e *Exchange) hedge(now time.Time) {
	e.hedgeAt = time.Time{}
	if e.hedged || e.events > 0 || e.recovery.active || !e.live() {
		return
	}
	e.hedged = true
	for i := range e.attempts {
		if a := &e.attempts[i]; !a.over {
			e.exclude = append(e.exclude, a.upstream)
		}
	}
	e.recovery = recovery{active: true, purpose: PurposeHedge}
	e.seek(now)
}

// Probed handles the result of the probe for attempt n; nil means that the
// upstream answered.
func (e *Exchange) Probed(now time.Time, n int, err error) []Action {
	e.begin()
	a := &e.attempts[n]
	if a.over || !a.probing {
		return e.finish(now)
	}
	e.silent(now, n, err == nil)
	return e.finish(now)
}

// silent handles a silent attempt once it is known whether its upstream
// answers on a new connection.
func (e *Exchange) silent(now time.Time, n int, answers bool) {
	a := &e.attempts[n]
	a.probing = false
	if a.last.After(a.probeBy.Add(-e.cfg.ProbeTimeout)) {
		return // an event arrived meanwhile
	}
	a.silences++
	if e.cfg.Reconnectable && a.resumes < e.cfg.MaxReconnects && (answers || !e.cfg.Repeatable) {
		e.resume(now, n)
		return
	}
	if !e.cfg.Reconnectable && (answers || (!e.cfg.Repeatable && a.silences <= e.cfg.MaxReconnects)) {
		// A plain service that answers probes is still at work. A call that
		// must not be repeated has no other chance than to wait.
		a.last = now
		return
	}
	e.abandon(now, n, ResultSilent, domain.WasteSilent)
	e.recover(now, n, ReasonSilent, domain.WasteSilent, ports.ErrStreamBroken)
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
