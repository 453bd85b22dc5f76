package routing

import (
	"slices"
	"time"
)

const (
	baseEjection        = 5 * time.Second
	maxBackoffDoublings = 5 // 80 s
	// minResults is the number of results before errors count, minTimes the
	// number of first tokens before lateness counts.
	minResults = 5
	minTimes   = 5
	// failuresInRow ejects regardless of the error rate.
	failuresInRow = 5
	// latenessFactor is how many times later than the median of its peers an
	// upstream must be; errorExcess how far its error rate must exceed theirs.
	latenessFactor = 2.5
	errorExcess    = 0.3
	// maxEjected is the largest fraction of a peer group that is out at once.
	maxEjected = 0.34
	// forgiveAfter is how long after an ejection the backoff starts anew.
	forgiveAfter = 2 * time.Minute
)

// Ejection is one decision of outlier detection, for the decision log.
type Ejection struct {
	Upstream *Upstream
	// Lateness and Errors are the upstream's values; the peers' medians follow.
	Lateness, PeerLateness float64
	Errors, PeerErrors     float64
	// Spared is true when the floor kept the upstream in use.
	Spared bool
}

type peer struct {
	*Upstream
	lateness, errors float64
}

// SweepOutliers compares each upstream with its peers, which are those of the
// same kind, service or first model, and role, and ejects outliers. At most
// maxEjected of a peer group is out at once and never all of it. Call it about
// once a second.
func SweepOutliers(now time.Time, t *Table) []Ejection {
	groups := map[string][]peer{}
	var keys []string
	for _, u := range t.members {
		h := &u.State.health
		if h.returned.CompareAndSwap(true, false) {
			u.State.Warm(now)
		}
		if now.UnixNano()-h.until.Load() > int64(forgiveAfter) {
			h.ejections.Store(0)
		}
		k := peerKey(u)
		if groups[k] == nil {
			keys = append(keys, k)
		}
		groups[k] = append(groups[k], peer{u, u.State.Estimate.Lateness(now), float64(h.errors.Load()) / 1e6})
	}
	var out []Ejection
	for _, k := range keys {
		out = sweepGroup(now, groups[k], out)
	}
	return out
}

func peerKey(u *Upstream) string {
	k := string(u.Kind) + "/" + u.Service + "/" + string(u.Role)
	if len(u.Models) > 0 {
		k += "/" + string(u.Models[0])
	}
	return k
}

func sweepGroup(now time.Time, group []peer, out []Ejection) []Ejection {
	late, errs := make([]float64, len(group)), make([]float64, len(group))
	gone := 0
	for i, p := range group {
		late[i], errs[i] = p.lateness, p.errors
		if p.outOfUse() {
			gone++
		}
	}
	medianLate, medianErr := lowerMedian(late), lowerMedian(errs)
	allowed := int(maxEjected * float64(len(group)))
	if len(group) > 1 {
		allowed = max(allowed, 1)
	}
	slices.SortStableFunc(group, func(a, b peer) int {
		return -compare(a.badness(medianLate, medianErr), b.badness(medianLate, medianErr))
	})
	for _, p := range group {
		if p.outOfUse() || !p.isOutlier(medianLate, medianErr) {
			continue
		}
		e := Ejection{p.Upstream, p.lateness, medianLate, p.errors, medianErr, gone >= allowed}
		if !e.Spared {
			p.State.health.eject(now)
			gone++
		}
		out = append(out, e)
	}
	return out
}

func (p peer) outOfUse() bool { return healthPhase(p.State.health.phase.Load()) != healthy }

func (p peer) badness(medianLate, medianErr float64) float64 {
	return p.lateness/max(medianLate, 0.1) + 10*(p.errors-medianErr)
}

func (p peer) isOutlier(medianLate, medianErr float64) bool {
	h := &p.State.health
	if h.failures.Load() >= failuresInRow {
		return true
	}
	if h.results.Load() >= minResults && p.errors > medianErr+errorExcess {
		return true
	}
	return p.State.Estimate.Samples() >= minTimes && p.lateness > latenessFactor*max(medianLate, 1)
}

// lowerMedian returns the lower median, so that in a group of two the better
// upstream is the measure.
func lowerMedian(v []float64) float64 {
	slices.Sort(v)
	return v[(len(v)-1)/2]
}

func compare(a, b float64) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}
