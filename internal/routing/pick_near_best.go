package routing

import (
	"math"
	"math/rand/v2"
)

const (
	// bandFraction and nearSeconds bound the extra cost of a candidate that is
	// near-best.
	bandFraction = 0.15
	bandSeconds  = 0.010
)

// NearBestPicker samples among the candidates near the lowest cost, with a
// weight that falls with the extra cost, so that daemons with the same view do
// not all choose the same upstream. A remote upstream is sampled only when it
// is better than each local one. Upstreams on probation get a small chance of
// their own and are not sampled otherwise, unless no other is left.
type NearBestPicker struct{}

const (
	// probeChance is the probability that a request probes an upstream on
	// probation; probeChanceUrgent is that of requests of the first tier.
	probeChance       = 0.05
	probeChanceUrgent = 0.005
)

func probeChanceFor(q *Query) float64 {
	if q.Route.Tier != nil && q.Route.Tier.Rank > 0 {
		return probeChance
	}
	return probeChanceUrgent
}

// Pick implements Picker.
func (NearBestPicker) Pick(q *Query, c []Candidate, rng *rand.Rand) (int, int) {
	best, bestLocal := math.Inf(1), math.Inf(1)
	probe := -1
	for i := range c {
		if c[i].needsProbe {
			probe = i
			continue
		}
		best = min(best, c[i].Cost)
		if !c[i].Upstream.Remote {
			bestLocal = min(bestLocal, c[i].Cost)
		}
	}
	if probe >= 0 && (math.IsInf(best, 1) || rng.Float64() < probeChanceFor(q)) {
		return probe, 1
	}
	band := bandSeconds + bandFraction*math.Abs(best)
	total, near := 0.0, 0
	for i := range c {
		if w := sampleWeight(&c[i], best, bestLocal, band); w > 0 {
			total += w
			near++
		}
	}
	point := rng.Float64() * total
	chosen := 0
	for i := range c {
		w := sampleWeight(&c[i], best, bestLocal, band)
		if w <= 0 {
			continue
		}
		chosen = i
		if point -= w; point < 0 {
			break
		}
	}
	return chosen, near
}

// sampleWeight falls linearly from 1 at the best cost to 0 past the band.
func sampleWeight(c *Candidate, best, bestLocal, band float64) float64 {
	if c.needsProbe || c.Upstream.Remote && c.Cost >= bestLocal {
		return 0
	}
	return 1 - (c.Cost-best)/(band+1e-9)
}
