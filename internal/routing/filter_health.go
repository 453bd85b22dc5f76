package routing

// HealthFilter excludes ejected upstreams, upstreams on probation without a
// free probe, upstreams that refused a request moments ago, and regions that
// could not be reached moments ago.
type HealthFilter struct{}

// Check implements Filter.
func (HealthFilter) Check(q *Query, u *Upstream) Reason {
	if q.Now.UnixNano() < u.State.backoffUntil.Load() {
		return ReasonRefusing
	}
	if u.State.link.down(q.Now) {
		return ReasonLinkDown
	}
	return u.State.health.check(q.Now)
}
