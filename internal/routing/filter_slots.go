package routing

// SlotFilter excludes upstreams where this daemon's share of the slots is in use
// and no slot can be borrowed. Tiers that do not preempt can borrow less.
type SlotFilter struct{}

// Check implements Filter.
func (SlotFilter) Check(q *Query, u *Upstream) Reason {
	borrowLimit := &u.State.borrowLimit
	if q.Route.Tier != nil && !preempts(q) {
		borrowLimit = &u.State.lowTierBorrowLimit
	}
	if u.State.inFlight.Load() >= u.State.limitWith(q.Now, u.Share, borrowLimit) {
		return ReasonNoSlot
	}
	return Keep
}

// preempts reports whether the request's tier preempts.
func preempts(q *Query) bool {
	return q.Route.Tier != nil && q.Route.Tier.Preempts
}
