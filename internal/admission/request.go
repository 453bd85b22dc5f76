package admission

import (
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
)

// Request is one request as the Queue sees it. The caller fills the exported
// fields before Offer and does not change them while the request is in the
// Queue, except Upstream and Progress.
type Request struct {
	ID       domain.RequestID
	Customer domain.CustomerID
	// Weight is the customer's relative share inside the tier. Zero means 1.
	Weight float64
	// Rank is the tier's rank; 0 is the most urgent.
	Rank int
	// Tokens is the estimated cost: prompt plus expected answer. Values below
	// 1 count as 1.
	Tokens int
	// Group marks requests that the same upstreams can serve. When one request
	// cannot be placed, Next skips the others of its group.
	Group uint64
	// Route limits the upstreams whose running work may be preempted for this
	// request. Nil means that any upstream serves it.
	Route *policy.Route
	// Arrived is when the request was accepted by the daemon.
	Arrived time.Time
	// Deadline is when the first token is due. Zero means no target.
	Deadline time.Time
	// TimeToFirstToken is the predicted time from dispatch to the first token.
	TimeToFirstToken time.Duration
	// MaxWait is the queue time after which Expire removes the request. Zero
	// means no bound.
	MaxWait time.Duration
	// Upstream is the index in Policy.Upstreams where the request runs. The
	// caller sets it while the ready function of Next accepts the request.
	Upstream int
	// GeneratedTokens counts generated tokens; any goroutine may add to it.
	GeneratedTokens atomic.Int64
	// Value belongs to the caller.
	Value any

	seq          uint64
	state        state
	late         bool // waits behind the requests that can meet their target
	preemptions  int
	preemptor    *Request // the request that this one is preempted for
	victim       *Request // the running request that is preempted for this one
	slotReserved bool     // the slot of a victim was freed for this one
	dispatchedAt time.Time
	cust         *customer
	flow         *flow
	flowIndex    int
	expiryIndex  int
	prev, next   *Request // the customer's requests by arrival
	runIndex     int
}

type state uint8

const (
	stateNew state = iota
	stateWaiting
	stateRunning
	stateDone
)

// Preemptions returns how often the request was preempted.
func (r *Request) Preemptions() int { return r.preemptions }

// Waiting reports whether the request is in the Queue.
func (r *Request) Waiting() bool { return r.state == stateWaiting }

func (r *Request) tokens() int64 { return int64(max(r.Tokens, 1)) }

func (r *Request) weight() float64 {
	if r.Weight > 0 {
		return r.Weight
	}
	return 1
}

// latestStart is the last moment of dispatch that still meets the target.
func (r *Request) latestStart() time.Time { return r.Deadline.Add(-r.TimeToFirstToken) }

// missesTarget reports whether the request can no longer meet its target.
func (r *Request) missesTarget(now time.Time) bool {
	return !r.Deadline.IsZero() && now.After(r.latestStart())
}

// due is the time that orders requests within a customer. Requests without a
// target get a late one, so that later arrivals cannot pass them forever.
func (r *Request) due() time.Time {
	if r.Deadline.IsZero() {
		return r.Arrived.Add(untargetedDue)
	}
	return r.Deadline
}

// before orders requests within a customer: preempted ones first, then by due
// time, then by arrival.
func (r *Request) before(o *Request) bool {
	if (r.preemptions > 0) != (o.preemptions > 0) {
		return r.preemptions > 0
	}
	if a, b := r.due(), o.due(); !a.Equal(b) {
		return a.Before(b)
	}
	return r.seq < o.seq
}
