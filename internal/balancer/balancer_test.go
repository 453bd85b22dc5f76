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

var start = time.Unix(1_800_000_000, 0)

func engines(n int) []inventory.Entry {
	out := make([]inventory.Entry, n)
	for i := range out {
		out[i].Registration = inventory.Registration{
			ID: domain.UpstreamID(fmt.Sprintf("engine-%d", i)), Service: "model", Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: 64,
		}
	}
	return out
}

func engineWithKV(tokens int) func(string) Engine {
	return func(string) Engine { return Engine{KVTokens: tokens} }
}

func newBalancer(entries []inventory.Entry) *Balancer {
	b := New(Site{})
	b.Update(start, entries, engineWithKV(400_000))
	return b
}

// review returns a request with a long shared prefix and a large MaxGap. The IDs are
// those of the shared and of the last part of its prompt.
func review(shared, last uint64) Query {
	return Query{
		Service: "model", Route: "review", MaxGap: time.Second, OutputTokens: 100,
		Prompt: NewPrompt([]Part{{ID: shared, Tokens: 13_000}, {ID: last, Tokens: 3_000}}),
	}
}

// note returns an interactive request, with a short prompt and a small MaxGap.
func note(last uint64) Query {
	return Query{
		Service: "model", Route: "note", MaxGap: 200 * time.Millisecond, OutputTokens: 170,
		Prompt: NewPrompt([]Part{{ID: 1, Tokens: 200}, {ID: last, Tokens: 1_100}}),
	}
}

func promptOf(q Query) *Prompt { return &q.Prompt }

// mustPick records the arrival of a request and picks its upstream.
func mustPick(t *testing.T, b *Balancer, now time.Time, q Query) Choice {
	t.Helper()
	b.RecordArrival(now, q)
	c, ok := b.Pick(now, q)
	assert.Assert(t, ok)
	return c
}

// Guards against daemons that send the same prompt to different engines, so that each
// engine prefills it again.
func TestDaemonsAgreeOnPreferredUpstream(t *testing.T) {
	one, other := newBalancer(engines(12)), newBalancer(engines(12))
	for shared := range uint64(50) {
		a := mustPick(t, one, start, review(shared, 1000+shared))
		a.Reservation().Done(start, OK)
		c := mustPick(t, other, start, review(shared, 2000+shared))
		c.Reservation().Done(start, OK)
		assert.Equal(t, a.Upstream.ID, c.Upstream.ID)
	}
}

// Guards against queueing all requests for a popular prompt at one engine while the
// others are idle.
func TestPopularPromptSpreads(t *testing.T) {
	b := newBalancer(engines(4))
	used := make(map[domain.UpstreamID]int)
	for i := range 60 {
		used[mustPick(t, b, start, review(1, uint64(i+10))).Upstream.ID]++
	}
	assert.Assert(t, len(used) > 1, "all requests were sent to one engine")
}

// Guards against requests to upstreams that are draining, to unlisted or superseded ones
// while another serves, to superseded ones at whose address another process has answered,
// and against no pick when only an ejected, unlisted or superseded upstream is left.
func TestEligible(t *testing.T) {
	entries := engines(3)
	entries[0].State = inventory.Draining
	entries[1].State = inventory.Unlisted
	b := newBalancer(entries)
	for i := range 20 {
		c := mustPick(t, b, start, review(uint64(i), uint64(i+100)))
		assert.Equal(t, c.Upstream.ID, entries[2].ID)
		c.Reservation().Done(start, OK)
	}
	for range failuresToEject {
		mustPick(t, b, start, review(1, 2)).Reservation().Done(start, Failed)
	}
	assert.Equal(t, mustPick(t, b, start, review(1, 2)).Upstream.ID, entries[2].ID)
	entries[2].State = inventory.Draining
	b.Update(start, entries, engineWithKV(0))
	assert.Equal(t, mustPick(t, b, start, review(1, 2)).Upstream.ID, entries[1].ID)
	entries[0].State, entries[2].State = inventory.Superseded, inventory.Superseded
	b.Update(start, entries, engineWithKV(0))
	for range 20 {
		c := mustPick(t, b, start, review(1, 2))
		assert.Equal(t, c.Upstream.ID, entries[1].ID, "a superseded upstream was picked before an unlisted one")
		c.Reservation().Done(start, OK)
	}
	entries[1].State, entries[2].State = inventory.Draining, inventory.Draining
	b.Update(start, entries, engineWithKV(0))
	c := mustPick(t, b, start, review(1, 2))
	assert.Equal(t, c.Upstream.ID, entries[0].ID)
	c.Reservation().Done(start, AddressReused)
	_, ok := b.Pick(start.Add(addressReusedEjection-1), review(1, 2))
	assert.Assert(t, !ok)
	entries[0].State = inventory.Draining
	b.Update(start, entries, engineWithKV(0))
	_, ok = b.Pick(start.Add(addressReusedEjection), review(1, 2))
	assert.Assert(t, !ok)
}

// Guards against a failed upstream that is used while a healthy one is eligible, and
// against one that stays ejected forever.
func TestFailedUpstreamIsEjectedTemporarily(t *testing.T) {
	b := newBalancer(engines(2))
	first := mustPick(t, b, start, review(1, 1))
	first.Reservation().Done(start, OK)
	preferred := first.Upstream.ID
	for range failuresToEject {
		q := review(1, 2)
		c := mustPick(t, b, start, q)
		assert.Equal(t, c.Upstream.ID, preferred)
		c.Reservation().Done(start, Failed)
	}
	other := mustPick(t, b, start, review(1, 3))
	assert.Assert(t, other.Upstream.ID != preferred)
	other.Reservation().Done(start, Abandoned)
	later := start.Add(baseEjection)
	candidates := eligible(b.services["model"].upstreams, later, nil)
	assert.Equal(t, len(candidates), 2)
}

// Guards against counting on the prefix cache of an engine that has restarted and
// lost it.
func TestRestartClearsPrefixCache(t *testing.T) {
	entries := engines(1)
	b := newBalancer(entries)
	mustPick(t, b, start, review(1, 1))
	u := b.upstreams[entries[0].ID]
	assert.Equal(t, u.cache.uncached(promptOf(review(1, 2))), 3_000)
	entries[0].Incarnation = 2
	b.Update(start, entries, engineWithKV(400_000))
	u = b.upstreams[entries[0].ID]
	assert.Equal(t, u.cache.uncached(promptOf(review(1, 2))), 16_000)
	assert.Equal(t, u.inFlight, 0)
}

// Guards against a model of a prefix cache that holds more than the engine's KV cache
// can.
func TestPrefixCacheIsBounded(t *testing.T) {
	c := prefixCache{capacity: 30_000}
	for shared := range uint64(20) {
		c.add(promptOf(review(shared, shared+100)))
		assert.Assert(t, c.used <= c.capacity)
	}
	assert.Equal(t, c.uncached(promptOf(review(0, 100))), 16_000)
	assert.Equal(t, c.uncached(promptOf(review(19, 119))), 0)
}

// Guards against interactive streams on engines that prefill long prompts, which
// delays their tokens. The load is that of a morning at 12 engines: 15 long reviews
// and 19 notes a second.
func TestInteractivePoolAvoidsLongPrompts(t *testing.T) {
	b := newBalancer(engines(12))
	rng := rand.New(rand.NewPCG(1, 2))
	now := start
	type running struct {
		c          Choice
		begin, end time.Time
	}
	var active []running
	tokensAt := make(map[domain.UpstreamID]int)
	notesAt := make(map[domain.UpstreamID]int)
	for i := range 34 * 20 {
		now = now.Add(time.Second / 34)
		// The total work at 19 notes and 15 reviews a second.
		b.SetTotalWork(now, "model", Work{Interactive: 3100, Other: 2300})
		kept := active[:0]
		for _, r := range active {
			if now.After(r.begin) {
				r.c.Reservation().FirstEvent(r.begin)
			}
			if now.After(r.end) {
				r.c.Reservation().Done(now, OK)
			} else {
				kept = append(kept, r)
			}
		}
		active = kept
		warm := now.Sub(start) > 5*time.Second
		if rng.Float64() < 15.0/34 {
			c := mustPick(t, b, now, review(rng.Uint64N(150), uint64(i+1000)))
			active = append(active, running{c, now.Add(400 * time.Millisecond), now.Add(900 * time.Millisecond)})
			if warm {
				tokensAt[c.Upstream.ID] += c.UncachedTokens
			}
			continue
		}
		c := mustPick(t, b, now, note(uint64(i+1000)))
		active = append(active, running{c, now.Add(100 * time.Millisecond), now.Add(2 * time.Second)})
		if warm {
			notesAt[c.Upstream.ID]++
		}
	}
	colocated, notes := countColocated(notesAt, tokensAt, 20_000)
	assert.Assert(t, notes > 100)
	assert.Assert(t, float64(colocated) < 0.05*float64(notes), "%d of %d notes ran on engines that prefilled long prompts", colocated, notes)
}

// countColocated returns the number of notes at engines that prefilled more than some
// number of tokens for reviews, and that of all notes.
func countColocated(notesAt, tokensAt map[domain.UpstreamID]int, above int) (colocated, all int) {
	for id, n := range notesAt {
		all += n
		if tokensAt[id] > above {
			colocated += n
		}
	}
	return colocated, all
}

// Guards against pools that differ between daemons because each sizes them by its own
// work only.
func TestPoolSizeFollowsTotalWork(t *testing.T) {
	b := newBalancer(engines(20))
	for i := range 10 {
		mustPick(t, b, start, review(uint64(i), uint64(i+100)))
		mustPick(t, b, start, note(uint64(i+200)))
	}
	b.SetTotalWork(start, "model", Work{Interactive: 250, Other: 750})
	assert.Equal(t, mustPick(t, b, start, note(999)).PoolSize, 5)
	b.SetTotalWork(start, "model", Work{Interactive: 1, Other: 1e6})
	assert.Equal(t, mustPick(t, b, start, note(999)).PoolSize, 1)
	b.SetTotalWork(start, "model", Work{Interactive: 1e6, Other: 1})
	assert.Equal(t, mustPick(t, b, start, note(999)).PoolSize, 19)
}

// Guards against an engine that refuses every request at once, reports no load and so
// attracts the requests of all daemons. The load is a burst of notes while one of 12
// engines has restarted and does not serve yet.
func TestRefusingEngineAttractsNoRequests(t *testing.T) {
	const daemons = 6
	entries := engines(12)
	var fleet []*Balancer
	for range daemons {
		b := newBalancer(entries)
		for i := range uint64(60) { // so that notes count as short prompts
			mustPick(t, b, start, review(i, i+10)).Reservation().Done(start, OK)
		}
		fleet = append(fleet, b)
	}
	bad := fleet[0].services["model"].serving[0].ID // in the pool for notes
	now, refused := start, 0
	for i := range 1200 {
		now = now.Add(5 * time.Millisecond)
		b := fleet[i%daemons]
		for _, u := range b.upstreams {
			switch {
			case i >= daemons:
			case u.ID == bad:
				b.ObserveLoad(now, u.ID, Load{Slots: 32})
			default:
				b.ObserveLoad(now, u.ID, Load{Running: 20, Waiting: 1, Slots: 32})
			}
		}
		b.SetTotalWork(now, "model", Work{Interactive: 600, Other: 600})
		c := mustPick(t, b, now, note(uint64(i+100)))
		if c.Upstream.ID == bad {
			refused++
			c.Reservation().ObserveLoad(now, Load{Slots: 32})
			c.Reservation().Done(now, Refused)
		} else {
			c.Reservation().FirstEvent(now.Add(100 * time.Millisecond))
			c.Reservation().ObserveLoad(now, Load{Running: 20, Waiting: 1, Slots: 32})
			c.Reservation().Done(now, OK)
		}
		if i%100 == 99 {
			spread := make(map[uint32]LoadReport)
			for _, b := range fleet {
				for id, r := range b.TakeReports() {
					if r.At.After(spread[id].At) {
						spread[id] = r
					}
				}
			}
			for _, b := range fleet {
				b.MergeReports(spread)
			}
		}
	}
	// Each daemon may try it again when an ejection ends: at 0, 0.5, 1.5, 3.5 s.
	assert.Assert(t, refused > 0 && refused <= daemons*5, "%d of 1200 requests were refused", refused)
}

// Guards against polling engines while no request waits, and against requests to an
// engine that is full by the load report of a peer.
func TestLoadReports(t *testing.T) {
	b := newBalancer(engines(3))
	assert.Equal(t, len(b.PollTargets(start, review(1, 1))), 0)
	preferred := mustPick(t, b, start, review(1, 1))
	for range 10 {
		b.ObserveLoad(start, preferred.Upstream.ID, Load{Running: 64, Waiting: 50})
	}
	later := start.Add(time.Second)
	targets := b.PollTargets(later, review(1, 2))
	assert.Assert(t, len(targets) > 0 && len(targets) <= polledUpstreams)
	assert.Equal(t, b.TakeReports()[b.upstreams[preferred.Upstream.ID].hash32()].Waiting, 50)
	assert.Equal(t, len(b.TakeReports()), 0)

	reports := make(map[uint32]LoadReport)
	for i := range 3 {
		id := fmt.Sprintf("engine-%d", i)
		waiting := 0
		if id == string(preferred.Upstream.ID) {
			waiting = 500
		}
		reports[b.upstreams[domain.UpstreamID(id)].hash32()] = LoadReport{Load{Waiting: waiting}, later}
	}
	b.MergeReports(reports)
	assert.Assert(t, mustPick(t, b, later, review(1, 3)).Upstream.ID != preferred.Upstream.ID)
	// A newer report of this daemon is kept over the older ones of peers.
	b.ObserveLoad(later.Add(time.Millisecond), preferred.Upstream.ID, Load{})
	b.MergeReports(reports)
	assert.Equal(t, mustPick(t, b, later.Add(time.Millisecond), review(1, 4)).Upstream.ID, preferred.Upstream.ID)
}

// Guards against filling the upstreams of a plain service one after another, and
// against requests to another region while the upstream in the own zone has free
// slots.
func TestPlainService(t *testing.T) {
	entries := engines(3)
	zones := []domain.AvailabilityZone{"near", "far", "farther"}
	for i := range entries {
		entries[i].Slots, entries[i].Zone = 6, zones[i]
	}
	b := New(Site{Zone: "near", Region: "r1", Regions: map[domain.AvailabilityZone]domain.Region{"near": "r1", "far": "r2", "farther": "r3"}})
	b.Update(start, entries, engineWithKV(0))
	used := make(map[domain.UpstreamID]int)
	for i := range 15 {
		c, ok := b.Pick(start, Query{Service: "model"})
		assert.Assert(t, ok)
		used[c.Upstream.ID]++
		if i == 0 {
			assert.Equal(t, c.Upstream.Zone, domain.AvailabilityZone("near"))
		}
	}
	for id, n := range used {
		assert.Assert(t, n <= 8, "%s has %d of 15", id, n)
	}
	assert.Equal(t, len(used), 3)
}

// Guards against a prefill of shared parts that another engine holds: when a prompt
// leaves its full preferred upstream, and when another upstream becomes the preferred
// one because it joins.
func TestFetchFromHolder(t *testing.T) {
	fetching := func(string) Engine { return Engine{KVTokens: 400_000, TokenFetchTime: 2 * time.Microsecond} }
	entries := engines(12)
	b := New(Site{})
	b.Update(start, entries[:11], fetching)
	// Before this daemon's first request, others may have sent the prompt to the
	// alternate.
	first := mustPick(t, b, start, review(1, 10))
	assert.Assert(t, first.Preferred && first.FetchFrom != "" && first.FetchFrom != first.Upstream.Address)
	for i := range 60 {
		c := mustPick(t, b, start, review(1, uint64(i+100)))
		if c.Upstream.ID == first.Upstream.ID {
			assert.Equal(t, c.FetchFrom, "")
		} else if c.FetchedTokens > 0 {
			assert.Equal(t, c.FetchedTokens, 13_000)
			assert.Equal(t, c.FetchFrom, first.Upstream.Address)
		}
	}

	b = New(Site{})
	b.Update(start, entries[:11], fetching)
	before := make(map[uint64]Choice)
	for shared := range uint64(100) {
		before[shared] = mustPick(t, b, start, review(shared, 1000+shared))
		before[shared].Reservation().Done(start, OK)
	}
	// A daemon that has not seen these prompts.
	b = New(Site{})
	b.Update(start, entries[:11], fetching)
	mustPick(t, b, start, review(1, 1)).Reservation().Done(start, OK)
	joined := start.Add(time.Minute)
	b.Update(joined, entries, fetching)
	moved := 0
	for shared := range uint64(100) {
		c := mustPick(t, b, joined, review(shared, 2000+shared))
		c.Reservation().Done(joined, OK)
		if c.Upstream.ID == before[shared].Upstream.ID {
			assert.Assert(t, c.FetchFrom != c.Upstream.Address)
			continue
		}
		moved++
		assert.Equal(t, c.Upstream.ID, entries[11].ID)
		assert.Equal(t, c.FetchFrom, before[shared].Upstream.Address)
	}
	assert.Assert(t, moved > 0)
	later := joined.Add(movedPeriod)
	for shared := range uint64(100) {
		c := mustPick(t, b, later, review(shared, 3000+shared))
		c.Reservation().Done(later, OK)
		assert.Equal(t, c.FetchFrom, "", "the engine holds the prompt by now")
	}
}

// Guards against the prefill of a popular prompt at many engines when its preferred
// upstream is full, because each daemon sends it to the engine with the fewest
// requests of its own. The load is 40 requests for one prompt at once, beside six
// other reviews of each daemon.
func TestBusyPreferredUpstreamHasOneAlternate(t *testing.T) {
	fetching := func(string) Engine { return Engine{KVTokens: 400_000, TokenFetchTime: 2 * time.Microsecond} }
	alternates := make(map[domain.UpstreamID]bool)
	for daemon := range uint64(6) {
		b := New(Site{})
		b.Update(start, engines(12), fetching)
		for shared := range uint64(6) {
			mustPick(t, b, start, review(100+10*daemon+shared, 1000+shared))
		}
		preferred := mustPick(t, b, start, review(1, 10))
		for i := range uint64(40) {
			c := mustPick(t, b, start, review(1, i+100))
			if c.Upstream.ID != preferred.Upstream.ID {
				assert.Equal(t, c.FetchFrom, preferred.Upstream.Address)
				alternates[c.Upstream.ID] = true
				break
			}
		}
	}
	assert.Equal(t, len(alternates), 1, "%v", alternates)
}

// Guards against fetches for a service whose engines have no links to fetch over.
func TestNoFetchWithoutLinks(t *testing.T) {
	b := newBalancer(engines(4))
	for i := range 60 {
		assert.Equal(t, mustPick(t, b, start, review(1, uint64(i+10))).FetchFrom, "")
	}
}

// Guards against the prefill of a prompt that another engine holds, after the
// interactive pool has grown to include the prompt's preferred upstream.
func TestFetchAcrossPools(t *testing.T) {
	b := New(Site{})
	b.Update(start, engines(12), func(string) Engine { return Engine{KVTokens: 400_000, TokenFetchTime: 2 * time.Microsecond} })
	mustPick(t, b, start, note(1)).Reservation().Done(start, OK)
	b.SetTotalWork(start, "model", Work{Interactive: 100, Other: 1100})
	before := make(map[uint64]Choice)
	for shared := range uint64(100) {
		before[shared] = mustPick(t, b, start, review(shared, 1000+shared))
		before[shared].Reservation().Done(start, OK)
	}
	later := start.Add(time.Minute)
	b.SetTotalWork(later, "model", Work{Interactive: 600, Other: 600})
	moved := 0
	for shared := range uint64(100) {
		c := mustPick(t, b, later, review(shared, 2000+shared))
		c.Reservation().Done(later, OK)
		if c.Upstream.ID != before[shared].Upstream.ID {
			moved++
			assert.Equal(t, c.FetchFrom, before[shared].Upstream.Address)
		}
	}
	assert.Assert(t, moved > 20, "%d prompts moved", moved)
}

// BenchmarkPick measures one pick at the present and the planned number of engines.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 90, 2500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			balancer := newBalancer(engines(n))
			for i := range uint64(b.N) {
				q := review(i%500, i+1000)
				balancer.RecordArrival(start, q)
				if c, ok := balancer.Pick(start, q); ok {
					c.Reservation().Done(start, OK)
				}
			}
		})
	}
}

// Guards against requests to an upstream whose address another process has, and
// against one that stays ejected forever because its registration does not lapse.
func TestReusedAddressIsEjectedTemporarily(t *testing.T) {
	entries := engines(2)
	b := newBalancer(entries)
	first := mustPick(t, b, start, review(1, 2))
	first.Reservation().Done(start, AddressReused)
	assert.Assert(t, mustPick(t, b, start.Add(addressReusedEjection-1), review(1, 2)).Upstream.ID != first.Upstream.ID)
	assert.Equal(t, mustPick(t, b, start.Add(addressReusedEjection), review(1, 2)).Upstream.ID, first.Upstream.ID)
}
