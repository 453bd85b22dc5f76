package routing

import (
	"cmp"
	"slices"
	"time"
)

const (
	baseEjection    = 5 * time.Second
	maxBackoffSteps = 5 // 80 s
	// minResults is the number of results before errors count, minTimes the
	// number of first tokens before lateness counts.
	minResults     = 5
	minFirstTokens = 5
	// maxConsecutiveFailures ejects regardless of the error rate.
	maxConsecutiveFailures = 5
	// latencyFactor is how many times later than the median of its peers, at
	// equal load, an upstream must be; errorExcess is how far its error rate
	// must exceed theirs.
	latencyFactor   = 2.5
	errorRateExcess = 0.3
	// minLatencyExcess keeps differences that callers cannot notice from ejecting.
	minLatencyExcess = 50 * time.Millisecond
	// maxEjectedFraction is the largest fraction of a peer group that is out at once.
	maxEjectedFraction = 0.34
	// backoffResetAfter is how long after an ejection the backoff starts anew.
	backoffResetAfter = 2 * time.Minute
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
	firstToken, errorRate float64
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
		if h.recovered.CompareAndSwap(true, false) {
			u.State.BeginSlowStart(now)
		}
		if now.UnixNano()-h.ejectedUntil.Load() > int64(backoffResetAfter) {
			h.ejections.Store(0)
		}
		k := groupKey(u)
		if groups[k] == nil {
			keys = append(keys, k)
		}
		groups[k] = append(groups[k], peer{Upstream: u, errorRate: float64(h.errorRate.Load()) / 1e6})
	}
	var out []Ejection
	for _, k := range keys {
		out = ejectFromGroup(now, groups[k], out)
	}
	return out
}

func groupKey(u *Upstream) string {
	k := string(u.Kind) + "/" + u.Service + "/" + string(u.Role)
	if len(u.Models) > 0 {
		k += "/" + string(u.Models[0])
	}
	return k
}

func ejectFromGroup(now time.Time, group []peer, out []Ejection) []Ejection {
	setPriors(group)
	medianLoad := median(group, func(p peer) float64 { return p.State.Estimate.ActiveTokens(now) })
	unhealthy := 0
	for i := range group {
		group[i].firstToken = group[i].State.Estimate.TimeToFirstTokenAt(now, medianLoad).Seconds()
		if group[i].outOfService() {
			unhealthy++
		}
	}
	medianFirstToken := median(group, func(p peer) float64 { return p.firstToken })
	medianErrorRate := median(group, func(p peer) float64 { return p.errorRate })
	limit := int(maxEjectedFraction * float64(len(group)))
	if len(group) > 1 {
		limit = max(limit, 1)
	}
	slices.SortStableFunc(group, func(a, b peer) int {
		return cmp.Compare(b.severity(medianFirstToken, medianErrorRate), a.severity(medianFirstToken, medianErrorRate))
	})
	for _, p := range group {
		if p.outOfService() || !p.isOutlier(medianFirstToken, medianErrorRate) {
			continue
		}
		e := Ejection{p.Upstream, p.firstToken, medianFirstToken, p.errorRate, medianErrorRate, unhealthy >= limit}
		if !e.Suppressed {
			p.State.health.eject(now)
			unhealthy++
		}
		out = append(out, e)
	}
	return out
}

// setPriors lets upstreams without recent observations be judged by the
// median of their peers' fits.
func setPriors(group []peer) {
	var observed []peer
	for _, p := range group {
		if p.State.Estimate.Samples() >= minFirstTokens {
			observed = append(observed, p)
		}
	}
	if len(observed) == 0 {
		return
	}
	base := median(observed, func(p peer) float64 { b, _ := p.State.Estimate.TimeToFirstTokenFit(); return b })
	slope := median(observed, func(p peer) float64 { _, s := p.State.Estimate.TimeToFirstTokenFit(); return s })
	for _, p := range group {
		p.State.Estimate.SetPrior(base, slope)
	}
}

func (p peer) outOfService() bool { return healthPhase(p.State.health.phase.Load()) != healthy }

func (p peer) severity(medianFirstToken, medianErrorRate float64) float64 {
	return p.firstToken/max(medianFirstToken, 1e-3) + 10*(p.errorRate-medianErrorRate)
}

func (p peer) isOutlier(medianFirstToken, medianErrorRate float64) bool {
	h := &p.State.health
	if h.consecutiveFailures.Load() >= maxConsecutiveFailures {
		return true
	}
	if h.resultCount.Load() >= minResults && p.errorRate > medianErrorRate+errorRateExcess {
		return true
	}
	return p.State.Estimate.Samples() >= minFirstTokens &&
		p.firstToken > latencyFactor*medianFirstToken && p.firstToken > medianFirstToken+minLatencyExcess.Seconds()
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
