package relay

import (
	"strconv"
	"time"

	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/quarantine"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// logPick logs the upstream that was picked for a request, and why.
func (q *request) logPick(c balancer.Choice) {
	line := q.h.Log.Event(telemetry.RoutingDecision)
	if line == nil {
		return
	}
	line.Str("request", string(q.id())).
		Str("route", q.route.Name).
		Str("service", q.service).
		Str("upstream", string(c.Upstream.ID)).
		Str("address", c.Upstream.Address).
		Str("software", c.Upstream.SoftwareVersion).
		Str("last_event", q.info.LastEventID).
		Str("resumes", string(q.info.Resumes)).
		Uint64("revision", uint64(q.table.Version)).
		Int("rank", int(q.rank)).
		Str("customer", string(q.customer)).
		Int("candidates", c.Eligible).
		Bool("interactive", c.Interactive).
		Int("pool", c.PoolSize).
		Bool("home", c.Preferred).
		Int("in_flight", c.InFlight).
		Int("prompt_tokens", q.prompt.Tokens()).
		Int("output_tokens", q.info.OutputTokens).
		Int("uncached_tokens", c.UncachedTokens).
		Int("fetched_tokens", c.FetchedTokens).
		Str("fetched_from", c.FetchFrom).
		Int64("cost_ms", c.Cost.Milliseconds()).
		Int64("report_age_ms", c.ReportAge.Milliseconds()).
		Float64("ramp_up", c.RampUp).
		Int("held_back", c.HeldBack).
		Int("attempt", len(q.tried)+1).
		Send()
}

// logShed logs why a request is shed.
func (q *request) logShed(p balancer.Prediction) {
	line := q.h.Log.Event(telemetry.RequestShed)
	if line == nil {
		return
	}
	line.Str("request", string(q.id())).
		Str("route", q.route.Name).
		Str("service", q.service).
		Int("rank", int(q.rank)).
		Int64("forecast_ms", p.Total.Milliseconds()).
		Int64("remaining_ms", q.remaining().Milliseconds()).
		Int64("wait_ms", p.FirstEvent.Milliseconds()).
		Int64("pause_ms", p.Gap.Milliseconds()).
		Int("events", p.Events).
		Float64("pressure", p.Pressure).
		Send()
}

// logAttempt logs why an attempt failed.
func (q *request) logAttempt(a *attempt) {
	line := q.h.Log.Event(telemetry.AttemptFailed)
	if line == nil {
		return
	}
	line.Str("request", string(q.id())).
		Str("upstream", string(a.choice.Upstream.ID)).
		Str("error", a.cause).
		Bool("sent", a.sent).
		Int64("elapsed_ms", time.Since(q.arrived).Milliseconds()).
		Int("attempt_events", int(a.events.Load()))
	line.Str("whole", formatPart(q.whole()))
	if shared := q.sharedParts(); len(shared) > 0 {
		line.Strs("parts", formatParts(shared))
	}
	if a.response != nil {
		line.Int("status", a.response.Status).Bool("reused_connection", !a.response.Fresh)
	}
	line.Send()
}

// logAvailability logs and counts that an upstream is leaving or asks for a pause.
// request is the request that it answered, if any.
func (h *Handler) logAvailability(upstream domain.UpstreamID, request domain.RequestID, leaving bool, pause time.Duration, info ResponseInfo) {
	if leaving {
		h.Log.Event(telemetry.UpstreamLeaving).Str("upstream", string(upstream)).Str("request", string(request)).Send()
	}
	if pause > 0 {
		h.Metrics.pauses.Inc(1)
		h.Log.Event(telemetry.UpstreamPaused).Str("upstream", string(upstream)).Str("request", string(request)).
			Int64("asked_ms", info.Availability.Pause.Milliseconds()).Int64("pause_ms", pause.Milliseconds()).Send()
	}
	if info.InvalidPause != "" {
		h.Log.Event(telemetry.UpstreamPaused).Str("upstream", string(upstream)).Str("request", string(request)).
			Str("ignored", info.InvalidPause[:min(len(info.InvalidPause), maxLoggedPause)]).Send()
	}
}

// maxLoggedPause bounds an invalid pause in a log line, in bytes.
const maxLoggedPause = 64

// logFinish logs how a request ended.
func (q *request) logFinish() {
	line := q.h.Log.Event(telemetry.RequestFinished)
	if line == nil {
		return
	}
	line.Str("request", string(q.id())).Str("outcome", string(q.executionOutcome())).Int("status", q.outcome.status)
	if q.outcome.ended != "" {
		line.Str("ended", q.outcome.ended)
	}
	if q.outcome.reason != "" {
		line.Str("reason", q.outcome.reason)
	}
	if q.outcome.detail != "" {
		line.Str("detail", q.outcome.detail)
	}
	if q.route != nil {
		line.Str("route", q.route.Name).Str("customer", string(q.customer)).Uint64("revision", uint64(q.table.Version))
	}
	if s := &q.outcome.stream; s.started {
		line.Int("events", s.events).
			Int64("first_event_ms", q.outcome.firstEventLatency.Milliseconds()).
			Int64("max_gap_ms", s.maxGap.Milliseconds())
	}
	line.Int("upstreams", q.sends).Int64("elapsed_ms", time.Since(q.arrived).Milliseconds()).Send()
}

// executionOutcome returns whether an upstream ran the request, as far as known.
func (q *request) executionOutcome() domain.Outcome {
	switch {
	case q.outcome.reason == "" && q.outcome.ended == "" || q.outcome.lastFailure != nil:
		return domain.OutcomeRan
	case q.mayHaveRun || q.outcome.ended != "":
		return domain.OutcomeUnknown
	default:
		return domain.OutcomeNotRun
	}
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// formatParts returns the ids of the first parts, as the caller wrote them.
func formatParts(parts []quarantine.Part) []string {
	parts = parts[:min(len(parts), maxLoggedParts)]
	ids := make([]string, len(parts))
	for i, part := range parts {
		ids[i] = formatPart(part)
	}
	return ids
}

func formatPart(part quarantine.Part) string { return strconv.FormatUint(uint64(part), 16) }
