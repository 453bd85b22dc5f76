package routing

import (
	"math"
	"time"

	"github.com/auburndyke/auburndyke/internal/policy"
)

const (
	// urgentHeadroom is the fraction of slots kept free for tiers that preempt.
	// Without it less urgent work fills all slots, and urgent requests wait for
	// a slot to turn over at an engine that other daemons have filled.
	urgentHeadroom = 0.15
	// urgentMemory is how long after the last urgent request slots are kept.
	urgentMemory = 30 * time.Second
)

// Headroom returns the fraction of slots that requests of a route leave free,
// for Request.Headroom. It is zero for tiers that preempt, for tiers without a
// more urgent one that preempts, while no such tier had traffic lately, and
// when owed is true: work that is owed its minimum share (admission.Request's
// Owed) must not wait for slots that are never given to it.
func (r *Router) Headroom(now time.Time, route *policy.Route, owed bool) float64 {
	if route.Tier == nil {
		return 0
	}
	if route.Tier.Preempts {
		r.urgentAt.Store(now.UnixNano())
		return 0
	}
	tiers := r.table.Load().Policy.Tiers
	for _, t := range tiers[:min(route.Tier.Rank, len(tiers))] {
		if t.Preempts {
			if owed || now.UnixNano()-r.urgentAt.Load() > int64(urgentMemory) {
				return 0
			}
			return urgentHeadroom
		}
	}
	return 0
}

// goldenRatio spreads the multiples of its fraction evenly over 0 to 1.
const goldenRatio = 0.6180339887498949

// reserved is a fraction of the slots as a whole number. It is rounded up on
// some upstreams and down on others, so that the fraction holds on average for
// upstreams with few slots too.
func (u *Upstream) reserved(fraction float64) int {
	_, offset := math.Modf(float64(u.Index) * goldenRatio)
	return int(fraction*float64(u.Slots) + offset)
}
