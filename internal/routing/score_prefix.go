package routing

// PrefixScorer subtracts the prefill time that cached prompt blocks save.
type PrefixScorer struct {
	// SecondsPerToken is the prefill time per token. Zero means the default.
	SecondsPerToken float64
}

// defaultSecondsPerToken is the assumed prefill time per prompt token.
const defaultSecondsPerToken = 0.1e-3

// Score implements Scorer.
func (s PrefixScorer) Score(q *Query, c *Candidate) float64 {
	blocks := c.Upstream.State.Prefixes.Match(q.Prefix)
	if blocks == 0 {
		return 0
	}
	perToken := s.SecondsPerToken
	if perToken == 0 {
		perToken = defaultSecondsPerToken
	}
	c.CachedTokens = min(blocks*PrefixBlockTokens, q.PromptTokens)
	expected := float64(c.CachedTokens) * c.Upstream.State.Prefixes.HitRate()
	return -min(expected*perToken, c.TimeToFirstToken.Seconds())
}
