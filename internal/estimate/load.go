package estimate

import (
	"sync/atomic"
	"time"
)

// loadEstimate estimates an amount of work in progress at an upstream (tokens or
// requests): this daemon's part is known, the other daemons' part comes from
// late reports.
type loadEstimate struct {
	own        atomic.Int64
	ownHistory [historySteps]atomic.Uint64 // own by time step: step<<32 | amount

	othersReported atomicFloat
	othersMean     atomicFloat
	ownAtReport    atomic.Int64 // own amount when the latest report was taken
}

// add changes the own amount and remembers it for the time step.
func (g *loadEstimate) add(step, n int64) {
	own := max(g.own.Add(n), 0)
	g.ownHistory[step%historySteps].Store(uint64(step)<<32 | uint64(uint32(own)))
}

// ownAt returns the own amount at an earlier step. Without a record since
// then, it is the present one.
func (g *loadEstimate) ownAt(wanted int64) int64 {
	for step := wanted; step > 0 && wanted-step < historySteps; step-- {
		v := g.ownHistory[step%historySteps].Load()
		if v != 0 && int64(v>>32) == step {
			return int64(uint32(v))
		}
	}
	return g.ownNow()
}

func (g *loadEstimate) ownNow() int64 { return max(g.own.Load(), 0) }

// report applies a reported total that was taken in a step.
func (g *loadEstimate) report(step int64, total int, first bool) {
	own := g.ownAt(step)
	others := max(float64(total)-float64(own), 0)
	if first {
		g.othersMean.store(others)
	}
	mean := g.othersMean.load()
	g.othersMean.store(mean + othersMeanGain*(others-mean))
	g.othersReported.store(others)
	g.ownAtReport.Store(own)
}

// total estimates the amount of all daemons. The others' part regresses from
// the last report to its long-term mean as the weight of the report falls. A
// number of sharers above 1 adds the growth that they are assumed to have had
// since the report, so that a stale report of an idle upstream does not
// attract all daemons. A negative weight means that there is no report.
func (g *loadEstimate) total(weight float64, sharers int) float64 {
	own := float64(g.ownNow())
	peers := herdFactor * float64(max(sharers-1, 0))
	if weight < 0 {
		return own + own*peers
	}
	others := weight*g.othersReported.load() + (1-weight)*g.othersMean.load()
	return own + others + peers*max(own-float64(g.ownAtReport.Load()), 0)
}

// stepAt numbers the time steps of histories from 1.
func (u *Upstream) stepAt(ns int64) int64 {
	return 1 + max(ns-u.epoch, 0)/int64(historyStep) // 0 marks an empty entry
}

// reportWeight falls with the age of the latest report; -1 means none.
func (u *Upstream) reportWeight(now time.Time) float64 {
	at := u.reportedAt.Load()
	if at == 0 {
		return -1
	}
	return decay(now.UnixNano()-at, reportTimeConstant)
}
