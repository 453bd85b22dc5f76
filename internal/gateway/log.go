package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/auburndyke/auburndyke/internal/admission"
	"github.com/auburndyke/auburndyke/internal/claims"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/exchange"
	"github.com/auburndyke/auburndyke/internal/routing"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// Names of the request metrics.
const (
	metricRequests   = "auburndyke_requests_total"
	metricTarget     = "auburndyke_targets_total"
	metricTokens     = "auburndyke_tokens_total"
	metricGoodput    = "auburndyke_goodput_tokens_total"
	metricWasted     = "auburndyke_wasted_tokens_total"
	metricShed       = "auburndyke_shed_total"
	metricPreempted  = "auburndyke_preempted_total"
	metricRemote     = "auburndyke_cross_region_bytes_total"
	metricFirstToken = "auburndyke_first_token_microseconds"
	metricInterval   = "auburndyke_token_interval_microseconds"
	metricTotal      = "auburndyke_request_microseconds"
)

// explanation returns what Router.Pick fills for the log, or nil when routing
// decisions are not logged.
func (g *Gateway) explanation() *routing.Explanation {
	if !g.log.Enabled(telemetry.RoutingDecision) {
		return nil
	}
	return &routing.Explanation{}
}

// logRouting logs the decision that places a request; one that finds no place
// stays queued.
func (g *Gateway) logRouting(j *job, choice *routing.Choice, e *routing.Explanation) {
	if e == nil {
		return
	}
	line := g.log.Event(telemetry.RoutingDecision).
		Str("request", string(j.id)).
		Uint64("revision", uint64(j.policy.Revision)).
		Str("class", string(j.route.Class.ID)).
		Str("tier", string(j.route.Tier.ID)).
		Str("upstream", string(choice.ID)).
		Bool("remote", choice.Remote).
		Float64("cost_seconds", choice.Cost).
		Dur("predicted_first_token", choice.TimeToFirstToken).
		Int("near", e.NearBest).
		Int("outside_subset", e.OutsideSubset)
	line.Array("candidates", scored(e.Candidates)).Array("excluded", excluded(e.Excluded)).Msg("")
}

type scored []routing.ScoredCandidate

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (s scored) MarshalZerologArray(a *zerolog.Array) {
	for i := range s {
		a.Dict(zerolog.Dict().Str("upstream", string(s[i].Upstream)).Float64("cost", s[i].Cost).Floats64("scores", s[i].Scores))
	}
}

type excluded []routing.Exclusion

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (x excluded) MarshalZerologArray(a *zerolog.Array) {
	for i := range x {
		a.Dict(zerolog.Dict().Str("upstream", string(x[i].Upstream)).Str("reason", x[i].Reason.String()))
	}
}

func (g *Gateway) logDispatch(p *pool, d admission.Decision, w *waiter) {
	g.log.Event(telemetry.AdmissionDecision).
		Str("request", string(w.ID)).
		Str("pool", p.name).
		Str("action", d.Action.String()).
		Str("reason", d.Reason.String()).
		Int("rank", w.Rank).
		Bool("late", d.Late).
		Int("tiers_waiting", d.Alternatives.WaitingTiers).
		Dur("waited", time.Since(w.Arrived)).
		Msg("")
}

// logAdmission logs sheds, expiries and preemptions. A request that is queued
// and placed at once gets its line at the dispatch.
func (g *Gateway) logAdmission(p *pool, d admission.Decision) {
	event := telemetry.AdmissionDecision
	switch {
	case d.Action == admission.ActionShed, d.Action == admission.ActionExpire:
		event = telemetry.RequestShed
		g.metrics.Counter(metricShed, "rank", rankLabel(d.Request.Rank), "reason", d.Reason.String()).Inc(1)
		g.tierCount(d.Request.Rank).sheds.Add(1)
	case d.Preempt != nil:
		event = telemetry.RequestPreempted
		g.metrics.Counter(metricPreempted, "rank", rankLabel(d.Preempt.Rank)).Inc(1)
	case d.Reason == admission.ReasonRoom:
		return
	}
	line := g.log.Event(event).
		Str("request", string(d.Request.ID)).
		Str("pool", p.name).
		Str("action", d.Action.String()).
		Str("reason", d.Reason.String()).
		Int("rank", d.Request.Rank).
		Int64("over_tokens", d.Alternatives.OverTokens).
		Int64("lower_queued_tokens", d.Alternatives.LowerQueuedTokens).
		Int("lower_running", d.Alternatives.LowerRunning).
		Int("preemptible", d.Alternatives.Preemptible).
		Dur("retry_after", d.RetryAfter)
	if d.Preempt != nil {
		line = line.Str("preempted", string(d.Preempt.ID)).Int("preempted_rank", d.Preempt.Rank)
	}
	line.Msg("")
}

func (g *Gateway) logLimited(j *job, r admission.Refusal) {
	g.metrics.Counter(metricShed, "rank", rankLabel(j.route.Tier.Rank), "reason", r.Kind.String()).Inc(1)
	g.tierCount(j.route.Tier.Rank).sheds.Add(1)
	g.log.Event(telemetry.RequestShed).
		Str("request", string(j.id)).
		Str("reason", r.Kind.String()).
		Str("customer", string(r.Customer)).
		Str("class", string(r.Class)).
		Int("rank", j.route.Tier.Rank).
		Dur("retry_after", r.RetryAfter).
		Msg("")
}

func rankLabel(rank int) string { return string(rune('0' + min(max(rank, 0), 9))) }

var purposeEvents = map[exchange.Purpose]telemetry.Event{
	exchange.PurposeRetry:  telemetry.StreamContinued,
	exchange.PurposeResume: telemetry.StreamContinued,
	exchange.PurposeMove:   telemetry.StreamContinued,
	exchange.PurposeHedge:  telemetry.RequestHedged,
}

var purposeNames = map[exchange.Purpose]string{
	exchange.PurposeRetry:  "retry",
	exchange.PurposeResume: "continue",
	exchange.PurposeHedge:  "hedge",
	exchange.PurposeMove:   "move",
}

func (g *Gateway) logAttempt(j *job, n int, upstream domain.UpstreamID, purpose exchange.Purpose) {
	event, ok := purposeEvents[purpose]
	if !ok {
		return
	}
	g.log.Event(event).Str("request", string(j.id)).Int("attempt", n).Str("upstream", string(upstream)).Str("purpose", purposeNames[purpose]).Msg("")
}

var resultNames = map[exchange.Result]string{
	exchange.ResultNotSent:  "not_sent",
	exchange.ResultRefused:  "refused",
	exchange.ResultBroken:   "broken",
	exchange.ResultSilent:   "silent",
	exchange.ResultMismatch: "mismatch",
}

func (g *Gateway) logAttemptFailed(j *job, n int, upstream domain.UpstreamID, result exchange.Result, tokens int) {
	g.metrics.Counter("auburndyke_attempts_failed_total", "result", resultNames[result]).Inc(1)
	g.log.Event(telemetry.AttemptFailed).Str("request", string(j.id)).Int("attempt", n).
		Str("upstream", string(upstream)).Str("result", resultNames[result]).Int("tokens", tokens).Msg("")
}

func (g *Gateway) logBackend(choice *routing.Choice, err error) {
	g.log.Event(telemetry.AttemptFailed).Str("upstream", string(choice.ID)).Str("address", choice.Address).Err(err).Msg("")
}

func (g *Gateway) logClaim(j *job, c *ServiceCall, d *claims.Decision) {
	g.metrics.Counter("auburndyke_claims_total", "verdict", string(d.Verdict)).Inc(1)
	g.log.Event(telemetry.ClaimSettled).Str("request", string(j.id)).Str("service", c.Service).
		Str("verdict", string(d.Verdict)).Err(d.Err).Msg("")
}

func (g *Gateway) logSettle(j *job, state claims.State, err error) {
	g.log.Event(telemetry.ClaimSettled).Str("request", string(j.id)).Str("state", string(state)).Err(err).Msg("")
}

func outcomeOf(failure *domain.Failure) string {
	if failure == nil {
		return "complete"
	}
	return string(failure.Code)
}

func (g *Gateway) countRequest(o *observer, failure *domain.Failure, met bool, total time.Duration) {
	class, tier := string(o.job.route.Class.ID), string(o.job.route.Tier.ID)
	g.metrics.Counter(metricRequests, "class", class, "tier", tier, "outcome", outcomeOf(failure)).Inc(1)
	g.metrics.Counter(metricTokens).Inc(int64(o.tokens))
	if o.place != nil && o.place.choice.Remote {
		g.metrics.Counter(metricRemote).Inc(o.bytes + o.job.query.Bytes)
	}
	if failure != nil && failure.Code == domain.CodeCallerGone {
		return
	}
	result := "missed"
	count := g.tierCount(o.job.route.Tier.Rank)
	count.finished.Add(1)
	if met {
		result = "met"
		count.met.Add(1)
		g.metrics.Counter(metricGoodput, "class", class).Inc(int64(o.tokens))
	}
	g.metrics.Counter(metricTarget, "class", class, "tier", tier, "result", result).Inc(1)
	if failure != nil {
		return
	}
	g.metrics.Observe(total, metricTotal, "class", class, "tier", tier)
	if o.sink != nil {
		g.metrics.Observe(o.firstToken(), metricFirstToken, "class", class, "tier", tier)
		g.metrics.Observe(o.interval(), metricInterval, "class", class, "tier", tier)
	}
}

func (g *Gateway) logFinished(o *observer, failure *domain.Failure, met bool, total time.Duration) {
	line := g.log.Event(telemetry.RequestFinished)
	if line == nil {
		return
	}
	j := o.job
	line = line.Str("request", string(j.id)).
		Str("customer", string(j.route.Customer.ID)).
		Str("class", string(j.route.Class.ID)).
		Str("tier", string(j.route.Tier.ID)).
		Str("result", outcomeOf(failure)).
		Bool("target_met", met).
		Dur("first_token", o.firstToken()).
		Dur("token_interval", o.interval()).
		Dur("total", total).
		Int("tokens", o.tokens).
		Int("wasted_tokens", o.wasted).
		Int("attempts", o.attempts)
	if failure != nil {
		line = line.Str("outcome", string(failure.Outcome)).Str("message", failure.Message)
	}
	line.Msg("")
}
