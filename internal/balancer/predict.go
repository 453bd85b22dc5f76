package balancer

import (
	"math"
	"time"
)

const (
	// gapTimeConstant is the time constant of the moving average of gaps between
	// events. The load of engines changes within seconds.
	gapTimeConstant = time.Second
	// firstEventTimeConstant is the time constant of the moving average of the times
	// to the first event. It is longer because a daemon sees few of them a second.
	firstEventTimeConstant = 2 * time.Second
	// minGaps is the decayed number of observed gaps below which nothing is
	// predicted.
	minGaps = 20
	// rankMaxAge is how long a rank counts as served after its last request.
	rankMaxAge = 5 * time.Second
	// lateMargin is the multiple of the remaining time that a predicted time must
	// exceed to count as late. The stated length of a response is often too long, and
	// engines become faster within seconds when a burst ends.
	lateMargin = 2.0
)

// Prediction is the predicted time of a response and what it is derived from.
type Prediction struct {
	// Total is the time until the last event.
	Total time.Duration
	// FirstEvent is the time until the first event, Gap that between two events.
	FirstEvent time.Duration
	Gap        time.Duration
	// Events is the stated length of the response, in events.
	Events int
	// Pressure is the share of load reports with waiting requests.
	Pressure float64
}

// predictor tracks how fast the engines of a service respond, as observed in this
// daemon's own streams.
//
// It protects against overload in which requests wait at all engines because streams
// hold their slots for longer than usual: an engine that prefills all the time
// generates one token for each stream per chunk of a prompt. Long responses then hold
// a slot until their deadline and fail, while short ones wait. A request that has no
// chance to complete by its deadline is therefore shed at once.
type predictor struct {
	// interactiveGaps are the gaps in streams of the interactive pool, otherGaps
	// those in streams beside long prompts.
	otherGaps, interactiveGaps decayingSum
	// firstEvents are the times to the first event by route.
	firstEvents map[string]*decayingSum
	// leastUrgent is the least urgent rank of recent requests.
	leastUrgent   int
	leastUrgentAt time.Time
}

// decayingSum is an exponentially decaying sum of durations and their count.
type decayingSum struct {
	total time.Duration
	count float64
	at    time.Time
}

func (s *decayingSum) add(now time.Time, timeConstant, total time.Duration, count int) {
	s.decay(now, timeConstant)
	s.total += total
	s.count += float64(count)
}

func (s *decayingSum) decay(now time.Time, timeConstant time.Duration) {
	if elapsed := now.Sub(s.at); elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(timeConstant))
		s.total = time.Duration(float64(s.total) * factor)
		s.count *= factor
		s.at = now
	}
}

// mean returns the mean duration, or zero without values.
func (s *decayingSum) mean() time.Duration {
	if s == nil || s.count == 0 {
		return 0
	}
	return time.Duration(float64(s.total) / s.count)
}

func (p *predictor) gaps(interactive bool) *decayingSum {
	if interactive {
		return &p.interactiveGaps
	}
	return &p.otherGaps
}

func (p *predictor) observeFirstEvent(now time.Time, route string, took time.Duration) {
	if p.firstEvents == nil {
		p.firstEvents = make(map[string]*decayingSum)
	}
	sum := p.firstEvents[route]
	if sum == nil {
		if len(p.firstEvents) >= maxRoutes {
			clear(p.firstEvents)
		}
		sum = &decayingSum{}
		p.firstEvents[route] = sum
	}
	sum.add(now, firstEventTimeConstant, took, 1)
}

// observeRank records the rank of a new request.
func (p *predictor) observeRank(now time.Time, rank int) {
	if rank >= p.leastUrgent || now.Sub(p.leastUrgentAt) >= rankMaxAge {
		p.leastUrgent, p.leastUrgentAt = rank, now
	}
}

// PredictLate reports whether a response would most likely take longer than the
// remaining time, while requests wait at the service's engines. It returns false for
// requests that are more urgent than others served lately.
func (b *Balancer) PredictLate(now time.Time, q Query, remaining time.Duration) (Prediction, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[q.Service]
	if s == nil || q.Prompt.empty() || s.load.pressure < queueingPressure || q.Rank < s.predictor.leastUrgent {
		return Prediction{}, false
	}
	gaps := s.predictor.gaps(s.pools.isInteractiveRoute(q.Route))
	gaps.decay(now, gapTimeConstant)
	if gaps.count < minGaps {
		return Prediction{}, false
	}
	p := Prediction{
		FirstEvent: s.predictor.firstEvents[q.Route].mean(),
		Gap:        gaps.mean(),
		Events:     q.OutputTokens / max(s.eventTokens, 1),
		Pressure:   s.load.pressure,
	}
	p.Total = p.FirstEvent + time.Duration(p.Events)*p.Gap
	return p, float64(p.Total) > lateMargin*float64(remaining)
}

// Progress records events after the first one and the time that they took.
func (r *Reservation) Progress(now time.Time, events int, took time.Duration) {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	gaps := r.s.predictor.gaps(r.u.inPool(r.s.poolSize))
	if events > 0 && gaps.count >= minGaps {
		r.s.observeRampUpGap(now, r.u, took/time.Duration(events), gaps.mean())
	}
	gaps.add(now, gapTimeConstant, took, events)
}
