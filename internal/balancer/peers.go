package balancer

import (
	"time"
)

// totalMaxAge is the age from which the total work of all daemons is ignored.
const totalMaxAge = 3 * time.Second

// Work is the engine time per second that requests of a service need, in
// milliseconds.
type Work struct {
	Interactive float64
	Other       float64
}

// LoadReport is the load of an upstream and when a daemon received it.
type LoadReport struct {
	Load
	At time.Time
}

// hash32 returns the hash that identifies the upstream in messages between peers.
func (u *upstream) hash32() uint32 { return uint32(u.hash) }

// WorkByService returns the work that arrives at this daemon for each service of
// engines, zero before its first request.
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

// SetTotalWork sets the work that arrives at all daemons for a service.
func (b *Balancer) SetTotalWork(now time.Time, service string, total Work) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.services[service]; s != nil {
		s.pools.total, s.pools.totalAt = total, now
	}
}

// TakeReports returns the load reports that this daemon received from upstreams since
// the last call, by hash32 of the upstream.
func (b *Balancer) TakeReports() map[uint32]LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.newReports
	b.newReports = make(map[uint32]LoadReport)
	return out
}

// MergeReports applies the load reports of peers that are newer than the known ones.
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
