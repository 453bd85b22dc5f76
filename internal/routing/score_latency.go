package routing

import (
	"math"
	"time"

	"github.com/auburndyke/auburndyke/internal/estimate"
)

const (
	// firstTokenMissWeight is the cost of each second by which the first token is
	// predicted to miss its deadline, in addition to the second itself.
	firstTokenMissWeight = 3.0
	// interTokenMissWeight is the cost of each second by which the predicted
	// inter-token latency exceeds its target, summed over the output tokens.
	interTokenMissWeight = 0.5
)

// LatencyScorer scores the predicted time to first token and inter-token latency
// against the service level. It sets the candidate's predictions, so it must be
// the first scorer.
type LatencyScorer struct{}

// Score implements Scorer.
func (LatencyScorer) Score(q *Query, c *Candidate) float64 {
	u := c.Upstream
	p := u.State.Estimate.Predict(q.Now, q.PromptTokens, u.Sharers)
	c.TimeToFirstToken, c.InterTokenLatency, c.Load = p.TimeToFirstToken, p.InterTokenLatency, p.Load
	c.TimeToFirstToken += queueWait(q, u, p)
	firstToken := c.TimeToFirstToken + u.RTT
	cost := firstToken.Seconds()
	if !q.Deadline.IsZero() {
		late := firstToken - q.Deadline.Sub(q.Now)
		cost += firstTokenMissWeight * clampSeconds(late)
	}
	if level := q.Route.Level; level != nil && level.BetweenTokens > 0 {
		excess := clampSeconds(p.InterTokenLatency - level.BetweenTokens)
		cost += interTokenMissWeight * excess * float64(q.OutputTokens)
	}
	return cost
}

// clampSeconds returns d in seconds, clamped to 0 and one minute, so that a
// target that cannot be met does not dominate all other scores.
func clampSeconds(d time.Duration) float64 {
	return min(max(d, 0), time.Minute).Seconds()
}

// occupancyStdDev is the assumed standard deviation of the number of requests at
// an upstream, as a multiple of the square root of the expected number.
const occupancyStdDev = 0.5

// queueWait returns the expected wait at the upstream for a free slot. The excess
// of the expected requests over the slots is smoothed, because the requests of
// other daemons are not known exactly. So a nearly full upstream already has
// some cost.
func queueWait(q *Query, u *Upstream, p estimate.Prediction) time.Duration {
	if u.Slots <= 0 {
		return 0
	}
	spread := occupancyStdDev * math.Sqrt(p.Requests+1)
	x := (p.Requests + 1 - float64(u.Slots)) / spread
	if x < -6 {
		return 0
	}
	excess := x
	if x < 30 {
		excess = math.Log1p(math.Exp(x))
	}
	serviceTime := p.TimeToFirstToken + time.Duration(q.OutputTokens)*p.InterTokenLatency
	return time.Duration(excess * spread * float64(serviceTime) / float64(u.Slots))
}
