package routing

// SlotFilter excludes upstreams where this daemon's share of the slots is used
// and none can be borrowed, and those where the request would use slots that
// are kept for more urgent work.
type SlotFilter struct{}

// Check implements Filter.
func (SlotFilter) Check(q *Query, u *Upstream) Reason {
	if u.State.running.Load() >= u.State.limit(q.Now, u.Share) {
		return ReasonSlots
	}
	if q.Headroom > 0 && u.Slots > 0 {
		open := max(float64(u.Slots-u.reserved(q.Headroom)), 1)
		if u.State.Estimate.Requests(q.Now, u.Sharers)+1 > open {
			return ReasonHeadroom
		}
	}
	return Keep
}
