package usage

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/ports"
)

// restore brings the table back from a copy of its rows, in a later era.
func (t *simTable) restore(rows map[string]ports.Row) {
	t.era++
	t.rows = maps.Clone(rows)
	t.version = 0
	for key, row := range t.rows {
		row.Version = t.versionOf(row.Version.Number())
		t.rows[key] = row
		t.version = max(t.version, row.Version)
	}
}

// Guards against two different reports of a window when its row, which the holder has
// reported, is lost with a restoration of the store, and another daemon that knows fewer
// counts becomes the holder before, or after, it hears of the restoration.
func TestReportedWindowsOverRestorations(t *testing.T) {
	for _, gap := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("%v later, seed %d", gap, seed), func(t *testing.T) {
				f := newSimFleet(t, 30+seed, 9, 3)
				traffic := f.traffic(20, 2)
				f.run(4*time.Second, traffic)
				copied := maps.Clone(f.table.rows)
				for holder := 1; holder < 6; holder++ {
					f.run(5*time.Second+time.Duration(f.rand.Int64N(int64(time.Second))), traffic)
					f.table.restore(copied)
					f.run(gap, traffic)
					f.daemons[6].partitioned, f.daemons[7].partitioned = true, true
					f.hold(fmt.Sprintf("d-%d", holder))
					f.run(2*time.Second, traffic)
					f.daemons[6].partitioned, f.daemons[7].partitioned = false, false
					copied = maps.Clone(f.table.rows)
				}
				f.settle()
				assert.Equal(t, len(f.api.violations), 0, "%v", f.api.violations)
				assert.Assert(t, len(f.api.reports) >= 3, "%d windows are reported", len(f.api.reports))
			})
		}
	}
}

// Guards against a holder that leaves out windows which ended after the restoration: a
// candidate hears of it by the row of the lease.
func TestWindowsAfterARestorationAreReported(t *testing.T) {
	f := newSimFleet(t, 40, 9, 3)
	traffic := f.traffic(20, 2)
	f.run(6*time.Second, traffic)
	first := f.window()
	f.table.restore(map[string]ports.Row{})
	asks := func() {
		traffic()
		if f.elapsed%(300*time.Millisecond) == 0 {
			_, err := f.daemons[1].table.Get(t.Context(), "lease/duties")
			assert.NilError(t, err)
		}
	}
	f.run(7*time.Second, asks)
	f.daemons[0].dead = true
	f.hold("")
	f.run(3*time.Second, asks)
	f.hold("d-1")
	f.run(6*time.Second, asks)
	_, before := f.settle()
	f.checkReports(first, before)
}
