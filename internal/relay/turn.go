package relay

import (
	"net/http"
	"time"

	"github.com/auburndyke/auburndyke/internal/adapters/telemetry"
	"github.com/auburndyke/auburndyke/internal/pacing"
)

// startShare is the share of a request's time up to which it may still start.
// A request that starts later rarely ends in time.
const startShare = 0.6

// awaitTurn waits until the engines have time for the request. It answers the
// request itself when it reports false.
func (q *request) awaitTurn() bool {
	if !q.engine {
		return true
	}
	arrival := q.h.Balancer.Arrive(q.arrived, q.query())
	if arrival.Interactive || arrival.Work == 0 {
		return true
	}
	q.paced = true
	entered := time.Now()
	r := &pacing.Request{
		Rank:    int(q.rank),
		Work:    arrival.Work,
		Arrived: q.arrived,
		GiveUp:  q.arrived.Add(time.Duration(float64(q.deadline.Sub(q.arrived)) * startShare)),
	}
	if q.route.Goal > 0 {
		r.Goal = q.arrived.Add(q.route.Goal)
	}
	outcome, expected := q.h.Pacer.Wait(q.ctx, q.service, r)
	waited := time.Since(entered)
	if waited >= time.Millisecond || outcome != pacing.Started {
		q.logTurn(r, outcome, waited, expected)
	}
	switch outcome {
	case pacing.Started:
		return true
	case pacing.Expired:
		return q.refuse(http.StatusServiceUnavailable, reasonOverload, max(expected, upstreamRetry))
	default:
		q.giveUp(nil, reasonTimeout)
		return false
	}
}

func (q *request) logTurn(r *pacing.Request, outcome pacing.Outcome, waited, expected time.Duration) {
	line := q.h.Log.Event(telemetry.AdmissionDecision)
	if line == nil {
		return
	}
	line.Str("request", string(q.id())).
		Str("service", q.service).
		Stringer("outcome", outcome).
		Int("rank", r.Rank).
		Float64("work_ms", r.Work).
		Int64("waited_ms", waited.Milliseconds()).
		Int64("expected_wait_ms", expected.Milliseconds()).
		Send()
}
