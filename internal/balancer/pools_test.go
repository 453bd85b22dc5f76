package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/inventory"
)

// mixedGapEngine describes the engines of a service with routes of a small and a large
// MaxGap.
func mixedGapEngine(string) Engine {
	return Engine{KVTokens: 400_000, ShortestGap: note(0).MaxGap, LongestGap: review(0, 0).MaxGap}
}

func newFleet(daemons int, entries []inventory.Entry) []*Balancer {
	fleet := make([]*Balancer, daemons)
	for i := range fleet {
		fleet[i] = New(Site{})
		fleet[i].Update(start, entries, mixedGapEngine)
	}
	return fleet
}

// Guards against notes that share engines with long prompts just after a start,
// because no daemon knows the work of the others yet. The load is the first 2 s of a
// day at 60 daemons and 60 engines: 150 reviews and 60 notes a second.
func TestPoolSplitAtStartup(t *testing.T) {
	const daemons, reviews, notes = 60, 300, 120
	fleet := newFleet(daemons, engines(60))
	rng := rand.New(rand.NewPCG(3, 4))
	tokensAt := make(map[domain.UpstreamID]int)
	notesAt := make(map[domain.UpstreamID]int)
	for i := range reviews + notes {
		now := start.Add(time.Duration(i) * 2 * time.Second / (reviews + notes))
		b := fleet[rng.IntN(daemons)]
		if rng.IntN(reviews+notes) < reviews {
			c := mustPick(t, b, now, review(rng.Uint64N(400), uint64(i+1000)))
			tokensAt[c.Upstream.ID] += c.UncachedTokens
			continue
		}
		c := mustPick(t, b, now, note(uint64(i+1000)))
		notesAt[c.Upstream.ID]++
	}
	colocated, all := countColocated(notesAt, tokensAt, 0)
	assert.Assert(t, all > 100)
	assert.Assert(t, colocated*4 < all, "%d of %d notes share an engine with long prompts", colocated, all)
}

// Guards against statistics that grow without bound as configurations bring new route
// names.
func TestRouteStatsAreBounded(t *testing.T) {
	b := newBalancer(engines(4))
	s := b.services["model"]
	for i := range 3 * maxRoutes {
		q := note(uint64(i))
		q.Route = fmt.Sprintf("note-%d", i)
		r := mustPick(t, b, start, q).Reservation()
		r.FirstEvent(start)
		r.Done(start, OK)
	}
	assert.Assert(t, len(s.pools.routes) <= maxRoutes && len(s.predictor.firstEvents) <= maxRoutes)
}

// Guards against a wrong pool for the first request of a daemon, which has no other
// routes to compare it with.
func TestFirstRequestIsClassified(t *testing.T) {
	for name, c := range map[string]struct {
		first       Query
		interactive bool
	}{"note": {note(1), true}, "review": {review(1, 2), false}} {
		choice := mustPick(t, newFleet(1, engines(20))[0], start, c.first)
		assert.Equal(t, choice.Interactive, c.interactive, name)
	}
	assert.Assert(t, !mustPick(t, newBalancer(engines(20)), start, note(1)).Interactive, "no route allows longer gaps")
}

// Guards against engines reserved for interactive streams where no route has a small
// MaxGap, and against an interactive pool that is kept although no such request comes.
func TestNoPoolWithoutInteractiveRoutes(t *testing.T) {
	b := newBalancer(engines(20))
	assert.Equal(t, mustPick(t, b, start, review(1, 100)).PoolSize, 0)
	b = newFleet(1, engines(20))[0]
	assert.Equal(t, mustPick(t, b, start, review(1, 100)).PoolSize, 5)
	assert.Equal(t, mustPick(t, b, start.Add(assumedPeriod), review(1, 101)).PoolSize, 0)
}
