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
	sizes := []struct{ daemons, upstreams, size int }{{8, 25, 8}, {32, 242, localSubset}, {110, 139, localSubset}, {330, 2500, 72}}
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
	shares := []int{8, 4, 2, 1}
	if r.options.smoke {
		shares = shares[:1]
	}
	for _, share := range shares {
		s := Planned()
		s.Daemons, s.Upstreams = s.Daemons/share, s.Upstreams/share
		cpu, _ := perCall(r.options.part(100*time.Millisecond), func() { siteSubsets(s) })
		r.add("subset/site", float64(s.Upstreams), millis(cpu))
	}
	return nil
}

// siteSubsets computes the subsets that one daemon needs to know who shares
// its upstreams: those of each region's daemons in the pool of each region and
// model.
func siteSubsets(s Size) {
	daemons, upstreams := ids(s.Daemons/s.Regions, int(s.poolSize()))
	for range s.Models * s.Regions {
		for region := range s.Regions {
			size := remoteSubset
			if region == 0 {
				size = localSubset
			}
			routing.Subsets(daemons, upstreams, size)
		}
	}
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
