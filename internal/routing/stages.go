package routing

import "math/rand/v2"

// Filter excludes upstreams that cannot or must not serve a request.
type Filter interface {
	// Check returns Keep or the reason for the exclusion.
	Check(q *Query, u *Upstream) Reason
}

// Scorer prices a candidate.
type Scorer interface {
	// Score returns a cost in seconds; lower is better. It may use the fields
	// of c that earlier scorers filled.
	Score(q *Query, c *Candidate) float64
}

// Picker chooses one of the candidates, of which there is at least one.
type Picker interface {
	// Pick returns an index into c and the number of candidates that it
	// considered equal enough to sample from.
	Pick(q *Query, c []Candidate, rng *rand.Rand) (index, near int)
}
