package estimate

import (
	"math"
	"sync/atomic"
)

const (
	bucketsPerDoubling = 4
	doublings          = 18 // up to 262,144 tokens
	bucketCount        = bucketsPerDoubling*doublings + 1
	// histogramWindow is the total count at which all counts are halved, so that
	// old samples lose weight.
	histogramWindow = 1024
)

// bucketUpper is the largest value of each bucket.
var bucketUpper = func() (u [bucketCount]float64) {
	for i := range u {
		u[i] = math.Floor(math.Exp2(float64(i) / bucketsPerDoubling))
	}
	return u
}()

// Histogram is a decaying histogram of positive integers with log-spaced buckets.
// Quantiles are exact to one bucket, about 19%. The zero value is empty. All
// methods are safe for concurrent use.
type Histogram struct {
	total   atomic.Int64
	halving atomic.Bool
	counts  [bucketCount]atomic.Int32
}

func bucketIndex(n int) int {
	if n <= 1 {
		return 0
	}
	i := int(math.Ceil(math.Log2(float64(n)) * bucketsPerDoubling))
	i = min(i, bucketCount-1)
	for i > 0 && bucketUpper[i-1] >= float64(n) {
		i--
	}
	return i
}

// Observe adds one value. Values below 1 count as 1.
func (h *Histogram) Observe(n int) {
	h.counts[bucketIndex(n)].Add(1)
	// The test is not for equality, because samples that arrive while another
	// goroutine halves the counts may take the total past the window.
	if h.total.Add(1) >= histogramWindow && h.halving.CompareAndSwap(false, true) {
		h.halve()
		h.halving.Store(false)
	}
}

// halve halves all counts. Only one goroutine at a time may call it.
func (h *Histogram) halve() {
	removed := int64(0)
	for i := range h.counts {
		half := h.counts[i].Load() / 2
		h.counts[i].Add(-half)
		removed += int64(half)
	}
	h.total.Add(-removed)
}

// Count returns the decayed number of samples.
func (h *Histogram) Count() int { return int(h.total.Load()) }

// Quantile returns the q-quantile (q from 0 to 1) of the samples above the given
// value, or 0 without any.
func (h *Histogram) Quantile(q float64, above int) int {
	start := 0
	if above > 0 {
		start = bucketIndex(above + 1)
	}
	sum := int64(0)
	for i := start; i < bucketCount; i++ {
		sum += int64(h.counts[i].Load())
	}
	if sum == 0 {
		return 0
	}
	rank := int64(math.Ceil(min(max(q, 0), 1) * float64(sum)))
	for i := start; i < bucketCount; i++ {
		rank -= int64(h.counts[i].Load())
		if rank <= 0 {
			return max(int(bucketUpper[i]), above+1)
		}
	}
	return int(bucketUpper[bucketCount-1])
}

// Mean returns the mean of the samples above the given value, or 0 without any.
func (h *Histogram) Mean(above int) float64 {
	start := 0
	if above > 0 {
		start = bucketIndex(above + 1)
	}
	n, sum := 0.0, 0.0
	for i := start; i < bucketCount; i++ {
		c := float64(h.counts[i].Load())
		n += c
		sum += c * bucketMidpoint(i)
	}
	if n == 0 {
		return 0
	}
	return max(sum/n, float64(above+1))
}

func bucketMidpoint(i int) float64 {
	if i == 0 {
		return 1
	}
	return (bucketUpper[i-1] + bucketUpper[i]) / 2
}
