package balancer

import (
	"sync"
	"time"
)

// Result is how a request at an upstream ended.
type Result uint8

const (
	// OK means that the response was complete.
	OK Result = iota
	// Refused means that the upstream did not run the request.
	Refused
	// Failed means that the upstream was not reached, sent an error or ended the
	// response early.
	Failed
	// AddressReused means that another process responded at the upstream's address.
	AddressReused
	// Abandoned means that the caller disconnected or the deadline passed. It says
	// nothing about the upstream.
	Abandoned
)

// Reservation is one request at an upstream, from the pick to its end.
type Reservation struct {
	b          *Balancer
	u          *upstream
	s          *service
	route      string
	started    time.Time
	uncached   int
	prefilling bool
	// predicted is the time to the first event at the usual pace.
	predicted time.Duration
	// trying is set while this is the first request after a pause, without a response.
	trying bool
	once   sync.Once
}

func (b *Balancer) reserve(now time.Time, u *upstream, s *service, q Query, uncached int) *Reservation {
	u.inFlight++
	r := &Reservation{b: b, u: u, s: s, route: q.Route, started: now, uncached: uncached}
	r.beginTry()
	if !q.Prompt.empty() {
		r.prefilling = true
		r.predicted = u.predictFirstEvent(now, s, uncached)
		u.prefillTokens += uncached
		u.cache.add(&q.Prompt)
		s.speed.observeSize(uncached)
	}
	return r
}

// FirstEvent records the start of the response.
func (r *Reservation) FirstEvent(now time.Time) {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	if !r.prefilling {
		return
	}
	r.s.speed.observe(r.uncached, now.Sub(r.started))
	r.s.predictor.observeFirstEvent(now, r.route, now.Sub(r.started))
	r.s.observeRampUpAnswer(now, r.u, now.Sub(r.started), r.predicted)
	r.endPrefill()
}

func (r *Reservation) endPrefill() {
	if r.prefilling {
		r.prefilling = false
		r.u.prefillTokens -= r.uncached
	}
}

// ObserveLoad records the load report in the upstream's response.
func (r *Reservation) ObserveLoad(now time.Time, load Load) {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	r.b.recordReport(now, r.u, load)
}

// Done releases the reservation. Later calls have no effect.
func (r *Reservation) Done(now time.Time, result Result) {
	r.once.Do(func() {
		r.b.mu.Lock()
		defer r.b.mu.Unlock()
		r.u.inFlight--
		r.endTry()
		r.endPrefill()
		r.u.health.observe(now, result)
		if r.u.health.ejected(now) {
			r.u.ramp.recover(r.u.health.ejectedUntil)
		}
		if result == Refused {
			// Whatever load it reports, it takes no requests. This is passed on to
			// peers as well.
			full := max(r.u.Slots, 1)
			r.b.recordReport(now, r.u, Load{
				Running: max(r.u.report.Running, full), Waiting: max(r.u.report.Waiting, full), Slots: r.u.report.Slots,
			})
		}
	})
}
