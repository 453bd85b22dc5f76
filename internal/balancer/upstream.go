package balancer

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/inventory"
)

const (
	// reportMaxAge is how long a load report counts. Streams of the slowest
	// class last a few seconds, so an older report says nothing of now.
	reportMaxAge = 3 * time.Second
	// crossZoneRTT and crossRegionCost are the typical times of the way to an
	// upstream in another zone or region and back.
	crossZoneRTT   = 2 * time.Millisecond
	crossRegionRTT = 25 * time.Millisecond
	// decodeDelay is the delay that one more running request adds to the first
	// event of a new one, through longer engine steps.
	decodeDelay = 3 * time.Millisecond
	// plainServiceTime is the assumed service time of one request at a plain service.
	plainServiceTime = 40 * time.Millisecond
	// prefillWeight counts the reading of uncached tokens more than once,
	// because it delays every request that runs on the same engine.
	prefillWeight = 4.0
	// pressureWeight raises rereadWeight when requests wait at all engines.
	pressureWeight = 8.0
)

// upstream is one entry with what this daemon knows of it.
type upstream struct {
	inventory.Entry
	rtt time.Duration
	// position is the place in the order from which the pools are formed, or -1
	// for an upstream that belongs to none.
	position int
	hash     uint64
	cache    prefixCache
	// joinedAt is when the engine joined the others; zero if it was in the
	// first list. switchedAt is when it came from the other pool.
	joinedAt   time.Time
	switchedAt time.Time
	health     health
	// inFlight is the number of requests that this daemon has there.
	inFlight int
	// prefillTokens is the number of prompt tokens that this daemon sent and whose
	// requests have no first event yet.
	prefillTokens int

	report   Load
	reportAt time.Time
	// inFlightAtReport and readingAtReport are inFlight and reading when the report
	// arrived.
	inFlightAtReport int
	prefillAtReport  int
}

// inPool reports whether the upstream is among the first size.
func (u *upstream) inPool(size int) bool { return u.position >= 0 && u.position < size }

// cost estimates the delay until a request's first event, with the reading of
// uncached tokens weighed by the harm to other requests.
func (u *upstream) cost(now time.Time, s *service, p *Prompt, uncached int) time.Duration {
	weight := u.reportWeight(now)
	if p.empty() {
		return u.plainCost(weight * u.othersReported())
	}
	others := weight*u.othersReported() + (1-weight)*s.load.running
	waiting := weight*float64(u.report.Waiting) + (1-weight)*s.load.waiting
	// A report counts what this daemon had sent before it.
	known := int(weight * float64(u.prefillAtReport))
	cost := s.speed.duration(max(u.prefillTokens-known, 0))
	// Reading takes more from others the more of the engines have requests
	// waiting: there is no idle engine to move to.
	reread := prefillWeight * (1 + pressureWeight*s.load.pressure)
	cost += time.Duration(float64(s.speed.duration(uncached)) * reread)
	cost += time.Duration(waiting * float64(s.speed.duration(s.speed.typicalSize())))
	cost += time.Duration((others + float64(u.inFlight)) * float64(decodeDelay))
	return cost
}

// plainCost is the expected wait in the upstream's queue.
func (u *upstream) plainCost(others float64) time.Duration {
	slots := max(u.Slots, 1)
	load := others + float64(u.inFlight)
	cost := load / float64(slots) * float64(plainServiceTime)
	if over := load - float64(slots) + 1; over > 0 {
		cost += over / float64(slots) * float64(plainServiceTime)
	}
	return time.Duration(cost)
}

// reportWeight fades a report out with its age.
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

// othersReported is the number of requests of other daemons in the report.
func (u *upstream) othersReported() float64 {
	return float64(max(u.report.Running+u.report.Waiting-u.inFlightAtReport, 0))
}

func (u *upstream) reportAge(now time.Time) time.Duration {
	if u.reportAt.IsZero() {
		return -1
	}
	return now.Sub(u.reportAt)
}
