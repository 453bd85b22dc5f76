package admission

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
)

func policyWithLimits(customer, class policy.Limits) *policy.Policy {
	return &policy.Policy{
		Customers: map[domain.CustomerID]*policy.Customer{"c": {ID: "c", Limits: customer}},
		Classes:   map[domain.ClassID]*policy.Class{"k": {ID: "k", Limits: class}},
	}
}

// Guards against a limiter that admits more requests than configured, that loses
// its usage (and so grants another burst) when a new configuration replaces it,
// or whose refusals have no usable Retry-After.
func TestLimiterEnforcesRequestRate(t *testing.T) {
	p := policyWithLimits(policy.Limits{RequestsPerSecond: 10}, policy.Limits{})
	l := NewLimiter(nil, p, 2)
	admitted := 0
	for ms := range 10_000 {
		if ms == 5000 {
			l = NewLimiter(l, p, 2)
		}
		if permit, refusal := l.Admit(start.Add(time.Duration(ms)*time.Millisecond), "c", "k", 1); permit != nil {
			admitted++
			permit.Release(1)
		} else {
			assert.Equal(t, refusal.Kind, LimitRequests)
			assert.Equal(t, refusal.Customer, domain.CustomerID("c"))
			assert.Assert(t, refusal.RetryAfter >= time.Second)
		}
	}
	burst := int(5 * requestBurst.Seconds())
	assert.Assert(t, admitted >= 49 && admitted <= 50+burst+1, "admitted %d", admitted)
}

// Guards against a token bucket that stays at the estimate when a response turns
// out shorter, so that later requests are refused although tokens are left.
func TestLimiterCorrectsEstimatedTokens(t *testing.T) {
	l := NewLimiter(nil, policyWithLimits(policy.Limits{}, policy.Limits{TokensPerMinute: 6000}), 1)
	permit, _ := l.Admit(start, "c", "k", 1500) // the whole burst
	_, refusal := l.Admit(start, "c", "k", 100)
	assert.Equal(t, refusal.Kind, LimitTokens)
	assert.Equal(t, refusal.Class, domain.ClassID("k"))
	assert.Equal(t, refusal.RetryAfter, time.Second)
	permit.Release(500)
	permit.Release(0)
	again, _ := l.Admit(start, "c", "k", 1000)
	assert.Assert(t, again != nil)
	again.Release(1000)
	_, refusal = l.Admit(start, "c", "k", 1)
	assert.Equal(t, refusal.Kind, LimitTokens)
}

// Guards against more concurrent requests than allowed when several goroutines
// admit at once, and against a refusal by the class's limit that leaves the
// request counted against the customer's limit.
func TestLimiterBoundsConcurrentRequests(t *testing.T) {
	l := NewLimiter(nil, policyWithLimits(policy.Limits{Concurrent: 8}, policy.Limits{Concurrent: 3}), 1)
	var running, peak atomic.Int64
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 1000 {
				p, _ := l.Admit(start, "c", "k", 1)
				if p == nil {
					continue
				}
				n := running.Add(1)
				for old := peak.Load(); n > old && !peak.CompareAndSwap(old, n); old = peak.Load() {
				}
				running.Add(-1)
				p.Release(1)
			}
		})
	}
	group.Wait()
	assert.Assert(t, peak.Load() <= 3)
	for range 3 {
		p, _ := l.Admit(start, "c", "k", 1)
		assert.Assert(t, p != nil)
	}
	_, refusal := l.Admit(start, "c", "k", 1)
	assert.Equal(t, refusal, Refusal{Kind: LimitConcurrent, Class: "k", RetryAfter: time.Second})
	assert.Equal(t, l.customers["c"].inFlight.Load(), int64(3))
}
