package gateway

import (
	"sync/atomic"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// TierStatus is the load of one tier on this daemon, over all models and
// services. Finished, Met and Sheds count since the daemon started.
type TierStatus struct {
	Tier            domain.TierID
	Rank            int
	Queued, Running int
	Finished, Met   int64
	Sheds           int64
}

// tierCount counts the ends of one tier's requests.
type tierCount struct {
	finished, met, sheds atomic.Int64
}

func (g *Gateway) tierCount(rank int) *tierCount {
	found, ok := g.tiers.Load(rank)
	if !ok {
		found, _ = g.tiers.LoadOrStore(rank, new(tierCount))
	}
	return found.(*tierCount)
}

// Tiers returns the load of each tier, most urgent first.
func (g *Gateway) Tiers() []TierStatus {
	table := g.router.Table()
	if table == nil {
		return nil
	}
	out := make([]TierStatus, len(table.Policy.Tiers))
	for rank := range out {
		count := g.tierCount(rank)
		out[rank] = TierStatus{
			Tier: table.Policy.Tiers[rank].ID, Rank: rank,
			Finished: count.finished.Load(), Met: count.met.Load(), Sheds: count.sheds.Load(),
		}
	}
	g.poolsLock.RLock()
	defer g.poolsLock.RUnlock()
	for _, pool := range g.pools {
		pool.addLoad(out)
	}
	return out
}

func (p *pool) addLoad(out []TierStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for rank := range out {
		load := p.queue.Load(rank)
		out[rank].Queued += load.Waiting
		out[rank].Running += load.Running
	}
}
