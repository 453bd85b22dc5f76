package estimate

import (
	"sync/atomic"
	"time"
)

// loadEstimate estimates the load of an upstream, in active tokens or in requests.
// This daemon's own part is known; the other daemons' part comes from load
// reports, which arrive late.
type loadEstimate struct {
	own        atomic.Int64
	ownHistory [historySteps]atomic.Uint64 // own part by time step: step<<32 | load

	othersReported atomicFloat  // from the latest report
	othersMean     atomicFloat  // long-term mean
	ownAtReport    atomic.Int64 // own part when the latest report was taken
}

// add changes the own part and records it for the time step.
func (e *loadEstimate) add(step, n int64) {
	own := max(e.own.Add(n), 0)
	e.ownHistory[step%historySteps].Store(uint64(step)<<32 | uint64(uint32(own)))
}

// ownAt returns the own part at the end of an earlier step: the latest record up
// to that step, or the present value if the history has none.
func (e *loadEstimate) ownAt(target int64) int64 {
	for step := target; step > 0 && target-step < historySteps; step-- {
		v := e.ownHistory[step%historySteps].Load()
		if v != 0 && int64(v>>32) == step {
			return int64(uint32(v))
		}
	}
	return e.ownNow()
}

func (e *loadEstimate) ownNow() int64 { return max(e.own.Load(), 0) }

// report applies a load report of the given total, taken in the given step.
func (e *loadEstimate) report(step int64, total int, first bool) {
	own := e.ownAt(step)
	others := max(float64(total)-float64(own), 0)
	if first {
		e.othersMean.store(others)
	}
	mean := e.othersMean.load()
	e.othersMean.store(mean + othersMeanGain*(others-mean))
	e.othersReported.store(others)
	e.ownAtReport.Store(own)
}

// total estimates the load from all daemons. The other daemons' part regresses
// from the latest report to its long-term mean as the weight of the report falls.
// With more than one daemon, the result includes the load that the others are
// assumed to have added since the report; otherwise a stale report of an idle
// upstream would attract all daemons at once (herd effect). A negative weight
// means that there is no report.
func (e *loadEstimate) total(weight float64, daemons int) float64 {
	own := float64(e.ownNow())
	herd := herdFactor * float64(max(daemons-1, 0))
	if weight < 0 {
		return own + own*herd
	}
	others := weight*e.othersReported.load() + (1-weight)*e.othersMean.load()
	return own + others + herd*max(own-float64(e.ownAtReport.Load()), 0)
}

// stepAt returns the number of the history step at a time in Unix ns, from 1 on.
func (u *Upstream) stepAt(ns int64) int64 {
	return 1 + max(ns-u.epoch, 0)/int64(historyStep) // 0 marks an empty entry
}

// reportWeight returns the weight of the latest load report by its age, or -1
// without one.
func (u *Upstream) reportWeight(now time.Time) float64 {
	at := u.reportedAt.Load()
	if at == 0 {
		return -1
	}
	return decay(now.UnixNano()-at, reportTimeConstant)
}
