package pacing

import "time"

const (
	// decrease lowers the factor for each step in which streams are twice as
	// slow as they may be.
	decrease = 0.15
	// increase raises the factor for each step in which streams are in time.
	increase  = 0.08
	minFactor = 0.3
	maxFactor = 2.0
	// maxExcess bounds the effect of one step.
	maxExcess = 2.0
	// controlInterval is the time between two steps. It covers the spreading of
	// a measurement to all daemons.
	controlInterval = 500 * time.Millisecond
	// longAnswer is the length of a long answer as a multiple of the mean.
	longAnswer = 2.2
	// answerShare is the share of a request's time in which a long answer
	// should be complete, once its stream has begun.
	answerShare = 0.25
	// lengthWeight is the weight of one answer in the mean length of a route.
	lengthWeight = 0.05
	// paceLife is the time constant over which the pace of streams is averaged.
	paceLife = time.Second
)

// Controller corrects the rate of starts by the pace of running streams. The
// estimate of work can't know which prompts the engines have read before; the
// pace shows it.
type Controller struct {
	factor float64
	last   time.Time
}

// Factor returns the correction, 1 at first.
func (c *Controller) Factor() float64 {
	if c.factor == 0 {
		return 1
	}
	return c.factor
}

// Update takes the slowness of all daemons' streams: the time between events
// against the time that a long answer can afford.
func (c *Controller) Update(now time.Time, slowness float64) {
	if now.Sub(c.last) < controlInterval {
		return
	}
	c.last = now
	f := c.Factor()
	if slowness > 1 {
		f *= 1 - decrease*min(slowness-1, maxExcess)
	} else {
		f += increase
	}
	c.factor = min(max(f, minFactor), maxFactor)
}

// Pace measures how slow streams are. It is not safe for concurrent use.
type Pace struct {
	// lengths is the mean number of events of an answer, by route.
	lengths map[string]float64
	sum     float64
	count   float64
	updated time.Time
}

// Event takes the time between two events of a stream. wait is the time that
// the route's requests have.
func (p *Pace) Event(now time.Time, route string, gap, wait time.Duration) {
	length := p.lengths[route]
	if length == 0 || wait <= 0 {
		return
	}
	p.decay(now)
	affordable := float64(wait) * answerShare / (length * longAnswer)
	p.sum += float64(gap) / affordable
	p.count++
}

// Ended takes the length of a complete answer, in events.
func (p *Pace) Ended(route string, events int) {
	if p.lengths == nil {
		p.lengths = make(map[string]float64)
	}
	length := p.lengths[route]
	if length == 0 {
		length = float64(events)
	}
	p.lengths[route] = max(length+(float64(events)-length)*lengthWeight, 1)
}

func (p *Pace) decay(now time.Time) {
	if !p.updated.IsZero() {
		keep := max(0, 1-float64(now.Sub(p.updated))/float64(paceLife))
		p.sum *= keep
		p.count *= keep
	}
	p.updated = now
}

// Slowness returns the mean slowness and the number of events behind it.
func (p *Pace) Slowness(now time.Time) (mean, events float64) {
	p.decay(now)
	if p.count == 0 {
		return 0, 0
	}
	return p.sum / p.count, p.count
}
