package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
)

// readers returns the daemons that read for others.
func (f *restoredFleet) readers() (out []*restoredDaemon) {
	now := time.Now()
	for _, d := range f.daemons {
		if len(d.node.group.dependents) > 0 && d.node.DelegatedFor("t", now) <= 0 {
			out = append(out, d)
		}
	}
	return out
}

// Guards against a daemon that acts on a change too late because its reader no longer gets
// answers from the platform, which it can't tell from a platform without changes; and
// against daemons that all ask the platform in the instant in which they notice.
func TestSilentReaderDelaysNoChange(t *testing.T) {
	for _, layout := range []struct{ daemons, zones int }{{4, 1}, {15, 1}, {47, 1}, {330, 7}} {
		if testing.Short() && layout.daemons > 47 {
			continue
		}
		for _, bound := range []time.Duration{2500 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprintf("%d daemons in %d zones, %s", layout.daemons, layout.zones, bound), func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) { testSilentReader(t, layout.daemons, layout.zones, bound) })
			})
		}
	}
}

func testSilentReader(t *testing.T, daemons, zones int, bound time.Duration) {
	const calm = 30 * time.Second
	rounds := 30
	if daemons > 100 {
		rounds = 6
	}
	ctx, stop := context.WithCancel(t.Context())
	f := newRestoredFleet(t, ctx, daemons, zones)
	f.bound = bound
	wait := f.run()
	f.platform.write()
	time.Sleep(20 * time.Second)
	calls := f.platform.waited.Load()
	time.Sleep(calm)
	perDaemon := float64(f.platform.waited.Load()-calls) / float64(daemons) / calm.Seconds()
	assert.Equal(t, len(f.readers()), zones, "readers")

	rng := rand.New(rand.NewPCG(1, uint64(daemons)))
	upTo := func(d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }
	var slowest time.Duration
	most := 0
	for round := range rounds {
		time.Sleep(upTo(2 * time.Second))
		silent := f.readers()
		for _, d := range silent {
			d.platformCut.Store(true)
		}
		time.Sleep(upTo(300 * time.Millisecond))
		f.asked(nil)
		if round%3 > 0 { // without a change, the silence alone must not make all of them ask
			f.platform.write()
		}
		written := time.Now()
		for time.Since(written) < bound {
			time.Sleep(50 * time.Millisecond)
			most = max(most, f.asked(silent))
			if f.lack(silent) > 0 {
				slowest = max(slowest, time.Since(written))
			}
		}
		assert.Check(t, f.lack(silent) == 0, "round %d: %d daemons lack the change %s after it was accepted", round, f.lack(silent), bound)
		for _, d := range silent {
			d.platformCut.Store(false)
		}
		time.Sleep(10 * time.Second)
	}
	t.Logf("%d daemons in %d zones, bound %s: a change is everywhere %s after it at most; %.3f calls a daemon and second on calm days, at most %d of them ask within 50 ms of a silence",
		daemons, zones, bound, slowest, perDaemon, most)
	assert.Check(t, most <= max(daemons/4, 2), "%d daemons asked the platform within 50 ms", most)
	stop()
	wait()
}

// lack returns how many daemons lack the newest row, other than those given.
func (f *restoredFleet) lack(others []*restoredDaemon) int {
	newest, _, _ := f.platform.row()
	lacking := 0
	for _, d := range f.daemons {
		if _, _, serial := d.get(); serial != string(newest.Value) {
			lacking++
		}
	}
	for _, d := range others {
		if _, _, serial := d.get(); serial != string(newest.Value) {
			lacking--
		}
	}
	return lacking
}

// asked returns how many daemons other than those given have asked the platform since the
// last call.
func (f *restoredFleet) asked(others []*restoredDaemon) (n int) {
	for _, d := range f.daemons {
		if d.asked.Swap(false) && !slices.Contains(others, d) {
			n++
		}
	}
	return n
}
