package administration

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// DrainPhase is the phase of an upstream's drain.
type DrainPhase string

const (
	PhaseServing    DrainPhase = "serving"
	PhaseDraining   DrainPhase = "draining"
	PhaseQuiet      DrainPhase = "quiet"
	PhaseReleasable DrainPhase = "releasable"
	PhaseGone       DrainPhase = "gone"
)

// Ended reports whether the drain is complete, so that the upstream may be
// returned.
func (p DrainPhase) Ended() bool { return p == PhaseReleasable || p == PhaseGone }

// Drain is the state of one upstream's drain.
type Drain struct {
	Upstream domain.UpstreamID `json:"upstream"`
	Phase    DrainPhase        `json:"phase"`
	// Since is when the phase began, or zero if unknown.
	Since time.Time `json:"since,omitzero"`
	// Deadline is when the VM is reclaimed, or zero if unknown.
	Deadline time.Time `json:"deadline,omitzero"`
	// InProgress is the number of requests still in flight at the upstream.
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
	// Finished counts the requests that finished since the daemon started, and
	// Met those of them that met their target.
	Finished int64 `json:"finished"`
	Met      int64 `json:"met"`
	// Sheds counts the requests that were shed since the daemon started.
	Sheds int64 `json:"sheds"`
}

// Attainment returns the fraction of finished requests that met their target.
// It returns false if no request has finished.
func (t TierStatus) Attainment() (float64, bool) {
	if t.Finished == 0 {
		return 0, false
	}
	return float64(t.Met) / float64(t.Finished), true
}

// PeerStatus is the state of a daemon's connection to one peer.
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
	// Seen is when the daemon reported this state. It is zero for a daemon that
	// is in the roster but has not reported.
	Seen time.Time `json:"seen,omitzero"`
}

// Fleet is the state of all daemons as one of them knows it.
type Fleet struct {
	// Daemon is the daemon that reports the state.
	Daemon  domain.DaemonID `json:"daemon"`
	Time    time.Time       `json:"time"`
	Daemons []DaemonStatus  `json:"daemons"`
	Drains  []Drain         `json:"drains"`
}

// RegionTier is the load of one tier, summed over the daemons of a region.
type RegionTier struct {
	Region domain.Region `json:"region"`
	TierStatus
}

// Summary aggregates a fleet's state by region, tier and revision.
type Summary struct {
	Tiers []RegionTier `json:"tiers"`
	// Revisions counts the reporting daemons by the revision in force.
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

// Summarize aggregates a fleet's state. Tiers are sorted by region, then by
// rank; revisions are sorted newest first.
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
