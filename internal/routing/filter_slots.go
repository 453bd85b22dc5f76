package routing

// SlotFilter excludes upstreams where this daemon's share of the slots is used
// and none can be borrowed.
type SlotFilter struct{}

// Check implements Filter.
func (SlotFilter) Check(q *Query, u *Upstream) Reason {
	if u.State.running.Load() >= u.State.limit(q.Now, u.Share) {
		return ReasonSlots
	}
	return Keep
}
