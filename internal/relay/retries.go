package relay

import (
	"sync"
	"time"

	"github.com/auburndyke/auburndyke/internal/exchange"
)

// slackShare is the part of the slack that the known daemons use.
const slackShare = 0.8

// RetryBudgets bounds the repeated sends to each service by this daemon's share of
// a budget that all daemons keep together.
type RetryBudgets struct {
	ratio float64
	floor float64
	// rounding is that of all budgets.
	rounding float64

	mu      sync.Mutex
	budgets map[string]*exchange.Budget
}

// NewRetryBudgets returns budgets of ratio repeats per request and floor repeats
// per window for each service. rounding is a random number from 0 to below 1, by
// which parts of a repeat are rounded.
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

// SetRatio changes the budget. The counts of the current window start anew.
func (r *RetryBudgets) SetRatio(ratio float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ratio != r.ratio {
		r.ratio = ratio
		clear(r.budgets)
	}
}

// SetFloor changes the repeats per window that need no traffic.
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

// RetryFloor returns a daemon's part of the slack that all daemons of a fleet share,
// in repeats per window. A margin stays for daemons that are not known.
func RetryFloor(slack float64, daemons int) float64 {
	return slack * slackShare / float64(max(daemons, 1))
}

// Deposit counts a request for a service.
func (r *RetryBudgets) Deposit(now time.Time, service string) { r.budget(service).Deposit(now) }

// Withdraw takes one repeat. It reports false when the budget is spent.
func (r *RetryBudgets) Withdraw(now time.Time, service string) bool {
	return r.budget(service).Withdraw(now)
}
