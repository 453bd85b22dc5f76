package balancer

import (
	"math"
	"time"
)

const (
	// gapTimeConstant is the time constant over which the pace of streams is averaged.
	// The load of engines changes within seconds.
	gapTimeConstant = time.Second
	// firstEventTimeConstant is the same for the wait for the first event, of which a daemon
	// sees a few a second.
	firstEventTimeConstant = 2 * time.Second
	// minGaps is the number of pauses, after fading, below which nothing is
	// forecast.
	minGaps = 20
	// rankMaxAge is how long a rank without requests counts among those that are
	// served.
	rankMaxAge = 5 * time.Second
	// lateMargin is how often the time that is left must fit into the forecast.
	// The stated length of an answer is often too long, and engines become faster
	// within seconds when a burst ends.
	lateMargin = 2.0
)

// Prediction is when an answer is likely to end, and what that follows from.
type Prediction struct {
	// Total is the time until the last event.
	Total time.Duration
	// FirstEvent is the time until the first event, Pause that between two events.
	FirstEvent time.Duration
	Gap        time.Duration
	// Events is the stated length of the answer.
	Events int
	// Pressure is the share of load reports with waiting requests.
	Pressure float64
}

// predictor knows how fast the engines of a service answer, as far as this
// daemon's own streams show it.
//
// The load that it answers is one at which requests wait at all engines because
// streams hold their places for longer than they should: an engine that reads
// prompts without a pause gives each stream one token for each chunk that it
// reads. Long answers then hold a place until their time is over and get nothing
// for it, while short ones wait. A request that has no chance to end in its time
// is better told so at once.
type predictor struct {
	// pauses are those of the streams beside long prompts and of the interactiveGaps
	// pool.
	otherGaps, interactiveGaps decayingSum
	// firstEvents are the times to the first event by route.
	firstEvents map[string]*decayingSum
	// leastUrgent is the leastUrgent urgent rank of the requests that came lately.
	leastUrgent   int
	leastUrgentAt time.Time
}

// decayingSum is a sum of times and their number, in which older ones fade.
type decayingSum struct {
	total time.Duration
	count float64
	at    time.Time
}

func (s *decayingSum) add(now time.Time, life, total time.Duration, count int) {
	s.decay(now, life)
	s.total += total
	s.count += float64(count)
}

func (s *decayingSum) decay(now time.Time, life time.Duration) {
	if elapsed := now.Sub(s.at); elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(life))
		s.total = time.Duration(float64(s.total) * factor)
		s.count *= factor
		s.at = now
	}
}

// mean is the average, or zero without values.
func (s *decayingSum) mean() time.Duration {
	if s == nil || s.count == 0 {
		return 0
	}
	return time.Duration(float64(s.total) / s.count)
}

func (f *predictor) gaps(interactive bool) *decayingSum {
	if interactive {
		return &f.interactiveGaps
	}
	return &f.otherGaps
}

func (f *predictor) observeFirstEvent(now time.Time, route string, took time.Duration) {
	if f.firstEvents == nil {
		f.firstEvents = make(map[string]*decayingSum)
	}
	w := f.firstEvents[route]
	if w == nil {
		if len(f.firstEvents) >= maxRoutes {
			clear(f.firstEvents)
		}
		w = &decayingSum{}
		f.firstEvents[route] = w
	}
	w.add(now, firstEventTimeConstant, took, 1)
}

// observeRank notes the rank of a request.
func (f *predictor) observeRank(now time.Time, rank int) {
	if rank >= f.leastUrgent || now.Sub(f.leastUrgentAt) >= rankMaxAge {
		f.leastUrgent, f.leastUrgentAt = rank, now
	}
}

// PredictLate reports whether a request's answer would most likely end after the
// time that is left, while requests wait at the service's engines. Requests of
// which less urgent ones are served are never said to.
func (b *Balancer) PredictLate(now time.Time, q Query, left time.Duration) (Prediction, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[q.Service]
	if s == nil || q.Prompt.empty() || s.load.pressure < queueingPressure || q.Rank < s.predictor.leastUrgent {
		return Prediction{}, false
	}
	pauses := s.predictor.gaps(s.pools.isInteractiveRoute(q.Route))
	pauses.decay(now, gapTimeConstant)
	if pauses.count < minGaps {
		return Prediction{}, false
	}
	f := Prediction{
		FirstEvent: s.predictor.firstEvents[q.Route].mean(),
		Gap:        pauses.mean(),
		Events:     q.OutputTokens / max(s.eventTokens, 1),
		Pressure:   s.load.pressure,
	}
	f.Total = f.FirstEvent + time.Duration(f.Events)*f.Gap
	return f, float64(f.Total) > lateMargin*float64(left)
}

// Progress tells of events behind the first one, and the time that they took.
func (l *Reservation) Progress(now time.Time, events int, took time.Duration) {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	l.s.predictor.gaps(l.u.inPool(l.s.poolSize)).add(now, gapTimeConstant, took, events)
}
