package routing

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/splitmix"
)

// Subset returns the upstreams that daemon self uses, in ascending order. Each
// daemon uses about size of them. The result does not depend on the order of
// daemons and upstreams. A size of zero or less, or of at least the number of
// upstreams, means all of them. Subset returns nil if self is not among the
// daemons.
func Subset(daemons []domain.DaemonID, upstreams []domain.UpstreamID, self domain.DaemonID, size int) []domain.UpstreamID {
	return Subsets(daemons, upstreams, size)[self]
}

// Subsets returns the subset of each daemon; see Subset.
//
// Each daemon-upstream pair has a pseudo-random weight. Pairs are taken in the
// order of their weight while the daemon has fewer than size upstreams and the
// upstream is below its quota. The quotas add up to the daemons' sizes and
// differ by at most one, so the load is even on both sides. A membership
// change moves few pairs, because weights do not change and quotas change by
// at most one at a time. Where the greedy order leaves daemons below their size,
// swaps fill them up.
func Subsets(daemons []domain.DaemonID, upstreams []domain.UpstreamID, size int) map[domain.DaemonID][]domain.UpstreamID {
	m := newMatching(daemons, upstreams, size)
	m.greedy()
	m.fillRemainder()
	out := make(map[domain.DaemonID][]domain.UpstreamID, len(m.daemons))
	for d, id := range m.daemons {
		own := make([]domain.UpstreamID, 0, m.size)
		for u, upstream := range m.upstreams {
			if m.has(d, u) {
				own = append(own, upstream)
			}
		}
		out[id] = own
	}
	return out
}

// matching is a bipartite matching of daemons and upstreams under construction.
// Throughout, d and u are indexes into daemons and upstreams.
type matching struct {
	daemons                      []domain.DaemonID
	upstreams                    []domain.UpstreamID
	size                         int
	daemonHash, upstreamHash     []uint64
	quota                        []int
	daemonDegree, upstreamDegree []int
	assigned                     []bool
}

func newMatching(daemons []domain.DaemonID, upstreams []domain.UpstreamID, size int) *matching {
	m := &matching{daemons: sortedSet(daemons), upstreams: sortedSet(upstreams)}
	if size <= 0 || size > len(m.upstreams) {
		size = len(m.upstreams)
	}
	m.size = size
	for _, d := range m.daemons {
		m.daemonHash = append(m.daemonHash, xxhash.Sum64String(string(d)))
	}
	for _, u := range m.upstreams {
		m.upstreamHash = append(m.upstreamHash, xxhash.Sum64String(string(u)))
	}
	m.daemonDegree = make([]int, len(m.daemons))
	m.upstreamDegree = make([]int, len(m.upstreams))
	m.assigned = make([]bool, len(m.daemons)*len(m.upstreams))
	m.setQuotas()
	return m
}

func sortedSet[T cmp.Ordered](ids []T) []T {
	s := slices.Clone(ids)
	slices.Sort(s)
	return slices.Compact(s)
}

// setQuotas splits the total of all subset sizes evenly among the upstreams. The
// upstreams with the lowest hashes get the remainder.
func (m *matching) setQuotas() {
	n := len(m.upstreams)
	m.quota = make([]int, n)
	if n == 0 {
		return
	}
	total := len(m.daemons) * m.size
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(m.upstreamHash[a], m.upstreamHash[b]) })
	for rank, u := range order {
		m.quota[u] = total / n
		if rank < total%n {
			m.quota[u]++
		}
	}
}

func (m *matching) has(d, u int) bool { return m.assigned[d*len(m.upstreams)+u] }

func (m *matching) set(d, u int, on bool) {
	m.assigned[d*len(m.upstreams)+u] = on
	step := 1
	if !on {
		step = -1
	}
	m.daemonDegree[d] += step
	m.upstreamDegree[u] += step
}

// weight returns the pseudo-random weight of a pair. Lower weights are taken
// first.
func (m *matching) weight(d, u int) uint64 {
	return splitmix.Finalize(m.daemonHash[d] ^ (m.upstreamHash[u]*0x9e3779b97f4a7c15 + 0x632be59bd9b4e019))
}

// greedy takes pairs in the order of their weight. Because only few of all pairs
// are ever taken, it sorts one range of weights at a time, each as wide as all
// before it, and skips pairs whose daemon or upstream is full.
func (m *matching) greedy() {
	if len(m.assigned) == 0 {
		return
	}
	total := float64(len(m.daemons) * m.size)
	fraction := min(firstRangeFactor*total/float64(len(m.assigned)), 1)
	var batch []pair
	for low := uint64(0); ; {
		high := uint64(math.MaxUint64)
		if fraction < 1 {
			high = uint64(fraction * math.MaxUint64)
		}
		batch = m.openPairs(batch[:0], low, high)
		for _, p := range batch {
			if m.daemonDegree[p.d] < m.size && m.upstreamDegree[p.u] < m.quota[p.u] {
				m.set(int(p.d), int(p.u), true)
			}
		}
		if fraction >= 1 {
			return
		}
		low, fraction = high+1, fraction*2
	}
}

// firstRangeFactor is the expected number of pairs in the first sorted range, as
// a multiple of the number of pairs to take.
const firstRangeFactor = 2.0

type pair struct {
	weight uint64
	d, u   int32
}

// openPairs appends the pairs with a weight from low to high whose daemon is
// below its size and whose upstream is below its quota, in the order of their
// weight.
func (m *matching) openPairs(out []pair, low, high uint64) []pair {
	for d := range m.daemons {
		if m.daemonDegree[d] >= m.size {
			continue
		}
		for u := range m.upstreams {
			if m.upstreamDegree[u] >= m.quota[u] {
				continue
			}
			if w := m.weight(d, u); w >= low && w <= high {
				out = append(out, pair{w, int32(d), int32(u)})
			}
		}
	}
	slices.SortFunc(out, func(a, b pair) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.d, b.d), cmp.Compare(a.u, b.u))
	})
	return out
}

// fillRemainder fills daemons that the greedy order left below their size. If
// such a daemon d is already paired with every upstream u below its quota, another
// pair (e, v) is replaced by (d, v) and (e, u), where (d, v) has the lowest
// weight.
func (m *matching) fillRemainder() {
	for d := range m.daemons {
		for m.daemonDegree[d] < m.size && m.assignOne(d) {
		}
	}
}

// assignOne adds one upstream to daemon d and reports whether it could.
func (m *matching) assignOne(d int) bool {
	for u := range m.upstreams {
		if m.upstreamDegree[u] >= m.quota[u] {
			continue
		}
		if !m.has(d, u) {
			m.set(d, u, true)
			return true
		}
		if e, v, ok := m.findSwap(d, u); ok {
			m.set(e, v, false)
			m.set(d, v, true)
			m.set(e, u, true)
			return true
		}
	}
	return false
}

// findSwap returns the pair (e, v) to replace by (d, v) and (e, u).
func (m *matching) findSwap(d, u int) (e, v int, ok bool) {
	best := uint64(math.MaxUint64)
	for candidate := range m.upstreams {
		if m.has(d, candidate) || m.weight(d, candidate) >= best {
			continue
		}
		for holder := range m.daemons {
			if m.has(holder, candidate) && !m.has(holder, u) {
				best, e, v, ok = m.weight(d, candidate), holder, candidate, true
				break
			}
		}
	}
	return e, v, ok
}
