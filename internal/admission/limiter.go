package admission

import (
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
)

const (
	// requestBurst and tokenBurst are how much of a rate, as a period of time,
	// may be used at once.
	requestBurst = 2 * time.Second
	tokenBurst   = 15 * time.Second
)

// LimitKind is the kind of a limit.
type LimitKind uint8

const (
	// LimitRequests is policy.Limits.RequestsPerSecond.
	LimitRequests LimitKind = iota + 1
	// LimitTokens is policy.Limits.TokensPerMinute.
	LimitTokens
	// LimitConcurrent is policy.Limits.Concurrent.
	LimitConcurrent
)

var limitNames = [...]string{"", "requests_per_second", "tokens_per_minute", "concurrent"}

func (k LimitKind) String() string { return limitNames[k] }

// Refusal is the limit that a request would exceed. The zero value means none.
type Refusal struct {
	Kind LimitKind
	// Class is set for a limit of the class, Customer for one of the customer.
	Customer domain.CustomerID
	Class    domain.ClassID
	// RetryAfter is the time until the limit allows the request, in whole
	// seconds.
	RetryAfter time.Duration
}

// Limiter enforces the limits of customers and classes. It is immutable except
// for its atomic counters, and safe for concurrent use. The configured limits
// apply to all daemons together; each daemon enforces an equal part of them.
type Limiter struct {
	customers map[domain.CustomerID]*limit
	classes   map[domain.ClassID]*limit
}

// limit holds this daemon's part of the limits of one customer or class.
type limit struct {
	*usage
	requests       bucket
	tokens         bucket
	maxConcurrent  int64
	maxConnections int64
	customer       domain.CustomerID
	class          domain.ClassID
}

// usage is the state of a limit; a new Limiter takes it over from the previous
// one.
type usage struct {
	requestTAT  atomic.Int64 // Unix ns; see bucket
	tokenTAT    atomic.Int64 // Unix ns; see bucket
	inFlight    atomic.Int64
	connections atomic.Int64
}

// NewLimiter returns a limiter that enforces one daemon's part of a policy's
// limits. It takes over the usage of the previous limiter, which may be nil.
func NewLimiter(previous *Limiter, p *policy.Policy, daemons int) *Limiter {
	l := &Limiter{
		customers: make(map[domain.CustomerID]*limit, len(p.Customers)),
		classes:   make(map[domain.ClassID]*limit, len(p.Classes)),
	}
	for id, c := range p.Customers {
		var old *limit
		if previous != nil {
			old = previous.customers[id]
		}
		l.customers[id] = newLimit(old, c.Limits, daemons)
		l.customers[id].customer = id
	}
	for id, c := range p.Classes {
		var old *limit
		if previous != nil {
			old = previous.classes[id]
		}
		l.classes[id] = newLimit(old, c.Limits, daemons)
		l.classes[id].class = id
	}
	return l
}

func newLimit(old *limit, limits policy.Limits, daemons int) *limit {
	n := max(daemons, 1)
	l := &limit{
		usage:          &usage{},
		requests:       newBucket(limits.RequestsPerSecond/float64(n), requestBurst),
		tokens:         newBucket(limits.TokensPerMinute/60/float64(n), tokenBurst),
		maxConcurrent:  int64((limits.Concurrent + n - 1) / n),
		maxConnections: int64((limits.Connections + n - 1) / n),
	}
	if old != nil {
		l.usage = old.usage
	}
	return l
}

// Permit is held by an admitted request. Release must be called when the request
// has ended.
type Permit struct {
	limits   [2]*limit // customer and class; nil without limits
	tokens   int64
	released atomic.Bool
}

// Admit counts a request of the estimated tokens against the limits of its
// customer and class. If it would exceed one of them, the permit is nil and
// nothing is counted.
func (l *Limiter) Admit(now time.Time, customer domain.CustomerID, class domain.ClassID, tokens int) (*Permit, Refusal) {
	p := &Permit{limits: [2]*limit{l.customers[customer], l.classes[class]}, tokens: int64(tokens)}
	for i, limit := range p.limits {
		if limit == nil {
			continue
		}
		if kind, wait := limit.take(now, p.tokens); kind != 0 {
			if i == 1 && p.limits[0] != nil {
				p.limits[0].refund(p.tokens)
			}
			return nil, Refusal{kind, limit.customer, limit.class, ceilSeconds(wait)}
		}
	}
	return p, Refusal{}
}

// Release ends the request and corrects the token buckets to the tokens that it
// used, 0 if it did not run. Only the first call has an effect.
func (p *Permit) Release(tokens int) {
	if !p.released.CompareAndSwap(false, true) {
		return
	}
	for _, l := range p.limits {
		if l != nil {
			l.inFlight.Add(-1)
			l.tokens.adjust(&l.tokenTAT, int64(tokens)-p.tokens)
		}
	}
}

func (l *limit) take(now time.Time, tokens int64) (LimitKind, time.Duration) {
	if n := l.inFlight.Add(1); l.maxConcurrent > 0 && n > l.maxConcurrent {
		l.inFlight.Add(-1)
		return LimitConcurrent, time.Second
	}
	if wait := l.requests.take(&l.requestTAT, now, 1); wait > 0 {
		l.inFlight.Add(-1)
		return LimitRequests, wait
	}
	if wait := l.tokens.take(&l.tokenTAT, now, tokens); wait > 0 {
		l.inFlight.Add(-1)
		l.requests.adjust(&l.requestTAT, -1)
		return LimitTokens, wait
	}
	return 0, 0
}

func (l *limit) refund(tokens int64) {
	l.inFlight.Add(-1)
	l.requests.adjust(&l.requestTAT, -1)
	l.tokens.adjust(&l.tokenTAT, -tokens)
}

// Connect counts a caller connection of a customer and reports whether it is
// within the limit. Each true is followed by one Disconnect.
func (l *Limiter) Connect(customer domain.CustomerID) bool {
	c := l.customers[customer]
	if c == nil {
		return true
	}
	if n := c.connections.Add(1); c.maxConnections > 0 && n > c.maxConnections {
		c.connections.Add(-1)
		return false
	}
	return true
}

// Disconnect ends a connection that Connect accepted.
func (l *Limiter) Disconnect(customer domain.CustomerID) {
	if c := l.customers[customer]; c != nil {
		c.connections.Add(-1)
	}
}

// bucket is a token bucket in the form of the generic cell rate algorithm (GCRA).
// Its state is one atomic time, the theoretical arrival time (TAT) until which
// the rate is used up. The zero value has no limit.
type bucket struct {
	emissionInterval float64 // ns
	burst            int64   // ns
}

func newBucket(perSecond float64, burst time.Duration) bucket {
	if perSecond <= 0 {
		return bucket{}
	}
	b := bucket{emissionInterval: float64(time.Second) / perSecond}
	b.burst = max(int64(burst), int64(b.emissionInterval))
	return b
}

// take consumes n units and returns 0, or returns how long to wait for them. A
// request larger than the burst is accepted when the bucket is full; later
// requests then wait until its whole cost has accrued.
func (b bucket) take(tat *atomic.Int64, now time.Time, n int64) time.Duration {
	if b.emissionInterval == 0 {
		return 0
	}
	cost := int64(b.emissionInterval * float64(n))
	for {
		old := tat.Load()
		from := max(old, now.UnixNano())
		if wait := from + min(cost, b.burst) - b.burst - now.UnixNano(); wait > 0 {
			return time.Duration(wait)
		}
		if tat.CompareAndSwap(old, from+cost) {
			return 0
		}
	}
}

// adjust adds n units to the consumption; n may be negative.
func (b bucket) adjust(tat *atomic.Int64, n int64) {
	if b.emissionInterval != 0 {
		tat.Add(int64(b.emissionInterval * float64(n)))
	}
}

func ceilSeconds(d time.Duration) time.Duration {
	return max((d + time.Second - 1).Truncate(time.Second), time.Second)
}
