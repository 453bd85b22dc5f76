package peers

import (
	"context"
	"time"

	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/contain"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// bootstrapInterval is the mean pause between two rounds of requests to seeds.
const bootstrapInterval = 400 * time.Millisecond

// bootstrap reads tables from the seeds, starting with another seed in each
// round, while the platform is unavailable and the daemon has no copy. A daemon
// that starts during an outage can thus serve. It returns once the daemon has a
// copy of every table.
func (n *Node) bootstrap(ctx context.Context) {
	if len(n.Seeds) == 0 {
		return
	}
	next := n.bootstrapRand.IntN(len(n.Seeds))
	for backoff.Sleep(ctx, bootstrapInterval/2+time.Duration(n.bootstrapRand.Int64N(int64(bootstrapInterval)))) {
		unknown := 0
		for name, table := range n.Tables {
			if table.Versions().AsOf > 0 {
				continue
			}
			unknown++
			if table.Unavailable(time.Now()) {
				n.readSeeds(ctx, name, next)
			}
		}
		if unknown == 0 {
			return
		}
		next++
	}
}

// readSeeds requests a table from the seeds in turn, beginning at index from,
// until one has a newer copy.
func (n *Node) readSeeds(ctx context.Context, name string, from int) {
	for i := range n.Seeds {
		if n.readSeed(ctx, name, n.Seeds[(from+i)%len(n.Seeds)]) {
			return
		}
	}
}

// readSeed requests a table from one seed. It reports whether the seed's copy
// was adopted.
func (n *Node) readSeed(ctx context.Context, name, seed string) bool {
	var adopted bool
	err := contain.Do(n.Log, "a seed's copy", func() (err error) {
		adopted, err = n.fetchCopy(ctx, name, seed)
		return err
	})
	line := n.Log.Event(telemetry.SeedCopyRead)
	if err != nil {
		line.Err(err)
	}
	line.Str("table", name).Str("seed", seed).Bool("taken", adopted).
		Uint64("as_of", n.Tables[name].Versions().AsOf.Number()).Send()
	return adopted
}
