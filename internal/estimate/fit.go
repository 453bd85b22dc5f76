package estimate

import (
	"math"
	"sync"
	"sync/atomic"
)

const (
	// fitMemory is the weight that older samples keep per new sample.
	fitMemory = 0.98
	// outlierScales is the residual, in mean absolute residuals, beyond which
	// a sample is clipped.
	outlierScales = 4.0
	// ridge stabilises the slope while all samples have a similar load.
	ridge = 0.05
	// fitWarmup is the number of samples taken without clipping.
	fitWarmup = 8
)

// float is an atomic float64.
type float struct{ bits atomic.Uint64 }

func (f *float) load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *float) store(v float64) { f.bits.Store(math.Float64bits(v)) }

// fit is a robust online fit y = base + slope*x with exponential forgetting.
// Samples far from the fit are clipped, so that single stalls move it little
// and a lasting change moves it within some tens of samples.
type fit struct {
	base, slope, scale float
	samples            atomic.Int64

	priorBase, priorSlope float

	forgotten       atomic.Bool
	update          sync.Mutex // never waited for
	w, x, y, xx, xy float64
}

// setPrior sets what is assumed without samples.
func (f *fit) setPrior(base, slope float64) {
	f.priorBase.store(base)
	f.priorSlope.store(slope)
}

// forget drops all samples.
func (f *fit) forget() {
	f.forgotten.Store(true)
	f.samples.Store(0)
	f.scale.store(0)
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
	if !f.update.TryLock() {
		return
	}
	defer f.update.Unlock()
	if f.forgotten.CompareAndSwap(true, false) {
		f.w, f.x, f.y, f.xx, f.xy = 0, 0, 0, 0, 0
	}
	residual := y - f.predict(x)
	n := f.samples.Load() + 1
	scale := f.scale.load()
	if n > fitWarmup && math.Abs(residual) > outlierScales*scale {
		residual = math.Copysign(outlierScales*scale, residual)
		y = f.predict(x) + residual
	}
	// A floor of 1% of the prediction keeps the scale from collapsing when
	// samples agree closely.
	weight := 1 / float64(min(n, 20))
	scale += weight * (math.Abs(residual) - scale)
	f.scale.store(max(scale, 0.01*math.Abs(f.predict(x)), 1e-9))
	f.accumulate(x, y)
	f.solve()
	f.samples.Store(n)
}

func (f *fit) accumulate(x, y float64) {
	f.w = f.w*fitMemory + 1
	f.x = f.x*fitMemory + x
	f.y = f.y*fitMemory + y
	f.xx = f.xx*fitMemory + x*x
	f.xy = f.xy*fitMemory + x*y
}

func (f *fit) solve() {
	mx, my := f.x/f.w, f.y/f.w
	variance := max(f.xx/f.w-mx*mx, 0)
	covariance := f.xy/f.w - mx*my
	pull := ridge * (mx*mx + 1)
	slope := max((covariance+pull*f.priorSlope.load())/(variance+pull), 0)
	base := my - slope*mx
	if base < 0 && mx > 0 {
		base, slope = 0, my/mx
	}
	f.slope.store(slope)
	f.base.store(base)
}
