package usage

import (
	"maps"
	"math"
	"slices"

	"github.com/auburndyke/auburndyke/internal/domain"
)

const (
	// maxWindowDistance is how far the window of a peer's counts may be from the daemon's
	// own. Counts that are further away come from a wrong clock or from an earlier time.
	maxWindowDistance = 20
	// maxOrigins bounds the origins of a window: 330 daemons, each restarted twice.
	maxOrigins = 1024
	// maxCustomers bounds the names of customers. 2,000 are expected.
	maxCustomers = 8192
	// maxCells bounds the counts of all windows, origins and customers, about 12 MB. The
	// holder needs 330,000 for a window in which each of 330 daemons counts 1,000 customers.
	maxCells = 1 << 19
	// maxNameBytes bounds the name of a customer. A count of the longest one fits into a
	// datagram.
	maxNameBytes = 255
	// maxCount bounds the count of one customer at one daemon in a window.
	maxCount = math.MaxInt32
)

// Origin identifies one process of a daemon.
type Origin uint64

// CustomerCount is the number of requests of a customer.
type CustomerCount struct {
	_        struct{} `cbor:",toarray"`
	Customer domain.CustomerID
	Count    int64
}

// counts are the counts of one origin in one window, by index of the customer.
type counts struct {
	byCustomer map[uint32]uint32
	total      int64
}

// Ledger holds counts by window, origin and customer. They only grow. It is not safe for
// concurrent use.
type Ledger struct {
	windows map[int64]map[Origin]*counts
	// names holds the customers by index, and index the reverse.
	names []domain.CustomerID
	index map[domain.CustomerID]uint32
	cells int
	// dropped is the number of counts that exceeded a bound.
	dropped int64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{windows: make(map[int64]map[Origin]*counts), index: make(map[domain.CustomerID]uint32)}
}

// Add counts one request. It reports whether a bound left room for it.
func (l *Ledger) Add(window int64, origin Origin, customer domain.CustomerID) bool {
	return l.raise(window, origin, customer, func(n uint32) uint32 {
		if n == maxCount {
			return n
		}
		return n + 1
	})
}

// Merge takes over a count of an origin if it is larger than the known one. It reports
// whether the count is valid and a bound left room for it.
func (l *Ledger) Merge(window int64, origin Origin, c CustomerCount) bool {
	if c.Count <= 0 || c.Count > maxCount {
		l.dropped++
		return false
	}
	return l.raise(window, origin, c.Customer, func(n uint32) uint32 { return max(n, uint32(c.Count)) })
}

func (l *Ledger) raise(window int64, origin Origin, customer domain.CustomerID, to func(uint32) uint32) bool {
	at, ok := l.customer(customer)
	if !ok {
		l.dropped++
		return false
	}
	c := l.windows[window][origin]
	known := false
	if c != nil {
		_, known = c.byCustomer[at]
	}
	if !known && l.cells >= maxCells || c == nil && len(l.windows[window]) >= maxOrigins {
		l.dropped++
		return false
	}
	if l.windows[window] == nil {
		l.windows[window] = make(map[Origin]*counts)
	}
	if c == nil {
		c = &counts{byCustomer: make(map[uint32]uint32)}
		l.windows[window][origin] = c
	}
	if !known {
		l.cells++
	}
	before := c.byCustomer[at]
	after := to(before)
	c.byCustomer[at] = after
	c.total += int64(after) - int64(before)
	return true
}

// customer returns the index of a customer.
func (l *Ledger) customer(name domain.CustomerID) (uint32, bool) {
	if at, known := l.index[name]; known {
		return at, true
	}
	if name == "" || len(name) > maxNameBytes || len(l.names) >= maxCustomers {
		return 0, false
	}
	at := uint32(len(l.names))
	l.names = append(l.names, name)
	l.index[name] = at
	return at, true
}

// Total returns the number of requests of an origin in a window.
func (l *Ledger) Total(window int64, origin Origin) int64 {
	if c := l.windows[window][origin]; c != nil {
		return c.total
	}
	return 0
}

// Origins returns the origins with counts in a window, sorted.
func (l *Ledger) Origins(window int64) []Origin {
	return slices.Sorted(maps.Keys(l.windows[window]))
}

// Counts returns the counts of an origin in a window, sorted by customer.
func (l *Ledger) Counts(window int64, origin Origin) []CustomerCount {
	c := l.windows[window][origin]
	if c == nil {
		return nil
	}
	out := make([]CustomerCount, 0, len(c.byCustomer))
	for at, n := range c.byCustomer {
		out = append(out, CustomerCount{Customer: l.names[at], Count: int64(n)})
	}
	slices.SortFunc(out, func(a, b CustomerCount) int {
		if a.Customer < b.Customer {
			return -1
		}
		return 1 // the customers differ
	})
	return out
}

// Sum returns the counts of all origins in a window.
func (l *Ledger) Sum(window int64) map[domain.CustomerID]int64 {
	out := make(map[domain.CustomerID]int64)
	for _, c := range l.windows[window] {
		for at, n := range c.byCustomer {
			out[l.names[at]] += int64(n)
		}
	}
	return out
}

// Expire removes the windows before oldest, those after newest, and, if there are many
// names, those without counts.
func (l *Ledger) Expire(oldest, newest int64) {
	for window, origins := range l.windows {
		if window >= oldest && window <= newest {
			continue
		}
		for _, c := range origins {
			l.cells -= len(c.byCustomer)
		}
		delete(l.windows, window)
	}
	if len(l.names) >= maxCustomers {
		l.compact()
	}
}

// compact removes the names without counts.
func (l *Ledger) compact() {
	names, index := l.names, make(map[domain.CustomerID]uint32)
	l.names = nil
	for _, origins := range l.windows {
		for _, c := range origins {
			moved := make(map[uint32]uint32, len(c.byCustomer))
			for at, n := range c.byCustomer {
				to, known := index[names[at]]
				if !known {
					to = uint32(len(l.names))
					l.names = append(l.names, names[at])
					index[names[at]] = to
				}
				moved[to] = n
			}
			c.byCustomer = moved
		}
	}
	l.index = index
}
