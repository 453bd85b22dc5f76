package admission

import (
	"math"
	"time"
)

const (
	minRetryAfter     = time.Second
	maxRetryAfter     = 2 * time.Minute
	unknownRetryAfter = 10 * time.Second // without a measured dispatch rate
)

// The queue bound is cumulative: the waiting tokens of a tier and all lower
// ones stay within the sum of their QueueTokens. So a tier may use the room of
// lower tiers, but not the room of higher ones. A request larger than its bound
// is accepted when no other request counts against that bound.

// excessTokens returns by how many tokens r would exceed the tightest bound.
func (q *Queue) excessTokens(r *Request) int64 {
	excess, queued := int64(0), int64(0)
	for i := len(q.tiers) - 1; i >= 0; i-- {
		t := q.tiers[i]
		queued += t.waitingTokens
		if i > r.Rank || queued == 0 {
			continue
		}
		excess = max(excess, min(queued, queued+r.tokens()-t.cumulativeBound))
	}
	return excess
}

// makeRoom decides whether an arriving request is queued, and sheds or preempts
// others to make room for it, in this order: queued requests of lower tiers; a
// running request of a lower tier, if the tier preempts and the request can
// still meet its target; queued requests of customers of the same tier that use
// more of its queue. If that is not enough, the request itself is shed and no
// other one is.
func (q *Queue) makeRoom(now time.Time, r *Request) Decision {
	d := Decision{Action: ActionQueue, Reason: ReasonRoom, Request: r}
	excess := q.excessTokens(r)
	if excess <= 0 {
		return d
	}
	alt := &d.Alternatives
	alt.OverTokens = excess
	for _, t := range q.tiers[r.Rank+1:] {
		alt.LowerQueuedTokens += t.sheddableTokens
		alt.LowerRunning += len(t.running)
	}
	if alt.LowerQueuedTokens >= excess {
		d.Reason = ReasonDisplacedLowerTier
		q.shedLowerTiers(now, r, &d)
		return d
	}
	if victim, eligible := q.victimFor(now, Preemptor{Request: r, ShedOtherwise: true}); victim != nil {
		alt.Preemptible = eligible
		d.Reason, d.Preempt = ReasonPreemptsLowerTier, victim
		r.victim, victim.preemptor = victim, r
		q.shedLowerTiers(now, r, &d)
		return d
	}
	alt.SameTierTokens = q.heavierCustomerTokens(r)
	if alt.LowerQueuedTokens+alt.SameTierTokens >= excess {
		d.Reason = ReasonDisplacedHeaviestCustomer
		q.shedLowerTiers(now, r, &d)
		q.shedHeavierCustomers(now, r, &d)
		return d
	}
	d.Action, d.Reason = ActionShed, ReasonQueueFull
	d.RetryAfter = q.RetryAfter(now, r.Rank)
	return d
}

// shedLowerTiers sheds from the lowest tier upwards until r fits or the lower
// tiers have nothing left to shed.
func (q *Queue) shedLowerTiers(now time.Time, r *Request, d *Decision) {
	for rank := len(q.tiers) - 1; rank > r.Rank; rank-- {
		t := q.tiers[rank]
		for t.sheddableTokens > 0 && q.excessTokens(r) > 0 {
			q.shedFromHeaviest(now, t, ReasonHigherTierArrived, d)
		}
	}
}

// shedHeavierCustomers sheds from customers of r's tier with a higher load than
// r's customer would have with r, until r fits.
func (q *Queue) shedHeavierCustomers(now time.Time, r *Request, d *Decision) {
	t := q.tiers[r.Rank]
	threshold := q.loadWith(r)
	for q.excessTokens(r) > 0 && t.byLoad.len() > 0 && t.byLoad.items[0].load() > threshold {
		q.shedFromHeaviest(now, t, ReasonHeaviestCustomer, d)
	}
}

// shedFromHeaviest sheds the latest request of the customer that uses the most
// of the tier's queue relative to its weight.
func (q *Queue) shedFromHeaviest(now time.Time, t *tier, reason Reason, d *Decision) {
	latest := t.byLoad.items[0].last
	retryAfter := q.RetryAfter(now, t.rank)
	q.Remove(latest)
	d.Shed = append(d.Shed, Decision{
		Action: ActionShed, Reason: reason, Request: latest, RetryAfter: retryAfter,
	})
}

// loadWith is the load that r's customer would have with r in the queue.
func (q *Queue) loadWith(r *Request) float64 {
	used := r.tokens()
	if c := q.tiers[r.Rank].customers[r.Customer]; c != nil {
		used += c.sheddableTokens
	}
	return float64(used) / r.weight()
}

// heavierCustomerTokens is a lower bound on the tokens that
// shedHeavierCustomers can shed.
func (q *Queue) heavierCustomerTokens(r *Request) int64 {
	threshold := q.loadWith(r)
	sum := 0.0
	for _, c := range q.tiers[r.Rank].byLoad.items {
		sum += max(0, float64(c.sheddableTokens)-threshold*c.weight)
	}
	return int64(sum)
}

// RetryAfter predicts from the measured dispatch rate how long it takes, in
// whole seconds, to dispatch the requests that are ahead of a new request of a
// tier.
func (q *Queue) RetryAfter(now time.Time, rank int) time.Duration {
	ahead := 0.0
	for _, t := range q.tiers[:min(rank+1, len(q.tiers))] {
		ahead += float64(t.waitingTokens)
	}
	perSecond := q.dispatchRate.perSecond(now)
	if perSecond <= 0 {
		return unknownRetryAfter
	}
	seconds := math.Ceil(ahead / perSecond)
	if seconds >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(time.Duration(seconds)*time.Second, minRetryAfter)
}

// rateTimeConstant is the time constant of the decay of measured rates.
const rateTimeConstant = 10 * time.Second

// rate measures the rate of events with exponential decay.
type rate struct {
	sum              float64
	started, updated time.Time
}

func (r *rate) add(now time.Time, n float64) {
	if r.started.IsZero() {
		r.started, r.updated = now, now
	}
	r.sum = r.sumAt(now) + n
	r.updated = now
}

func (r *rate) sumAt(now time.Time) float64 {
	age := max(now.Sub(r.updated), 0)
	return r.sum * math.Exp(-age.Seconds()/rateTimeConstant.Seconds())
}

// perSecond returns the rate. It corrects for a measured period shorter than a
// few time constants.
func (r *rate) perSecond(now time.Time) float64 {
	if r.started.IsZero() {
		return 0
	}
	elapsed := max(now.Sub(r.started), minRetryAfter).Seconds()
	window := rateTimeConstant.Seconds() * (1 - math.Exp(-elapsed/rateTimeConstant.Seconds()))
	return r.sumAt(now) / window
}
