package pacing

import "time"

const (
	// utilization is the share of the engines' time that requests may take by
	// the estimate of their work, before any feedback.
	utilization = 0.9
	// drainTime is the time over which a backlog is spread when it is counted
	// as demand.
	drainTime = 3 * time.Second
)

// Unlimited is the rate at which nothing waits.
const Unlimited = -1.0

// Demand is the engine time per second that a daemon asks for: that of its
// arriving requests, and its backlog spread over drainTime.
func Demand(arriving, backlog float64) float64 {
	return arriving + backlog/drainTime.Seconds()
}

// Rate returns the engine time per second that a daemon may start. own and
// total are the demands of the daemon and of all daemons, engines is the number
// of engines that serve them, and factor is that of a Controller; all times are
// in milliseconds. Each daemon gets the share of its demand.
func Rate(own, total float64, engines int, factor float64) float64 {
	capacity := float64(engines) * utilization * factor * float64(time.Second/time.Millisecond)
	if total <= capacity || total <= 0 {
		return Unlimited
	}
	return capacity * own / total
}
