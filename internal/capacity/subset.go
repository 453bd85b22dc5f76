package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/routing"
)

// measureSubsets measures balance, reassignment and cost of subsets.
func measureSubsets(ctx context.Context, r *recorder) error {
	sizes := []struct{ daemons, upstreams, size int }{{8, 25, 8}, {32, 240, maxSubset}, {110, 833, maxSubset}, {330, 2500, maxSubset}}
	if r.options.smoke {
		sizes = sizes[:2]
	}
	for _, n := range sizes {
		daemons, upstreams := ids(n.daemons, n.upstreams)
		before := routing.Subsets(daemons, upstreams, n.size)
		x := float64(n.daemons * n.upstreams)
		least, most := holders(before, upstreams)
		r.add("subset/daemons-per-upstream", x, float64(most))
		r.add("subset/imbalance", x, float64(most)/(float64(n.daemons*n.size)/float64(n.upstreams)))
		if least == 0 {
			return fmt.Errorf("%d daemons with subsets of %d leave one of %d upstreams unused", n.daemons, n.size, n.upstreams)
		}
		after := routing.Subsets(daemons[1:], upstreams, n.size)
		r.add("subset/moved", x, moved(before, after, daemons[1:]))
		cpu, _ := perCall(r.options.part(50*time.Millisecond), func() { routing.Subset(daemons, upstreams, daemons[0], n.size) })
		r.add("subset/cpu", x, millis(cpu))
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	return nil
}

func ids(daemons, upstreams int) ([]domain.DaemonID, []domain.UpstreamID) {
	d, u := make([]domain.DaemonID, daemons), make([]domain.UpstreamID, upstreams)
	for i := range d {
		d[i] = daemonID(i)
	}
	for i := range u {
		u[i] = upstreamID(i)
	}
	return d, u
}

func holders(subsets map[domain.DaemonID][]domain.UpstreamID, upstreams []domain.UpstreamID) (least, most int) {
	count := map[domain.UpstreamID]int{}
	for _, list := range subsets {
		for _, u := range list {
			count[u]++
		}
	}
	least = count[upstreams[0]]
	for _, u := range upstreams {
		least, most = min(least, count[u]), max(most, count[u])
	}
	return least, most
}

// moved returns the share of the remaining daemons' pairs that changed.
func moved(before, after map[domain.DaemonID][]domain.UpstreamID, daemons []domain.DaemonID) float64 {
	total, changed := 0, 0
	for _, d := range daemons {
		had := map[domain.UpstreamID]bool{}
		for _, u := range before[d] {
			had[u] = true
		}
		for _, u := range after[d] {
			total++
			if !had[u] {
				changed++
			}
		}
	}
	return float64(changed) / float64(total)
}
