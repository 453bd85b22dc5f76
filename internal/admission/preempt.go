package admission

import (
	"slices"
	"time"
)

// maxPreemptions bounds how often one request is preempted. After that it
// runs to completion, so that lower tiers do not starve.
const maxPreemptions = 2

// preemptMargin is how long before its latest start a request is assumed to miss
// its target, however long the predicted wait for a slot. Preemption is not done
// earlier, because a slot that becomes free by then saves the lower-tier request
// a second prefill of its prompt.
const preemptMargin = 400 * time.Millisecond

// Preemptor describes the waiting request that would take the victim's slot.
type Preemptor struct {
	Request *Request
	// SlotWait is the predicted time until a slot becomes free without
	// preemption.
	SlotWait time.Duration
	// ShedOtherwise marks a request that is shed unless a victim is found.
	ShedOtherwise bool
}

// wouldMissTarget reports whether the request can still meet its target, but not
// if it waits for a slot, and at most preemptMargin is left until its latest
// start. A request that is otherwise shed only has to be able to meet it.
func (p Preemptor) wouldMissTarget(now time.Time) bool {
	r := p.Request
	if p.ShedOtherwise {
		return !r.missesTarget(now)
	}
	if r.Deadline.IsZero() || r.missesTarget(now) {
		return false
	}
	return now.Add(min(p.SlotWait, preemptMargin)).After(r.latestStart())
}

// ChooseVictim returns the running request to preempt, or nil: the lowest tier
// first, then the fewest generated tokens, then the latest dispatch. Never
// chosen are requests of the same or a higher tier, requests that were preempted
// maxPreemptions times, requests that are already victims, requests that must
// run at most once, and requests on upstreams that the preemptor cannot use. The
// caller checks that the preemptor's tier preempts. The second result is the
// number of eligible victims.
func ChooseVictim(now time.Time, running []*Request, preemptor Preemptor) (*Request, int) {
	if !preemptor.wouldMissTarget(now) {
		return nil, 0
	}
	var best *Request
	eligible := 0
	for _, r := range running {
		if !eligibleVictim(r, preemptor.Request) {
			continue
		}
		eligible++
		if best == nil || betterVictim(r, best) {
			best = r
		}
	}
	return best, eligible
}

// eligibleVictim reports whether r may be preempted for the waiting request.
func eligibleVictim(r, waiting *Request) bool {
	if r.Rank <= waiting.Rank || r.preemptions >= maxPreemptions || r.preemptor != nil || r.atMostOnce() {
		return false
	}
	if waiting.Route == nil {
		return r.Group == waiting.Group
	}
	_, found := slices.BinarySearch(waiting.Route.Upstreams, r.Upstream)
	return found
}

// atMostOnce reports whether the request must run at most once. Such a request
// cannot be resumed and is never preempted.
func (r *Request) atMostOnce() bool {
	return r.Route != nil && r.Route.Class != nil && !r.Route.Class.Repeatable
}

// betterVictim reports whether a is a better victim than b.
func betterVictim(a, b *Request) bool {
	if a.Rank != b.Rank {
		return a.Rank > b.Rank
	}
	if p, q := a.GeneratedTokens.Load(), b.GeneratedTokens.Load(); p != q {
		return p < q
	}
	return a.dispatchedAt.After(b.dispatchedAt)
}

// Preempt decides to stop a running request for a waiting one of a higher tier
// that would otherwise miss its target. The caller stops Decision.Preempt, calls
// RequeuePreempted for it, or Finish if it ended meanwhile, and then calls Next.
// A waiting request has at most one victim at a time. The cost is linear in the
// number of customers with waiting requests in tiers that preempt.
func (q *Queue) Preempt(now time.Time) (Decision, bool) {
	q.epoch++
	for _, t := range q.tiers {
		if !t.preempts || t.waiting == 0 {
			continue
		}
		r := q.mostUrgent(now, t)
		if r == nil {
			continue
		}
		victim, eligible := q.victimFor(now, Preemptor{Request: r, SlotWait: q.slotWait(now)})
		if victim == nil {
			continue
		}
		r.victim, victim.preemptor = victim, r
		d := Decision{Action: ActionPreempt, Reason: ReasonWouldMissTarget, Request: r, Preempt: victim}
		d.Alternatives.Preemptible = eligible
		for _, lower := range q.tiers[t.rank+1:] {
			d.Alternatives.LowerRunning += len(lower.running)
		}
		return d, true
	}
	return Decision{}, false
}

// mostUrgent returns the request with the earliest latest start among the heads
// of the tier's customer queues. It leaves out requests without a target, with a
// victim or with a reserved slot, and those that miss their target anyway.
func (q *Queue) mostUrgent(now time.Time, t *tier) *Request {
	var best *Request
	b := &t.bands[bandOnTime]
	cq := b.current
	for range b.customers {
		r := cq.head(q.epoch)
		cq = cq.next
		if r == nil || r.Deadline.IsZero() || r.victim != nil || r.slotReserved || r.missesTarget(now) {
			continue
		}
		if best == nil || r.latestStart().Before(best.latestStart()) {
			best = r
		}
	}
	return best
}

// victimFor chooses a victim among the running requests of lower tiers, from the
// lowest tier upwards. The second result is the number of eligible victims in
// the tier of the victim.
func (q *Queue) victimFor(now time.Time, preemptor Preemptor) (*Request, int) {
	r := preemptor.Request
	if !q.tiers[r.Rank].preempts {
		return nil, 0
	}
	for rank := len(q.tiers) - 1; rank > r.Rank; rank-- {
		if v, n := ChooseVictim(now, q.tiers[rank].running, preemptor); v != nil {
			return v, n
		}
	}
	return nil, 0
}

// slotWait is the predicted time until the next running request finishes, at
// most maxRetryAfter. Before any request finished it is maxRetryAfter.
func (q *Queue) slotWait(now time.Time) time.Duration {
	perSecond := q.finishRate.perSecond(now)
	if perSecond <= 0 {
		return maxRetryAfter
	}
	return min(time.Duration(float64(time.Second)/perSecond), maxRetryAfter)
}
