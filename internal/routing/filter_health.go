package routing

// HealthFilter excludes ejected upstreams, upstreams on probation without a
// free probe, and upstreams that refused a request moments ago.
type HealthFilter struct{}

// Check implements Filter.
func (HealthFilter) Check(q *Query, u *Upstream) Reason {
	if q.Now.UnixNano() < u.State.refusedUntil.Load() {
		return ReasonRefusing
	}
	return u.State.health.usable(q.Now)
}
