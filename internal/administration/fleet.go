package administration

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// DrainPhase is how far an upstream's drain has come.
type DrainPhase string

const (
	PhaseServing    DrainPhase = "serving"
	PhaseDraining   DrainPhase = "draining"
	PhaseQuiet      DrainPhase = "quiet"
	PhaseReleasable DrainPhase = "releasable"
)

// Drain is the state of one upstream's drain.
type Drain struct {
	Upstream domain.UpstreamID `json:"upstream"`
	Phase    DrainPhase        `json:"phase"`
	// Since is when the phase began. Zero means unknown.
	Since time.Time `json:"since,omitzero"`
	// Deadline is when the VM is taken away. Zero means unknown.
	Deadline time.Time `json:"deadline,omitzero"`
	// InProgress is the number of requests that still run there.
	InProgress int `json:"in_progress"`
	// Waiting lists daemons that have not acknowledged the drain.
	Waiting []domain.DaemonID `json:"waiting,omitempty"`
}

// TierStatus is the load of one tier on one daemon or in one region.
type TierStatus struct {
	Tier    domain.TierID `json:"tier"`
	Rank    int           `json:"rank"`
	Queued  int           `json:"queued"`
	Running int           `json:"running"`
	// Finished and Met count the recent requests and those within target;
	// together they give the attainment.
	Finished int64 `json:"finished"`
	Met      int64 `json:"met"`
	// Sheds counts the recent requests that were shed.
	Sheds int64 `json:"sheds"`
}

// Attainment returns the fraction of finished requests within target, and
// false without any.
func (t TierStatus) Attainment() (float64, bool) {
	if t.Finished == 0 {
		return 0, false
	}
	return float64(t.Met) / float64(t.Finished), true
}

// PeerStatus is a daemon's view of one connection.
type PeerStatus struct {
	Daemon    domain.DaemonID `json:"daemon"`
	Connected bool            `json:"connected"`
}

// DaemonStatus is the state of one daemon.
type DaemonStatus struct {
	Daemon     domain.DaemonID         `json:"daemon"`
	Region     domain.Region           `json:"region"`
	Zone       domain.AvailabilityZone `json:"zone"`
	Revision   domain.Revision         `json:"revision"`
	Ready      bool                    `json:"ready"`
	Reason     string                  `json:"reason,omitempty"`
	InProgress int                     `json:"in_progress"`
	Tiers      []TierStatus            `json:"tiers,omitempty"`
	Peers      []PeerStatus            `json:"peers,omitempty"`
	// Seen is when the state was reported. Zero means that the daemon is in
	// the roster but has not reported.
	Seen time.Time `json:"seen,omitzero"`
}

// Fleet is the state of all daemons as one of them knows it.
type Fleet struct {
	// Daemon answered the call.
	Daemon  domain.DaemonID `json:"daemon"`
	Time    time.Time       `json:"time"`
	Daemons []DaemonStatus  `json:"daemons"`
	Drains  []Drain         `json:"drains"`
}

// RegionTier sums one tier over the daemons of one region.
type RegionTier struct {
	Region domain.Region `json:"region"`
	TierStatus
}

// Summary is a fleet's state by region, tier and revision.
type Summary struct {
	Tiers []RegionTier `json:"tiers"`
	// Revisions counts the reporting daemons by revision in force.
	Revisions []RevisionCount `json:"revisions"`
	Ready     int             `json:"ready"`
	// Silent counts daemons in the roster that have not reported.
	Silent int `json:"silent"`
}

// RevisionCount is the number of daemons that have a revision in force.
type RevisionCount struct {
	Revision domain.Revision `json:"revision"`
	Daemons  int             `json:"daemons"`
}

// Summarize sums a fleet's state. Regions are sorted by name, tiers by rank and
// revisions newest first.
func Summarize(f Fleet) Summary {
	type key struct {
		region domain.Region
		tier   domain.TierID
	}
	var s Summary
	tiers := map[key]*RegionTier{}
	revisions := map[domain.Revision]int{}
	for _, d := range f.Daemons {
		if d.Seen.IsZero() {
			s.Silent++
			continue
		}
		revisions[d.Revision]++
		if d.Ready {
			s.Ready++
		}
		for _, t := range d.Tiers {
			sum := tiers[key{d.Region, t.Tier}]
			if sum == nil {
				sum = &RegionTier{Region: d.Region, TierStatus: TierStatus{Tier: t.Tier, Rank: t.Rank}}
				tiers[key{d.Region, t.Tier}] = sum
			}
			sum.add(t)
		}
	}
	for _, t := range tiers {
		s.Tiers = append(s.Tiers, *t)
	}
	slices.SortFunc(s.Tiers, func(a, b RegionTier) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Tier, b.Tier))
	})
	for r, n := range revisions {
		s.Revisions = append(s.Revisions, RevisionCount{r, n})
	}
	slices.SortFunc(s.Revisions, func(a, b RevisionCount) int { return cmp.Compare(b.Revision, a.Revision) })
	return s
}

func (t *RegionTier) add(other TierStatus) {
	t.Queued += other.Queued
	t.Running += other.Running
	t.Finished += other.Finished
	t.Met += other.Met
	t.Sheds += other.Sheds
}
