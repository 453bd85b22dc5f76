package relay

import (
	"sync"
	"time"

	"github.com/auburndyke/auburndyke/internal/exchange"
)

// slackShare is the share of the slack that the known daemons use. The rest is a
// margin for daemons that are not known.
const slackShare = 0.8

// RetryBudgets bounds the retries to each service by this daemon's share of the
// fleet's retry budget.
type RetryBudgets struct {
	ratio float64
	floor float64
	// rounding is passed to all budgets.
	rounding float64

	mu      sync.Mutex
	budgets map[string]*exchange.Budget
}

// NewRetryBudgets returns budgets of ratio retries per request plus floor retries
// per window for each service. rounding is a random number in [0, 1) by which
// fractions of a retry are rounded.
func NewRetryBudgets(ratio, floor, rounding float64) *RetryBudgets {
	return &RetryBudgets{ratio: ratio, floor: floor, rounding: rounding, budgets: make(map[string]*exchange.Budget)}
}

func (r *RetryBudgets) budget(service string) *exchange.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgets[service]
	if b == nil {
		b = exchange.NewBudget(r.ratio, r.floor, r.rounding)
		r.budgets[service] = b
	}
	return b
}

// SetRatio changes the retries per request. The counts of the current window are
// reset.
func (r *RetryBudgets) SetRatio(ratio float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ratio != r.ratio {
		r.ratio = ratio
		clear(r.budgets)
	}
}

// SetFloor changes the retries per window that are allowed without traffic.
func (r *RetryBudgets) SetFloor(floor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if floor == r.floor {
		return
	}
	r.floor = floor
	for _, b := range r.budgets {
		b.SetFloor(floor)
	}
}

// RetryFloor returns one daemon's share of the slack of the whole fleet, in retries
// per window. A margin is left for daemons that are not known.
func RetryFloor(slack float64, daemons int) float64 {
	return slack * slackShare / float64(max(daemons, 1))
}

// Deposit counts a request to a service.
func (r *RetryBudgets) Deposit(now time.Time, service string) { r.budget(service).Deposit(now) }

// Withdraw takes one retry. It reports false when the budget is exhausted.
func (r *RetryBudgets) Withdraw(now time.Time, service string) bool {
	return r.budget(service).Withdraw(now)
}

// Remaining returns the number of retries that the budget of a service allows now.
func (r *RetryBudgets) Remaining(now time.Time, service string) int {
	return r.budget(service).Remaining(now)
}
