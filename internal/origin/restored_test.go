package origin

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// Guards against streams that can't be taken up after a restoration of the platform because
// their daemon, which gets no new ones, does not write its lost row again.
func TestRowsAreWrittenAgainAfterRestoration(t *testing.T) {
	for _, size := range []int{2, 330} {
		t.Run(fmt.Sprint(size, " daemons"), func(t *testing.T) {
			if size > 100 && testing.Short() {
				t.Skip("330 daemons")
			}
			virtualtime.Test(t, func(t *testing.T) {
				const rate = 3200
				table := newMemoryTable()
				table.backUp()
				fleet := make([]*process, size)
				for i := range fleet {
					fleet[i] = startKeeper(t, Options{
						Daemon: fmt.Sprint(i), Address: nextAddress(), Table: table, Era: follow.NewEra(), Log: telemetry.NopLog(),
						Daemons: func() int { return size }, WriteRate: rate,
					}, mixed)
					fleet[i].begin(fmt.Sprint("stream-", i), "old")
				}
				for restoration := range 3 {
					time.Sleep(3 * time.Second)
					table.restore()
					restored := time.Now()
					for _, p := range fleet {
						p.o.Era.Observe(time.Now(), uint64(restoration+1))
					}
					deadline := settleTime + fleet[0].o.interval()
					time.Sleep(deadline)
					assert.Equal(t, table.size(), size, "rows %s after restoration %d", deadline, restoration)
					writes := table.writesIn(restored)
					assert.Assert(t, float64(writes) <= max(rate*writeRateShare, 2*float64(size)), "%d writes in the second after it", writes)
				}
				last := len(fleet) - 1
				for _, p := range fleet[1:] {
					p.kill()
				}
				assert.Equal(t, fleet[0].resolve(t, fmt.Sprint("stream-", last)), "old")
				fleet[0].kill()
			})
		})
	}
}

// Guards against a table that has just come back from a copy and counts as proof that a
// service had one version, or that nobody knows a stream.
func TestRestoredTableProvesNothing(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		table.backUp()
		a := startKeeper(t, Options{Daemon: "a", Address: nextAddress(), Table: table, Era: follow.NewEra(), Log: telemetry.NopLog()}, mixed)
		defer a.kill()
		a.begin("1", "old")
		time.Sleep(time.Second)
		a.Observe(time.Now(), onlyNew)
		table.restore()

		// Daemon b starts after the restoration and hears of it at its first call.
		era := follow.NewEra()
		era.Observe(time.Now(), 1)
		b := startKeeper(t, Options{Daemon: "b", Address: nextAddress(), Table: table, Era: era, Log: telemetry.NopLog()}, onlyNew)
		defer b.kill()
		assert.Equal(t, b.resolve(t, "1"), "unknown")
		connect(t, a, b)
		assert.Equal(t, b.resolve(t, "1"), "old")

		a.o.Era.Observe(time.Now(), 1)
		b.SetPeers(nil, nil, 0)
		time.Sleep(settleTime)
		assert.Equal(t, b.resolve(t, "1"), "old")
		assert.Equal(t, b.resolve(t, "2"), "unknown")
	})
}
