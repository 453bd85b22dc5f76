package routing

const (
	// spreadWeight prices the uncertainty of the prediction.
	spreadWeight = 0.5
	// failureSeconds prices recent consecutive failures, until outlier
	// detection judges them.
	failureSeconds = 0.5
)

// StragglerScorer prices the risk that an upstream answers much later than
// predicted or fails.
type StragglerScorer struct{}

// Score implements Scorer.
func (StragglerScorer) Score(_ *Query, c *Candidate) float64 {
	s := c.Upstream.State
	cost := spreadWeight * s.Estimate.MeanDeviation().Seconds()
	if n := s.health.failures.Load(); n > 0 {
		cost += failureSeconds * float64(min(n, failuresInRow))
	}
	return cost
}
