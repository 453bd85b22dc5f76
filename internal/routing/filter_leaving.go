package routing

// LeavingFilter excludes upstreams that are draining or have left.
type LeavingFilter struct{}

// Check implements Filter.
func (LeavingFilter) Check(_ *Query, u *Upstream) Reason {
	if u.Leaving || u.State.Leaving() {
		return ReasonLeaving
	}
	return Keep
}
