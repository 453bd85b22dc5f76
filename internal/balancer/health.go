package balancer

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/backoff"
)

const (
	// failuresToEject is the number of consecutive failures after which an upstream
	// is ejected: it gets no request while others are eligible.
	failuresToEject = 2
	// baseEjection is the length of the first ejection. It doubles with each further
	// failure, up to maxEjection.
	baseEjection = 500 * time.Millisecond
	maxEjection  = 4 * time.Second
	// addressReusedEjection is how long an upstream is ejected after another process
	// responded at its address. Its registration lapses after some heartbeats, unless
	// there is an outage of the platform's store meanwhile.
	addressReusedEjection = 10 * time.Second
	// refusalsToEject is the number of consecutive refusals after which an upstream
	// is ejected. A refusal costs nothing, but an upstream that refuses at once looks
	// idle and attracts all requests.
	refusalsToEject = 1
)

// ejectionBackoff has half of baseEjection as its floor, because the first bound is
// twice the floor.
var ejectionBackoff = backoff.Policy{Floor: baseEjection / 2, Cap: maxEjection}

// health tracks the failures of one upstream as seen by this daemon.
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

// eject ejects the upstream for a time that doubles with each of the further failures
// after the first that ejects it. It does nothing if further is negative.
func (h *health) eject(now time.Time, further int) {
	if further >= 0 {
		h.ejectedUntil = now.Add(ejectionBackoff.Bound(further + 1))
	}
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }
