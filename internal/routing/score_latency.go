package routing

import "time"

const (
	// missWeight prices each second by which a first token is predicted to
	// miss its target, on top of the second itself.
	missWeight = 3.0
	// intervalMissWeight prices the predicted excess of the interval, summed
	// over the answer.
	intervalMissWeight = 0.5
)

// LatencyScorer prices the predicted first-token time and interval against
// the service level. It fills the candidate's predictions, so it comes first.
type LatencyScorer struct{}

// Score implements Scorer.
func (LatencyScorer) Score(q *Query, c *Candidate) float64 {
	u := c.Upstream
	p := u.State.Estimate.Predict(q.Now, q.PromptTokens, u.Sharers)
	c.FirstToken, c.Interval, c.Load = p.FirstToken, p.Interval, p.Load
	first := p.FirstToken + u.RTT
	cost := first.Seconds()
	if !q.Deadline.IsZero() {
		late := first - q.Deadline.Sub(q.Now)
		cost += missWeight * clampSeconds(late)
	}
	if level := q.Route.Level; level != nil && level.BetweenTokens > 0 {
		excess := clampSeconds(p.Interval - level.BetweenTokens)
		cost += intervalMissWeight * excess * float64(q.AnswerTokens)
	}
	return cost
}

// clampSeconds returns d in seconds within 0 and one minute, so that one
// hopeless target does not hide all other differences.
func clampSeconds(d time.Duration) float64 {
	return min(max(d, 0), time.Minute).Seconds()
}
