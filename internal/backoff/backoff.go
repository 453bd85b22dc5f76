// Package backoff computes jittered exponential delays. It exists so that
// hundreds of daemons that lost the platform at the same moment do not return
// to it at the same moment. It does harm where a caller waits for the answer;
// callers bound the total by their own deadline.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Policy bounds the delays. The zero value waits not at all.
type Policy struct {
	// Floor is the shortest delay.
	Floor time.Duration
	// Cap is the longest delay.
	Cap time.Duration
}

// Delay returns the delay before the next try after the given number of
// consecutive failures. It is uniform between Floor and an upper bound that
// doubles with each failure until Cap. Zero failures count as one.
func (p Policy) Delay(failures int, rng *rand.Rand) time.Duration {
	bound := p.Bound(failures)
	spread := bound - p.Floor
	if spread <= 0 {
		return p.Floor
	}
	return p.Floor + time.Duration(rng.Int64N(int64(spread)))
}

// Bound returns the upper bound of Delay, for times that nobody has to spread.
func (p Policy) Bound(failures int) time.Duration {
	bound := 2 * p.Floor
	for range failures - 1 {
		if bound >= p.Cap {
			break
		}
		bound *= 2
	}
	return min(bound, p.Cap)
}

// Sleep waits and reports whether ctx is still alive.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
