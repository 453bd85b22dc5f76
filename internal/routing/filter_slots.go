package routing

// SlotFilter excludes upstreams where this daemon's share of the slots is used
// and none can be borrowed. Tiers that do not preempt borrow less.
type SlotFilter struct{}

// Check implements Filter.
func (SlotFilter) Check(q *Query, u *Upstream) Reason {
	allowance := &u.State.allowance
	if q.Route.Tier != nil && !preempts(q) {
		allowance = &u.State.lowAllowance
	}
	if u.State.running.Load() >= u.State.limitBy(q.Now, u.Share, allowance) {
		return ReasonNoSlot
	}
	return Keep
}

// preempts reports whether the request's tier preempts.
func preempts(q *Query) bool {
	return q.Route.Tier != nil && q.Route.Tier.Preempts
}
