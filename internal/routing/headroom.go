package routing

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/internal/policy"
)

const (
	// initialHeadroom is the fraction of slots kept free for tiers that preempt
	// before any of their requests was judged. Without it less urgent work fills
	// all slots, and urgent requests wait for a slot to turn over at an engine
	// that other daemons have filled.
	initialHeadroom = 0.15
	// maxHeadroom bounds the adapted fraction, minHeadroom keeps it from
	// vanishing between bursts.
	maxHeadroom = 0.4
	minHeadroom = 0.02
	// headroomGain is the step of the adaptation: a miss adds the gain times the
	// wanted attainment, a hit takes the gain times the rest.
	headroomGain = 0.02
	// defaultAttainment is wanted where the service level states none.
	defaultAttainment = 0.95
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
			return r.headroom.load()
		}
	}
	return 0
}

// RecordTarget adapts the headroom to whether a request of a tier that preempts
// met its first-token target. The steps balance at the attainment that the
// service level wants, so the headroom settles where just enough slots are kept
// free. Other requests have no effect.
func (r *Router) RecordTarget(route *policy.Route, met bool) {
	if route.Tier == nil || !route.Tier.Preempts {
		return
	}
	wanted := defaultAttainment
	if route.Level != nil && route.Level.Attainment > 0 {
		wanted = route.Level.Attainment
	}
	step := headroomGain * wanted
	if met {
		step = -headroomGain * (1 - wanted)
	}
	r.headroom.add(step)
}

// headroom is an adapted fraction of slots. Its zero value is initialHeadroom.
type headroom struct{ offset atomic.Uint64 }

func (h *headroom) load() float64 {
	return initialHeadroom + math.Float64frombits(h.offset.Load())
}

func (h *headroom) add(step float64) {
	for {
		old := h.offset.Load()
		next := initialHeadroom + math.Float64frombits(old) + step
		next = min(max(next, minHeadroom), maxHeadroom)
		if h.offset.CompareAndSwap(old, math.Float64bits(next-initialHeadroom)) {
			return
		}
	}
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
