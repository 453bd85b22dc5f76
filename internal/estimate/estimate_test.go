package estimate

import (
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/ports"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against quantiles and means off by more than a bucket, and against a
// histogram that keeps its old values when later samples differ.
func TestHistogramQuantilesFollowNewSamples(t *testing.T) {
	var h Histogram
	rng := rand.New(rand.NewPCG(1, 2))
	for range 5000 {
		h.Observe(1 + rng.IntN(1000))
	}
	for _, q := range []float64{0.1, 0.5, 0.9, 0.99} {
		got := float64(h.Quantile(q, 0))
		assert.Assert(t, got > q*1000/1.3 && got < q*1000*1.3, "quantile %v is %v", q, got)
	}
	assert.Assert(t, math.Abs(h.Mean(0)-500) < 50)
	assert.Assert(t, math.Abs(h.Mean(500)-750) < 80)
	for range 2 * histogramWindow {
		h.Observe(4000)
	}
	assert.Assert(t, h.Quantile(0.3, 0) >= 4000)
}

// Guards against rounding that counts a value in a bucket whose bounds exclude it.
func TestBucketBoundsContainValue(t *testing.T) {
	for n := 1; n < 1<<17; n++ {
		i := bucketIndex(n)
		assert.Assert(t, float64(n) <= bucketUpper[i] && (i == 0 || float64(n) > bucketUpper[i-1]), "value %d in bucket %d", n, i)
	}
}

// Guards against predicting a customer's response length from too few samples of
// its own instead of its class or model, and against a remaining length that
// ignores the tokens generated so far.
func TestLengthsFallBackToCoarserKeys(t *testing.T) {
	var l Lengths
	k := LengthKey{"m", "class", "c"}
	assert.Equal(t, l.Expected(k, 100), 100)
	for range 100 {
		l.Observe(LengthKey{"m", "class", "other"}, 400)
		l.Observe(LengthKey{"m", "batch", "other"}, 4000)
	}
	l.Observe(k, 10)
	assert.Assert(t, l.Expected(k, 0) > 300, "one sample must not decide")
	assert.Assert(t, l.Expected(LengthKey{"m", "new", "c"}, 0) > 1500)
	for range minSamples {
		l.Observe(k, 10)
	}
	assert.Assert(t, l.Expected(k, 0) < 20)
	assert.Assert(t, l.Remaining(k, 2000, 0) > 0)
	assert.Equal(t, l.Remaining(k, 100, 100), 0)
	assert.Equal(t, l.Quantile(k, 0.5, 5), 5)
}

// Guards against a fit that is distorted when 3% of the samples are stalls, and
// against one that does not follow a lasting change within 300 samples.
func TestFitIgnoresOutliersAndFollowsChange(t *testing.T) {
	var f fit
	f.setPrior(priorFirstTokenBase, priorFirstTokenSlope)
	rng := rand.New(rand.NewPCG(3, 4))
	feed := func(n int, base, slope, stalls float64) {
		for range n {
			x := rng.Float64() * 20_000
			y := (base + slope*x) * (0.9 + 0.2*rng.Float64())
			if rng.Float64() < stalls {
				y *= 50
			}
			f.observe(x, y)
		}
	}
	feed(300, 0.2, 50e-6, 0.03)
	assert.Assert(t, math.Abs(f.predict(10_000)-0.7) < 0.2, "predicted %v", f.predict(10_000))
	feed(300, 0.4, 100e-6, 0.03)
	assert.Assert(t, math.Abs(f.predict(10_000)-1.4) < 0.4, "predicted %v", f.predict(10_000))
}

// Guards against predicting a short time to first token for an upstream that
// reports itself idle but responds late or not at all, and against never trying
// it again.
func TestObservedLatencyOutweighsIdleReports(t *testing.T) {
	u := NewUpstream(start)
	idle := func(now time.Time) { u.Report(now, ports.LoadReport{Slots: 8}) }
	now := start
	idle(now)
	before := u.Predict(now, 100, 1).TimeToFirstToken
	u.Start(now, 100)
	now = now.Add(3 * time.Second)
	idle(now)
	assert.Assert(t, u.Predict(now, 100, 1).TimeToFirstToken >= 3*time.Second, "not below the wait of the pending attempt")
	for range 5 {
		u.ObserveFirstToken(now, start, 100)
		u.End(now, start, 100, true)
		u.Start(start, 100)
	}
	u.End(now, start, 100, false)
	idle(now)
	assert.Assert(t, u.Predict(now, 100, 1).TimeToFirstToken > 5*before)
	later := now.Add(5 * fitTimeConstant)
	idle(later)
	assert.Assert(t, u.Predict(later, 100, 1).TimeToFirstToken < 2*before, "the observations decay with age")

	for i := range 50 { // the last 3 responses of 50 are late
		now = later.Add(time.Duration(i) * time.Second)
		sent := now.Add(-200 * time.Millisecond)
		if i >= 47 {
			sent = now.Add(-2 * time.Second)
		}
		u.Start(sent, 100)
		u.ObserveFirstToken(now, sent, 100)
		u.End(now, sent, 100, true)
	}
	p := u.Predict(now, 100, 1)
	assert.Assert(t, p.TimeToFirstToken > time.Second, "three late responses move the prediction more than half the way: %+v", p)
}

// Guards against counting this daemon's load twice (as its own and in the report),
// against a late report that replaces a newer one, and against all daemons
// choosing an upstream because of one stale report that it is idle.
func TestLoadReportsAreWeightedByAge(t *testing.T) {
	u := NewUpstream(start)
	u.Start(start, 1000)
	now := start.Add(time.Second)
	u.Start(now, 500) // after the report was taken
	u.Report(now, ports.LoadReport{ActiveTokens: 3000, Age: 500 * time.Millisecond})
	got := u.ActiveTokens(now)
	assert.Assert(t, math.Abs(got-3500) < 1, "1500 of this daemon and 2000 of others, got %v", got)
	u.Report(now, ports.LoadReport{ActiveTokens: 9000, Age: 5 * time.Second})
	assert.Equal(t, u.ActiveTokens(now), got)
	for range 20 {
		now = now.Add(time.Second)
		u.Report(now, ports.LoadReport{ActiveTokens: 3500})
	}
	u.Report(now.Add(1), ports.LoadReport{ActiveTokens: 1500}) // the others seem idle
	assert.Assert(t, u.ActiveTokens(now.Add(1)) < 1600)
	assert.Assert(t, u.ActiveTokens(now.Add(10*time.Second)) > 3000, "an old report regresses to the mean")
	u.Start(now, 1000)
	assert.Assert(t, u.Predict(now, 0, 8).Load > u.Predict(now, 0, 1).Load+3000)
}

// Guards against data races between concurrent updates and predictions, and
// against load and pending counters that are not zero after all attempts ended.
func TestUpstreamConcurrentUse(t *testing.T) {
	u := NewUpstream(start)
	var l Lengths
	var group sync.WaitGroup
	for g := range 8 {
		group.Go(func() {
			for i := range 2000 {
				now := start.Add(time.Duration(i) * time.Millisecond)
				u.Start(now, 10)
				p := u.Predict(now, 10, 4)
				if i%2 == 0 {
					u.ObserveFirstToken(now.Add(time.Millisecond), now, p.Load)
				}
				u.ObserveInterTokenLatency(now, 20*time.Millisecond)
				u.Report(now, ports.LoadReport{ActiveTokens: 100})
				u.End(now, now, 10, i%2 == 0)
				l.Observe(LengthKey{"m", "k", ""}, i+1)
				l.Remaining(LengthKey{"m", "k", ""}, g, 0)
			}
		})
	}
	group.Wait()
	assert.Equal(t, u.OwnActiveTokens(), int64(0))
	assert.Equal(t, u.pending.Load(), int64(0))
	assert.Equal(t, u.pendingStartSum.Load(), int64(0))
	assert.Assert(t, l.find(LengthKey{"m", "k", ""}).Count() < 8*2000)
}

func BenchmarkPredict(b *testing.B) {
	u := NewUpstream(start)
	u.Report(start, ports.LoadReport{ActiveTokens: 3000})
	u.Start(start, 500)
	u.ObserveFirstToken(start.Add(time.Second), start, 500)
	b.ReportAllocs()
	for b.Loop() {
		u.Predict(start.Add(2*time.Second), 500, 4)
	}
}

func BenchmarkRemaining(b *testing.B) {
	var l Lengths
	k := LengthKey{"m", "class", "c"}
	for i := range 1000 {
		l.Observe(k, i)
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Remaining(k, 100, 2000)
	}
}
