package balancer

import "time"

const (
	// failuresToAvoid is the number of failures in a row after which an
	// upstream is avoided while others can take the request.
	failuresToAvoid = 2
	// firstAvoidance is how long an upstream is avoided at first; it doubles
	// with each further failure up to maxAvoidance.
	firstAvoidance = 500 * time.Millisecond
	maxAvoidance   = 4 * time.Second
)

// health follows the failures of one upstream as this daemon sees them.
type health struct {
	failures int
	until    time.Time
}

func (h *health) observe(now time.Time, result Result) {
	switch result {
	case OK:
		h.failures = 0
		h.until = time.Time{}
	case Failed:
		h.failures++
		if h.failures >= failuresToAvoid {
			h.until = now.Add(h.avoidance())
		}
	case Refused, Abandoned:
	}
}

func (h *health) avoidance() time.Duration {
	d := firstAvoidance
	for range h.failures - failuresToAvoid {
		if d >= maxAvoidance {
			return maxAvoidance
		}
		d *= 2
	}
	return min(d, maxAvoidance)
}

func (h *health) avoided(now time.Time) bool { return now.Before(h.until) }
