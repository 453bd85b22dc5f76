package routing

import (
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/internal/estimate"
)

const (
	// probesAtOnce is the number of concurrent attempts during probation.
	probesAtOnce = 1
	// probesToReturn is the number of good probes that end a probation.
	probesToReturn = 3
	// errorGain is the weight of the newest result in the error rate.
	errorGain = 0.1
)

type healthPhase int32

const (
	healthy healthPhase = iota
	ejected
	probation
)

// health is the outlier state of one upstream.
type health struct {
	phase     atomic.Int32
	until     atomic.Int64 // end of the ejection, Unix ns
	probes    atomic.Int32 // in progress
	good      atomic.Int32 // good probes
	failures  atomic.Int32 // consecutive
	ejections atomic.Int32 // since the last long healthy time
	errors    atomic.Int64 // rate in parts per million
	results   atomic.Int64
	returned  atomic.Bool // probation ended; the next sweep starts it slowly
}

// usable reports whether the upstream may get work now.
func (h *health) usable(now time.Time) Reason {
	switch healthPhase(h.phase.Load()) {
	case ejected:
		if now.UnixNano() < h.until.Load() {
			return ReasonEjected
		}
	case probation:
		if h.probes.Load() >= probesAtOnce {
			return ReasonProbation
		}
	}
	return Keep
}

// proving reports whether an attempt now would be a probe.
func (h *health) proving() bool { return healthPhase(h.phase.Load()) != healthy }

// admit takes a probe when the upstream is on probation. An ejection that has
// ended turns into a probation.
func (h *health) admit(now time.Time, e *estimate.Upstream) (probe, ok bool) {
	if h.usable(now) != Keep {
		return false, false
	}
	if h.phase.CompareAndSwap(int32(ejected), int32(probation)) {
		h.good.Store(0)
		h.errors.Store(0)
		h.failures.Store(0)
		e.Forget()
	}
	if healthPhase(h.phase.Load()) != probation {
		return false, true
	}
	if h.probes.Add(1) > probesAtOnce {
		h.probes.Add(-1)
		return false, false
	}
	return true, true
}

func (h *health) cancel(probe bool) {
	if probe {
		h.probes.Add(-1)
	}
}

// record applies the result of an attempt.
func (h *health) record(now time.Time, result Result, probe bool) {
	h.cancel(probe)
	switch result {
	case ResultOK:
		h.failures.Store(0)
		h.addError(0)
		if probe && h.good.Add(1) >= probesToReturn &&
			h.phase.CompareAndSwap(int32(probation), int32(healthy)) {
			h.returned.Store(true)
		}
	case ResultFailed:
		h.failures.Add(1)
		h.addError(1e6)
		if probe && h.phase.CompareAndSwap(int32(probation), int32(ejected)) {
			h.eject(now)
		}
	}
}

func (h *health) addError(sample int64) {
	h.results.Add(1)
	old := h.errors.Load()
	h.errors.Store(old + int64(errorGain*float64(sample-old)))
}

// eject takes the upstream out for a time that doubles with each ejection.
func (h *health) eject(now time.Time) {
	n := min(h.ejections.Add(1), maxBackoffDoublings)
	h.until.Store(now.Add(baseEjection << (n - 1)).UnixNano())
	h.phase.Store(int32(ejected))
}
