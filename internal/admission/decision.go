package admission

import "time"

// Action is what the queue does with a request.
type Action uint8

const (
	// ActionQueue puts the request into the queue.
	ActionQueue Action = iota + 1
	// ActionShed sheds an arriving or a waiting request because the queue is
	// full. The request fails with the outcome not-run.
	ActionShed
	// ActionDispatch removes the request from the queue to run it.
	ActionDispatch
	// ActionExpire removes the request because its MaxWait passed.
	ActionExpire
	// ActionPreempt stops a running request; it returns to the queue.
	ActionPreempt
)

var actionNames = [...]string{"", "queue", "shed", "dispatch", "expire", "preempt"}

func (a Action) String() string { return actionNames[a] }

// Reason is the reason for an Action.
type Reason uint8

const (
	// ReasonRoom: the request fits within the queue bound.
	ReasonRoom Reason = iota + 1
	// ReasonDisplacedLowerTier: queued requests of lower tiers were shed to
	// make room.
	ReasonDisplacedLowerTier
	// ReasonDisplacedHeaviestCustomer: queued requests of a customer of the
	// same tier that uses more of the queue were shed to make room.
	ReasonDisplacedHeaviestCustomer
	// ReasonPreemptsLowerTier: a running request of a lower tier is preempted
	// to make room.
	ReasonPreemptsLowerTier
	// ReasonHigherTierArrived: shed to make room for an arriving request of a
	// higher tier.
	ReasonHigherTierArrived
	// ReasonHeaviestCustomer: shed because its customer uses the most of the
	// tier's queue relative to its weight.
	ReasonHeaviestCustomer
	// ReasonQueueFull: the queue is full, and removing all that the request
	// may displace would not make room for it.
	ReasonQueueFull
	// ReasonMinShare: the tier received less than its minimum share.
	ReasonMinShare
	// ReasonTierOrder: the request is of the highest tier with a request that
	// can be placed.
	ReasonTierOrder
	// ReasonMaxWait: the class's maximum queueing time passed.
	ReasonMaxWait
	// ReasonWouldMissTarget: a request of a higher tier would otherwise miss
	// its target.
	ReasonWouldMissTarget
)

var reasonNames = [...]string{
	"", "room", "displaced_lower_tier", "displaced_heaviest_customer",
	"preempts_lower_tier", "higher_tier_arrived", "heaviest_customer",
	"queue_full", "minimum_share", "tier_order", "max_wait", "would_miss_target",
}

func (r Reason) String() string { return reasonNames[r] }

// Alternatives holds the figures that a decision was based on, for the decision
// log. Token counts are estimates.
type Alternatives struct {
	// OverTokens is by how much the request would exceed the queue bound.
	OverTokens int64
	// LowerQueuedTokens is the number of queued tokens of lower tiers that may
	// be shed.
	LowerQueuedTokens int64
	// LowerRunning counts running requests of lower tiers. Preemptible counts
	// those in the victim's tier that may be preempted for this request.
	LowerRunning, Preemptible int
	// SameTierTokens is the number of queued tokens that may be shed from
	// customers of the same tier that use more of its queue.
	SameTierTokens int64
	// WaitingTiers is the number of tiers with waiting requests at a dispatch.
	WaitingTiers int
	// Credit is the minimum-share credit of the dispatched request's tier, in
	// tokens.
	Credit float64
}

// Decision is what the queue decided for one request, and why.
type Decision struct {
	Action  Action
	Reason  Reason
	Request *Request
	// Late reports whether the dispatched request can no longer meet its
	// target. It is not set for requests that were preempted.
	Late bool
	// Shed lists the requests that were removed from the queue for this one.
	// The caller fails them with the outcome not-run.
	Shed []Decision
	// Preempt is the running request to stop for this one, or nil. The caller
	// stops it and calls RequeuePreempted, or Finish if it ended meanwhile.
	Preempt *Request
	// RetryAfter is set when Action is ActionShed or ActionExpire.
	RetryAfter   time.Duration
	Alternatives Alternatives
}
