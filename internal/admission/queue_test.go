package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a lower tier that is dispatched before a higher one, although
// its requests arrived first.
func TestNextDispatchesTiersByRank(t *testing.T) {
	q := NewQueue(testTiers(3, 0, 0))
	for i, rank := range []int{2, 1, 0} {
		q.Offer(start, newRequest(i, rank, "c", 10))
	}
	for want := range 3 {
		d, ok := q.Next(start, nil)
		assert.Assert(t, ok)
		assert.Equal(t, d.Request.Rank, want)
	}
	_, ok := q.Next(start, nil)
	assert.Assert(t, !ok)
}

// Guards against a tier that falls below its minimum share by more than the bound
// documented at Queue while higher tiers always have waiting requests.
func TestTierReceivesMinimumShare(t *testing.T) {
	const tiers, share, size = 4, 0.1, 100
	q := NewQueue(testTiers(tiers, 0, share))
	got := make([]int, tiers)
	id, total := 0, 0
	offer := func(rank int) {
		id++
		q.Offer(start, newRequest(id, rank, "c", size))
	}
	for rank := range tiers {
		offer(rank)
		offer(rank) // each tier has waiting work throughout
	}
	for range 1000 {
		d, ok := q.Next(start, nil)
		assert.Assert(t, ok)
		got[d.Request.Rank] += size
		total += size
		offer(d.Request.Rank)
		for rank := 1; rank < tiers; rank++ {
			least := share*float64(total) - (tiers+1)*size
			assert.Assert(t, float64(got[rank]) >= least, "tier %d has %d of %d", rank, got[rank], total)
		}
	}
	assert.Assert(t, got[0] > total/2)
}

// Guards against customers of a tier whose dispatched tokens are not in
// proportion to their weights, while all of them have waiting requests of
// various sizes.
func TestCustomersShareByWeight(t *testing.T) {
	q := NewQueue(testTiers(1, 0, 0))
	got := map[string]int{}
	for i := range 3000 {
		name := []string{"a", "b", "c"}[i%3]
		r := newRequest(i, 0, name, 50+i%7*100)
		r.Weight = map[string]float64{"a": 1, "b": 2, "c": 0.5}[name]
		q.Offer(start, r)
	}
	for range 1200 {
		d, _ := q.Next(start, nil)
		got[string(d.Request.Customer)] += d.Request.Tokens
	}
	assert.Assert(t, max(got["a"]*2, got["b"])-min(got["a"]*2, got["b"]) < 4*(512+650), fmt.Sprint(got))
	assert.Assert(t, max(got["c"]*2, got["a"])-min(got["c"]*2, got["a"]) < 4*(512+650), fmt.Sprint(got))
}

// Guards against requests that can no longer meet their target delaying those
// that can, and against their starving while requests of the other kind keep
// arriving.
func TestLateRequestsRunAfterOthersWithoutStarving(t *testing.T) {
	q := NewQueue(testTiers(1, 0, 0))
	late := newRequest(0, 0, "late", 100)
	late.Deadline, late.TimeToFirstToken = start.Add(time.Second), 2*time.Second
	q.Offer(start, late)
	for i := 1; ; i++ {
		r := newRequest(i, 0, "ok", 100)
		r.Deadline = start.Add(time.Hour)
		q.Offer(start, r)
		d, _ := q.Next(start, nil)
		if d.Request == late {
			assert.Assert(t, d.Late)
			assert.Assert(t, i > 5 && i <= 12, "dispatched as number %d", i)
			return
		}
		assert.Assert(t, i < 100, "late request starved")
	}
}

// Guards against a group without an upstream that has room blocking the
// requests of other groups, and against asking for a place more than once per
// group.
func TestNextSkipsBlockedGroups(t *testing.T) {
	q := NewQueue(testTiers(2, 0, 0))
	for i := range 10 {
		r := newRequest(i, i%2, fmt.Sprint("c", i), 10)
		r.Group = uint64(i % 5)
		q.Offer(start, r)
	}
	calls := 0
	d, ok := q.Next(start, func(r *Request) bool { calls++; return r.Group == 3 })
	assert.Assert(t, ok)
	assert.Equal(t, d.Request.Group, uint64(3))
	assert.Assert(t, calls <= 5)
	_, ok = q.Next(start, func(*Request) bool { return false })
	assert.Assert(t, !ok)
	assert.Equal(t, q.Len(), 9)
}

// Guards against a wrong order within a customer. Preempted requests go first,
// then requests that can meet their target by deadline, then late ones.
func TestNextOrdersRequestsOfCustomerByDeadline(t *testing.T) {
	q := NewQueue(testTiers(2, 0, 0))
	dues := map[int]time.Duration{0: 30 * time.Second, 1: 0, 2: 10 * time.Second, 3: 2 * time.Second, 4: 20 * time.Second}
	for id := range len(dues) {
		r := newRequest(id, 1, "c", 100)
		if dues[id] > 0 {
			r.Deadline = start.Add(dues[id])
		}
		q.Offer(start, r)
	}
	var order []string
	now := start
	for i := range len(dues) + 1 {
		d, _ := q.Next(now, nil)
		order = append(order, string(d.Request.ID))
		switch i {
		case 0: // request 3 has the earliest deadline; it is preempted below
			now = now.Add(5 * time.Second)
			late := newRequest(9, 1, "c", 100)
			late.Deadline, late.TimeToFirstToken = now.Add(time.Second), 0
			q.Offer(now, late)
			now = now.Add(2 * time.Second) // request 9 has missed its target
			q.RequeuePreempted(now, d.Request)
		}
	}
	assert.DeepEqual(t, order, []string{"3", "3", "2", "4", "0", "1"})
	d, _ := q.Next(now, nil)
	assert.Assert(t, d.Request.ID == "9" && d.Late)
}
