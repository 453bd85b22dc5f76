package exchange

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// DefaultRetryRatio covers the loss of one of seven availability zones:
	// a seventh of the running streams is then resumed elsewhere.
	DefaultRetryRatio = 0.2
	// DefaultRetryFloor is the number of retries per window that a daemon may
	// make without traffic. With 330 daemons it allows 99 retries a second,
	// under 4% of the planned peak.
	DefaultRetryFloor = 3
	// bucketWidth is the width of one bucket of the sliding window.
	bucketWidth = time.Second
	// requestBuckets is the length of the window for requests. The current
	// bucket is incomplete, so the window covers 9 to 10 s.
	requestBuckets = 10
	// retryBuckets is the length of the window for retries. It covers 10 to
	// 11 s, so that no span of 10 s has more retries than the budget, wherever
	// the buckets begin.
	retryBuckets = requestBuckets + 1

	retryBits   = 20
	requestBits = 24
	epochBits   = 20
	retryMax    = 1<<retryBits - 1
	requestMax  = 1<<requestBits - 1
	epochMask   = 1<<epochBits - 1
)

// Budget bounds retries and hedges to a share of the requests that one daemon
// received in the last 10 seconds. Because each daemon is bounded by its own
// traffic, all daemons together add at most that share to the fleet's load. It
// is safe for concurrent use and takes no lock.
type Budget struct {
	ratio    float64
	rounding float64
	floor    atomic.Uint64 // bits of a float64
	// Each bucket packs epoch, requests and retries, so that one
	// compare-and-swap replaces the epoch together with the counts.
	buckets [retryBuckets]atomic.Uint64
}

// NewBudget returns a budget of ratio retries per request and floor retries
// per window. A negative floor means no floor. rounding, in [0, 1), is added
// before the allowance is truncated to whole retries: if each daemon draws it
// at random, the daemons' allowances add up on average to what they share.
func NewBudget(ratio, floor, rounding float64) *Budget {
	b := &Budget{ratio: ratio, rounding: rounding}
	b.SetFloor(floor)
	return b
}

// SetFloor changes the number of retries per window that are allowed without
// traffic. A negative floor means none.
func (b *Budget) SetFloor(floor float64) { b.floor.Store(math.Float64bits(max(floor, 0))) }

// limit returns the number of retries allowed in a window with the given
// number of requests.
func (b *Budget) limit(requests int) int {
	return int(math.Float64frombits(b.floor.Load()) + b.ratio*float64(requests) + b.rounding)
}

// Deposit counts one request.
func (b *Budget) Deposit(now time.Time) {
	b.add(now, 1, 0)
}

// Withdraw takes one retry from the budget and reports whether there was one
// left.
func (b *Budget) Withdraw(now time.Time) bool {
	// The retry is counted before the check, so that concurrent withdrawals
	// cannot exceed the budget between them.
	b.add(now, 0, 1)
	requests, retries := b.window(now)
	if retries <= b.limit(requests) {
		return true
	}
	b.add(now, 0, -1)
	return false
}

// Remaining returns the number of retries that the budget allows now.
func (b *Budget) Remaining(now time.Time) int {
	requests, retries := b.window(now)
	return b.limit(requests) - retries
}

func (b *Budget) add(now time.Time, requests, retries int) {
	epoch := budgetEpoch(now)
	bucket := &b.buckets[epoch%retryBuckets]
	for {
		old := bucket.Load()
		bucketEpoch, q, r := unpackBucket(old)
		if bucketEpoch != epoch&epochMask {
			q, r = 0, 0
		}
		q = min(q+requests, requestMax)
		r = min(max(r+retries, 0), retryMax)
		if bucket.CompareAndSwap(old, packBucket(epoch, q, r)) {
			return
		}
	}
}

func (b *Budget) window(now time.Time) (requests, retries int) {
	epoch := budgetEpoch(now)
	for i := range b.buckets {
		bucketEpoch, q, r := unpackBucket(b.buckets[i].Load())
		age := (epoch - bucketEpoch) & epochMask
		if age < requestBuckets {
			requests += q
		}
		if age < retryBuckets {
			retries += r
		}
	}
	return requests, retries
}

func budgetEpoch(now time.Time) uint64 {
	return uint64(now.UnixNano() / int64(bucketWidth))
}

func packBucket(epoch uint64, requests, retries int) uint64 {
	return (epoch&epochMask)<<(requestBits+retryBits) | uint64(requests)<<retryBits | uint64(retries)
}

func unpackBucket(v uint64) (epoch uint64, requests, retries int) {
	return v >> (requestBits + retryBits), int(v >> retryBits & requestMax), int(v & retryMax)
}
