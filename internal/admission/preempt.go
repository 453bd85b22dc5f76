package admission

import (
	"slices"
	"time"
)

// maxPreemptions bounds how often one request is preempted. After that it
// runs to its end, so that lower tiers are served eventually.
const maxPreemptions = 2

// preemptMargin is how long before the last moment a request is taken to miss
// its target, however long a slot may take to turn over. A slot that turns over
// until then saves the lower-tier request a second pass over its prompt.
const preemptMargin = 400 * time.Millisecond

// Preemptor describes the waiting request that a preemption would serve.
type Preemptor struct {
	Request *Request
	// SlotWait is the expected time until a slot turns over by itself.
	SlotWait time.Duration
	// ShedOtherwise means that the request is shed unless work is preempted for it.
	ShedOtherwise bool
}

// wouldMissTarget reports whether the request can still meet its target, but not if
// it waits for a slot to turn over, and no more than preemptMargin is left.
func (n Preemptor) wouldMissTarget(now time.Time) bool {
	r := n.Request
	if n.ShedOtherwise {
		return !r.missesTarget(now)
	}
	if r.Deadline.IsZero() || r.missesTarget(now) {
		return false
	}
	return now.Add(min(n.SlotWait, preemptMargin)).After(r.latestStart())
}

// ChooseVictim returns the running request to preempt for need, or nil: the
// lowest tier first, then the least progress. Requests of the same or a higher
// tier, requests preempted maxPreemptions times, requests already chosen,
// requests that must run at most once and requests on upstreams that need cannot use are never chosen. The caller
// checks that need's tier preempts. The second result counts the candidates.
func ChooseVictim(now time.Time, running []*Request, need Preemptor) (*Request, int) {
	if !need.wouldMissTarget(now) {
		return nil, 0
	}
	var best *Request
	eligible := 0
	for _, r := range running {
		if !eligibleVictim(r, need.Request) {
			continue
		}
		eligible++
		if best == nil || betterVictim(r, best) {
			best = r
		}
	}
	return best, eligible
}

func eligibleVictim(r, need *Request) bool {
	if r.Rank <= need.Rank || r.preemptions >= maxPreemptions || r.preemptor != nil || r.atMostOnce() {
		return false
	}
	if need.Route == nil {
		return r.Group == need.Group
	}
	_, found := slices.BinarySearch(need.Route.Upstreams, r.Upstream)
	return found
}

// atMostOnce reports whether the request must run at most atMostOnce. It cannot be
// continued, so it is never preempted.
func (r *Request) atMostOnce() bool {
	return r.Route != nil && r.Route.Class != nil && !r.Route.Class.Repeatable
}

// betterVictim reports whether a is a betterVictim victim than b.
func betterVictim(a, b *Request) bool {
	if a.Rank != b.Rank {
		return a.Rank > b.Rank
	}
	if p, q := a.GeneratedTokens.Load(), b.GeneratedTokens.Load(); p != q {
		return p < q
	}
	return a.dispatchedAt.After(b.dispatchedAt)
}

// Preempt returns a decision to stop a running request for a waiting one of a
// higher tier that would otherwise miss its target. The caller stops
// Decision.Preempt and calls Requeue, or Finish if it ended by itself, and then
// Next. Each waiting request gets at most one victim at a time. The cost is
// linear in the customers that wait in tiers that preempt.
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

// mostUrgent returns the request of a tier that starts latest relative to its
// target among the heads of the customers' lines, without a victim so far.
func (q *Queue) mostUrgent(now time.Time, t *tier) *Request {
	var best *Request
	b := &t.bands[bandOnTime]
	l := b.current
	for range b.customers {
		r := l.head(q.epoch)
		l = l.next
		if r == nil || r.Deadline.IsZero() || r.victim != nil || r.slotReserved || r.missesTarget(now) {
			continue
		}
		if best == nil || r.latestStart().Before(best.latestStart()) {
			best = r
		}
	}
	return best
}

// victimFor looks for a victim among the running requests of lower tiers,
// from the lowest tier upwards.
func (q *Queue) victimFor(now time.Time, need Preemptor) (*Request, int) {
	r := need.Request
	if !q.tiers[r.Rank].preempts {
		return nil, 0
	}
	for rank := len(q.tiers) - 1; rank > r.Rank; rank-- {
		if v, n := ChooseVictim(now, q.tiers[rank].running, need); v != nil {
			return v, n
		}
	}
	return nil, 0
}

// slotWait is the expected time until the next running request ends. Without
// any measured end it is unbounded.
func (q *Queue) slotWait(now time.Time) time.Duration {
	perSecond := q.finishRate.perSecond(now)
	if perSecond <= 0 {
		return maxRetryAfter
	}
	return min(time.Duration(float64(time.Second)/perSecond), maxRetryAfter)
}
