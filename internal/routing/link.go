package routing

import (
	"sync/atomic"
	"time"
)

// linkHoldDown is how long the link to a region counts as down after attempts at
// two of its upstreams failed before the first token. The two failures must be
// less than linkHoldDown apart.
const linkHoldDown = 2 * time.Second

// linkReportTimeout is how long after the last load report from a region its
// link counts as down.
const linkReportTimeout = 3 * time.Second

// link is the state of the network path to another region. All upstreams of the
// region share it: if one cannot be reached, an attempt at another would likely
// time out too. A nil link stands for the daemon's own region.
type link struct {
	downUntil       atomic.Int64  // Unix ns
	lastFailureAt   atomic.Int64  // Unix ns
	lastFailurePair atomic.Uint64 // State.pairHash of the upstream
	lastReportAt    atomic.Int64  // Unix ns; 0 before the first report
}

// recordReport records a load report from the region.
func (l *link) recordReport(now time.Time) {
	if l != nil {
		l.lastReportAt.Store(now.UnixNano())
	}
}

// recordFailure records an attempt that failed before the first token at the
// upstream with the given State.pairHash. Only failures at two different
// upstreams take the link down, because repeated failures of one upstream may be
// its own fault.
func (l *link) recordFailure(now time.Time, pairHash uint64) {
	if l == nil {
		return
	}
	previousAt := l.lastFailureAt.Swap(now.UnixNano())
	if l.lastFailurePair.Swap(pairHash) != pairHash && now.UnixNano()-previousAt < int64(linkHoldDown) {
		l.downUntil.Store(now.Add(linkHoldDown).UnixNano())
	}
}

// recordFirstToken records a first token from the region, which ends the hold-down.
func (l *link) recordFirstToken() {
	if l != nil && l.downUntil.Load() != 0 {
		l.downUntil.Store(0)
	}
}

// down reports whether the region is considered unreachable.
func (l *link) down(now time.Time) bool {
	if l == nil {
		return false
	}
	if now.UnixNano() < l.downUntil.Load() {
		return true
	}
	lastReport := l.lastReportAt.Load()
	return lastReport != 0 && now.UnixNano()-lastReport > int64(linkReportTimeout)
}
