package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/auburndyke/auburndyke/internal/claims"
	"github.com/auburndyke/auburndyke/internal/standin/platform"
)

const (
	// platformLatency is the time of one platform call in measurements.
	platformLatency = 5 * time.Millisecond
	// batchers is the number of batching daemons, one for each region.
	batchers = 3
)

// claimShares are the parts of the planned requests that must not be repeated.
var claimShares = []float64{0.01, 0.05, 0.10, 0.25}

// measureClaims runs claimed calls at fixed rates against the platform's
// stand-in, with and without batching. Each call writes its row twice.
func measureClaims(ctx context.Context, r *recorder) error {
	span := r.options.part(time.Second)
	for _, share := range claimShares {
		rate := share * Planned().RequestsPerSecond
		direct, err := claimWrites(ctx, rate, span, false)
		if err != nil {
			return err
		}
		batched, err := claimWrites(ctx, rate, span, true)
		if err != nil {
			return err
		}
		r.add("claims/writes", rate, direct)
		r.add("claims/batched-writes", rate, batched)
	}
	return nil
}

// claimWrites returns the transactions per second of claimed calls.
func claimWrites(ctx context.Context, rate float64, span time.Duration, batched bool) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := platform.New(platform.Config{Latency: platformLatency})
	var users []*claims.Claims
	var seeds sync.Mutex
	seed := uint64(0)
	for i := range batchers {
		table := p.Client(fmt.Sprint("batcher-", i))
		cfg := claims.Config{Table: table, Owner: func() claims.Owner { return claims.Owner{Daemon: daemonID(i), Incarnation: 1} }, Seed: func() *rand.Rand {
			seeds.Lock()
			defer seeds.Unlock()
			seed++
			return rand.New(rand.NewPCG(1, seed))
		}}
		if batched {
			b := claims.NewBatcher(table)
			go func() { _ = b.Run(ctx) }()
			cfg.Committer = b
		}
		users = append(users, claims.New(cfg))
	}
	calls := max(int(rate*span.Seconds()), 1)
	errs := make(chan error, calls)
	start := time.Now()
	for i := range calls {
		due := start.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		go func() { errs <- claimOnce(ctx, users[i%batchers], i) }()
	}
	var failed error
	for range calls {
		if err := <-errs; err != nil {
			failed = err
		}
	}
	for _, c := range users {
		c.Close(ctx)
	}
	// Calls arrive at the wanted rate however late the machine runs them, so
	// transactions for each call are scaled by that rate.
	return float64(p.Counters().Writes) / float64(calls) * rate, failed
}

func claimOnce(ctx context.Context, c *claims.Claims, i int) error {
	call := fmt.Sprint("call-", i)
	d := c.Begin(ctx, claims.Request{Key: claims.Key{Customer: customerID(0), Key: call}, Digest: claims.DigestOf([]byte(call)), Call: call})
	if d.Verdict != claims.Granted {
		return fmt.Errorf("claim %s ended as %s: %w", call, d.Verdict, d.Err)
	}
	return c.Finish(ctx, d.Grant, claims.StateRan, &claims.Answer{Status: 200, Body: []byte(`{"ok":true}`)})
}
