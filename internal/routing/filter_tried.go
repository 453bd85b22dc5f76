package routing

import "slices"

// TriedFilter excludes upstreams that the request already tried.
type TriedFilter struct{}

// Check implements Filter.
func (TriedFilter) Check(q *Query, u *Upstream) Reason {
	if slices.Contains(q.Tried, u.Index) {
		return ReasonTried
	}
	return Keep
}
