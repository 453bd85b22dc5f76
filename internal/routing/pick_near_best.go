package routing

import (
	"math"
	"math/rand/v2"
)

const (
	// A candidate is near-best if its cost exceeds the lowest cost by less than
	// bandSeconds plus bandFraction of the lowest cost's absolute value.
	bandFraction = 0.15
	bandSeconds  = 0.010
)

// NearBestPicker samples among the candidates near the lowest cost. The weight
// falls with the extra cost. Sampling keeps daemons with the same information
// from all picking the same upstream. A remote upstream is sampled only if its
// cost is lower than that of every local one. An upstream on probation is not
// sampled; it is probed with a small probability, or if no other candidate is
// left.
type NearBestPicker struct{}

const (
	// probeChance is the probability that a request probes an upstream on
	// probation, probeChanceUrgent that of a request of the first tier.
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

// sampleWeight falls linearly from 1 at the lowest cost to 0 at the end of the
// band. It is 0 or less for candidates that are not sampled.
func sampleWeight(c *Candidate, best, bestLocal, band float64) float64 {
	if c.needsProbe || c.Upstream.Remote && c.Cost >= bestLocal {
		return 0
	}
	return 1 - (c.Cost-best)/(band+1e-9)
}
