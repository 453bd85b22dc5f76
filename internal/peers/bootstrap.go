package peers

import (
	"context"
	"time"

	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// bootstrapInterval is the mean pause between two questions to seeds.
const bootstrapInterval = 400 * time.Millisecond

// bootstrap reads the tables from one seed after the other while the platform is
// away and has told the daemon nothing, so that a daemon that starts
// in an outage can serve. It ends once all tables are known.
func (n *Node) bootstrap(ctx context.Context) {
	if len(n.Seeds) == 0 {
		return
	}
	next := n.bootRand.IntN(len(n.Seeds))
	for backoff.Sleep(ctx, bootstrapInterval/2+time.Duration(n.bootRand.Int64N(int64(bootstrapInterval)))) {
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

// readSeeds asks the seeds for a table, from one of them on, until one has it.
func (n *Node) readSeeds(ctx context.Context, name string, from int) {
	for i := range n.Seeds {
		if n.readSeed(ctx, name, n.Seeds[(from+i)%len(n.Seeds)]) {
			return
		}
	}
}

// readSeed asks one seed for a table. It reports whether the daemon knows more by
// it.
func (n *Node) readSeed(ctx context.Context, name, seed string) bool {
	taken, err := n.fetchCopy(ctx, name, seed)
	line := n.Log.Event(telemetry.SeedCopyRead)
	if err != nil {
		line.Err(err)
	}
	line.Str("table", name).Str("seed", seed).Bool("taken", taken).
		Uint64("as_of", uint64(n.Tables[name].Versions().AsOf)).Send()
	return taken
}
