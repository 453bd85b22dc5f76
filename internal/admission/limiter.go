package admission

import (
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
)

const (
	// requestBurst and tokenBurst are how much of a rate may be used at once.
	requestBurst = 2 * time.Second
	tokenBurst   = 15 * time.Second
)

// LimitKind names a limit that refused a request.
type LimitKind uint8

const (
	// LimitRequests is Limits.RequestsPerSecond.
	LimitRequests LimitKind = iota + 1
	// LimitTokens is Limits.TokensPerMinute.
	LimitTokens
	// LimitConcurrent is Limits.Concurrent.
	LimitConcurrent
)

var limitNames = [...]string{"", "requests_per_second", "tokens_per_minute", "concurrent"}

func (k LimitKind) String() string { return limitNames[k] }

// Refusal says which limit refused a request. The zero value means none.
type Refusal struct {
	Kind LimitKind
	// Class is set when the limit is the class's, otherwise Customer is.
	Customer domain.CustomerID
	Class    domain.ClassID
	// RetryAfter is when the limit allows the request, in whole seconds.
	RetryAfter time.Duration
}

// Limiter holds the limits of customers and classes. It is immutable except
// for its atomic counters, and safe for concurrent use. The configured limits
// hold for the fleet; each daemon enforces an equal part of them.
type Limiter struct {
	customers map[domain.CustomerID]*limit
	classes   map[domain.ClassID]*limit
}

// limit is one customer's or class's part of the limits.
type limit struct {
	*usage
	requests       bucket
	tokens         bucket
	maxConcurrent  int64
	maxConnections int64
	customer       domain.CustomerID
	class          domain.ClassID
}

// usage is carried from one Limiter to the next.
type usage struct {
	requestTAT  atomic.Int64
	tokenTAT    atomic.Int64
	inFlight    atomic.Int64
	connections atomic.Int64
}

// NewLimiter builds the limits of a policy for one of a number of daemons.
// Usage is taken over from the previous limiter, which may be nil.
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

// Permit is one admitted request. Its Release must be called once the request
// is over.
type Permit struct {
	limits   [2]*limit // customer and class; nil without limits
	tokens   int64
	released atomic.Bool
}

// Admit takes one request of the estimated tokens from the limits of its
// customer and class. The permit is nil when a limit refuses; then nothing was
// taken.
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

// Release ends the request and corrects the token buckets by its real number
// of tokens. Only the first call has an effect. A request that did not run
// passes 0.
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

// bucket is a token bucket in the form of the generic cell rate algorithm: one
// atomic time until which the rate is used up. The zero value has no limit.
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

// take uses n units, or returns how long to wait. A request larger than the
// burst is accepted when the bucket is full, and is paid off afterwards.
func (b bucket) take(until *atomic.Int64, now time.Time, n int64) time.Duration {
	if b.emissionInterval == 0 {
		return 0
	}
	cost := int64(b.emissionInterval * float64(n))
	for {
		old := until.Load()
		from := max(old, now.UnixNano())
		if wait := from + min(cost, b.burst) - b.burst - now.UnixNano(); wait > 0 {
			return time.Duration(wait)
		}
		if until.CompareAndSwap(old, from+cost) {
			return 0
		}
	}
}

// adjust corrects the use by n units, which may be negative.
func (b bucket) adjust(until *atomic.Int64, n int64) {
	if b.emissionInterval != 0 {
		until.Add(int64(b.emissionInterval * float64(n)))
	}
}

func ceilSeconds(d time.Duration) time.Duration {
	return max((d + time.Second - 1).Truncate(time.Second), time.Second)
}
