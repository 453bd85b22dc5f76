package relay

import (
	"net/http"
	"time"

	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/domain"
)

// Reasons for which a request is answered by the daemon itself.
const (
	reasonNoConfiguration = "no_configuration"
	reasonStopping        = "stopping"
	reasonNoRoute         = "no_route"
	reasonUnknownKey      = "unknown_key"
	reasonHeaderTooLarge  = "header_too_large"
	reasonBodyTooLarge    = "body_too_large"
	reasonBodyBroken      = "body_broken"
	reasonNoMemory        = "no_memory"
	reasonNoUpstream      = "no_upstream"
	reasonMayHaveRun      = "may_have_run"
	reasonAttempts        = "attempts_used"
	reasonTimeout         = "timeout"
	reasonBudget          = "retry_budget"
	reasonBrokenAnswer    = "broken_answer"
	reasonTooLate         = "too_late"
)

// Outcomes of a request besides the status of its answer.
const (
	outcomeCallerGone = "caller_gone"
	outcomeCut        = "cut"
)

const (
	// startupRetry is when a caller finds a configuration most likely.
	startupRetry = 500 * time.Millisecond
	// stoppingRetry sends the caller to another daemon at once.
	stoppingRetry = 50 * time.Millisecond
	// upstreamRetry is when an upstream has room most likely.
	upstreamRetry = 300 * time.Millisecond
	// registrationRetry is when upstreams whose registrations lapsed while the
	// platform was away are registered again.
	registrationRetry = 2 * time.Second
	// latestRetry is the part of the time that is left after which a caller comes
	// back at the latest. Callers honour no more, and need time for the answer.
	latestRetry = 1.0 / 3
)

// outcome collects what the final log line says.
type outcome struct {
	status     int
	what       string
	reason     string
	detail     string
	firstEvent time.Duration
	stream     stream
	// kept is the last failure that an upstream answered with in full.
	kept *keptAnswer
	// aborted tells that the caller's connection must end without a regular
	// end of the answer.
	aborted bool
}

func (o *outcome) answered(status int) { o.status = status }

func (o *outcome) set(what, detail string) { o.what, o.detail = what, detail }

// reject answers a request that can't be served as it is.
func (q *request) reject(status int, reason string) bool {
	q.answer(status, reason)
	return false
}

// refuse answers that the request has not run and when to come back.
func (q *request) refuse(status int, reason string, after time.Duration) bool {
	q.h.Protocol.SetRetryAfter(q.w.Header(), after)
	q.answer(status, reason)
	return false
}

// shed refuses a request whose answer would end after its time.
func (q *request) shed(f balancer.Prediction) {
	q.logShed(f)
	// The later the caller comes back, the more likely the burst is over.
	q.refuse(http.StatusServiceUnavailable, reasonTooLate, q.latestRetry())
}

func (q *request) latestRetry() time.Duration {
	return time.Duration(latestRetry * float64(q.remaining()))
}

// noUpstreamRetry is when a caller is told to come back for whom no upstream was
// found: later if there is none than if those that are there refused.
func (q *request) noUpstreamRetry() time.Duration {
	if len(q.tried) > 0 {
		return upstreamRetry
	}
	return min(registrationRetry, q.latestRetry())
}

// answer writes an answer of the daemon's own.
func (q *request) answer(status int, reason string) {
	q.outcome.reason = reason
	q.outcome.answered(status)
	header := q.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := reason + "\n"
	q.w.WriteHeader(status)
	if q.r.Method == http.MethodHead {
		return
	}
	if _, err := q.w.Write([]byte(body)); err != nil {
		q.outcome.set(outcomeCallerGone, err.Error())
	}
}

// cut ends a started answer, so that it does not look complete.
func (q *request) cut(reason string) result {
	q.outcome.reason = reason
	q.outcome.set(outcomeCut, "")
	q.outcome.aborted = true
	return delivered
}

// giveUp gives the final answer of a request that no upstream completed.
func (q *request) giveUp(reason string) {
	timedOut := q.remaining() <= minAttempt
	switch {
	case q.outcome.stream.started:
		q.cut(reason)
	case q.r.Context().Err() != nil:
		q.outcome.set(outcomeCallerGone, "")
	case q.outcome.kept != nil:
		q.outcome.reason = reason
		q.deliver(*q.outcome.kept)
	case q.mayHaveRun && timedOut:
		q.answer(http.StatusGatewayTimeout, reasonTimeout)
	case q.mayHaveRun:
		q.answer(http.StatusBadGateway, reason)
	default:
		q.refuse(http.StatusServiceUnavailable, reason, q.noUpstreamRetry())
	}
}

// finish writes the final log line and ends the connection of an answer that
// broke off.
func (q *request) finish() {
	q.h.bodies.give(q.bodyReserved)
	q.logFinish()
	q.h.Metrics.finished(q)
	if q.outcome.aborted {
		panic(http.ErrAbortHandler)
	}
}

func (q *request) id() domain.RequestID { return q.caller.ID }
