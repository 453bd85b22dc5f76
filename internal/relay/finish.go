package relay

import (
	"net/http"
	"time"

	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/domain"
)

// Reasons for which the daemon itself responds to a request.
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
	reasonAttemptsUsed    = "attempts_used"
	reasonTimeout         = "timeout"
	reasonRetryBudget     = "retry_budget"
	reasonBrokenResponse  = "broken_answer"
	// reasonUnknownSoftware means that it is not known at which software version the
	// stream began that the caller takes up, and reasonSoftwareGone that no upstream of
	// that version takes requests.
	reasonUnknownSoftware = "unknown_software_version"
	reasonSoftwareGone    = "software_version_gone"
	reasonTooLate         = "too_late"
	// reasonCrashesUpstreams means that a part of the prompt has crashed upstreams.
	reasonCrashesUpstreams = "crashes_upstreams"
)

// How a request can end, other than by a complete response.
const (
	outcomeCallerDisconnected = "caller_gone"
	outcomeAborted            = "cut"
)

const (
	// startupRetryAfter is when a configuration is most likely loaded.
	startupRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is short, since the retry reaches another daemon.
	stoppingRetryAfter = 50 * time.Millisecond
	// upstreamRetryAfter is when an upstream most likely has a free slot.
	upstreamRetryAfter = 300 * time.Millisecond
	// registrationRetryAfter is when upstreams whose registrations expired during
	// an outage of the platform are registered again.
	registrationRetryAfter = 2 * time.Second
	// maxRetryAfterShare is the share of the remaining time within which a caller
	// is told to retry. Callers honour no longer delay, and need the rest of the
	// time for the response.
	maxRetryAfterShare = 1.0 / 3
)

// outcome is how a request ended, for the log and the metrics.
type outcome struct {
	status            int
	ended             string
	reason            string
	detail            string
	firstEventLatency time.Duration
	stream            stream
	// lastFailure is the last complete response with a server error.
	lastFailure *bufferedResponse
	// aborted reports whether the caller's connection must be closed without a
	// complete response.
	aborted bool
}

func (o *outcome) setEnded(how, detail string) { o.ended, o.detail = how, detail }

// reject responds to a request that is not valid.
func (q *request) reject(status int, reason string) bool {
	q.respond(status, reason)
	return false
}

// refuse responds that the request has not run, and when to retry it.
func (q *request) refuse(status int, reason string, after time.Duration) bool {
	q.h.Protocol.SetRetryAfter(q.w.Header(), after)
	q.respond(status, reason)
	return false
}

// shed refuses a request whose response is predicted to end after the deadline.
func (q *request) shed(predicted balancer.Prediction) {
	q.logShed(predicted)
	// The later the caller retries, the more likely the burst is over.
	q.refuse(http.StatusServiceUnavailable, reasonTooLate, q.maxRetryAfter())
}

// maxRetryAfter returns the longest delay that is useful to the caller.
func (q *request) maxRetryAfter() time.Duration {
	return time.Duration(maxRetryAfterShare * float64(q.remaining()))
}

// noUpstreamRetryAfter returns the delay for a request that no upstream took. It
// is longer if there was no eligible upstream than if those tried refused, and lasts
// until the end of a pause if upstreams asked for one.
func (q *request) noUpstreamRetryAfter() time.Duration {
	if q.stopping() {
		return stoppingRetryAfter
	}
	if wait, paused := q.h.Balancer.ResumesIn(time.Now(), q.service); paused {
		return min(wait, q.maxRetryAfter())
	}
	if len(q.tried) > 0 {
		return upstreamRetryAfter
	}
	return min(registrationRetryAfter, q.maxRetryAfter())
}

// writeHeader writes the header of the response. The connection closes after it if the
// daemon stops.
func (q *request) writeHeader(status int) {
	if q.h.disableKeepAlives.Load() {
		q.w.Header().Set("Connection", "close")
	}
	q.w.WriteHeader(status)
	q.outcome.status = status
}

// respond writes a response of the daemon's own.
func (q *request) respond(status int, reason string) {
	q.outcome.reason = reason
	header := q.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := reason + "\n"
	q.writeHeader(status)
	if q.r.Method == http.MethodHead {
		return
	}
	if _, err := q.w.Write([]byte(body)); err != nil {
		q.outcome.setEnded(outcomeCallerDisconnected, err.Error())
	}
}

// abort ends a response that was started, so that it does not look complete.
func (q *request) abort(reason string) result {
	q.outcome.reason = reason
	q.outcome.setEnded(outcomeAborted, "")
	q.outcome.aborted = true
	return delivered
}

// giveUp writes the final response to a request that no upstream completed.
func (q *request) giveUp(reason string) {
	timedOut := q.remaining() <= minAttemptTime
	switch {
	case q.outcome.stream.started:
		q.abort(reason)
	case q.callerGone():
		q.outcome.setEnded(outcomeCallerDisconnected, "")
	case q.outcome.lastFailure != nil:
		q.outcome.reason = reason
		q.deliver(*q.outcome.lastFailure)
	case q.mayHaveRun && timedOut:
		q.respond(http.StatusGatewayTimeout, reasonTimeout)
	case q.mayHaveRun:
		q.respond(http.StatusBadGateway, reason)
	case q.versionGone():
		q.respond(http.StatusServiceUnavailable, reasonSoftwareGone)
	default:
		q.refuse(http.StatusServiceUnavailable, reason, q.noUpstreamRetryAfter())
	}
}

// finish logs the end of the request and closes the connection if the response is
// incomplete. A caller that seems to be gone may have ended only its own side of the
// connection; without an abort, the server would complete the response.
func (q *request) finish() {
	q.h.bodies.Release(q.bodyReserved)
	q.logFinish()
	q.h.Metrics.finished(q)
	if q.outcome.aborted || q.outcome.ended == outcomeCallerDisconnected {
		panic(http.ErrAbortHandler)
	}
}

func (q *request) id() domain.RequestID { return q.info.ID }
