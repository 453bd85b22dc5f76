package admission

import (
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
)

// Request is an entry of the Queue. The caller sets the exported fields before
// Offer and does not change them while the request is in the Queue, except
// Upstream and GeneratedTokens.
type Request struct {
	ID       domain.RequestID
	Customer domain.CustomerID
	// Weight is the customer's relative share of its tier. Zero means 1.
	Weight float64
	// Rank is the tier's rank; 0 is the highest tier.
	Rank int
	// Tokens is the estimated cost: prompt tokens plus expected response
	// tokens. Values below 1 count as 1.
	Tokens int
	// Group identifies the requests that the same upstreams can serve. When
	// one of them cannot be placed, Next skips the others.
	Group uint64
	// Route limits preemption for this request to requests that run on its
	// upstreams. Nil limits it to running requests of the same Group.
	Route *policy.Route
	// Arrived is when the daemon received the request. Offer sets it if zero.
	Arrived time.Time
	// Deadline is the time by which the first token is due. Zero means no
	// target.
	Deadline time.Time
	// TimeToFirstToken is the predicted time from dispatch to the first token.
	TimeToFirstToken time.Duration
	// MaxWait is the queueing time after which Expire removes the request.
	// Zero means no bound.
	MaxWait time.Duration
	// Upstream is the index in Policy.Upstreams of the upstream that runs the
	// request. The caller sets it when its ready function accepts the request.
	Upstream int
	// GeneratedTokens counts the tokens generated so far. Any goroutine may add
	// to it.
	GeneratedTokens atomic.Int64
	// Value is for the caller; the Queue does not use it.
	Value any

	seq          uint64
	state        state
	late         bool // queued behind the requests that can still meet their target
	preemptions  int
	preemptor    *Request // the waiting request that this one is preempted for
	victim       *Request // the running request that is preempted for this one
	slotReserved bool     // a victim's slot was freed for this request
	dispatchedAt time.Time
	cust         *customer
	flow         *flow
	flowIndex    int
	expiryIndex  int
	prev, next   *Request // sheddable requests of the customer by arrival
	runIndex     int
}

type state uint8

const (
	stateNew state = iota
	stateWaiting
	stateRunning
	stateDone
)

// Preemptions returns the number of times that the request was preempted.
func (r *Request) Preemptions() int { return r.preemptions }

// Waiting reports whether the request is queued.
func (r *Request) Waiting() bool { return r.state == stateWaiting }

func (r *Request) tokens() int64 { return int64(max(r.Tokens, 1)) }

func (r *Request) weight() float64 {
	if r.Weight > 0 {
		return r.Weight
	}
	return 1
}

// latestStart is the latest time of dispatch that meets the target.
func (r *Request) latestStart() time.Time { return r.Deadline.Add(-r.TimeToFirstToken) }

// missesTarget reports whether the request can no longer meet its target.
func (r *Request) missesTarget(now time.Time) bool {
	return !r.Deadline.IsZero() && now.After(r.latestStart())
}

// due is the time that orders the requests of a customer. Requests without a
// target are due untargetedDue after their arrival, so that later arrivals
// cannot overtake them forever.
func (r *Request) due() time.Time {
	if r.Deadline.IsZero() {
		return r.Arrived.Add(untargetedDue)
	}
	return r.Deadline
}

// before reports whether r goes before o within a customer: preempted requests
// first, then by due time, then by order of arrival.
func (r *Request) before(o *Request) bool {
	if (r.preemptions > 0) != (o.preemptions > 0) {
		return r.preemptions > 0
	}
	if a, b := r.due(), o.due(); !a.Equal(b) {
		return a.Before(b)
	}
	return r.seq < o.seq
}
