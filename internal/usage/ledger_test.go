package usage

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// Guards against counts that a repeated or a late datagram changes.
func TestRepeatedAndLateCounts(t *testing.T) {
	l := NewLedger()
	for range 3 {
		l.Merge(7, 1, CustomerCount{Customer: "anna", Count: 5})
	}
	l.Merge(7, 1, CustomerCount{Customer: "anna", Count: 3}) // late
	l.Merge(7, 2, CustomerCount{Customer: "anna", Count: 4})
	assert.DeepEqual(t, l.Sum(7), map[domain.CustomerID]int64{"anna": 9})
	assert.Equal(t, l.Total(7, 1), int64(5))
}

// Guards against counts that depend on the order in which datagrams arrive, or on how
// often they do, and against totals that differ from the counts.
func TestMergeProperties(t *testing.T) {
	type entry struct {
		window int64
		origin Origin
		count  CustomerCount
	}
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOf(rapid.Custom(func(t *rapid.T) entry {
			return entry{
				rapid.Int64Range(0, 3).Draw(t, "window"), Origin(rapid.Uint64Range(0, 3).Draw(t, "origin")),
				CustomerCount{Customer: domain.CustomerID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")), Count: rapid.Int64Range(-1, 9).Draw(t, "count")},
			}
		})).Draw(t, "entries")
		order := rapid.Permutation(entries).Draw(t, "order")
		repeated := append(append([]entry{}, order...), order[:rapid.IntRange(0, len(order)).Draw(t, "repeated")]...)
		a, b := NewLedger(), NewLedger()
		for _, e := range entries {
			before := a.Total(e.window, e.origin)
			a.Merge(e.window, e.origin, e.count)
			assert.Assert(t, a.Total(e.window, e.origin) >= before, "a total has fallen")
		}
		for _, e := range repeated {
			b.Merge(e.window, e.origin, e.count)
		}
		cells := 0
		for w := range int64(4) {
			assert.DeepEqual(t, a.Sum(w), b.Sum(w))
			for _, origin := range a.Origins(w) {
				var sum int64
				for _, c := range a.Counts(w, origin) {
					sum += c.Count
					cells++
				}
				assert.Equal(t, sum, a.Total(w, origin))
			}
		}
		assert.Equal(t, cells, a.cells)
		a.compact()
		for w := range int64(4) {
			assert.DeepEqual(t, a.Sum(w), b.Sum(w))
		}
		a.Expire(2, 2)
		assert.DeepEqual(t, a.Sum(2), b.Sum(2))
		assert.Equal(t, len(a.Sum(1))+len(a.Sum(3)), 0)
	})
}

// Guards against a ledger that a faulty peer or many customers fill without a bound.
func TestLedgerIsBounded(t *testing.T) {
	l := NewLedger()
	for _, c := range []CustomerCount{
		{Customer: "", Count: 1},
		{Customer: domain.CustomerID(strings.Repeat("x", maxNameBytes+1)), Count: 1},
		{Customer: "a", Count: -1},
		{Customer: "a", Count: math.MaxInt64},
	} {
		assert.Assert(t, !l.Merge(1, 1, c))
	}
	for i := range maxOrigins + 10 {
		l.Merge(1, Origin(i), CustomerCount{Customer: "a", Count: 1})
	}
	assert.Equal(t, len(l.Origins(1)), maxOrigins)
	for i := range maxCustomers + 10 {
		l.Merge(2, 1, CustomerCount{Customer: domain.CustomerID(fmt.Sprint("c", i)), Count: 1})
	}
	assert.Equal(t, len(l.names), maxCustomers)
	for origin := range Origin(maxCells / maxCustomers) {
		for i := range maxCustomers {
			l.Merge(3, origin, CustomerCount{Customer: domain.CustomerID(fmt.Sprint("c", i)), Count: 1})
		}
	}
	assert.Assert(t, l.cells <= maxCells, "%d counts", l.cells)
	l.Expire(4, 9)
	assert.Equal(t, l.cells, 0)
	assert.Equal(t, len(l.names), 0)
	assert.Assert(t, l.Add(4, 1, "later"))
	// A count that has reached its bound does not wrap around.
	l.Merge(4, 2, CustomerCount{Customer: "later", Count: maxCount})
	l.Add(4, 2, "later")
	assert.Equal(t, l.Total(4, 2), int64(maxCount))
}

// Guards against datagrams that are larger than those between daemons may be, whatever
// the names, and against counts that the division loses.
func TestCountsFitIntoDatagrams(t *testing.T) {
	for _, size := range []int{1, 12, maxNameBytes} {
		l := NewLedger()
		for i := range 2000 {
			name := fmt.Sprintf("%0*d", size, i)
			l.Merge(400_000_000, math.MaxUint64, CustomerCount{Customer: domain.CustomerID(name[max(len(name)-maxNameBytes, 0):]), Count: maxCount})
		}
		sender := "[2001:db8:ffff:ffff:ffff:ffff:ffff:ffff%wlan0]:65535"
		merged := NewLedger()
		messages := countMessages(sender, l, 400_000_000, math.MaxUint64)
		for _, m := range messages {
			data, err := cbor.Marshal(m)
			assert.NilError(t, err)
			assert.Assert(t, len(data) <= simDatagramBytes, "%d bytes", len(data))
			assert.Assert(t, m.Valid())
			for _, c := range m.Counts {
				merged.Merge(m.Window, m.Origin, c)
			}
		}
		assert.DeepEqual(t, merged.Sum(400_000_000), l.Sum(400_000_000))
		t.Logf("names of %d bytes: %d datagrams", size, len(messages))
	}
	m := &Message{Kind: KindAnswer, Sender: "[2001:db8:ffff:ffff:ffff:ffff:ffff:ffff%wlan0]:65535", Window: math.MaxInt64}
	for range maxHeld {
		m.Held = append(m.Held, Held{Origin: math.MaxUint64, Window: math.MaxInt64, Total: math.MaxInt64})
	}
	data, err := cbor.Marshal(m)
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= simDatagramBytes, "%d bytes", len(data))
	m.Held = nil
	for range maxWanted {
		m.Wanted = append(m.Wanted, math.MaxUint64)
	}
	data, err = cbor.Marshal(m)
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= simDatagramBytes, "%d bytes", len(data))
}
