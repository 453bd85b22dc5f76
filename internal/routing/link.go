package routing

import (
	"sync/atomic"
	"time"
)

// linkPause is how long the link to a region is not used after attempts at two
// of its upstreams failed without an answer.
const linkPause = 2 * time.Second

// linkSilence is how long no load report of a region may arrive before it is
// not used.
const linkSilence = 3 * time.Second

// link is what this daemon knows about the way to another region. All
// upstreams there share it: when one cannot be reached, the next attempt would
// likely lose the same time on another. A nil link is the own region.
type link struct {
	distrustedUntil atomic.Int64 // Unix ns
	failedAt        atomic.Int64 // Unix ns
	failedLot       atomic.Uint64
	heardAt         atomic.Int64 // Unix ns; 0 before the first report
}

// heard records a load report from the region.
func (l *link) heard(now time.Time) {
	if l != nil {
		l.heardAt.Store(now.UnixNano())
	}
}

// failed records an attempt without an answer at the upstream of a lot. Only
// failures of two upstreams tell of the link.
func (l *link) failed(now time.Time, lot uint64) {
	if l == nil {
		return
	}
	at := l.failedAt.Swap(now.UnixNano())
	if l.failedLot.Swap(lot) != lot && now.UnixNano()-at < int64(linkPause) {
		l.distrustedUntil.Store(now.Add(linkPause).UnixNano())
	}
}

func (l *link) answered() {
	if l != nil && l.distrustedUntil.Load() != 0 {
		l.distrustedUntil.Store(0)
	}
}

func (l *link) distrusted(now time.Time) bool {
	if l == nil {
		return false
	}
	if now.UnixNano() < l.distrustedUntil.Load() {
		return true
	}
	heard := l.heardAt.Load()
	return heard != 0 && now.UnixNano()-heard > int64(linkSilence)
}
