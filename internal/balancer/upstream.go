package balancer

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/inventory"
)

const (
	// reportMaxAge is the age from which a load report is ignored. Streams of the
	// slowest class last a few seconds, so an older report says nothing about the
	// present load.
	reportMaxAge = 3 * time.Second
	// crossZoneRTT and crossRegionRTT are the typical round-trip times to an
	// upstream in another zone or region.
	crossZoneRTT   = 2 * time.Millisecond
	crossRegionRTT = 25 * time.Millisecond
	// decodeDelay is the delay that each running request adds to the first event of
	// a new one, through longer engine steps.
	decodeDelay = 3 * time.Millisecond
	// plainServiceTime is the assumed service time of one request at a plain
	// service.
	plainServiceTime = 40 * time.Millisecond
	// prefillWeight multiplies the prefill time of uncached tokens, because it
	// delays every request that runs on the same engine.
	prefillWeight = 4.0
	// pressureWeight raises prefillWeight while requests wait at the engines.
	pressureWeight = 8.0
)

// upstream is one entry of the inventory with what this daemon knows about it.
type upstream struct {
	inventory.Entry
	rtt time.Duration
	// position is the index among the service's serving upstreams in pool order,
	// or -1 for an upstream that belongs to no pool.
	position int
	hash     uint64
	cache    prefixCache
	// joinedAt is when the engine joined the service; zero if that was before the
	// service's first request. switchedAt is when it last changed pools.
	joinedAt   time.Time
	switchedAt time.Time
	health     health
	ramp       rampUp
	// heldBack is set during a pick if the ramp-up keeps the request from the upstream.
	heldBack bool
	// said is what its process has said about new requests.
	said *availability
	// inFlight is the number of requests of this daemon at the upstream.
	inFlight int
	// prefillTokens is the number of uncached prompt tokens of this daemon's
	// requests that have no first event yet.
	prefillTokens int

	report   Load
	reportAt time.Time
	// inFlightAtReport and prefillAtReport are the values of inFlight and
	// prefillTokens when the report arrived.
	inFlightAtReport int
	prefillAtReport  int
}

// inPool reports whether the upstream is among the first size ones in pool order.
func (u *upstream) inPool(size int) bool { return u.position >= 0 && u.position < size }

// cost estimates the delay until a request's first event. The prefill of uncached
// tokens is weighted for the delay that it causes to other requests.
func (u *upstream) cost(now time.Time, s *service, p *Prompt, uncached int) time.Duration {
	weight := u.reportWeight(now)
	if p.empty() {
		return u.plainCost(weight * u.othersReported())
	}
	others := weight*u.othersReported() + (1-weight)*s.load.running
	waiting := weight*float64(u.report.Waiting) + (1-weight)*s.load.waiting
	// The report already includes what this daemon had sent before it.
	reported := int(weight * float64(u.prefillAtReport))
	cost := s.speed.duration(max(u.prefillTokens-reported, 0))
	// A prefill harms other requests more, the more engines have requests waiting:
	// there is no idle engine for them to move to.
	factor := prefillWeight * (1 + pressureWeight*s.load.pressure)
	cost += time.Duration(float64(s.speed.duration(uncached)) * factor)
	cost += time.Duration(waiting * float64(s.speed.duration(s.speed.typicalSize())))
	cost += time.Duration((others + float64(u.inFlight)) * float64(decodeDelay))
	return cost
}

// plainCost estimates the cost at an upstream of a plain service: it grows with the
// share of slots in use, and twice as fast once all are.
func (u *upstream) plainCost(others float64) time.Duration {
	slots := max(u.Slots, 1)
	load := others + float64(u.inFlight)
	cost := load / float64(slots) * float64(plainServiceTime)
	if excess := load - float64(slots) + 1; excess > 0 {
		cost += excess / float64(slots) * float64(plainServiceTime)
	}
	return time.Duration(cost)
}

// reportWeight returns the weight of the load report, which falls linearly from 1
// to 0 at reportMaxAge.
func (u *upstream) reportWeight(now time.Time) float64 {
	if u.reportAt.IsZero() {
		return 0
	}
	age := now.Sub(u.reportAt)
	if age >= reportMaxAge {
		return 0
	}
	return 1 - float64(age)/float64(reportMaxAge)
}

// othersReported returns the number of requests of other daemons in the load report.
func (u *upstream) othersReported() float64 {
	return float64(max(u.report.Running+u.report.Waiting-u.inFlightAtReport, 0))
}

func (u *upstream) reportAge(now time.Time) time.Duration {
	if u.reportAt.IsZero() {
		return -1
	}
	return now.Sub(u.reportAt)
}
