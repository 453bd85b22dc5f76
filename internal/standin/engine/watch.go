package engine

import (
	"context"
	"time"
)

// watch registers a connection of an attempt. The returned channel receives
// when there may be something to send.
func (e *Engine) watch(a *attempt) chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	ch := make(chan struct{}, 1)
	a.watchers[ch] = struct{}{}
	if a.orphan != nil {
		a.orphan.Stop()
	}
	return ch
}

func (e *Engine) unwatch(a *attempt, ch chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(a.watchers, ch)
	e.startOrphanTimerLocked(a)
}

func (e *Engine) startOrphanTimerLocked(a *attempt) {
	if len(a.watchers) > 0 || a.over() {
		return
	}
	if a.orphan != nil {
		a.orphan.Stop()
	}
	a.orphan = time.AfterFunc(e.cfg.OrphanTime, func() { e.abandon(a) })
}

func (e *Engine) abandon(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(a.watchers) > 0 {
		return
	}
	e.endLocked(a, StateAbandoned)
	now := time.Now()
	e.admitLocked(now)
	e.sampleLocked(now, true)
}

// progress returns what can be sent of an attempt.
func (e *Engine) progress(a *attempt) (produced int, state State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return a.produced, a.entry.State
}

// await blocks until ch receives or ctx ends.
func await(ctx context.Context, ch chan struct{}) error {
	select {
	case <-ch:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
