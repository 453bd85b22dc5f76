package routing

import (
	"sync/atomic"
	"time"
)

// linkHoldDown is how long the link to a region is not used after attempts at two
// of its upstreams failed without an answer.
const linkHoldDown = 2 * time.Second

// linkReportTimeout is how long no load report of a region may arrive before it is
// not used.
const linkReportTimeout = 3 * time.Second

// link is what this daemon knows about the way to another region. All
// upstreams there share it: when one cannot be reached, the next attempt would
// likely lose the same time on another. A nil link is the own region.
type link struct {
	downUntil       atomic.Int64 // Unix ns
	lastFailureAt   atomic.Int64 // Unix ns
	lastFailurePair atomic.Uint64
	lastReportAt    atomic.Int64 // Unix ns; 0 before the first report
}

// recordReport records a load report from the region.
func (l *link) recordReport(now time.Time) {
	if l != nil {
		l.lastReportAt.Store(now.UnixNano())
	}
}

// recordFailure records an attempt without an answer at the upstream of a lot. Only
// failures of two upstreams tell of the link.
func (l *link) recordFailure(now time.Time, pairHash uint64) {
	if l == nil {
		return
	}
	previousAt := l.lastFailureAt.Swap(now.UnixNano())
	if l.lastFailurePair.Swap(pairHash) != pairHash && now.UnixNano()-previousAt < int64(linkHoldDown) {
		l.downUntil.Store(now.Add(linkHoldDown).UnixNano())
	}
}

func (l *link) recordAnswer() {
	if l != nil && l.downUntil.Load() != 0 {
		l.downUntil.Store(0)
	}
}

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
