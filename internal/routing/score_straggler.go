package routing

const (
	// spreadWeight prices the uncertainty of the prediction.
	spreadWeight = 0.5
	// failurePenalty prices recent consecutive failures, until outlier
	// detection judges them.
	failurePenalty = 0.5
)

// StragglerScorer prices the risk that an upstream answers much later than
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
