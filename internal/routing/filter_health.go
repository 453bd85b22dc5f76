package routing

// HealthFilter excludes upstreams that are ejected, that are on probation with
// maxConcurrentProbes in flight, that refused a request within refusalBackoff,
// or whose region is considered unreachable.
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
