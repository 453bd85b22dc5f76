package routing

import (
	"cmp"
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
	// latenessFactor is how many times later than the median of its peers, at
	// equal load, an upstream must be; errorExcess is how far its error rate
	// must exceed theirs.
	latenessFactor = 2.5
	errorExcess    = 0.3
	// minLateness keeps differences that callers cannot notice from ejecting.
	minLateness = 50 * time.Millisecond
	// maxEjected is the largest fraction of a peer group that is out at once.
	maxEjected = 0.34
	// forgiveAfter is how long after an ejection the backoff starts anew.
	forgiveAfter = 2 * time.Minute
)

// Ejection is one decision of outlier detection, for the decision log.
type Ejection struct {
	Upstream *Upstream
	// FirstToken is the predicted first-token time in seconds at the peers'
	// median load, Errors the error rate; the peers' medians follow.
	FirstToken, PeerFirstToken float64
	Errors, PeerErrors         float64
	// Suppressed is true when the floor kept the upstream in use.
	Suppressed bool
}

type peer struct {
	*Upstream
	first, errors float64
}

// EjectOutliers compares each upstream with its peers, which are those of the
// same kind, service or first model, and role, and ejects outliers. At most
// maxEjected of a peer group is out at once and never all of it. Call it about
// once a second.
func EjectOutliers(now time.Time, t *Table) []Ejection {
	groups := map[string][]peer{}
	var keys []string
	for _, u := range t.members {
		h := &u.State.health
		if h.returned.CompareAndSwap(true, false) {
			u.State.BeginSlowStart(now)
		}
		if now.UnixNano()-h.until.Load() > int64(forgiveAfter) {
			h.ejections.Store(0)
		}
		k := peerKey(u)
		if groups[k] == nil {
			keys = append(keys, k)
		}
		groups[k] = append(groups[k], peer{Upstream: u, errors: float64(h.errors.Load()) / 1e6})
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
	sharePrior(group)
	load := median(group, func(p peer) float64 { return p.State.Estimate.ActiveTokens(now) })
	gone := 0
	for i := range group {
		group[i].first = group[i].State.Estimate.TimeToFirstTokenAt(now, load).Seconds()
		if group[i].outOfUse() {
			gone++
		}
	}
	first := median(group, func(p peer) float64 { return p.first })
	errs := median(group, func(p peer) float64 { return p.errors })
	allowed := int(maxEjected * float64(len(group)))
	if len(group) > 1 {
		allowed = max(allowed, 1)
	}
	slices.SortStableFunc(group, func(a, b peer) int {
		return cmp.Compare(b.badness(first, errs), a.badness(first, errs))
	})
	for _, p := range group {
		if p.outOfUse() || !p.isOutlier(first, errs) {
			continue
		}
		e := Ejection{p.Upstream, p.first, first, p.errors, errs, gone >= allowed}
		if !e.Suppressed {
			p.State.health.eject(now)
			gone++
		}
		out = append(out, e)
	}
	return out
}

// sharePrior lets upstreams without recent observations be judged by the
// median of their peers' fits.
func sharePrior(group []peer) {
	var known []peer
	for _, p := range group {
		if p.State.Estimate.Samples() >= minTimes {
			known = append(known, p)
		}
	}
	if len(known) == 0 {
		return
	}
	base := median(known, func(p peer) float64 { b, _ := p.State.Estimate.TimeToFirstTokenFit(); return b })
	slope := median(known, func(p peer) float64 { _, s := p.State.Estimate.TimeToFirstTokenFit(); return s })
	for _, p := range group {
		p.State.Estimate.SetPrior(base, slope)
	}
}

func (p peer) outOfUse() bool { return healthPhase(p.State.health.phase.Load()) != healthy }

func (p peer) badness(first, errs float64) float64 {
	return p.first/max(first, 1e-3) + 10*(p.errors-errs)
}

func (p peer) isOutlier(first, errs float64) bool {
	h := &p.State.health
	if h.failures.Load() >= failuresInRow {
		return true
	}
	if h.results.Load() >= minResults && p.errors > errs+errorExcess {
		return true
	}
	return p.State.Estimate.Samples() >= minTimes &&
		p.first > latenessFactor*first && p.first > first+minLateness.Seconds()
}

// median is the lower median, so that in a group of two the better upstream is
// the measure.
func median(group []peer, value func(peer) float64) float64 {
	v := make([]float64, len(group))
	for i, p := range group {
		v[i] = value(p)
	}
	slices.Sort(v)
	return v[(len(v)-1)/2]
}
