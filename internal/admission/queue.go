package admission

import (
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
)

const (
	// quantumTokens is the round robin's quantum: each round adds it, times the
	// weight, to a customer's deficit.
	quantumTokens = 512.0
	// untargetedDue is how long after its arrival a request without a target is
	// due, which orders it among requests with one.
	untargetedDue = 10 * time.Minute
	// minLateShare is the least share of a tier's dispatched tokens that late
	// requests receive, so that they do not starve.
	minLateShare = 0.1
	// defaultQueueTokens replaces a QueueTokens of zero, so that every queue is
	// bounded.
	defaultQueueTokens = 200_000
	// minShareFloor replaces smaller minimum shares. A tier with a share of zero
	// could wait behind higher tiers forever.
	minShareFloor = 0.01
	// maxShareSum is the largest sum of minimum shares. Larger sums are scaled
	// down, because shares that add up to more than 1 cannot all be met.
	maxShareSum = 0.95
)

// Queue holds the waiting and running requests of one daemon and model. It is
// not safe for concurrent use.
//
// Order of dispatch: among the tiers whose minimum-share credit covers their
// next request, the one with the largest credit goes first. Without such a
// tier, the highest tier with a request that can be placed goes first. Each
// dispatch of t tokens adds share*t to the credit of every tier with waiting
// requests and takes t from the credit of the dispatched tier, not below zero.
//
// Bound on waiting: let n be the number of tiers and L the largest request in
// tokens. While no credit reaches L, the credits sum to less than n*L, and one
// dispatch adds at most L in total. Once a credit reaches L, only tiers with
// credit are dispatched, and each such dispatch lowers the sum because the
// shares add up to less than 1. So no credit exceeds (n+1)*L, and a tier with
// share s and waiting requests that can be placed receives at least
// s*W - (n+1)*L of any W dispatched tokens. Its next request starts after at
// most (n+2)*L/s dispatched tokens. Dispatches to slots that a preemption freed
// come on top: at most one per dispatch of a lower tier, and at most
// maxPreemptions per preempted request.
type Queue struct {
	tiers            []*tier
	groups           map[uint64]*group
	expiry           indexedHeap[*Request]
	waiting          int
	seq              uint64
	epoch            uint64
	blockedGroups    int // groups that the Next call of this epoch could not place
	maxRequestTokens int64
	dispatchRate     rate // tokens dispatched
	finishRate       rate // requests finished
	running          int
	// reservedSlots lists the waiting requests for which a victim freed its slot,
	// oldest first.
	reservedSlots []*Request
}

// NewQueue returns an empty queue for the tiers of a policy, by rank.
func NewQueue(tiers []policy.Tier) *Queue {
	q := &Queue{
		groups: map[uint64]*group{},
		expiry: indexedHeap[*Request]{
			less:  func(a, b *Request) bool { return a.expiresAt().Before(b.expiresAt()) },
			index: func(r *Request) *int { return &r.expiryIndex },
		},
	}
	q.Configure(tiers)
	return q
}

// Configure applies changed tiers; waiting and running requests stay. Tiers
// that were removed keep their requests, as the lowest tiers.
func (q *Queue) Configure(tiers []policy.Tier) {
	for len(q.tiers) < len(tiers) {
		q.tiers = append(q.tiers, newTier(len(q.tiers)))
	}
	sum := 0.0
	for i, t := range q.tiers {
		t.minShare, t.preempts = minShareFloor, false
		if i < len(tiers) {
			t.minShare = max(minShareFloor, tiers[i].MinShare)
			t.preempts = tiers[i].Preempts
		}
		sum += t.minShare
	}
	if sum > maxShareSum {
		for _, t := range q.tiers {
			t.minShare *= maxShareSum / sum
		}
	}
	bound := int64(0)
	for i := len(q.tiers) - 1; i >= 0; i-- {
		if i < len(tiers) {
			bound += queueTokens(tiers[i])
		}
		q.tiers[i].cumulativeBound = bound
	}
}

func queueTokens(t policy.Tier) int64 {
	if t.QueueTokens > 0 {
		return int64(t.QueueTokens)
	}
	return defaultQueueTokens
}

func newTier(rank int) *tier {
	return &tier{
		rank:      rank,
		customers: map[domain.CustomerID]*customer{},
		byLoad: indexedHeap[*customer]{
			less:  func(a, b *customer) bool { return a.load() > b.load() },
			index: func(c *customer) *int { return &c.loadIndex },
		},
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting }

// Running returns the number of requests dispatched and not finished.
func (q *Queue) Running() int { return q.running }

// TierLoad counts the waiting and running requests of a tier.
type TierLoad struct {
	Waiting       int
	WaitingTokens int64
	Running       int
}

// Load returns the load of the tier with the given rank.
func (q *Queue) Load(rank int) TierLoad {
	if rank < 0 || rank >= len(q.tiers) {
		return TierLoad{}
	}
	t := q.tiers[rank]
	return TierLoad{Waiting: t.waiting, WaitingTokens: t.waitingTokens, Running: len(t.running)}
}

// Offer queues a new request or sheds it. To make room it may shed other
// requests or ask for a preemption; see Decision. A rank without a tier counts
// as the lowest tier. Offering a request twice panics.
func (q *Queue) Offer(now time.Time, r *Request) Decision {
	if r.state != stateNew {
		panic("admission: request " + string(r.ID) + " was offered twice")
	}
	r.Rank = min(max(r.Rank, 0), len(q.tiers)-1)
	if r.Arrived.IsZero() {
		r.Arrived = now
	}
	d := q.makeRoom(now, r)
	if d.Action != ActionQueue {
		r.state = stateDone
		return d
	}
	q.seq++
	r.seq = q.seq
	r.late = r.missesTarget(now)
	q.insert(r)
	return d
}

// Next removes and returns the request to dispatch. The ready function picks an
// upstream for a request, normally by Router.Pick, and returns false when no
// upstream of its group has room; nil accepts every request. It must not call
// the Queue. The second result is false when nothing can be dispatched. Call
// Next until it returns false whenever a request was offered, finished or put
// back, and whenever upstreams may have room again (load report, new routing
// table, end of a pause).
func (q *Queue) Next(now time.Time, ready func(*Request) bool) (Decision, bool) {
	q.epoch++
	q.blockedGroups = 0
	for q.blockedGroups < len(q.groups) {
		r, reason := q.choose(now)
		if r == nil {
			return Decision{}, false
		}
		if ready == nil || ready(r) {
			return q.dispatch(now, r, reason), true
		}
		r.flow.group.blocked = q.epoch
		q.blockedGroups++
	}
	return Decision{}, false
}

// choose returns the request to place next, and the reason.
func (q *Queue) choose(now time.Time) (*Request, Reason) {
	if r := q.firstReserved(now); r != nil {
		return r, ReasonWouldMissTarget
	}
	var belowShare, highest *Request
	credit := 0.0
	for _, t := range q.tiers {
		r := t.peek(now, q.epoch)
		if r == nil {
			continue
		}
		if highest == nil {
			highest = r
		}
		if t.credit >= float64(r.tokens()) && t.credit > credit {
			belowShare, credit = r, t.credit
		}
	}
	if belowShare != nil && belowShare != highest {
		return belowShare, ReasonMinShare
	}
	return highest, ReasonTierOrder
}

// firstReserved returns the oldest request with a reserved slot that can still
// meet its target and whose group is not blocked. Without the reservation, a
// tier below its minimum share could take a slot that was freed for a request
// of a higher tier.
func (q *Queue) firstReserved(now time.Time) *Request {
	q.reservedSlots = slices.DeleteFunc(q.reservedSlots, func(r *Request) bool {
		r.slotReserved = r.slotReserved && !r.missesTarget(now)
		return !r.slotReserved
	})
	for _, r := range q.reservedSlots {
		if r.flow.group.blocked != q.epoch {
			return r
		}
	}
	return nil
}

func (q *Queue) dispatch(now time.Time, r *Request, reason Reason) Decision {
	t := q.tiers[r.Rank]
	d := Decision{Action: ActionDispatch, Reason: reason, Request: r, Late: r.late}
	d.Alternatives.Credit = t.credit
	for _, other := range q.tiers {
		if other.waiting > 0 {
			d.Alternatives.WaitingTiers++
		}
	}
	q.charge(t, r)
	r.flow.queue.deficit -= float64(r.tokens())
	q.remove(r)
	q.resolvePreemption(r)
	q.dispatchRate.add(now, float64(r.tokens()))
	r.state, r.dispatchedAt = stateRunning, now
	r.runIndex = len(t.running)
	t.running = append(t.running, r)
	q.running++
	return d
}

// charge updates the credits for the dispatch of r from tier t.
func (q *Queue) charge(t *tier, r *Request) {
	size := float64(r.tokens())
	maxCredit := float64(q.maxRequestTokens) * float64(len(q.tiers)+1)
	for _, other := range q.tiers {
		if other.waiting > 0 {
			other.credit = min(other.credit+other.minShare*size, maxCredit)
		}
	}
	t.credit = max(t.credit-size, 0)
	if t.bands[bandLate].waiting == 0 {
		return
	}
	t.lateCredit = min(t.lateCredit+minLateShare*size, 2*float64(q.maxRequestTokens))
	if r.late {
		t.lateCredit = max(t.lateCredit-size, 0)
	}
}

// Remove takes a waiting request out of the queue, because its caller
// disconnected or its deadline passed. It reports whether the request was
// waiting.
func (q *Queue) Remove(r *Request) bool {
	if r.state != stateWaiting {
		return false
	}
	q.remove(r)
	q.resolvePreemption(r)
	r.state = stateDone
	return true
}

// Finish ends a running request. It reports whether the request was running.
func (q *Queue) Finish(now time.Time, r *Request) bool {
	if r.state != stateRunning {
		return false
	}
	q.stopRunning(r)
	q.resolvePreemption(r)
	r.state = stateDone
	q.finishRate.add(now, 1)
	return true
}

// RequeuePreempted puts a preempted request back at the head of its customer's
// queue. Tokens may first be lowered to the tokens that remain. The request is
// never shed or expired afterwards, because its caller may have received a part
// of the response. It reports whether the request was running.
func (q *Queue) RequeuePreempted(_ time.Time, r *Request) bool {
	if r.state != stateRunning {
		return false
	}
	q.stopRunning(r)
	r.preemptions++
	r.late = false
	q.resolvePreemption(r)
	q.insert(r)
	return true
}

// RequeueUnstarted puts back a dispatched request that its upstream turned away
// before running it. The request keeps its order by due time. It reports whether
// the request was running.
func (q *Queue) RequeueUnstarted(now time.Time, r *Request) bool {
	if r.state != stateRunning {
		return false
	}
	q.stopRunning(r)
	q.resolvePreemption(r)
	r.late = r.preemptions == 0 && r.missesTarget(now)
	q.insert(r)
	return true
}

// resolvePreemption ends the pending preemption of which r is the preemptor or
// the victim. The slot of a victim is reserved for its preemptor.
func (q *Queue) resolvePreemption(r *Request) {
	r.slotReserved = false
	if r.victim != nil {
		r.victim.preemptor, r.victim = nil, nil
	}
	if b := r.preemptor; b != nil {
		b.victim, r.preemptor = nil, nil
		b.slotReserved = true
		q.reservedSlots = append(q.reservedSlots, b)
	}
}

func (q *Queue) stopRunning(r *Request) {
	t := q.tiers[r.Rank]
	last := len(t.running) - 1
	t.running[r.runIndex] = t.running[last]
	t.running[r.runIndex].runIndex = r.runIndex
	t.running[last] = nil
	t.running = t.running[:last]
	q.running--
}

// Expire removes the requests whose MaxWait has passed, and returns a decision
// for each.
func (q *Queue) Expire(now time.Time) []Decision {
	var out []Decision
	for q.expiry.len() > 0 && !now.Before(q.expiry.items[0].expiresAt()) {
		r := q.expiry.items[0]
		q.Remove(r)
		out = append(out, Decision{
			Action: ActionExpire, Reason: ReasonMaxWait, Request: r,
			RetryAfter: q.RetryAfter(now, r.Rank),
		})
	}
	return out
}

// NextExpiry returns the next time at which a request expires, or false if none
// does.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if q.expiry.len() == 0 {
		return time.Time{}, false
	}
	return q.expiry.items[0].expiresAt(), true
}

func (r *Request) expiresAt() time.Time { return r.Arrived.Add(r.MaxWait) }
