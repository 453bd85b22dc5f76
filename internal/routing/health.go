package routing

import (
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/internal/estimate"
)

const (
	// maxConcurrentProbes is the limit on attempts in flight during probation.
	maxConcurrentProbes = 1
	// probesToRecover is the number of successful probes that end a probation.
	probesToRecover = 3
	// errorRateGain is the weight of the newest result in the error rate.
	errorRateGain = 0.1
)

type healthPhase int32

const (
	healthy healthPhase = iota
	ejected
	probation
)

// health is the state of outlier detection for one upstream.
type health struct {
	phase               atomic.Int32
	ejectedUntil        atomic.Int64 // Unix ns
	activeProbes        atomic.Int32
	successfulProbes    atomic.Int32 // in the present probation
	consecutiveFailures atomic.Int32
	ejections           atomic.Int32 // since the backoff was last reset
	errorRate           atomic.Int64 // moving average, in ppm
	resultCount         atomic.Int64
	recovered           atomic.Bool // probation ended; the next EjectOutliers begins a slow start
}

// check returns Keep if the upstream may get a request now, or the reason why
// not.
func (h *health) check(now time.Time) Reason {
	switch healthPhase(h.phase.Load()) {
	case ejected:
		if now.UnixNano() < h.ejectedUntil.Load() {
			return ReasonEjected
		}
	case probation:
		if h.activeProbes.Load() >= maxConcurrentProbes {
			return ReasonProbation
		}
	}
	return Keep
}

// needsProbe reports whether an attempt now would be a probe.
func (h *health) needsProbe() bool { return healthPhase(h.phase.Load()) != healthy }

// begin starts an attempt if check allows it, as a probe during probation. The
// first attempt after an ejection has ended begins the probation.
func (h *health) begin(now time.Time, e *estimate.Upstream) (probe, ok bool) {
	if h.check(now) != Keep {
		return false, false
	}
	if h.phase.CompareAndSwap(int32(ejected), int32(probation)) {
		h.successfulProbes.Store(0)
		h.errorRate.Store(0)
		h.consecutiveFailures.Store(0)
		e.Forget()
	}
	if healthPhase(h.phase.Load()) != probation {
		return false, true
	}
	if h.activeProbes.Add(1) > maxConcurrentProbes {
		h.activeProbes.Add(-1)
		return false, false
	}
	return true, true
}

func (h *health) endProbe(probe bool) {
	if probe {
		h.activeProbes.Add(-1)
	}
}

// record updates the health with the result of an attempt.
func (h *health) record(now time.Time, result Result, probe bool) {
	h.endProbe(probe)
	switch result {
	case ResultOK:
		h.consecutiveFailures.Store(0)
		h.updateErrorRate(0)
		if probe && h.successfulProbes.Add(1) >= probesToRecover &&
			h.phase.CompareAndSwap(int32(probation), int32(healthy)) {
			h.recovered.Store(true)
		}
	case ResultFailed:
		h.consecutiveFailures.Add(1)
		h.updateErrorRate(1e6)
		if probe && h.phase.CompareAndSwap(int32(probation), int32(ejected)) {
			h.eject(now)
		}
	}
}

func (h *health) updateErrorRate(sample int64) {
	h.resultCount.Add(1)
	old := h.errorRate.Load()
	h.errorRate.Store(old + int64(errorRateGain*float64(sample-old)))
}

// eject excludes the upstream for baseEjection, doubled with each further
// ejection up to the limit set by maxBackoffSteps.
func (h *health) eject(now time.Time) {
	n := min(h.ejections.Add(1), maxBackoffSteps)
	h.ejectedUntil.Store(now.Add(baseEjection << (n - 1)).UnixNano())
	h.phase.Store(int32(ejected))
}
