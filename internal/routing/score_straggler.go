package routing

const (
	// spreadWeight is the cost of each second of spread of the prediction error.
	spreadWeight = 0.5
	// failurePenalty is the cost in seconds of each consecutive failure. It applies
	// until outlier detection acts on the failures.
	failurePenalty = 0.5
)

// StragglerScorer scores the risk that an upstream responds much later than
// predicted or fails.
type StragglerScorer struct{}

// Score implements Scorer.
func (StragglerScorer) Score(_ *Query, c *Candidate) float64 {
	s := c.Upstream.State
	cost := spreadWeight * s.Estimate.MeanDeviation().Seconds()
	if n := s.health.consecutiveFailures.Load(); n > 0 {
		cost += failurePenalty * float64(min(n, maxConsecutiveFailures))
	}
	return cost
}
