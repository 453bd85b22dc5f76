package routing

import (
	"math/rand/v2"
	"sync/atomic"
)

// RoundRobin picks the candidates in turn. It is a baseline for replay.
type RoundRobin struct{ next atomic.Uint64 }

// Pick implements Picker.
func (p *RoundRobin) Pick(_ *Query, c []Candidate, _ *rand.Rand) (int, int) {
	return int((p.next.Add(1) - 1) % uint64(len(c))), len(c)
}

// LeastRequests compares two random candidates and picks the one with fewer of
// this daemon's requests in flight. It is a baseline for replay.
type LeastRequests struct{}

// Pick implements Picker.
func (LeastRequests) Pick(_ *Query, c []Candidate, rng *rand.Rand) (int, int) {
	if len(c) == 1 {
		return 0, 1
	}
	a := rng.IntN(len(c))
	b := rng.IntN(len(c) - 1)
	if b >= a {
		b++
	}
	if c[b].Upstream.State.InFlight() < c[a].Upstream.State.InFlight() {
		a = b
	}
	return a, len(c)
}
