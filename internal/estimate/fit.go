package estimate

import (
	"math"
	"sync"
	"sync/atomic"
)

const (
	// forgettingFactor is the weight that older samples keep per new sample.
	forgettingFactor = 0.98
	// outlierThreshold is the residual, in mean absolute residuals, beyond which
	// a sample is clipped.
	outlierThreshold = 4.0
	// ridgeWeight stabilises the slope while all samples have a similar load.
	ridgeWeight = 0.05
	// warmupSamples is the number of samples taken without clipping.
	warmupSamples = 8
)

// atomicFloat is an atomic float64.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) store(v float64) { f.bits.Store(math.Float64bits(v)) }

// fit is a robust online fit y = base + slope*x with exponential forgetting.
// Samples far from the fit are clipped, so that single stalls move it little
// and a lasting change moves it within some tens of samples.
type fit struct {
	base, slope, meanResidual atomicFloat
	samples                   atomic.Int64

	priorBase, priorSlope atomicFloat

	resetPending                   atomic.Bool
	updating                       sync.Mutex // never waited for
	sumW, sumX, sumY, sumXX, sumXY float64
}

// setPrior sets what is assumed without samples.
func (f *fit) setPrior(base, slope float64) {
	f.priorBase.store(base)
	f.priorSlope.store(slope)
}

// reset drops all samples.
func (f *fit) reset() {
	f.resetPending.Store(true)
	f.samples.Store(0)
	f.meanResidual.store(0)
}

func (f *fit) prior(x float64) float64 {
	return f.priorBase.load() + f.priorSlope.load()*x
}

func (f *fit) predict(x float64) float64 {
	if f.samples.Load() == 0 {
		return f.prior(x)
	}
	return f.base.load() + f.slope.load()*x
}

// observe adds a sample, unless another goroutine is adding one.
func (f *fit) observe(x, y float64) {
	if !f.updating.TryLock() {
		return
	}
	defer f.updating.Unlock()
	if f.resetPending.CompareAndSwap(true, false) {
		f.sumW, f.sumX, f.sumY, f.sumXX, f.sumXY = 0, 0, 0, 0, 0
	}
	residual := y - f.predict(x)
	n := f.samples.Load() + 1
	scale := f.meanResidual.load()
	if n > warmupSamples && math.Abs(residual) > outlierThreshold*scale {
		residual = math.Copysign(outlierThreshold*scale, residual)
		y = f.predict(x) + residual
	}
	// A floor of 1% of the prediction keeps the scale from collapsing when
	// samples agree closely.
	weight := 1 / float64(min(n, 20))
	scale += weight * (math.Abs(residual) - scale)
	f.meanResidual.store(max(scale, 0.01*math.Abs(f.predict(x)), 1e-9))
	f.accumulate(x, y)
	f.solve()
	f.samples.Store(n)
}

func (f *fit) accumulate(x, y float64) {
	f.sumW = f.sumW*forgettingFactor + 1
	f.sumX = f.sumX*forgettingFactor + x
	f.sumY = f.sumY*forgettingFactor + y
	f.sumXX = f.sumXX*forgettingFactor + x*x
	f.sumXY = f.sumXY*forgettingFactor + x*y
}

func (f *fit) solve() {
	mx, my := f.sumX/f.sumW, f.sumY/f.sumW
	variance := max(f.sumXX/f.sumW-mx*mx, 0)
	covariance := f.sumXY/f.sumW - mx*my
	pull := ridgeWeight * (mx*mx + 1)
	slope := max((covariance+pull*f.priorSlope.load())/(variance+pull), 0)
	base := my - slope*mx
	if base < 0 && mx > 0 {
		base, slope = 0, my/mx
	}
	f.slope.store(slope)
	f.base.store(base)
}
