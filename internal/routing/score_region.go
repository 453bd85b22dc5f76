package routing

// RegionScorer scores remote upstreams: the remote penalty of the service level
// and the price of the bytes sent to and received from the region. The round
// trip is part of LatencyScorer.
type RegionScorer struct {
	// SecondsPerCurrencyUnit converts a price to seconds of time to first token.
	// Zero means the default.
	SecondsPerCurrencyUnit float64
}

// defaultSecondsPerCurrencyUnit makes 1 MB at 0.02 per GB cost 20 ms.
const defaultSecondsPerCurrencyUnit = 1000.0

// Score implements Scorer.
func (s RegionScorer) Score(q *Query, c *Candidate) float64 {
	u := c.Upstream
	if !u.Remote {
		return 0
	}
	secondsPerUnit := s.SecondsPerCurrencyUnit
	if secondsPerUnit == 0 {
		secondsPerUnit = defaultSecondsPerCurrencyUnit
	}
	cost := float64(q.Bytes) / 1e9 * u.PricePerGB * secondsPerUnit
	if q.Route.Level != nil {
		cost += q.Route.Level.RemotePenalty.Seconds()
	}
	return cost
}
