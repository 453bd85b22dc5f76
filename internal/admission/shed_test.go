package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/policy"
)

// Guards against a full queue that sheds the wrong request: one of a higher tier,
// or one of a customer that uses less of the queue than another.
func TestOfferShedsWhenQueueIsFull(t *testing.T) {
	type offer struct {
		rank     int
		customer string
		want     Reason
		shed     string // ID of the request that is shed for this one
	}
	cases := []struct {
		name   string
		bounds [3]int
		offers []offer
	}{
		{"latest request of the lowest tier is shed", [3]int{1, 100, 200}, []offer{
			{2, "a", ReasonRoom, ""},
			{1, "a", ReasonRoom, ""},
			{2, "a", ReasonRoom, ""},
			{0, "c", ReasonDisplacedLowerTier, "2"},
			{0, "c", ReasonDisplacedLowerTier, "0"},
			{0, "c", ReasonDisplacedLowerTier, "1"},
			{0, "c", ReasonQueueFull, ""},
			{2, "b", ReasonQueueFull, ""},
		}},
		{"lower tier cannot use the room of a higher one", [3]int{100, 100, 100}, []offer{
			{2, "a", ReasonRoom, ""},
			{2, "a", ReasonQueueFull, ""},
			{1, "a", ReasonRoom, ""},
			{0, "a", ReasonRoom, ""},
		}},
		{"heaviest customer is shed", [3]int{100, 100, 100}, []offer{
			{0, "a", ReasonRoom, ""},
			{0, "a", ReasonRoom, ""},
			{0, "a", ReasonRoom, ""},
			{0, "b", ReasonDisplacedHeaviestCustomer, "2"},
			{0, "b", ReasonQueueFull, ""},
			{0, "a", ReasonQueueFull, ""},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tiers := testTiers(3, 0, 0)
			for i := range tiers {
				tiers[i].QueueTokens = c.bounds[i]
			}
			q := NewQueue(tiers)
			for i, o := range c.offers {
				d := q.Offer(start, newRequest(i, o.rank, o.customer, 100))
				shed := ""
				for _, s := range d.Shed {
					shed += string(s.Request.ID)
					assert.Assert(t, s.RetryAfter > 0)
				}
				assert.Equal(t, d.Reason, o.want, "offer %d", i)
				assert.Equal(t, shed, o.shed, "offer %d", i)
			}
		})
	}
}

// Guards against a Retry-After that does not follow from the waiting tokens and
// the measured dispatch rate.
func TestRetryAfterFollowsDispatchRate(t *testing.T) {
	q := NewQueue([]policy.Tier{{}})
	for i := range 400 {
		q.Offer(start, newRequest(i, 0, "c", 100))
	}
	assert.Equal(t, q.RetryAfter(start, 0), unknownRetryAfter)
	now := start
	for range 200 { // 10 per second for 20 s
		now = now.Add(100 * time.Millisecond)
		q.Next(now, nil)
	}
	got := q.RetryAfter(now, 0) // 200 are left
	assert.Assert(t, got >= 19*time.Second && got <= 21*time.Second, fmt.Sprint(got))
}

// Guards against preempting before the target is at risk, choosing another victim
// than the request of the lowest tier with the fewest generated tokens, a second
// victim for the same request, giving the freed slot to another request, and
// preempting the same request without end.
func TestPreemptStopsLowestTierOnlyWhenNeeded(t *testing.T) {
	q := NewQueue(testTiers(4, 0, 0))
	run := func(id, rank, progress int) *Request {
		r := newRequest(id, rank, fmt.Sprint("c", id), 100)
		q.Offer(start, r)
		q.Next(start, nil)
		r.GeneratedTokens.Store(int64(progress))
		return r
	}
	run(0, 1, 0)
	run(1, 3, 50)
	victim := run(2, 3, 5)
	run(3, 2, 0)
	urgent := newRequest(4, 0, "u", 100)
	q.Offer(start, urgent)
	_, ok := q.Preempt(start)
	assert.Assert(t, !ok, "a request without a target cannot miss it")
	q.Remove(urgent)

	urgent = newRequest(5, 0, "u", 100)
	urgent.Deadline = start.Add(time.Second)
	q.Offer(start, urgent)
	_, ok = q.Preempt(start.Add(time.Second - preemptMargin))
	assert.Assert(t, !ok, "a slot may become free in time")
	late := start.Add(time.Second - preemptMargin + time.Millisecond)
	d, ok := q.Preempt(late)
	assert.Assert(t, ok && d.Preempt == victim)
	_, ok = q.Preempt(late)
	assert.Assert(t, !ok, "a request has one victim at a time")
	q.RequeuePreempted(start, victim)
	soon := newRequest(9, 3, string(victim.Customer), 100)
	soon.Deadline = start.Add(time.Second)
	q.Offer(start, soon)
	d, _ = q.Next(start, nil)
	assert.Assert(t, d.Request == urgent)

	victim.Route = &policy.Route{Class: &policy.Class{}}
	candidate, _ := ChooseVictim(late, []*Request{victim}, Preemptor{Request: urgent, SlotWait: time.Hour})
	assert.Assert(t, candidate == nil, "a request that must run at most once cannot be resumed")
	victim.Route = nil

	victim.preemptions = maxPreemptions
	d, _ = q.Next(start, nil)
	assert.Assert(t, d.Request == victim, "a preempted request is dispatched first")
	same, higher := newRequest(6, 1, "c", 100), newRequest(7, 0, "c", 100)
	waiting := newRequest(8, 1, "c", 100)
	waiting.Deadline = start.Add(time.Second)
	candidate, _ = ChooseVictim(late, []*Request{victim, same, higher}, Preemptor{Request: waiting, SlotWait: time.Hour})
	assert.Assert(t, candidate == nil, "preempted too often, or not of a lower tier")
}

// Guards against a preempted request that waits for its customer's turn in the
// round robin while requests of other customers of the tier are dispatched.
func TestPreemptedRequestsAreDispatchedFirst(t *testing.T) {
	q := NewQueue(testTiers(2, 0, 0))
	victim := newRequest(0, 1, "a", 5000)
	q.Offer(start, victim)
	q.Next(start, nil)
	for i := range 5 {
		q.Offer(start, newRequest(i+1, 1, fmt.Sprint("c", i), 10))
	}
	q.Offer(start, newRequest(9, 0, "u", 10))
	q.RequeuePreempted(start, victim)
	d, _ := q.Next(start, nil)
	assert.Equal(t, d.Request.Rank, 0, "a higher tier goes first")
	d, _ = q.Next(start, nil)
	assert.Equal(t, d.Request, victim)
	q.RequeuePreempted(start, victim)
	assert.Assert(t, q.Remove(victim))
	d, _ = q.Next(start, nil)
	assert.Assert(t, d.Request != victim)
}
