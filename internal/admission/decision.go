package admission

import "time"

// Action is what happens to a request.
type Action uint8

const (
	// ActionQueue accepts the request into the queue.
	ActionQueue Action = iota + 1
	// ActionShed refuses or removes the request; it is answered not-run.
	ActionShed
	// ActionDispatch starts the request.
	ActionDispatch
	// ActionExpire removes the request because it waited too long.
	ActionExpire
	// ActionPreempt stops a running request; it returns to the queue.
	ActionPreempt
)

var actionNames = [...]string{"", "queue", "shed", "dispatch", "expire", "preempt"}

func (a Action) String() string { return actionNames[a] }

// Reason says why an Action was chosen.
type Reason uint8

const (
	// ReasonRoom: the queue has room.
	ReasonRoom Reason = iota + 1
	// ReasonDisplacedLowerTier: lower-tier queued work was shed to make room.
	ReasonDisplacedLowerTier
	// ReasonDisplacedHeaviestCustomer: queued work of a customer of the same tier that
	// uses more of the queue was shed to make room.
	ReasonDisplacedHeaviestCustomer
	// ReasonPreemptsLowerTier: running lower-tier work is preempted to make room.
	ReasonPreemptsLowerTier
	// ReasonHigherTierArrived: shed for an arriving request of a higher tier.
	ReasonHigherTierArrived
	// ReasonHeaviestCustomer: shed because its customer uses the most of the
	// tier's queue.
	ReasonHeaviestCustomer
	// ReasonQueueFull: the queue is full and nothing that may be removed for
	// the request is left.
	ReasonQueueFull
	// ReasonMinShare: the tier was below its minimum share.
	ReasonMinShare
	// ReasonTierOrder: the most urgent tier with work that can be placed.
	ReasonTierOrder
	// ReasonMaxWait: the class's maximum waiting time passed.
	ReasonMaxWait
	// ReasonWouldMissTarget: a higher tier would otherwise miss its target.
	ReasonWouldMissTarget
)

var reasonNames = [...]string{
	"", "room", "displaced_lower_tier", "displaced_heaviest_customer",
	"preempts_lower_tier", "higher_tier_arrived", "heaviest_customer",
	"queue_full", "minimum_share", "tier_order", "max_wait", "would_miss_target",
}

func (r Reason) String() string { return reasonNames[r] }

// Alternatives lists what was considered before a decision, for the decision
// log. Token counts are estimates.
type Alternatives struct {
	// OverTokens is by how much the queue bound would be exceeded.
	OverTokens int64
	// LowerQueuedTokens could be shed from lower tiers.
	LowerQueuedTokens int64
	// LowerRunning counts running requests of lower tiers; Preemptible counts
	// those that may be preempted for this request.
	LowerRunning, Preemptible int
	// SameTierTokens could be shed from customers that use more of the tier's
	// queue.
	SameTierTokens int64
	// WaitingTiers is the number of tiers with waiting work at a dispatch.
	WaitingTiers int
	// Credit is the dispatched tier's minimum-share credit in tokens.
	Credit float64
}

// Decision is the typed result of one step, with its reason.
type Decision struct {
	Action  Action
	Reason  Reason
	Request *Request
	// Late marks a dispatch of a request that can no longer meet its target.
	Late bool
	// Shed lists requests removed from the queue for this one. The caller
	// answers them not-run.
	Shed []Decision
	// Preempt is the running request to stop for this one, or nil. The caller
	// stops it and calls Requeue, or Finish if it ended by itself.
	Preempt *Request
	// RetryAfter is set when Action is ActionShed or ActionExpire.
	RetryAfter   time.Duration
	Alternatives Alternatives
}
