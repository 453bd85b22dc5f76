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

// over returns by how many tokens accepting r would exceed the tightest bound.
func (q *Queue) over(r *Request) int64 {
	worst, below := int64(0), int64(0)
	for i := len(q.tiers) - 1; i >= 0; i-- {
		t := q.tiers[i]
		below += t.tokens
		if i > r.Rank || below == 0 {
			continue
		}
		worst = max(worst, min(below, below+r.tokens()-t.bound))
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
	over := q.over(r)
	if over <= 0 {
		return d
	}
	a := &d.Alternatives
	a.OverTokens = over
	for _, t := range q.tiers[r.Rank+1:] {
		a.LowerQueuedTokens += t.sheddable
		a.LowerRunning += len(t.running)
	}
	if a.LowerQueuedTokens >= over {
		d.Reason = ReasonDisplacedLowerTier
		q.shedLower(now, r, &d)
		return d
	}
	if victim, eligible := q.victimFor(now, Preemptor{Request: r, ShedOtherwise: true}); victim != nil {
		a.Preemptible = eligible
		d.Reason, d.Preempt = ReasonPreemptsLowerTier, victim
		r.victim, victim.beneficiary = victim, r
		q.shedLower(now, r, &d)
		return d
	}
	a.SameTierTokens = q.heavierTokens(r)
	if a.LowerQueuedTokens+a.SameTierTokens >= over {
		d.Reason = ReasonDisplacedHeaviestCustomer
		q.shedLower(now, r, &d)
		q.shedHeavier(now, r, &d)
		return d
	}
	d.Action, d.Reason = ActionShed, ReasonQueueFull
	d.RetryAfter = q.RetryAfter(now, r.Rank)
	return d
}

// shedLower sheds from the lowest tier upwards until r fits or nothing lower
// is left.
func (q *Queue) shedLower(now time.Time, r *Request, d *Decision) {
	for rank := len(q.tiers) - 1; rank > r.Rank; rank-- {
		t := q.tiers[rank]
		for t.sheddable > 0 && q.over(r) > 0 {
			q.shedOne(now, t, ReasonHigherTierArrived, d)
		}
	}
}

// shedHeavier sheds from customers of r's tier whose use of the queue is above
// what r's customer would have with r.
func (q *Queue) shedHeavier(now time.Time, r *Request, d *Decision) {
	t := q.tiers[r.Rank]
	level := q.levelWith(r)
	for q.over(r) > 0 && t.heavy.len() > 0 && t.heavy.items[0].load() > level {
		q.shedOne(now, t, ReasonHeaviestCustomer, d)
	}
}

// shedOne sheds the latest request of the customer that uses the most of the
// tier's queue relative to its weight.
func (q *Queue) shedOne(now time.Time, t *tier, reason Reason, d *Decision) {
	v := t.heavy.items[0].last
	retry := q.RetryAfter(now, t.rank)
	q.Remove(v)
	d.Shed = append(d.Shed, Decision{
		Action: ActionShed, Reason: reason, Request: v, RetryAfter: retry,
	})
}

// levelWith is the load of r's customer if r were accepted.
func (q *Queue) levelWith(r *Request) float64 {
	used := r.tokens()
	if c := q.tiers[r.Rank].customers[r.Customer]; c != nil {
		used += c.sheddable
	}
	return float64(used) / r.weight()
}

// heavierTokens is a lower bound of what shedHeavier can remove.
func (q *Queue) heavierTokens(r *Request) int64 {
	level := q.levelWith(r)
	sum := 0.0
	for _, c := range q.tiers[r.Rank].heavy.items {
		sum += max(0, float64(c.sheddable)-level*c.weight)
	}
	return int64(sum)
}

// RetryAfter predicts, in whole seconds, when the work ahead of a new request
// of a tier will have been dispatched, from the measured drain rate.
func (q *Queue) RetryAfter(now time.Time, rank int) time.Duration {
	ahead := 0.0
	for _, t := range q.tiers[:min(rank+1, len(q.tiers))] {
		ahead += float64(t.tokens)
	}
	perSecond := q.drained.perSecond(now)
	if perSecond <= 0 {
		return unknownRetryAfter
	}
	seconds := math.Ceil(ahead / perSecond)
	if seconds >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(time.Duration(seconds)*time.Second, minRetryAfter)
}

// rateWindow is the time constant of measured rates.
const rateWindow = 10 * time.Second

// rate is an exponentially decaying rate of events.
type rate struct {
	sum         float64
	first, last time.Time
}

func (r *rate) add(now time.Time, n float64) {
	if r.first.IsZero() {
		r.first, r.last = now, now
	}
	r.sum = r.decayed(now) + n
	r.last = now
}

func (r *rate) decayed(now time.Time) float64 {
	age := max(now.Sub(r.last), 0)
	return r.sum * math.Exp(-age.Seconds()/rateWindow.Seconds())
}

// perSecond is the rate, corrected for the time before the window filled.
func (r *rate) perSecond(now time.Time) float64 {
	if r.first.IsZero() {
		return 0
	}
	seen := max(now.Sub(r.first), minRetryAfter).Seconds()
	window := rateWindow.Seconds() * (1 - math.Exp(-seen/rateWindow.Seconds()))
	return r.decayed(now) / window
}
