package routing

import (
	"math"
	"time"

	"github.com/auburndyke/auburndyke/internal/estimate"
)

const (
	// firstTokenMissWeight prices each second by which a first token is predicted to
	// miss its target, on top of the second itself.
	firstTokenMissWeight = 3.0
	// interTokenMissWeight prices the predicted excess of the interval, summed
	// over the answer.
	interTokenMissWeight = 0.5
)

// LatencyScorer prices the predicted first-token time and interval against
// the service level. It fills the candidate's predictions, so it comes first.
type LatencyScorer struct{}

// Score implements Scorer.
func (LatencyScorer) Score(q *Query, c *Candidate) float64 {
	u := c.Upstream
	p := u.State.Estimate.Predict(q.Now, q.PromptTokens, u.Sharers)
	c.FirstToken, c.InterTokenLatency, c.Load = p.TimeToFirstToken, p.InterTokenLatency, p.Load
	c.FirstToken += queueWait(q, u, p)
	firstToken := c.FirstToken + u.RTT
	cost := firstToken.Seconds()
	if !q.Deadline.IsZero() {
		late := firstToken - q.Deadline.Sub(q.Now)
		cost += firstTokenMissWeight * clampSeconds(late)
	}
	if level := q.Route.Level; level != nil && level.BetweenTokens > 0 {
		excess := clampSeconds(p.InterTokenLatency - level.BetweenTokens)
		cost += interTokenMissWeight * excess * float64(q.AnswerTokens)
	}
	return cost
}

// clampSeconds returns d in seconds within 0 and one minute, so that one
// hopeless target does not hide all other differences.
func clampSeconds(d time.Duration) float64 {
	return min(max(d, 0), time.Minute).Seconds()
}

// occupancyStdDev is the standard deviation, in square roots of the expected
// requests, that is assumed of the requests at an upstream.
const occupancyStdDev = 0.5

// queueWait is the expected wait at the upstream for a free slot. The excess
// of the expected requests over the slots is smoothed, because the other
// daemons' part is not known exactly: a nearly full upstream costs some.
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
	serviceTime := p.TimeToFirstToken + time.Duration(q.AnswerTokens)*p.InterTokenLatency
	return time.Duration(excess * spread * float64(serviceTime) / float64(u.Slots))
}
