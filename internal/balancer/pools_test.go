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

// mixedGapEngine is a service of engines whose routes allow long and short pauses.
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

// Guards against chats of the first seconds that share engines with long prompts
// because no daemon knows the work of the others yet. The load is the first 2 s of
// a day at 60 daemons and 60 engines: 150 reviews and 60 notes a second.
func TestPoolSplitAtStartup(t *testing.T) {
	const daemons, reviews, notes = 60, 300, 120
	fleet := newFleet(daemons, engines(60))
	rng := rand.New(rand.NewPCG(3, 4))
	read := make(map[domain.UpstreamID]int)
	chats := make(map[domain.UpstreamID]int)
	for i := range reviews + notes {
		now := start.Add(time.Duration(i) * 2 * time.Second / (reviews + notes))
		b := fleet[rng.IntN(daemons)]
		if rng.IntN(reviews+notes) < reviews {
			c := mustPick(t, b, now, review(rng.Uint64N(400), uint64(i+1000)))
			read[c.Upstream.ID] += c.UncachedTokens
			continue
		}
		c := mustPick(t, b, now, note(uint64(i+1000)))
		chats[c.Upstream.ID]++
	}
	beside, all := countColocated(chats, read, 0)
	assert.Assert(t, all > 100)
	assert.Assert(t, beside*4 < all, "%d of %d chats share an engine with long prompts", beside, all)
}

// Guards against memory that grows with each name that a route ever had.
func TestRouteStatsAreBounded(t *testing.T) {
	b := newBalancer(engines(4))
	s := b.services["model"]
	for i := range 3 * maxRoutes {
		q := note(uint64(i))
		q.Route = fmt.Sprintf("note-%d", i)
		lease := mustPick(t, b, start, q).Reservation()
		lease.FirstEvent(start)
		lease.Done(start, OK)
	}
	assert.Assert(t, len(s.pools.routes) <= maxRoutes && len(s.predictor.firstEvents) <= maxRoutes)
}

// Guards against a daemon whose first request is a chat and that takes it for a
// long prompt, because it has seen no other, and against the reverse.
func TestFirstRequestIsClassified(t *testing.T) {
	for name, c := range map[string]struct {
		first Query
		chat  bool
	}{"note": {note(1), true}, "review": {review(1, 2), false}} {
		choice := mustPick(t, newFleet(1, engines(20))[0], start, c.first)
		assert.Equal(t, choice.Interactive, c.chat, name)
	}
	assert.Assert(t, !mustPick(t, newBalancer(engines(20)), start, note(1)).Interactive, "no route allows longer pauses")
}

// Guards against engines that are kept free for chats where no route allows only
// short pauses, and against a pool that stays although no chat comes.
func TestNoPoolWithoutInteractiveRoutes(t *testing.T) {
	b := newBalancer(engines(20))
	assert.Equal(t, mustPick(t, b, start, review(1, 100)).PoolSize, 0)
	b = newFleet(1, engines(20))[0]
	assert.Equal(t, mustPick(t, b, start, review(1, 100)).PoolSize, 5)
	assert.Equal(t, mustPick(t, b, start.Add(assumedPeriod), review(1, 101)).PoolSize, 0)
}
