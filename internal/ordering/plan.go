package ordering

import (
	"math"
	"slices"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/httproute"
)

const (
	// burstReserve is the multiple of the demand that the existing upstreams can take. A
	// burst of that size is over before upstreams that are ordered at its start serve.
	burstReserve = 2.7
	// orderReserve is the same for upstreams in addition to those that the service had at
	// first, as a multiple of the demand that lasts. Keeping what exists for a burst costs
	// no more than without orders; ordering still more for it would, and they would serve
	// only after its end.
	orderReserve = 1.35
	// usableShare is the share of all slots that can be used at the same time, because
	// daemons distribute requests with delayed knowledge of the load.
	usableShare = 0.85
	// hysteresis is the factor by which the demand may grow after upstreams are given up
	// without any being ordered again. At 1.1, reports that vary at a constant demand had
	// upstreams ordered and given up by turns.
	hysteresis = 1.2
	// givenUpShare is the largest share of all upstreams that is given up in one step.
	givenUpShare = 0.03
	// concentration is the multiple of an even share of upstreams up to which orders go
	// to a cheaper zone first.
	concentration = 1.5
	// evenFloor is the share of an even distribution that each zone keeps, because
	// callers and their daemons are in all zones.
	evenFloor = 0.5
	// zoneReserve is the multiple of the requests at a zone's upstreams for which the
	// zone keeps capacity.
	zoneReserve = 1.5
)

// Reasons of orders.
const (
	reasonDemand   = "demand"       // the need exceeds what exists and is ordered
	reasonMinimum  = "minimum"      // the zone has fewer than its minimum
	reasonSurplus  = "surplus"      // the demand has been low for the hold time
	reasonRepeated = "not answered" // the result of the last order is not known
	reasonMissing  = "missing"      // upstreams have not come in time, or are gone
)

// zonePlan is a zone while its number of upstreams is planned.
type zonePlan struct {
	name  domain.AvailabilityZone
	price float64
	// base is the number that was ordered last, or that exists.
	base int
	// have is the number on which the plan relies: upstreams that serve, without those
	// whose removal is ordered, and those that are about to serve.
	have int
	// complete means that no upstream is missing, not even one that is about to serve.
	complete bool
	// overdue means that upstreams have been missing for longer than they take to start.
	// Such a zone gets orders of more only if no other zone can take them.
	overdue bool
	// refused means that the platform had none a moment ago.
	refused bool
	// floor is the smallest number that is left when upstreams are given up.
	floor int
	// ordered means that upstreams may be ordered in the zone: it has a price, and it is
	// known how many it has.
	ordered bool
	// desired is the result.
	desired int
	reason  string
}

// need is the number of upstreams that a demand calls for.
type need struct {
	// burst is needed for a burst, and withoutZone for the same burst when any one zone is
	// lost and all slots of the others are used. Both are limited by reference, the
	// number of upstreams that the service had without orders.
	burst, withoutZone, reference int
	// demand is needed in any case.
	demand int
}

// needOf returns the need. peak is the highest forecast of the demand and lasting the
// highest demand that lasted, both in slots.
func needOf(peak, lasting, slots float64, reference int) need {
	slots = math.Max(slots, 1)
	return need{
		burst:       int(math.Ceil(burstReserve * peak / (slots * usableShare))),
		withoutZone: int(math.Ceil(burstReserve * peak / slots)),
		reference:   reference,
		demand:      int(math.Ceil(orderReserve * lasting / (slots * usableShare))),
	}
}

// met reports whether the zones have the needed upstreams.
func (n need) met(zones []*zonePlan) bool {
	if total(zones) < n.demand {
		return false
	}
	return planned(zones) >= n.reference || n.burstMet(zones) && n.lossMet(zones)
}

func (n need) burstMet(zones []*zonePlan) bool { return total(zones) >= n.burst }

// lossMet reports whether a burst can be served without the largest zone. A single zone
// can't be replaced by others.
func (n need) lossMet(zones []*zonePlan) bool {
	return len(zones) < 2 || total(zones)-largest(zones) >= n.withoutZone
}

// planned returns how many upstreams there will be when those have returned that crashed
// a moment ago.
func planned(zones []*zonePlan) int {
	sum := 0
	for _, z := range zones {
		if z.overdue {
			sum += z.have
		} else {
			sum += z.desired
		}
	}
	return sum
}

func total(zones []*zonePlan) int {
	sum := 0
	for _, z := range zones {
		sum += z.have
	}
	return sum
}

func largest(zones []*zonePlan) int {
	most := 0
	for _, z := range zones {
		most = max(most, z.have)
	}
	return most
}

// raise orders upstreams until the need is met. It reports whether it is.
func raise(zones []*zonePlan, n need, s httproute.Scaling) bool {
	slices.SortFunc(zones, byPrice)
	for _, z := range zones {
		if z.ordered && !z.refused && z.desired < s.Min {
			z.add(s.Min-z.desired, reasonMinimum)
		}
	}
	for !n.met(zones) {
		z := pickToRaise(zones, n, s)
		if z == nil {
			return false
		}
		z.add(1, reasonDemand)
	}
	return true
}

func (z *zonePlan) add(k int, reason string) {
	z.desired += k
	z.have += k
	z.reason = reason
}

// pickToRaise returns the zone that gets the next upstream, or nil. A zone without
// enough capacity for the requests at its own upstreams comes first, then the cheapest
// one.
func pickToRaise(zones []*zonePlan, n need, s httproute.Scaling) *zonePlan {
	limit := int(math.Ceil(concentration * float64(n.burst) / float64(len(zones))))
	most := largest(zones)
	for _, fits := range []func(*zonePlan) bool{
		func(z *zonePlan) bool { return !z.overdue && z.have < z.floor },
		func(z *zonePlan) bool { return !z.overdue && z.have < limit && (!n.burstMet(zones) || z.have < most) },
		func(z *zonePlan) bool { return !z.overdue && z.have < most },
		func(z *zonePlan) bool { return !z.overdue },
		func(*zonePlan) bool { return true },
	} {
		for _, z := range zones {
			if z.ordered && !z.refused && z.desired < s.Max && fits(z) {
				return z
			}
		}
	}
	return nil
}

// lower gives up upstreams in one zone, the most expensive one that can spare any. n is
// the need that must still be met. Only one zone changes in a step.
func lower(zones []*zonePlan, n need, s httproute.Scaling) {
	slices.SortFunc(zones, byPrice)
	step := max(int(givenUpShare*float64(total(zones))), 1)
	even := int(math.Ceil(evenFloor * float64(n.burst) / float64(len(zones))))
	for _, z := range slices.Backward(zones) {
		if !z.ordered || !z.complete {
			continue
		}
		floor := max(s.Min, z.floor, even)
		for k := min(step, z.base-floor); k > 0; k-- {
			z.have, z.desired = z.have-k, z.base-k
			if n.met(zones) {
				z.reason = reasonSurplus
				return
			}
			z.have, z.desired = z.have+k, z.base
		}
	}
}
