package routing

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/auburndyke/auburndyke/internal/domain"
)

type subsets map[domain.DaemonID][]domain.UpstreamID

type subsetMethod func(d []domain.DaemonID, u []domain.UpstreamID, size int) subsets

// rendezvous gives each daemon the upstreams with the lowest weights.
func rendezvous(d []domain.DaemonID, u []domain.UpstreamID, size int) subsets {
	out := subsets{}
	m := newMatching(d, u, size)
	for i, id := range m.daemons {
		order := make([]int, len(u))
		for k := range order {
			order[k] = k
		}
		slices.SortFunc(order, func(a, b int) int { return cmp.Compare(m.weight(i, a), m.weight(i, b)) })
		for _, k := range order[:size] {
			out[id] = append(out[id], m.upstreams[k])
		}
	}
	return out
}

// aperture places daemons and upstreams evenly on a ring. Each daemon takes the
// next size upstreams from its position.
func aperture(d []domain.DaemonID, u []domain.UpstreamID, size int) subsets {
	ring := slices.Clone(u)
	slices.SortFunc(ring, func(a, b domain.UpstreamID) int {
		return cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
	})
	out := subsets{}
	for i, id := range d {
		from := i * len(u) / len(d)
		for k := range size {
			out[id] = append(out[id], ring[(from+k)%len(u)])
		}
	}
	return out
}

// shuffledRounds assigns the upstreams in rounds. Each round shuffles them and
// splits them among as many daemons as they suffice for.
func shuffledRounds(d []domain.DaemonID, u []domain.UpstreamID, size int) subsets {
	out := subsets{}
	perRound := max(len(u)/size, 1)
	for i, id := range d {
		own := slices.Clone(u)
		rng := rand.New(rand.NewPCG(uint64(i/perRound), 7))
		rng.Shuffle(len(own), func(a, b int) { own[a], own[b] = own[b], own[a] })
		out[id] = own[i%perRound*size:][:size]
	}
	return out
}

// boundedRing is consistent hashing with bounded loads: each daemon walks the
// ring from size hashed points and skips upstreams that are full.
func boundedRing(d []domain.DaemonID, u []domain.UpstreamID, size int) subsets {
	ring := slices.Clone(u)
	hash := func(s string) uint64 { return xxhash.Sum64String(s) }
	slices.SortFunc(ring, func(a, b domain.UpstreamID) int { return cmp.Compare(hash(string(a)), hash(string(b))) })
	points := make([]uint64, len(ring))
	for i, v := range ring {
		points[i] = hash(string(v))
	}
	limit := (len(d)*size*5/4 + len(u) - 1) / len(u)
	load := map[domain.UpstreamID]int{}
	out := subsets{}
	for _, id := range d {
		for k := range size {
			point := hash(fmt.Sprint(id, "#", k))
			at, _ := slices.BinarySearch(points, point)
			for n := range len(ring) {
				v := ring[(at+n)%len(ring)]
				if load[v] < limit && !slices.Contains(out[id], v) {
					load[v]++
					out[id] = append(out[id], v)
					break
				}
			}
		}
	}
	return out
}

func greedyMatching(d []domain.DaemonID, u []domain.UpstreamID, size int) subsets {
	return Subsets(d, u, size)
}

func testIDs(daemons, upstreams int) (d []domain.DaemonID, u []domain.UpstreamID) {
	for i := range daemons {
		d = append(d, domain.DaemonID(fmt.Sprintf("daemon-%04d", i)))
	}
	for i := range upstreams {
		u = append(u, domain.UpstreamID(fmt.Sprintf("upstream-%04d", i)))
	}
	return d, u
}

func (s subsets) loads(u []domain.UpstreamID) (least, most int, mean float64) {
	load := map[domain.UpstreamID]int{}
	total := 0
	for _, own := range s {
		for _, id := range own {
			load[id]++
			total++
		}
	}
	least = len(s)
	for _, id := range u {
		least, most = min(least, load[id]), max(most, load[id])
	}
	return least, most, float64(total) / float64(len(u))
}

// movedFraction returns the fraction of the pairs in a that are not in b. Pairs of
// daemons that are not in b and of the removed upstream do not count.
func movedFraction(a, b subsets, removed domain.UpstreamID) float64 {
	changed, total := 0, 0
	for id, own := range a {
		if _, stays := b[id]; !stays {
			continue
		}
		for _, u := range own {
			if u == removed {
				continue
			}
			total++
			if !slices.Contains(b[id], u) {
				changed++
			}
		}
	}
	return float64(changed) / float64(total)
}

type subsetStats struct {
	least, most                           int
	maxToMean, daemonMoved, upstreamMoved float64
}

func measure(method subsetMethod, daemons, upstreams, size int) subsetStats {
	d, u := testIDs(daemons, upstreams)
	base := method(d, u, size)
	least, most, mean := base.loads(u)
	fewerDaemons := slices.Delete(slices.Clone(d), daemons/3, daemons/3+1)
	fewerUpstreams := slices.Delete(slices.Clone(u), upstreams/3, upstreams/3+1)
	return subsetStats{
		least, most, float64(most) / mean,
		movedFraction(base, method(fewerDaemons, u, size), ""),
		movedFraction(base, method(d, fewerUpstreams, size), u[upstreams/3]),
	}
}

// Guards against subsets that are uneven across upstreams, and against a
// membership change that reassigns most pairs.
func TestMembershipChangeMovesFewPairs(t *testing.T) {
	for _, n := range subsetCases {
		stats := measure(greedyMatching, n.d, n.u, n.size)
		assert.Assert(t, stats.most-stats.least <= 1)
		assert.Assert(t, stats.daemonMoved < n.maxMoved && stats.upstreamMoved < n.maxMoved, "%+v", stats)
	}
}

// With 8 daemons, removing one changes an eighth of the quotas.
var subsetCases = []struct {
	d, u, size int
	maxMoved   float64
}{{8, 25, 10, 0.125}, {330, 2500, 32, 0.025}}

// Compares subset methods. least and max/mean are of the daemons per upstream,
// moved-daemon and moved-upstream are the fraction of the remaining pairs that
// change when one daemon or one upstream is removed.
func BenchmarkSubsetMethods(b *testing.B) {
	methods := []struct {
		name string
		run  subsetMethod
	}{
		{"rendezvous", rendezvous},
		{"aperture", aperture},
		{"shuffles", shuffledRounds},
		{"bounded_ring", boundedRing},
		{"matched", greedyMatching},
	}
	for _, n := range subsetCases {
		for _, m := range methods {
			b.Run(fmt.Sprintf("%dx%d/%s", n.d, n.u, m.name), func(b *testing.B) {
				d, u := testIDs(n.d, n.u)
				for b.Loop() {
					m.run(d, u, n.size)
				}
				stats := measure(m.run, n.d, n.u, n.size)
				b.ReportMetric(float64(stats.least), "least")
				b.ReportMetric(stats.maxToMean, "max/mean")
				b.ReportMetric(stats.daemonMoved, "moved-daemon")
				b.ReportMetric(stats.upstreamMoved, "moved-upstream")
			})
		}
	}
}

// Guards against numbers of daemons, upstreams and subset sizes for which the
// subsets are uneven or incomplete, and against results that depend on the order
// of the arguments.
func TestSubsetsAreBalanced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 20).Draw(t, "daemons")
		upstreams := rapid.IntRange(1, 40).Draw(t, "upstreams")
		size := rapid.IntRange(1, upstreams).Draw(t, "size")
		d, u := testIDs(daemons, upstreams)
		s := subsets(Subsets(d, u, size))
		least, most, _ := s.loads(u)
		assert.Assert(t, most-least <= 1)
		for _, own := range s {
			assert.Equal(t, len(own), size)
		}
		slices.Reverse(u)
		assert.DeepEqual(t, Subset(d, u, d[0], size), s[d[0]])
	})
}
