package routing

// RegionScorer prices traffic to other regions: the route's penalty, the
// remaining part of the round trip, and the billed bytes.
type RegionScorer struct {
	// SecondsPerCurrencyUnit is how many seconds of first-token time one unit of
	// currency is worth. Zero means the default.
	SecondsPerCurrencyUnit float64
}

// defaultSecondsPerCurrencyUnit makes 1 MB at 0.02 per GB worth 20 ms.
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
