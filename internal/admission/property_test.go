package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// queueModel applies random operations to a queue and checks each decision
// against its own record of waiting and running requests.
type queueModel struct {
	t       *rapid.T
	q       *Queue
	now     time.Time
	ids     int
	waiting map[*Request]bool
	running []*Request
	// preemptors holds the waiting requests for which a victim was stopped.
	preemptors map[*Request]bool
}

func (m *queueModel) offer() {
	m.ids++
	r := newRequest(m.ids, rapid.IntRange(0, 3).Draw(m.t, "rank"),
		fmt.Sprint("c", rapid.IntRange(0, 3).Draw(m.t, "customer")),
		rapid.IntRange(1, 400).Draw(m.t, "tokens"))
	r.Group = uint64(rapid.IntRange(0, 1).Draw(m.t, "group"))
	if s := rapid.IntRange(0, 5).Draw(m.t, "target"); s > 0 {
		r.Deadline = m.now.Add(time.Duration(s) * time.Second)
	}
	r.MaxWait = time.Duration(rapid.IntRange(0, 8).Draw(m.t, "wait")) * time.Second
	lowerTokens := int64(0)
	for w := range m.waiting {
		if w.Rank > r.Rank && w.preemptions == 0 {
			lowerTokens += w.tokens()
		}
	}
	d := m.q.Offer(m.now, r)
	m.checkOffer(r, d, lowerTokens)
}

// checkOffer checks invariant I1 for one arriving request. lowerTokens is the
// number of sheddable tokens that waited in lower tiers.
func (m *queueModel) checkOffer(r *Request, d Decision, lowerTokens int64) {
	for _, s := range d.Shed {
		v := s.Request
		assert.Assert(m.t, v.Rank >= r.Rank, "tier %d shed for tier %d", v.Rank, r.Rank)
		assert.Assert(m.t, v.Rank > r.Rank || s.Reason == ReasonHeaviestCustomer)
		assert.Assert(m.t, v.Customer != r.Customer || v.Rank > r.Rank)
		assert.Assert(m.t, m.waiting[v] && v.preemptions == 0)
		delete(m.waiting, v)
	}
	if d.Preempt != nil {
		assert.Assert(m.t, d.Preempt.Rank > r.Rank)
		defer m.requeueVictim(d.Preempt, r)
	}
	if d.Action == ActionQueue {
		m.waiting[r] = true
		return
	}
	assert.Equal(m.t, len(d.Shed), 0)
	assert.Assert(m.t, lowerTokens < d.Alternatives.OverTokens, "shed while %d tokens of lower tiers wait", lowerTokens)
	for _, v := range m.running {
		preemptible := v.Rank > r.Rank && m.q.tiers[r.Rank].preempts && v.Group == r.Group
		protected := v.preemptions >= maxPreemptions || v.preemptor != nil
		assert.Assert(m.t, !preemptible || protected || r.missesTarget(m.now), "shed while a request of a lower tier could be preempted")
	}
}

// requeueVictim stops the running request v for the waiting request r.
func (m *queueModel) requeueVictim(v, r *Request) {
	m.preemptors[r] = true
	assert.Assert(m.t, m.q.RequeuePreempted(m.now, v))
	assert.Assert(m.t, v.preemptions <= maxPreemptions)
	m.removeRunning(v)
	m.waiting[v] = true
}

func (m *queueModel) removeRunning(v *Request) {
	for i, r := range m.running {
		if r == v {
			m.running = append(m.running[:i], m.running[i+1:]...)
			return
		}
	}
	m.t.Fatalf("request %s was not running", v.ID)
}

func (m *queueModel) dispatch() {
	group := uint64(rapid.IntRange(0, 2).Draw(m.t, "ready group"))
	d, ok := m.q.Next(m.now, func(r *Request) bool { return group == 2 || r.Group == group })
	if !ok {
		for w := range m.waiting {
			assert.Assert(m.t, group != 2 && w.Group != group, "a request that can be placed was not dispatched")
		}
		return
	}
	assert.Assert(m.t, m.waiting[d.Request])
	for r := range m.preemptors {
		allowed := !m.waiting[r] || r.missesTarget(m.now) || m.preemptors[d.Request] || group != 2 && r.Group != group
		assert.Assert(m.t, allowed, "a freed slot went to tier %d instead of tier %d", d.Request.Rank, r.Rank)
	}
	delete(m.preemptors, d.Request)
	delete(m.waiting, d.Request)
	m.running = append(m.running, d.Request)
}

func (m *queueModel) preempt() {
	d, ok := m.q.Preempt(m.now)
	if !ok {
		return
	}
	assert.Assert(m.t, d.Preempt.Rank > d.Request.Rank)
	assert.Assert(m.t, m.q.tiers[d.Request.Rank].preempts && !d.Request.missesTarget(m.now))
	m.requeueVictim(d.Preempt, d.Request)
}

func (m *queueModel) endRunning() {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(m.t, "ended")
	r := m.running[i]
	m.removeRunning(r)
	if rapid.Bool().Draw(m.t, "refused") {
		assert.Assert(m.t, m.q.RequeueUnstarted(m.now, r))
		m.waiting[r] = true
		return
	}
	assert.Assert(m.t, m.q.Finish(m.now, r))
	assert.Assert(m.t, !m.q.Finish(m.now, r))
}

func (m *queueModel) removeWaiting() {
	for r := range m.waiting {
		assert.Assert(m.t, m.q.Remove(r))
		assert.Assert(m.t, !m.q.Remove(r))
		delete(m.waiting, r)
		return
	}
}

func (m *queueModel) advanceTime() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(m.t, "ms")) * time.Millisecond)
	for _, d := range m.q.Expire(m.now) {
		assert.Assert(m.t, d.Request.preemptions == 0 && m.waiting[d.Request])
		delete(m.waiting, d.Request)
	}
}

// checkTotals compares the queue's totals with those of the model.
func (m *queueModel) checkTotals() {
	assert.Equal(m.t, m.q.Len(), len(m.waiting))
	assert.Equal(m.t, m.q.Running(), len(m.running))
	for _, tier := range m.q.tiers {
		tokens, count := int64(0), 0
		for r := range m.waiting {
			if r.Rank == tier.rank {
				tokens += r.tokens()
				count++
			}
		}
		assert.Equal(m.t, tier.waitingTokens, tokens)
		assert.Equal(m.t, tier.waiting, count)
		assert.Equal(m.t, tier.bands[0].waiting+tier.bands[1].waiting, count)
		assert.Assert(m.t, tier.credit >= 0 && (count > 0 || tier.credit == 0))
	}
}

// Guards against a violation of invariant I1 (no request is shed or preempted for
// one of a lower tier) and against wrong totals, under random sequences of
// arrivals, dispatches, preemptions, ends, disconnects and expiries.
func TestHigherTierNeverYieldsToLowerTier(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{t: t, q: NewQueue(testTiers(4, 500, 0.1)), now: start, waiting: map[*Request]bool{}, preemptors: map[*Request]bool{}}
		steps := []func(){m.offer, m.offer, m.offer, m.dispatch, m.preempt, m.endRunning, m.removeWaiting, m.advanceTime}
		for range 120 {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
			m.checkTotals()
		}
	})
}

// Guards against a violation of invariant I2 (every accepted request of every
// tier and customer starts and ends within a bound). Lower tiers could starve
// under a lasting overload by the highest tier, which preempts and whose targets
// cannot all be met.
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
		var lowerTier []*Request
		for range 5 {
			for rank := 1; rank < tiers; rank++ {
				lowerTier = append(lowerTier, offer(rank))
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
			if !anyUnfinished(lowerTier) {
				return
			}
		}
		t.Fatalf("lower tiers starved")
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
