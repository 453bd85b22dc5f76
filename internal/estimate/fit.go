package estimate

import (
	"math"
	"sync"
	"sync/atomic"
)

const (
	// forgettingFactor is the factor by which each new sample lowers the weight
	// of the older ones.
	forgettingFactor = 0.98
	// outlierThreshold is the residual, as a multiple of the mean absolute
	// residual, beyond which a sample is clipped.
	outlierThreshold = 4.0
	// ridgeWeight is the weight of the ridge penalty that pulls the slope to its
	// prior while all samples have a similar load.
	ridgeWeight = 0.05
	// warmupSamples is the number of first samples that are not clipped.
	warmupSamples = 8
)

// atomicFloat is an atomic float64.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) store(v float64) { f.bits.Store(math.Float64bits(v)) }

// fit is a robust online linear regression y = base + slope*x with exponential
// forgetting. Outliers are clipped, so that single stalls change the fit little,
// while it follows a lasting change within some tens of samples.
type fit struct {
	base, slope, meanResidual atomicFloat // meanResidual is of absolute values
	samples                   atomic.Int64

	priorBase, priorSlope atomicFloat

	resetPending                   atomic.Bool
	updateMu                       sync.Mutex // guards the sums; locked by TryLock only
	sumW, sumX, sumY, sumXX, sumXY float64
}

// setPrior sets the coefficients that predict uses without samples.
func (f *fit) setPrior(base, slope float64) {
	f.priorBase.store(base)
	f.priorSlope.store(slope)
}

// reset discards all samples.
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

// observe adds a sample. It drops the sample if another goroutine is adding one.
func (f *fit) observe(x, y float64) {
	if !f.updateMu.TryLock() {
		return
	}
	defer f.updateMu.Unlock()
	if f.resetPending.CompareAndSwap(true, false) {
		f.sumW, f.sumX, f.sumY, f.sumXX, f.sumXY = 0, 0, 0, 0, 0
	}
	residual := y - f.predict(x)
	n := f.samples.Load() + 1
	meanResidual := f.meanResidual.load()
	if n > warmupSamples && math.Abs(residual) > outlierThreshold*meanResidual {
		residual = math.Copysign(outlierThreshold*meanResidual, residual)
		y = f.predict(x) + residual
	}
	// A floor of 1% of the prediction keeps the mean residual from vanishing
	// when samples agree closely.
	weight := 1 / float64(min(n, 20))
	meanResidual += weight * (math.Abs(residual) - meanResidual)
	f.meanResidual.store(max(meanResidual, 0.01*math.Abs(f.predict(x)), 1e-9))
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
	meanX, meanY := f.sumX/f.sumW, f.sumY/f.sumW
	variance := max(f.sumXX/f.sumW-meanX*meanX, 0)
	covariance := f.sumXY/f.sumW - meanX*meanY
	penalty := ridgeWeight * (meanX*meanX + 1)
	slope := max((covariance+penalty*f.priorSlope.load())/(variance+penalty), 0)
	base := meanY - slope*meanX
	if base < 0 && meanX > 0 {
		base, slope = 0, meanY/meanX
	}
	f.slope.store(slope)
	f.base.store(base)
}
