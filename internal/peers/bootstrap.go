package peers

import (
	"context"
	"sync"
	"time"

	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// bootstrapDelay is how long a daemon that starts waits for the platform
	// before it asks the seeds. The platform answers within some milliseconds.
	bootstrapDelay = 400 * time.Millisecond
	// bootstrapInterval is the mean pause between two rounds of questions.
	bootstrapInterval = 500 * time.Millisecond
)

// bootstrap reads the tables from the seeds while the platform has told the
// daemon nothing, so that a daemon that starts in an outage can serve. It ends
// once all tables are known.
func (n *Node) bootstrap(ctx context.Context) {
	wait := bootstrapDelay
	for backoff.Sleep(ctx, wait) {
		unknown := n.unknownTables()
		if len(unknown) == 0 {
			return
		}
		var asked sync.WaitGroup
		for _, name := range unknown {
			for _, seed := range n.Seeds {
				asked.Go(func() { n.readSeed(ctx, name, seed) })
			}
		}
		asked.Wait()
		wait = bootstrapInterval/2 + time.Duration(n.bootRand.Int64N(int64(bootstrapInterval)))
	}
}

func (n *Node) unknownTables() []string {
	var out []string
	for name, table := range n.Tables {
		if table.Versions().AsOf == 0 {
			out = append(out, name)
		}
	}
	return out
}

func (n *Node) readSeed(ctx context.Context, name, seed string) {
	taken, err := n.fetchCopy(ctx, name, seed)
	line := n.Log.Event(telemetry.SeedCopyRead)
	if err != nil {
		line.Err(err)
	}
	line.Str("table", name).Str("seed", seed).Bool("taken", taken).
		Uint64("as_of", uint64(n.Tables[name].Versions().AsOf)).Send()
}
