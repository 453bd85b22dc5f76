package exchange

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/ports"
)

// TestBudgetBoundsRetries guards against a retry storm: concurrent withdrawals
// that together exceed the budget, or counts that are left in a bucket when it is
// reused.
func TestBudgetBoundsRetries(t *testing.T) {
	b := NewBudget(0.2, 3, 0)
	now := time.Unix(1_000_000, 0)
	for round := range 3 {
		now = now.Add(requestBuckets * bucketWidth * time.Duration(round+1))
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

// TestBudgetBoundsEverySpan guards against two bursts of retries within 10 s that
// each use the whole budget, because the window is shorter than 10 s and the
// first burst has already left it.
func TestBudgetBoundsEverySpan(t *testing.T) {
	const (
		perSecond = 100
		span      = 10 * time.Second
		floor     = 3
		limit     = 0.2*perSecond*10 + floor
	)
	for _, phase := range []time.Duration{0, 50 * time.Millisecond, 500 * time.Millisecond, 950 * time.Millisecond} {
		b := NewBudget(0.2, floor, 0)
		first := time.Unix(1_000_000, 0)
		var retries []time.Duration
		for at := time.Duration(0); at < 40*time.Second; at += 10 * time.Millisecond {
			b.Deposit(first.Add(at))
			// Engines crash every 9.05 s, and each crash uses up the budget.
			for at >= span+phase && (at-span-phase)%(9050*time.Millisecond) < 20*time.Millisecond && b.Withdraw(first.Add(at)) {
				retries = append(retries, at)
			}
		}
		assert.Assert(t, len(retries) > int(limit))
		for i, from := range retries {
			n := 0
			for _, at := range retries[i:] {
				if at-from < span {
					n++
				}
			}
			assert.Assert(t, n <= int(limit), "%d retries within 10 s from %v, phase %v", n, from, phase)
		}
	}
}

// TestBudgetRoundingKeepsFleetTotal guards against daemons that each truncate
// their allowance to whole retries, so that together they allow fewer than they
// share, or that round up and allow more: 91 daemons with 8.55 retries each
// share 778.
func TestBudgetRoundingKeepsFleetTotal(t *testing.T) {
	const daemons, floor = 91, 1.95
	now := time.Unix(1_000_000, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	granted := 0
	for range daemons {
		b := NewBudget(0.2, floor, rng.Float64())
		for range 33 {
			b.Deposit(now)
		}
		for b.Withdraw(now) {
			granted++
		}
	}
	// The standard deviation of the sum is below 5.
	assert.Assert(t, granted >= 763 && granted <= 793, "%d", granted)
}

// BenchmarkEvent measures the state machine's cost per token event.
func BenchmarkEvent(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	e := New(Config{Request: "r", Repeatable: true, Reconnectable: true}, nil)
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

// BenchmarkRunner measures the cost of reading, handling and emitting one token
// event.
func BenchmarkRunner(b *testing.B) {
	b.ReportAllocs()
	r := NewRunner(RunnerConfig{
		Config:  Config{Request: "r", Repeatable: true, Reconnectable: true},
		Emitter: discardEmitter{},
	})
	outcome := r.Run(b.Context(), Reservation{Upstream: "u", Engine: &fastEngine{total: b.N}})
	assert.Assert(b, outcome.Complete)
}

type discardEmitter struct{}

func (discardEmitter) Emit(*ports.Event) error { return nil }
