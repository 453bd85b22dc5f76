package routing

import (
	"cmp"
	"slices"
	"time"
)

const (
	baseEjection    = 5 * time.Second
	maxBackoffSteps = 5 // the longest ejection is 5 s << 4 = 80 s
	// minResults is the number of results before the error rate is compared,
	// minFirstTokens the number of first tokens before the latency is.
	minResults     = 5
	minFirstTokens = 5
	// maxConsecutiveFailures is the number of consecutive failures at which an
	// upstream is ejected regardless of its error rate.
	maxConsecutiveFailures = 5
	// An outlier's predicted time to first token at the peers' median load
	// exceeds latencyFactor times the median, or its error rate exceeds the
	// median by errorRateExcess.
	latencyFactor   = 2.5
	errorRateExcess = 0.3
	// minLatencyExcess prevents ejections for differences that callers cannot
	// notice.
	minLatencyExcess = 50 * time.Millisecond
	// maxEjectedFraction is the largest fraction of a peer group that may be out
	// of service at once.
	maxEjectedFraction = 0.34
	// backoffResetAfter is how long after the end of an ejection the backoff is
	// reset.
	backoffResetAfter = 2 * time.Minute
)

// Ejection is one decision of outlier detection, for the decision log.
type Ejection struct {
	Upstream *Upstream
	// TimeToFirstToken is the predicted time in seconds at the peers' median
	// load. PeerTimeToFirstToken and PeerErrorRate are the peers' medians.
	TimeToFirstToken, PeerTimeToFirstToken float64
	ErrorRate, PeerErrorRate               float64
	// Suppressed reports whether maxEjectedFraction prevented the ejection.
	Suppressed bool
}

type peer struct {
	*Upstream
	firstToken, errorRate float64
}

// EjectOutliers compares each upstream with its peers and ejects outliers. Peers
// are upstreams of the same kind, service, first model and role. At most
// maxEjectedFraction of a peer group, but at least one upstream of a group of
// two or more, is out of service at once, and never the whole group. It should
// be called about once a second.
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

// setPriors sets the prior of each estimate to the median of the fits in the
// group, for upstreams without recent observations.
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

// outOfService reports whether the upstream is ejected or on probation.
func (p peer) outOfService() bool { return healthPhase(p.State.health.phase.Load()) != healthy }

// severity orders outliers, so that the worst are ejected first.
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

// median returns the lower median, so that in a group of two the worse upstream
// is compared with the better one.
func median(group []peer, value func(peer) float64) float64 {
	v := make([]float64, len(group))
	for i, p := range group {
		v[i] = value(p)
	}
	slices.Sort(v)
	return v[(len(v)-1)/2]
}
