package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// Guards against less urgent work in the slots kept for urgent work, against
// slots kept without urgent traffic, and against work that is owed its minimum
// share but never placed.
func TestHeadroom(t *testing.T) {
	r, q := testRouter(10, 8)
	r.Table().Policy.Tiers = []policy.Tier{{Preempts: true}, {Rank: 1}}
	urgent, other := *q.Route, *q.Route
	urgent.Tier, other.Tier = &r.Table().Policy.Tiers[0], &r.Table().Policy.Tiers[1]
	assert.Equal(t, r.Headroom(start, &other, false), 0.0)
	assert.Equal(t, r.Headroom(start, &urgent, false), 0.0)
	assert.Equal(t, r.Headroom(start, &other, false), initialHeadroom)
	assert.Equal(t, r.Headroom(start, &other, true), 0.0)
	assert.Equal(t, r.Headroom(start.Add(urgentMemory+1), &other, false), 0.0)

	for _, u := range r.Table().Members() {
		u.State.Report(start, ports.LoadReport{}, 1)
	}
	fill := func(headroom float64) (n int) {
		q.Headroom = headroom
		for {
			if _, ok := r.Pick(start, q, newRNG()); !ok {
				return n
			}
			n++
		}
	}
	kept := int(initialHeadroom * 10 * 8)
	first := fill(initialHeadroom)
	assert.Assert(t, first >= 80-kept-2 && first <= 80-kept+2, "filled %d", first)
	assert.Equal(t, first+fill(0), 80)
}

// Guards against a headroom that does not settle where the wanted attainment
// is reached.
func TestHeadroomFollowsAttainment(t *testing.T) {
	r, q := testRouter(1, 8)
	route := *q.Route
	route.Tier = &policy.Tier{Preempts: true}
	rng := newRNG()
	sum := 0.0
	const rounds = 20_000
	for range rounds {
		ok := rng.Float64() < min(0.7+r.headroom.load(), 1) // 0.95 at 0.25
		sum += r.headroom.load()
		r.RecordTarget(&route, ok)
	}
	assert.Assert(t, sum/rounds > 0.22 && sum/rounds < 0.28, "mean headroom %v", sum/rounds)
	for range 10_000 {
		r.RecordTarget(&route, true)
	}
	assert.Assert(t, r.headroom.load() < minHeadroom+1e-9)
}
