package recordtest

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/claims"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
)

const (
	rateRequests = 2600 // requests a second
	rateDaemons  = 330
	rateRegions  = 3
	rateSeconds  = 4
	tableLatency = 10 * time.Millisecond
	hopLatency   = 500 * time.Microsecond
)

// load is per second, but for the mean wait of a claim.
type load struct {
	commits, rows float64
	wait          time.Duration
}

// measure runs rateSeconds of calls and returns the load of the table.
func measure(t *testing.T, share float64, batchers int) (got load) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, newTable())
		f.tab.latency = tableLatency
		ctx, stop := context.WithCancel(t.Context())
		daemons := make([]*claims.Claims, rateDaemons)
		for i, committer := range committers(ctx, f.tab, batchers) {
			daemons[i] = f.daemon(fmt.Sprint(i), committer)
		}
		rng := f.seed()
		var wg sync.WaitGroup
		var mu sync.Mutex
		calls := int(rateRequests * share * rateSeconds)
		for n := range calls {
			at := time.Duration(rng.Float64() * rateSeconds * float64(time.Second))
			d := daemons[rng.IntN(rateDaemons)]
			wg.Go(func() {
				time.Sleep(at)
				sent := time.Now()
				decision := d.Begin(ctx, f.request(claims.Key{Customer: "c", Key: fmt.Sprint(n)}, "body"))
				waited := time.Since(sent)
				assert.Equal(t, decision.Verdict, claims.Granted)
				assert.NilError(t, d.Finish(ctx, decision.Grant, claims.StateRan, nil))
				mu.Lock()
				got.wait += waited / time.Duration(calls)
				mu.Unlock()
			})
		}
		wg.Wait()
		closeAll(daemons...)
		stop()
		synctest.Wait()
		got.commits = float64(f.tab.commits) / rateSeconds
		got.rows = float64(f.tab.written) / rateSeconds
	})
	return got
}

// committers returns the committer of each daemon: the table itself, or a
// router to the batchers of its region.
func committers(ctx context.Context, tab *table, batchers int) []claims.Committer {
	out := make([]claims.Committer, rateDaemons)
	rosters := make([][]domain.DaemonID, rateRegions)
	local := map[domain.DaemonID]*claims.Batcher{}
	for i := range out {
		id := domain.DaemonID(fmt.Sprint(i))
		rosters[i%rateRegions] = append(rosters[i%rateRegions], id)
		if batchers > 0 {
			b := claims.NewBatcher(tab)
			local[id] = b
			go func() { _ = b.Run(ctx) }()
		}
	}
	forward := func(ctx context.Context, to domain.DaemonID, writes []ports.Write) (ports.Version, error) {
		time.Sleep(2 * hopLatency)
		return local[to].Commit(ctx, writes...)
	}
	for i := range out {
		id := domain.DaemonID(fmt.Sprint(i))
		out[i] = tab
		if batchers > 0 {
			roster := rosters[i%rateRegions]
			out[i] = &claims.Router{
				Self: id, Roster: func() []domain.DaemonID { return roster },
				Batchers: batchers, Local: local[id], Forward: forward,
			}
		}
	}
	return out
}

// Guards against a load on the table that grows with the share of
// non-repeatable calls beyond several hundred transactions a second.
func TestBatchersBoundTransactions(t *testing.T) {
	for _, share := range []float64{0.01, 0.05, 0.10, 0.25} {
		direct := measure(t, share, 0)
		one := measure(t, share, 1)
		two := measure(t, share, 2)
		t.Logf("share %2.0f%%: direct %5.0f transactions/s, wait %v; 1 batcher a region %4.0f (wait %v); 2 batchers %4.0f (wait %v); %4.0f rows/s",
			100*share, direct.commits, direct.wait, one.commits, one.wait, two.commits, two.wait, one.rows)
		assert.Assert(t, one.commits < direct.commits)
	}
}
