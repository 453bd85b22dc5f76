package exchange

import (
	"sync/atomic"
	"time"
)

const (
	// DefaultRetryRatio covers the loss of one of seven availability zones:
	// a seventh of the running streams then continues elsewhere.
	DefaultRetryRatio = 0.2
	// DefaultRetryFloor is the number of retries per window that a daemon may
	// make without traffic. 330 daemons together add 99 retries a second by
	// it, under 4% of the planned peak.
	DefaultRetryFloor = 3
	// budgetSlot is the width of one slot of the sliding window.
	budgetSlot = time.Second
	// budgetSlots is the length of the sliding window in slots.
	budgetSlots = 10

	retryBits   = 20
	requestBits = 24
	epochBits   = 20
	retryMax    = 1<<retryBits - 1
	requestMax  = 1<<requestBits - 1
	epochMask   = 1<<epochBits - 1
)

// Budget bounds retries and hedges to a share of the requests that one daemon
// saw in the last 10 seconds. Since each daemon is bounded by its own traffic,
// all daemons retrying together add at most that share to the fleet's load.
// It is safe for concurrent use and takes no lock.
type Budget struct {
	ratio float64
	floor atomic.Int64
	// Each slot packs epoch, requests and retries, so that one
	// compare-and-swap moves a slot to a new epoch together with its counts.
	slots [budgetSlots]atomic.Uint64
}

// NewBudget returns a budget of ratio retries per request and floor retries
// per window. A negative floor means no floor.
func NewBudget(ratio float64, floor int) *Budget {
	b := &Budget{ratio: ratio}
	b.SetFloor(floor)
	return b
}

// SetFloor changes the retries per window that need no traffic. A negative
// floor means none.
func (b *Budget) SetFloor(floor int) { b.floor.Store(int64(max(floor, 0))) }

// Deposit counts one request.
func (b *Budget) Deposit(now time.Time) {
	b.add(now, 1, 0)
}

// Withdraw takes one retry from the budget. It reports false when the budget
// is spent.
func (b *Budget) Withdraw(now time.Time) bool {
	// The retry is counted before the check, so that concurrent withdrawals
	// cannot exceed the budget together.
	b.add(now, 0, 1)
	requests, retries := b.window(now)
	if float64(retries) <= float64(b.floor.Load())+b.ratio*float64(requests) {
		return true
	}
	b.add(now, 0, -1)
	return false
}

// Remaining returns the number of retries that the budget allows now.
func (b *Budget) Remaining(now time.Time) int {
	requests, retries := b.window(now)
	return int(b.floor.Load()) + int(b.ratio*float64(requests)) - retries
}

func (b *Budget) add(now time.Time, requests, retries int) {
	epoch := budgetEpoch(now)
	slot := &b.slots[epoch%budgetSlots]
	for {
		old := slot.Load()
		slotEpoch, q, r := unpackSlot(old)
		if slotEpoch != epoch&epochMask {
			q, r = 0, 0
		}
		q = min(q+requests, requestMax)
		r = min(max(r+retries, 0), retryMax)
		if slot.CompareAndSwap(old, packSlot(epoch, q, r)) {
			return
		}
	}
}

func (b *Budget) window(now time.Time) (requests, retries int) {
	epoch := budgetEpoch(now)
	for i := range b.slots {
		slotEpoch, q, r := unpackSlot(b.slots[i].Load())
		if (epoch-slotEpoch)&epochMask < budgetSlots {
			requests += q
			retries += r
		}
	}
	return requests, retries
}

func budgetEpoch(now time.Time) uint64 {
	return uint64(now.UnixNano() / int64(budgetSlot))
}

func packSlot(epoch uint64, requests, retries int) uint64 {
	return (epoch&epochMask)<<(requestBits+retryBits) | uint64(requests)<<retryBits | uint64(retries)
}

func unpackSlot(v uint64) (epoch uint64, requests, retries int) {
	return v >> (requestBits + retryBits), int(v >> retryBits & requestMax), int(v & retryMax)
}
