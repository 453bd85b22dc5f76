// Package backoff computes jittered exponential delays, so that hundreds of
// daemons that lost the platform at the same moment do not reconnect to it at
// the same moment. The delays add to the latency of a caller that waits for the
// response; users of this package bound the total by their own deadline.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Policy bounds the delays. The zero value means no delay.
type Policy struct {
	// Floor is the shortest delay.
	Floor time.Duration
	// Cap is the longest delay.
	Cap time.Duration
}

// Delay returns the delay before the next attempt after the given number of
// consecutive failures. It is uniformly distributed between Floor and an upper bound that
// doubles with each failure until Cap. Zero failures count as one.
func (p Policy) Delay(failures int, rng *rand.Rand) time.Duration {
	bound := p.Bound(failures)
	spread := bound - p.Floor
	if spread <= 0 {
		return p.Floor
	}
	return p.Floor + time.Duration(rng.Int64N(int64(spread)))
}

// Bound returns the upper bound of Delay, for uses that need no jitter.
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

// Sleep waits for d or until ctx is done. It reports whether d has passed.
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
