package balancer

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/backoff"
)

const (
	// failuresToEject is the number of failures in a row after which an
	// upstream is avoided while others can take the request.
	failuresToEject = 2
	// baseEjection is how long an upstream is avoided at first; it doubles
	// with each further failure up to maxAvoidance.
	baseEjection = 500 * time.Millisecond
	maxEjection  = 4 * time.Second
	// addressReusedEjection is how long an upstream is avoided whose address another process
	// has. Its registration goes after some heartbeats, unless the platform is
	// down meanwhile.
	addressReusedEjection = 10 * time.Second
	// refusalsToEject is the number of refusals in a row after which an
	// upstream is avoided. A refusal costs nothing, but one that says so at once
	// looks idle and draws all requests.
	refusalsToEject = 1
)

// ejectionBackoff has half of firstAvoidance as its floor, because a bound starts at
// twice the floor.
var ejectionBackoff = backoff.Policy{Floor: baseEjection / 2, Cap: maxEjection}

// health follows the failures of one upstream as this daemon sees them.
type health struct {
	failures     int
	refusals     int
	ejectedUntil time.Time
}

func (h *health) observe(now time.Time, result Result) {
	switch result {
	case OK:
		*h = health{}
	case Failed:
		h.failures++
		h.eject(now, h.failures-failuresToEject)
	case Refused:
		h.refusals++
		h.eject(now, h.refusals-refusalsToEject)
	case AddressReused:
		h.ejectedUntil = now.Add(addressReusedEjection)
	case Abandoned:
	}
}

// eject avoids the upstream for a time that doubles with each further failure
// behind the one that it is avoided for first. A negative number does nothing.
func (h *health) eject(now time.Time, further int) {
	if further >= 0 {
		h.ejectedUntil = now.Add(ejectionBackoff.Bound(further + 1))
	}
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }
