package pacing

import (
	"slices"
	"time"
)

const (
	// burst is how far unused time may be saved up. It lets a request that is
	// larger than the average start at once after a pause.
	burst = 500 * time.Millisecond
	// idleCheck is the longest time between two looks at a queue whose rate may
	// have changed.
	idleCheck = 200 * time.Millisecond
)

// Request is one request that waits to start.
type Request struct {
	// Rank orders requests; 0 is the most urgent.
	Rank int
	// Work is the engine time that the request needs, in milliseconds.
	Work    float64
	Arrived time.Time
	// Goal is when the request is late. Zero means never.
	Goal time.Time
	// GiveUp is when it is too late to start the request.
	GiveUp time.Time
}

// late reports whether the request can no longer meet its goal.
func (r *Request) late(now time.Time) bool {
	return !r.Goal.IsZero() && !now.Before(r.Goal)
}

// Queue holds the waiting requests of one service. It is not safe for
// concurrent use.
type Queue struct {
	waiting []*Request
	// rate is the engine time that may start per second, in milliseconds.
	rate float64
	// limited is false while every request may start at once.
	limited bool
	// credit is the saved up engine time, in milliseconds. It is negative after
	// a request that was larger than the credit.
	credit  float64
	updated time.Time
}

// SetRate sets the engine time per second that may start, in milliseconds.
func (q *Queue) SetRate(now time.Time, rate float64) {
	q.fill(now)
	q.rate, q.limited = rate, true
}

// SetUnlimited lets every request start at once.
func (q *Queue) SetUnlimited(now time.Time) {
	q.fill(now)
	q.limited = false
	q.credit = max(q.credit, 0)
}

func (q *Queue) fill(now time.Time) {
	if !q.updated.IsZero() {
		q.credit += q.rate * now.Sub(q.updated).Seconds()
	}
	q.credit = min(q.credit, q.rate*burst.Seconds())
	q.updated = now
}

// Add puts a request into the queue.
func (q *Queue) Add(r *Request) { q.waiting = append(q.waiting, r) }

// Remove takes a request out of the queue. It reports whether it was there.
func (q *Queue) Remove(r *Request) bool {
	i := slices.Index(q.waiting, r)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Backlog returns the engine time of all waiting requests, in milliseconds.
func (q *Queue) Backlog() float64 {
	sum := 0.0
	for _, r := range q.waiting {
		sum += r.Work
	}
	return sum
}

// Start removes and returns the requests that may start now, in order, and
// those that it is too late to start.
func (q *Queue) Start(now time.Time) (started, expired []*Request) {
	q.fill(now)
	q.waiting = slices.DeleteFunc(q.waiting, func(r *Request) bool {
		if now.Before(r.GiveUp) {
			return false
		}
		expired = append(expired, r)
		return true
	})
	for len(q.waiting) > 0 && (!q.limited || q.credit >= 0) {
		i := q.first(now)
		r := q.waiting[i]
		q.waiting = slices.Delete(q.waiting, i, i+1)
		if q.limited {
			q.credit -= r.Work
		}
		started = append(started, r)
	}
	return started, expired
}

// first returns the index of the request that starts next.
func (q *Queue) first(now time.Time) int {
	best := 0
	for i := 1; i < len(q.waiting); i++ {
		if before(q.waiting[i], q.waiting[best], now) {
			best = i
		}
	}
	return best
}

func before(a, b *Request, now time.Time) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if late := a.late(now); late != b.late(now) {
		return !late
	}
	return a.Arrived.Before(b.Arrived)
}

// Next returns when Start should be called again. It reports false when
// nothing waits.
func (q *Queue) Next(now time.Time) (time.Time, bool) {
	if len(q.waiting) == 0 {
		return time.Time{}, false
	}
	wait := idleCheck
	if q.limited && q.rate > 0 && q.credit < 0 {
		wait = min(wait, time.Duration(-q.credit/q.rate*float64(time.Second)))
	}
	next := now.Add(max(wait, time.Millisecond))
	for _, r := range q.waiting {
		if r.GiveUp.Before(next) {
			next = r.GiveUp
		}
	}
	return next, true
}

// Wait estimates how long a new request of a rank would wait.
func (q *Queue) Wait(now time.Time, rank int) time.Duration {
	q.fill(now)
	if !q.limited || q.rate <= 0 {
		return 0
	}
	ahead := -min(q.credit, 0)
	for _, r := range q.waiting {
		if r.Rank <= rank {
			ahead += r.Work
		}
	}
	return time.Duration(ahead / q.rate * float64(time.Second))
}
