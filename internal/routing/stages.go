package routing

import "math/rand/v2"

// Filter excludes upstreams that cannot or must not serve a request.
type Filter interface {
	// Check returns Keep or the reason to exclude u.
	Check(q *Query, u *Upstream) Reason
}

// Scorer assigns a cost to a candidate.
type Scorer interface {
	// Score returns a cost in seconds; lower is better. It may use fields
	// of c that earlier scorers set.
	Score(q *Query, c *Candidate) float64
}

// Picker picks one of the candidates, of which there is at least one.
type Picker interface {
	// Pick returns an index into c and the number of near-best candidates that
	// it sampled from.
	Pick(q *Query, c []Candidate, rng *rand.Rand) (index, near int)
}
