package routing

// RemoteFilter keeps a request in its region until it has waited as long as
// the gain that its service level demands of a remote region. So a remote
// upstream is used only after a local one would have been worth the wait.
// Tiers that preempt do not wait: the price of the region is left to the
// scores.
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
