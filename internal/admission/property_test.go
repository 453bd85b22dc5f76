package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// queueModel drives a queue with random events and checks each decision.
type queueModel struct {
	t       *rapid.T
	q       *Queue
	now     time.Time
	ids     int
	waiting map[*Request]bool
	running []*Request
	// preemptors holds the requests that work was preempted for.
	preemptors map[*Request]bool
}

func (tr *queueModel) offer() {
	tr.ids++
	r := newRequest(tr.ids, rapid.IntRange(0, 3).Draw(tr.t, "rank"),
		fmt.Sprint("c", rapid.IntRange(0, 3).Draw(tr.t, "customer")),
		rapid.IntRange(1, 400).Draw(tr.t, "tokens"))
	r.Group = uint64(rapid.IntRange(0, 1).Draw(tr.t, "group"))
	if s := rapid.IntRange(0, 5).Draw(tr.t, "target"); s > 0 {
		r.Deadline = tr.now.Add(time.Duration(s) * time.Second)
	}
	r.MaxWait = time.Duration(rapid.IntRange(0, 8).Draw(tr.t, "wait")) * time.Second
	lower := int64(0)
	for w := range tr.waiting {
		if w.Rank > r.Rank && w.preemptions == 0 {
			lower += w.tokens()
		}
	}
	d := tr.q.Offer(tr.now, r)
	tr.checkOffer(r, d, lower)
}

// checkOffer is invariant I1 for one arrival.
func (tr *queueModel) checkOffer(r *Request, d Decision, lower int64) {
	for _, s := range d.Shed {
		v := s.Request
		assert.Assert(tr.t, v.Rank >= r.Rank, "tier %d shed for tier %d", v.Rank, r.Rank)
		assert.Assert(tr.t, v.Rank > r.Rank || s.Reason == ReasonHeaviestCustomer)
		assert.Assert(tr.t, v.Customer != r.Customer || v.Rank > r.Rank)
		assert.Assert(tr.t, tr.waiting[v] && v.preemptions == 0)
		delete(tr.waiting, v)
	}
	if d.Preempt != nil {
		assert.Assert(tr.t, d.Preempt.Rank > r.Rank)
		defer tr.requeueVictim(d.Preempt, r)
	}
	if d.Action == ActionQueue {
		tr.waiting[r] = true
		return
	}
	assert.Equal(tr.t, len(d.Shed), 0)
	assert.Assert(tr.t, lower < d.Alternatives.OverTokens, "shed while %d lower tokens wait", lower)
	for _, v := range tr.running {
		lowerRuns := v.Rank > r.Rank && tr.q.tiers[r.Rank].preempts && v.Group == r.Group
		protected := v.preemptions >= maxPreemptions || v.preemptor != nil
		assert.Assert(tr.t, !lowerRuns || protected || r.missesTarget(tr.now), "shed while lower-tier work runs")
	}
}

// requeueVictim preempts a running request for a waiting one.
func (tr *queueModel) requeueVictim(v, r *Request) {
	tr.preemptors[r] = true
	assert.Assert(tr.t, tr.q.RequeuePreempted(tr.now, v))
	assert.Assert(tr.t, v.preemptions <= maxPreemptions)
	tr.removeRunning(v)
	tr.waiting[v] = true
}

func (tr *queueModel) removeRunning(v *Request) {
	for i, r := range tr.running {
		if r == v {
			tr.running = append(tr.running[:i], tr.running[i+1:]...)
			return
		}
	}
	tr.t.Fatalf("request %s was not running", v.ID)
}

func (tr *queueModel) dispatch() {
	group := uint64(rapid.IntRange(0, 2).Draw(tr.t, "ready group"))
	d, ok := tr.q.Next(tr.now, func(r *Request) bool { return group == 2 || r.Group == group })
	if !ok {
		for w := range tr.waiting {
			assert.Assert(tr.t, group != 2 && w.Group != group, "placeable work was not dispatched")
		}
		return
	}
	assert.Assert(tr.t, tr.waiting[d.Request])
	for r := range tr.preemptors {
		given := !tr.waiting[r] || r.missesTarget(tr.now) || tr.preemptors[d.Request] || group != 2 && r.Group != group
		assert.Assert(tr.t, given, "a freed slot went to tier %d instead of %d", d.Request.Rank, r.Rank)
	}
	delete(tr.preemptors, d.Request)
	delete(tr.waiting, d.Request)
	tr.running = append(tr.running, d.Request)
}

func (tr *queueModel) preempt() {
	d, ok := tr.q.Preempt(tr.now)
	if !ok {
		return
	}
	assert.Assert(tr.t, d.Preempt.Rank > d.Request.Rank)
	assert.Assert(tr.t, tr.q.tiers[d.Request.Rank].preempts && !d.Request.missesTarget(tr.now))
	tr.requeueVictim(d.Preempt, d.Request)
}

func (tr *queueModel) endRunning() {
	if len(tr.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(tr.running)-1).Draw(tr.t, "ended")
	r := tr.running[i]
	tr.removeRunning(r)
	if rapid.Bool().Draw(tr.t, "refused") {
		assert.Assert(tr.t, tr.q.RequeueUnstarted(tr.now, r))
		tr.waiting[r] = true
		return
	}
	assert.Assert(tr.t, tr.q.Finish(tr.now, r))
	assert.Assert(tr.t, !tr.q.Finish(tr.now, r))
}

func (tr *queueModel) removeWaiting() {
	for r := range tr.waiting {
		assert.Assert(tr.t, tr.q.Remove(r))
		assert.Assert(tr.t, !tr.q.Remove(r))
		delete(tr.waiting, r)
		return
	}
}

func (tr *queueModel) advanceTime() {
	tr.now = tr.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(tr.t, "ms")) * time.Millisecond)
	for _, d := range tr.q.Expire(tr.now) {
		assert.Assert(tr.t, d.Request.preemptions == 0 && tr.waiting[d.Request])
		delete(tr.waiting, d.Request)
	}
}

// checkTotals compares the queue's sums with the requests that the trace knows.
func (tr *queueModel) checkTotals() {
	assert.Equal(tr.t, tr.q.Len(), len(tr.waiting))
	assert.Equal(tr.t, tr.q.Running(), len(tr.running))
	for _, tier := range tr.q.tiers {
		tokens, count := int64(0), 0
		for r := range tr.waiting {
			if r.Rank == tier.rank {
				tokens += r.tokens()
				count++
			}
		}
		assert.Equal(tr.t, tier.waitingTokens, tokens)
		assert.Equal(tr.t, tier.waiting, count)
		assert.Equal(tr.t, tier.bands[0].waiting+tier.bands[1].waiting, count)
		assert.Assert(tr.t, tier.credit >= 0 && (count > 0 || tier.credit == 0))
	}
}

// Guards invariant I1 (an urgent request is never shed or preempted for
// lower-tier work) and the bookkeeping on random traces.
func TestHigherTierNeverYieldsToLowerTier(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := &queueModel{t: t, q: NewQueue(testTiers(4, 500, 0.1)), now: start, waiting: map[*Request]bool{}, preemptors: map[*Request]bool{}}
		steps := []func(){tr.offer, tr.offer, tr.offer, tr.dispatch, tr.preempt, tr.endRunning, tr.removeWaiting, tr.advanceTime}
		for range 120 {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
			tr.checkTotals()
		}
	})
}

// Guards invariant I2: under lasting overload by the most urgent tier, with
// preemption and targets that cannot be met, each accepted request of every
// tier and customer starts within the documented bound and ends.
func TestEveryTierIsServedUnderOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tiers, largest = 4, 400
		q := NewQueue(testTiers(tiers, 0, rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "share")))
		now, ids := start, 0
		offer := func(rank int) *Request {
			ids++
			r := newRequest(ids, rank, fmt.Sprint("c", ids%3), 1+(ids*7919)%largest)
			r.Deadline = now.Add(time.Duration(ids%4) * time.Second)
			assert.Equal(t, q.Offer(now, r).Action, ActionQueue)
			return r
		}
		var low []*Request
		for range 5 {
			for rank := 1; rank < tiers; rank++ {
				low = append(low, offer(rank))
			}
		}
		var running []*Request
		for range 40_000 {
			now = now.Add(50 * time.Millisecond)
			offer(0)
			if d, ok := q.Preempt(now); ok {
				assert.Assert(t, q.RequeuePreempted(now, d.Preempt))
			}
			if len(running) >= 4 {
				q.Finish(now, running[0]) // false if it was preempted
				running = running[1:]
			}
			d, _ := q.Next(now, nil)
			running = append(running, d.Request)
			if !anyUnfinished(low) {
				return
			}
		}
		t.Fatalf("lower tiers were starved")
	})
}

func anyUnfinished(rs []*Request) bool {
	for _, r := range rs {
		if r.state != stateDone {
			return true
		}
	}
	return false
}
