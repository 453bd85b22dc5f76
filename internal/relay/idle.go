package relay

import (
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/balancer"
)

// idleWatch ends an attempt whose stream sends no events for too long, if another
// upstream can resume it. A stream that nobody can take over is left to its caller, who
// may still wait.
type idleWatch struct {
	attempt *attempt
	timer   *time.Timer
	// query and sends are those of the request during this attempt.
	query balancer.Query
	sends int
}

// watchIdle returns a watch of the attempt's stream, which reset starts.
func (a *attempt) watchIdle() *idleWatch {
	w := &idleWatch{attempt: a, query: a.q.query(), sends: a.q.sends}
	w.query.Tried = slices.Clone(w.query.Tried)
	w.timer = time.AfterFunc(time.Hour, w.expired)
	w.timer.Stop()
	return w
}

// reset starts the time for the next event.
func (w *idleWatch) reset() { w.timer.Reset(w.timeout()) }

func (w *idleWatch) stop() { w.timer.Stop() }

// timeout returns how long the stream may send no event.
func (w *idleWatch) timeout() time.Duration {
	q := w.attempt.q
	if !q.outcome.stream.started {
		return time.Until(q.startDeadline)
	}
	return w.pauseTimeout()
}

// pauseTimeout returns how long a stream that has begun may send no event.
func (w *idleWatch) pauseTimeout() time.Duration {
	return max(minStreamIdle, streamIdleGaps*w.attempt.q.route.MaxGap)
}

// expired ends the attempt if another one may follow, and otherwise looks again later.
func (w *idleWatch) expired() {
	switch {
	case w.attempt.ctx.Err() != nil: // the attempt ended while the timer fired
	case w.replaceable():
		w.attempt.cancel(errStreamIdle)
	default:
		w.timer.Reset(w.pauseTimeout())
	}
}

// replaceable reports whether another upstream can resume the stream.
func (w *idleWatch) replaceable() bool {
	q, now := w.attempt.q, time.Now()
	if w.attempt.events.Load() > 0 {
		w.query.Pinned, w.query.SoftwareVersion = true, w.attempt.choice.Upstream.SoftwareVersion
	}
	return q.route.Repeatable() && w.sends < q.route.MaxAttempts && q.remaining() >= minAttemptTime &&
		q.h.Retries.Remaining(now, q.service) > 0 && q.h.Balancer.HasCandidate(now, w.query)
}
