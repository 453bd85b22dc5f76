package balancer

import (
	"sync"
	"time"
)

// Result tells how a request at an upstream ended.
type Result uint8

const (
	// OK is a complete answer.
	OK Result = iota
	// Refused means that the upstream did not run the request.
	Refused
	// Failed means that the upstream broke off, sent an error or was not
	// reached.
	Failed
	// AddressReused means that another process answered at the upstream's address.
	AddressReused
	// Abandoned means that the caller left or the time was over; it says
	// nothing about the upstream.
	Abandoned
)

// Reservation is the place of one request at an upstream.
type Reservation struct {
	b          *Balancer
	u          *upstream
	s          *service
	route      string
	started    time.Time
	uncached   int
	prefilling bool
	once       sync.Once
}

func (b *Balancer) reserve(now time.Time, u *upstream, s *service, q Query, uncached int) *Reservation {
	u.inFlight++
	l := &Reservation{b: b, u: u, s: s, route: q.Route, started: now, uncached: uncached}
	if !q.Prompt.empty() {
		l.prefilling = true
		u.prefillTokens += uncached
		u.cache.add(&q.Prompt)
		s.speed.observeSize(uncached)
	}
	return l
}

// FirstEvent tells that the upstream has begun to answer.
func (l *Reservation) FirstEvent(now time.Time) {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	if !l.prefilling {
		return
	}
	l.s.speed.observe(l.uncached, now.Sub(l.started))
	l.s.predictor.observeFirstEvent(now, l.route, now.Sub(l.started))
	l.endPrefill()
}

func (l *Reservation) endPrefill() {
	if l.prefilling {
		l.prefilling = false
		l.u.prefillTokens -= l.uncached
	}
}

// ObserveLoad takes the load that the upstream stated in its answer.
func (l *Reservation) ObserveLoad(now time.Time, load Load) {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	l.b.recordReport(now, l.u, load)
}

// Done gives the place back. Later calls have no effect.
func (l *Reservation) Done(now time.Time, result Result) {
	l.once.Do(func() {
		l.b.mu.Lock()
		defer l.b.mu.Unlock()
		l.u.inFlight--
		l.endPrefill()
		l.u.health.observe(now, result)
		if result == Refused {
			// Whatever load it states, it has no room. Peers learn it too.
			full := max(l.u.Slots, 1)
			l.b.recordReport(now, l.u, Load{
				Running: max(l.u.report.Running, full), Waiting: max(l.u.report.Waiting, full), Slots: l.u.report.Slots,
			})
		}
	})
}
