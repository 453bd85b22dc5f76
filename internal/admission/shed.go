package admission

import (
	"math"
	"time"
)

const (
	minRetryAfter     = time.Second
	maxRetryAfter     = 2 * time.Minute
	unknownRetryAfter = 10 * time.Second // before any drain was measured
)

// The queue bound is cumulative: the waiting tokens of a tier and all lower
// ones stay within the sum of their QueueTokens. So a tier may use the room of
// lower tiers, and lower tiers cannot use the room of higher ones. A request
// larger than its bound is accepted when nothing else waits under that bound.

// excessTokens returns by how many tokens accepting r would exceed the tightest bound.
func (q *Queue) excessTokens(r *Request) int64 {
	worst, below := int64(0), int64(0)
	for i := len(q.tiers) - 1; i >= 0; i-- {
		t := q.tiers[i]
		below += t.waitingTokens
		if i > r.Rank || below == 0 {
			continue
		}
		worst = max(worst, min(below, below+r.tokens()-t.cumulativeBound))
	}
	return worst
}

// makeRoom decides whether an arriving request enters the queue and removes
// what must give way. The order of what gives way: queued work of lower tiers,
// running work of lower tiers where the tier preempts and the request can
// still meet its target, queued work of the same tier's customers that use
// more of it, and last the request itself. Nothing is removed unless that is
// enough.
func (q *Queue) makeRoom(now time.Time, r *Request) Decision {
	d := Decision{Action: ActionQueue, Reason: ReasonRoom, Request: r}
	over := q.excessTokens(r)
	if over <= 0 {
		return d
	}
	a := &d.Alternatives
	a.OverTokens = over
	for _, t := range q.tiers[r.Rank+1:] {
		a.LowerQueuedTokens += t.sheddableTokens
		a.LowerRunning += len(t.running)
	}
	if a.LowerQueuedTokens >= over {
		d.Reason = ReasonDisplacedLowerTier
		q.shedLowerTiers(now, r, &d)
		return d
	}
	if victim, eligible := q.victimFor(now, Preemptor{Request: r, ShedOtherwise: true}); victim != nil {
		a.Preemptible = eligible
		d.Reason, d.Preempt = ReasonPreemptsLowerTier, victim
		r.victim, victim.preemptor = victim, r
		q.shedLowerTiers(now, r, &d)
		return d
	}
	a.SameTierTokens = q.heavierCustomerTokens(r)
	if a.LowerQueuedTokens+a.SameTierTokens >= over {
		d.Reason = ReasonDisplacedHeaviestCustomer
		q.shedLowerTiers(now, r, &d)
		q.shedHeavierCustomers(now, r, &d)
		return d
	}
	d.Action, d.Reason = ActionShed, ReasonQueueFull
	d.RetryAfter = q.RetryAfter(now, r.Rank)
	return d
}

// shedLowerTiers sheds from the lowest tier upwards until r fits or nothing lower
// is left.
func (q *Queue) shedLowerTiers(now time.Time, r *Request, d *Decision) {
	for rank := len(q.tiers) - 1; rank > r.Rank; rank-- {
		t := q.tiers[rank]
		for t.sheddableTokens > 0 && q.excessTokens(r) > 0 {
			q.shedFromHeaviest(now, t, ReasonHigherTierArrived, d)
		}
	}
}

// shedHeavierCustomers sheds from customers of r's tier whose use of the queue is above
// what r's customer would have with r.
func (q *Queue) shedHeavierCustomers(now time.Time, r *Request, d *Decision) {
	t := q.tiers[r.Rank]
	level := q.loadWith(r)
	for q.excessTokens(r) > 0 && t.byLoad.len() > 0 && t.byLoad.items[0].load() > level {
		q.shedFromHeaviest(now, t, ReasonHeaviestCustomer, d)
	}
}

// shedFromHeaviest sheds the latest request of the customer that uses the most of the
// tier's queue relative to its weight.
func (q *Queue) shedFromHeaviest(now time.Time, t *tier, reason Reason, d *Decision) {
	v := t.byLoad.items[0].last
	retry := q.RetryAfter(now, t.rank)
	q.Remove(v)
	d.Shed = append(d.Shed, Decision{
		Action: ActionShed, Reason: reason, Request: v, RetryAfter: retry,
	})
}

// loadWith is the load of r's customer if r were accepted.
func (q *Queue) loadWith(r *Request) float64 {
	used := r.tokens()
	if c := q.tiers[r.Rank].customers[r.Customer]; c != nil {
		used += c.sheddableTokens
	}
	return float64(used) / r.weight()
}

// heavierCustomerTokens is a lower bound of what shedHeavier can remove.
func (q *Queue) heavierCustomerTokens(r *Request) int64 {
	level := q.loadWith(r)
	sum := 0.0
	for _, c := range q.tiers[r.Rank].byLoad.items {
		sum += max(0, float64(c.sheddableTokens)-level*c.weight)
	}
	return int64(sum)
}

// RetryAfter predicts, in whole seconds, when the work ahead of a new request
// of a tier will have been dispatched, from the measured drain rate.
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

// rateTimeConstant is the time constant of measured rates.
const rateTimeConstant = 10 * time.Second

// rate is an exponentially decaying rate of events.
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

// perSecond is the rate, corrected for the time before the window filled.
func (r *rate) perSecond(now time.Time) float64 {
	if r.started.IsZero() {
		return 0
	}
	seen := max(now.Sub(r.started), minRetryAfter).Seconds()
	window := rateTimeConstant.Seconds() * (1 - math.Exp(-seen/rateTimeConstant.Seconds()))
	return r.sumAt(now) / window
}
