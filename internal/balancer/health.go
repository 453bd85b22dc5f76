package balancer

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/backoff"
)

const (
	// failuresToAvoid is the number of failures in a row after which an
	// upstream is avoided while others can take the request.
	failuresToAvoid = 2
	// firstAvoidance is how long an upstream is avoided at first; it doubles
	// with each further failure up to maxAvoidance.
	firstAvoidance = 500 * time.Millisecond
	maxAvoidance   = 4 * time.Second
	// absence is how long an upstream is avoided whose address another process
	// has. Its registration goes after some heartbeats, unless the platform is
	// down meanwhile.
	absence = 10 * time.Second
	// refusalsToAvoid is the number of refusals in a row after which an
	// upstream is avoided. A refusal costs nothing, but one that says so at once
	// looks idle and draws all requests.
	refusalsToAvoid = 1
)

// avoidance has half of firstAvoidance as its floor, because a bound starts at
// twice the floor.
var avoidance = backoff.Policy{Floor: firstAvoidance / 2, Cap: maxAvoidance}

// health follows the failures of one upstream as this daemon sees them.
type health struct {
	failures int
	refusals int
	until    time.Time
}

func (h *health) observe(now time.Time, result Result) {
	switch result {
	case OK:
		*h = health{}
	case Failed:
		h.failures++
		h.avoid(now, h.failures-failuresToAvoid)
	case Refused:
		h.refusals++
		h.avoid(now, h.refusals-refusalsToAvoid)
	case AddressReused:
		h.until = now.Add(absence)
	case Abandoned:
	}
}

// avoid avoids the upstream for a time that doubles with each further failure
// behind the one that it is avoided for first. A negative number does nothing.
func (h *health) avoid(now time.Time, further int) {
	if further >= 0 {
		h.until = now.Add(avoidance.Bound(further + 1))
	}
}

func (h *health) avoided(now time.Time) bool { return now.Before(h.until) }
