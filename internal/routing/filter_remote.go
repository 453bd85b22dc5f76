package routing

// RemoteFilter excludes remote upstreams until the request has waited for the
// remote penalty of its service level. Until then, waiting for a local upstream
// costs less than using a remote one. Tiers that preempt do not wait; for them
// only the scores account for the cost of a remote region.
type RemoteFilter struct{}

// Check implements Filter.
func (RemoteFilter) Check(q *Query, u *Upstream) Reason {
	if !u.Remote || q.WaitingSince.IsZero() || !q.Table.hasLocal || preempts(q) {
		return Keep
	}
	if level := q.Route.Level; level != nil && q.Now.Sub(q.WaitingSince) < level.RemotePenalty {
		return ReasonRemote
	}
	return Keep
}
