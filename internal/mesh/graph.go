package mesh

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	// minSuccessors is the least number of ring successors that each daemon
	// connects to.
	minSuccessors = 3
	// bridgesPerPair is the number of links between two regions.
	bridgesPerPair = 2
)

// Graph returns self's neighbours in the peer graph of a roster, sorted by
// daemon. Every daemon with the same roster computes the same undirected graph.
//
// Within a region the daemons form a ring by hash. Each daemon connects to
// its next successor in every zone of the region, so that the loss of one
// zone leaves the others connected, and to at least minSuccessors in total.
// Each pair of regions has two bridges whose ends lie in different zones where
// possible.
func Graph(roster []ports.Member, self domain.DaemonID) []ports.Member {
	regions := ringsByRegion(roster)
	neighbours := map[domain.DaemonID]ports.Member{}
	for _, region := range sortedRegions(regions) {
		ring := regions[region]
		i := slices.IndexFunc(ring, func(m ports.Member) bool { return m.Daemon == self })
		if i < 0 {
			continue
		}
		addRing(neighbours, ring, i)
		addBridges(neighbours, regions, region, self)
	}
	delete(neighbours, self)
	out := make([]ports.Member, 0, len(neighbours))
	for _, m := range neighbours {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b ports.Member) int { return cmp.Compare(a.Daemon, b.Daemon) })
	return out
}

func ringsByRegion(roster []ports.Member) map[domain.Region][]ports.Member {
	regions := map[domain.Region][]ports.Member{}
	for _, m := range roster {
		regions[m.Region] = append(regions[m.Region], m)
	}
	for _, ring := range regions {
		slices.SortFunc(ring, func(a, b ports.Member) int {
			return cmp.Or(cmp.Compare(ringHash(a.Daemon), ringHash(b.Daemon)), cmp.Compare(a.Daemon, b.Daemon))
		})
	}
	return regions
}

func ringHash(id domain.DaemonID) uint64 { return xxhash.Sum64String(string(id)) }

func sortedRegions(regions map[domain.Region][]ports.Member) []domain.Region {
	out := make([]domain.Region, 0, len(regions))
	for r := range regions {
		out = append(out, r)
	}
	slices.Sort(out)
	return out
}

// addRing adds the successors of ring[i] and the daemons that it succeeds.
func addRing(neighbours map[domain.DaemonID]ports.Member, ring []ports.Member, i int) {
	zones := zoneCount(ring)
	for _, j := range successors(ring, i, zones) {
		neighbours[ring[j].Daemon] = ring[j]
	}
	for j := range ring {
		if j != i && slices.Contains(successors(ring, j, zones), i) {
			neighbours[ring[j].Daemon] = ring[j]
		}
	}
}

func zoneCount(ring []ports.Member) int {
	zones := map[domain.AvailabilityZone]struct{}{}
	for _, m := range ring {
		zones[m.Zone] = struct{}{}
	}
	return len(zones)
}

// successors returns the indices that ring[i] connects to: the next
// minSuccessors and the first of each zone.
func successors(ring []ports.Member, i, zones int) []int {
	var out []int
	seen := make([]domain.AvailabilityZone, 0, zones)
	for step := 1; step < len(ring); step++ {
		j := (i + step) % len(ring)
		isNew := !slices.Contains(seen, ring[j].Zone)
		if isNew {
			seen = append(seen, ring[j].Zone)
		}
		if isNew || step <= minSuccessors {
			out = append(out, j)
		}
		if len(seen) == zones && step >= minSuccessors {
			break
		}
	}
	return out
}

func addBridges(neighbours map[domain.DaemonID]ports.Member, regions map[domain.Region][]ports.Member, region domain.Region, self domain.DaemonID) {
	for _, other := range sortedRegions(regions) {
		if other == region {
			continue
		}
		near := bridgeEnds(regions[region], other)
		far := bridgeEnds(regions[other], region)
		for k := range max(len(near), len(far)) {
			if near[k%len(near)].Daemon == self {
				end := far[k%len(far)]
				neighbours[end.Daemon] = end
			}
		}
	}
}

// bridgeEnds picks by rendezvous hashing, so that a membership change moves a
// bridge only if it removes an end or adds a better one.
func bridgeEnds(ring []ports.Member, other domain.Region) []ports.Member {
	first := bestEnd(ring, other, func(ports.Member) bool { return true })
	ends := []ports.Member{*first}
	for len(ends) < bridgesPerPair {
		next := bestEnd(ring, other, func(m ports.Member) bool { return m.Zone != first.Zone && !isEnd(ends, m) })
		if next == nil {
			next = bestEnd(ring, other, func(m ports.Member) bool { return !isEnd(ends, m) })
		}
		if next == nil {
			break
		}
		ends = append(ends, *next)
	}
	return ends
}

func isEnd(ends []ports.Member, m ports.Member) bool {
	return slices.ContainsFunc(ends, func(e ports.Member) bool { return e.Daemon == m.Daemon })
}

func bestEnd(ring []ports.Member, other domain.Region, allowed func(ports.Member) bool) *ports.Member {
	var best *ports.Member
	var bestScore uint64
	for i := range ring {
		if !allowed(ring[i]) {
			continue
		}
		score := xxhash.Sum64String(string(ring[i].Daemon) + "\x00" + string(other))
		if best == nil || score > bestScore {
			best, bestScore = &ring[i], score
		}
	}
	return best
}
