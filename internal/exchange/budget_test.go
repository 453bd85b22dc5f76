package exchange

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/ports"
)

// TestBudgetBoundsRetries guards against a retry storm: concurrent requests
// must not draw more than their share together, also when slots are reused.
func TestBudgetBoundsRetries(t *testing.T) {
	b := NewBudget(0.2, 3)
	now := time.Unix(1_000_000, 0)
	for round := range 3 {
		now = now.Add(budgetSlots * budgetSlot * time.Duration(round+1))
		for i := range 1000 {
			b.Deposit(now.Add(time.Duration(i) * 9 * time.Millisecond))
		}
		end := now.Add(9 * time.Second)
		var granted atomic.Int64
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() {
				for range 100 {
					if b.Withdraw(end) {
						granted.Add(1)
					}
				}
			})
		}
		wg.Wait()
		assert.Assert(t, granted.Load() <= 203, "granted %d", granted.Load())
		for b.Withdraw(end) {
			granted.Add(1)
		}
		assert.Equal(t, granted.Load(), int64(203))
		assert.Equal(t, b.Remaining(end), 0)
	}
	assert.Equal(t, b.Remaining(now.Add(time.Minute)), 3)
}

// BenchmarkEvent measures the state machine per token event.
func BenchmarkEvent(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	e := New(Config{Request: "r", Repeatable: true, Resumable: true}, nil)
	e.Admitted(now, "u")
	ev := ports.Event{Attempt: "r.0", Text: "word ", Tokens: 1}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(20 * time.Millisecond)
		e.Event(now, 0, 0, &ev)
		ev.Index++
		if len(e.text) > 1<<16 {
			e.text = e.text[:0]
		}
	}
}

// BenchmarkRunner measures reading, deciding and emitting per token event.
func BenchmarkRunner(b *testing.B) {
	b.ReportAllocs()
	r := NewRunner(RunnerConfig{
		Config:  Config{Request: "r", Repeatable: true, Resumable: true},
		Emitter: discard{},
	})
	outcome := r.Run(b.Context(), Assignment{Upstream: "u", Engine: &fastEngine{total: b.N}})
	assert.Assert(b, outcome.Complete)
}

type discard struct{}

func (discard) Emit(*ports.Event) error { return nil }
