package engine

import (
	"container/heap"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// displaces reports whether a would preempt a running attempt.
func (e *Engine) displaces(a *attempt) bool {
	victim := e.victim()
	return e.cfg.Preempt && victim >= 0 && a.priority < e.running[victim].priority
}

// victim returns the index of the least urgent, latest running attempt.
func (e *Engine) victim() int {
	worst := -1
	for i, a := range e.running {
		if worst < 0 || e.running[worst].before(a) {
			worst = i
		}
	}
	return worst
}

// admitLocked moves attempts from the queue to the batch.
func (e *Engine) admitLocked(now time.Time) {
	for len(e.queue) > 0 {
		if len(e.running) >= e.cfg.Slots && !e.preemptLocked() {
			return
		}
		a := heap.Pop(&e.queue).(*attempt)
		e.prefillLocked(a, now)
		e.running = append(e.running, a)
	}
}

func (e *Engine) preemptLocked() bool {
	if !e.displaces(e.queue[0]) {
		return false
	}
	i := e.victim()
	victim := e.running[i]
	e.running = append(e.running[:i], e.running[i+1:]...)
	victim.entry.State = StateQueued
	victim.entry.Preempted++
	heap.Push(&e.queue, victim)
	return true
}

func (e *Engine) prefillLocked(a *attempt, now time.Time) {
	prefixes := Prefixes(a.prompt, e.cfg.BlockBytes)
	hits := e.cache.use(prefixes, now)
	a.cached = min(max(hits*e.cfg.BlockBytes/promptBytesPerToken, e.imported[a.id]), a.promptTokens)
	a.entry.CachedTokens = a.cached
	// A preempted attempt computes its generated tokens' KV cache again.
	uncached := a.promptTokens - a.cached + a.produced
	e.ledger.prefill += uncached
	a.readyAt = now.Add(e.scale(time.Duration(uncached) * e.cfg.PrefillPerToken))
	a.entry.State = StateRunning
	if a.entry.Started.IsZero() {
		a.entry.Started = now
	}
}

// scale converts a simulated time to the engine's present speed.
func (e *Engine) scale(d time.Duration) time.Duration {
	factor := 1 / e.cfg.Speed
	if s := e.Faults().Straggle; s > 0 {
		factor *= s
	}
	return time.Duration(float64(d) * factor)
}

// maxCatchUp bounds how many token intervals the loop makes up after the
// process was held up.
const maxCatchUp = 100 * time.Millisecond

// loop produces tokens while there is work.
func (e *Engine) loop(incarnation domain.Incarnation) {
	due := time.Now()
	for {
		e.mu.Lock()
		if e.incarnation != incarnation || len(e.running) == 0 {
			if e.incarnation != incarnation && len(e.running) > 0 {
				go e.loop(e.incarnation)
			} else {
				e.looping = false
			}
			e.mu.Unlock()
			return
		}
		interval := e.scale(e.cfg.BaseInterval + e.cfg.IntervalSlope*time.Duration(len(e.running)))
		e.mu.Unlock()
		due = due.Add(interval)
		wait := time.Until(due)
		if wait < -maxCatchUp {
			due = time.Now()
		}
		if wait > 0 {
			select {
			case <-time.After(wait):
			case <-e.stop:
			}
		}
		e.mu.Lock()
		if e.incarnation == incarnation {
			e.stepLocked()
		}
		e.mu.Unlock()
	}
}

// stepLocked produces one token for each attempt whose prefill is over.
func (e *Engine) stepLocked() {
	if e.Faults().StopAnswering {
		return
	}
	// The clock may be ahead of due, and later times must not be earlier than
	// those already in the ledger.
	now := time.Now()
	batch := append([]*attempt{}, e.running...)
	for _, a := range batch {
		if now.Before(a.readyAt) {
			continue
		}
		if a.produced < a.want {
			a.produced++
			a.entry.Generated++
			e.ledger.generated++
		}
		if a.produced == a.want {
			e.endLocked(a, StateFinished)
		}
		a.notify()
	}
	e.admitLocked(now)
	e.sampleLocked(now, len(e.running) == 0)
}
