package balancer

import (
	"time"
)

// totalMaxAge is how long the work of all daemons counts after it was told.
const totalMaxAge = 3 * time.Second

// Work is the engine time per second that requests of a service need, in
// milliseconds.
type Work struct {
	Interactive float64
	Other       float64
}

// LoadReport is a load report and when it was stated.
type LoadReport struct {
	Load
	At time.Time
}

// hash32 identifies the upstream towards peers.
func (u *upstream) hash32() uint32 { return uint32(u.hash) }

// WorkByService returns the work that this daemon brings to each service of engines,
// zero before its first request.
func (b *Balancer) WorkByService(now time.Time) map[string]Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]Work)
	for name, s := range b.services {
		if s.hasEngines {
			out[name] = s.pools.localWork(now)
		}
	}
	return out
}

// SetTotalWork takes the work that all daemons bring to a service.
func (b *Balancer) SetTotalWork(now time.Time, service string, total Work) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.services[service]; s != nil {
		s.pools.total, s.pools.totalAt = total, now
	}
}

// TakeReports returns the load reports that upstreams gave this daemon since the
// last call, by the hash that peers know them by.
func (b *Balancer) TakeReports() map[uint32]LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.newReports
	b.newReports = make(map[uint32]LoadReport)
	return out
}

// MergeReports takes load reports that peers learned.
func (b *Balancer) MergeReports(reports map[uint32]LoadReport) {
	if len(reports) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, u := range b.upstreams {
		r, ok := reports[u.hash32()]
		if !ok || !r.At.After(u.reportAt) {
			continue
		}
		r.Slots = u.report.Slots
		b.applyReport(r.At, u, r.Load)
	}
}
