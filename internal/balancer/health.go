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
	// refusalsToAvoid is the number of refusals in a row after which an
	// upstream is avoided. A refusal costs nothing, but one that says so at once
	// looks idle and draws all requests.
	refusalsToAvoid = 1
)

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
		if h.failures >= failuresToAvoid {
			h.until = now.Add(avoidance(h.failures - failuresToAvoid))
		}
	case Refused:
		h.refusals++
		if h.refusals >= refusalsToAvoid {
			h.until = now.Add(avoidance(h.refusals - refusalsToAvoid))
		}
	case Abandoned:
	}
}

// avoidance is how long an upstream is avoided after it has failed a number of
// times since it was avoided first.
func avoidance(further int) time.Duration {
	d := firstAvoidance
	for range further {
		if d >= maxAvoidance {
			return maxAvoidance
		}
		d *= 2
	}
	return min(d, maxAvoidance)
}

func (h *health) avoided(now time.Time) bool { return now.Before(h.until) }
