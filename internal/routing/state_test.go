package routing

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// Guards against races of Acquire and Release by which more slots are in use than
// the limit allows, or a slot is freed twice.
func TestSlotLimitUnderConcurrentUse(t *testing.T) {
	const slots = 5
	s := NewState(start, &policy.Upstream{Slots: slots})
	var inUse, peak, acquired atomic.Int64
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 3000 {
				slot := s.Acquire(start, slots, 10, 0)
				if slot == nil {
					continue
				}
				acquired.Add(1)
				n := inUse.Add(1)
				for old := peak.Load(); n > old && !peak.CompareAndSwap(old, n); old = peak.Load() {
				}
				inUse.Add(-1)
				var releases sync.WaitGroup
				var effective atomic.Int32
				for range 2 {
					releases.Go(func() {
						if slot.Release(start, ResultOK) {
							effective.Add(1)
						}
					})
				}
				releases.Wait()
				assert.Check(t, effective.Load() == 1)
			}
		})
	}
	group.Wait()
	assert.Assert(t, acquired.Load() > 0 && peak.Load() <= slots)
	assert.Equal(t, s.InFlight(), 0)
	assert.Equal(t, s.Estimate.OwnActiveTokens(), int64(0))
}

// Guards against daemons that together exceed the reported free slots by more
// than their shares and one slot each, and against borrowing on a load report
// that has reached its max age.
func TestBorrowingIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sharers := rapid.IntRange(1, 8).Draw(t, "sharers")
		slots := rapid.IntRange(1, 32).Draw(t, "slots")
		u := &policy.Upstream{Slots: slots}
		share := slots / sharers
		states := make([]*State, sharers)
		for i := range states {
			states[i] = NewState(start, u)
		}
		now := start
		for range rapid.IntRange(1, 5).Draw(t, "reports") {
			now = now.Add(time.Second)
			total := 0
			for _, s := range states {
				total += s.InFlight()
			}
			for _, s := range states {
				s.Report(now, ports.LoadReport{Running: min(total, slots), Queued: max(total-slots, 0)}, sharers)
			}
			for _, s := range states {
				for range rapid.IntRange(0, slots).Draw(t, "wanted") {
					s.Acquire(now, share, 1, 0)
				}
				assert.Assert(t, s.InFlight() <= slots)
			}
			after := 0
			for _, s := range states {
				after += s.InFlight()
			}
			assert.Assert(t, after <= max(slots, total)+sharers+share*sharers)
		}
		s := NewState(start, u)
		s.Report(start, ports.LoadReport{}, sharers)
		later := start.Add(borrowMaxAge)
		for range slots {
			s.Acquire(later, share, 1, 0)
		}
		assert.Equal(t, s.InFlight(), max(share, 1))
	})
}

// Guards against a new upstream that gets its whole share at once, and against
// state that a new configuration loses or assigns to another upstream because
// the order of the upstreams changed.
func TestNewTableKeepsStateAndSlowStarts(t *testing.T) {
	p, route := testPolicy(2, 100)
	old := NewTable(start, nil, p, Site{Region: "a"})
	next, _ := testPolicy(3, 100)
	next.Upstreams[0], next.Upstreams[2] = next.Upstreams[2], next.Upstreams[0]
	table := NewTable(start, old, next, Site{Region: "a", Leaving: map[domain.UpstreamID]bool{"u1": true}})
	assert.Assert(t, table.State("u0") == old.State("u0"))
	fresh := table.State("u2")
	assert.Equal(t, fresh.limit(start.Add(slowStartPeriod/10), 100), int64(10))
	assert.Equal(t, fresh.limit(start.Add(slowStartPeriod), 100), int64(100))

	// The indexes in a route of the old policy must not be used as indexes in the
	// new one.
	r := NewRouter(table)
	q := &Request{Route: route, Policy: p, Model: "m", DryRun: true}
	for range 50 {
		c, ok := r.Pick(start, q, newRNG())
		assert.Assert(t, ok && c.ID == "u0", "u1 has left and u2 is not in the route")
	}
}

// Guards against cache events that are lost or applied out of order, against
// expectations of cached tokens that stay high when they keep being wrong, and
// against a repeated prompt that is not sent to the upstream that has its
// prefix.
func TestPrefixSet(t *testing.T) {
	prompt := make([]byte, 3*PrefixBlockBytes+10)
	prompt[2*PrefixBlockBytes] = 1
	hashes := PrefixHashes(nil, prompt)
	assert.Equal(t, len(hashes), 3)
	var p PrefixSet
	p.Apply(ports.CacheEvent{Seq: 1, Prefix: hashes[0], Stored: true})
	p.Apply(ports.CacheEvent{Seq: 5, Prefix: hashes[1], Stored: true})
	assert.Equal(t, p.Match(hashes), 2)
	p.Apply(ports.CacheEvent{Seq: 4, Prefix: hashes[1]})
	assert.Equal(t, p.Match(hashes), 2, "an older event must not undo a newer one")
	p.Apply(ports.CacheEvent{Seq: 6, Prefix: hashes[0]})
	assert.Equal(t, p.Match(hashes), 0)
	for range 100 {
		p.Observe(512, 0)
	}
	assert.Assert(t, p.HitRate() < 0.05)

	r, q := testRouter(9, 100)
	q.Prefix, q.PromptTokens = hashes, 2000
	rng := newRNG()
	first, _ := r.Pick(start, q, rng)
	first.Slot.Release(start, ResultOK)
	second, _ := r.Pick(start, q, rng)
	assert.Equal(t, second.ID, first.ID)
	assert.Equal(t, second.CachedTokens, 3*PrefixBlockTokens)
}
