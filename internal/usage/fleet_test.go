package usage

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// traffic returns a function that counts requests of some customers at the daemons that
// serve, n at each in a second on average.
func (f *simFleet) traffic(n float64, customers int) func() {
	return func() {
		for _, d := range f.daemons {
			if d.dead || d.stopped {
				continue
			}
			for expected := n * simStep.Seconds(); expected > 0; expected-- {
				if f.rand.Float64() < expected {
					f.count(d, domain.CustomerID(fmt.Sprintf("customer-%04d", f.rand.IntN(customers))))
				}
			}
		}
	}
}

// settle runs the fleet until the reports of all windows so far are due, and returns
// the first window and the one behind the last that has to be reported.
func (f *simFleet) settle() (from, before int64) {
	before = f.window()
	f.run(simDue+time.Second, nil)
	return simStart.UnixNano() / int64(simWindow), before
}

// Guards against windows that a large fleet misses or counts wrongly, and against two
// reports of one: datagrams are lost, daemons are killed and start again, and the holder
// changes many times.
func TestLargeFleetReportsEveryWindow(t *testing.T) {
	if testing.Short() {
		t.Skip("large fleets run without the race detector")
	}
	f := newSimFleet(t, 1, 330, 3)
	f.loss = 0.03
	traffic := f.traffic(10, 20)
	for i := range 12 {
		f.run(4300*time.Millisecond, traffic)
		killed := f.daemons[(37*i+1)%330]
		killed.dead = true
		f.hold("")
		f.run(700*time.Millisecond, traffic)
		f.hold(f.daemons[53*i%330].name)
		if i%3 == 2 {
			for _, d := range f.daemons {
				if d.dead {
					d.start()
				}
			}
			f.setPeers()
		}
	}
	f.hold("d-329")
	from, before := f.settle()
	f.checkReports(from, before)
}

// Guards against messages that fill the links of a large fleet with many customers: each
// daemon counts 60 requests a second of 2,000 customers.
func TestCostInALargeFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("large fleets run without the race detector")
	}
	f := newSimFleet(t, 12, 330, 3)
	for _, d := range f.daemons {
		d.skew = 0 // one request in the neighbouring window would be 0.02 of a count
	}
	traffic := f.traffic(60, 2000)
	f.run(12*time.Second, traffic)
	f.datagrams, f.bytes, f.holderReceived, f.mostAtOnce = 0, 0, 0, 0
	start := f.elapsed
	f.run(10*time.Second, traffic)
	seconds := (f.elapsed - start).Seconds()
	perDaemon := float64(f.bytes) / 330 / seconds
	perHolder := float64(f.holderReceived) / seconds
	t.Logf("each daemon sends %.1f datagrams and %.0f bytes a second; the holder receives %.0f bytes a second, at most %d datagrams in %v",
		float64(f.datagrams)/330/seconds, perDaemon, perHolder, f.mostAtOnce, simStep)
	assert.Assert(t, perDaemon < 30_000, "a daemon sends %.0f bytes a second", perDaemon)
	assert.Assert(t, perHolder < 500_000, "the holder receives %.0f bytes a second", perHolder)
	_, before := f.settle()
	f.checkReports(before-2, before)
}

// Guards against a wrong report after the longest time without a holder: it is killed
// just before a window ends, and 8 s later, 2 s before the report is due, another one
// asks 330 daemons.
func TestLateTakeoverInALargeFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("large fleets run without the race detector")
	}
	f := newSimFleet(t, 14, 330, 3)
	f.loss = 0.03
	traffic := f.traffic(10, 20)
	f.run(4800*time.Millisecond, traffic)
	f.daemons[0].dead = true
	f.hold("")
	f.run(8*time.Second, traffic)
	f.hold("d-77")
	from, before := f.settle()
	f.checkReports(from, before)
}

// Guards against requests that are forgotten because the daemon that counted them was
// killed between the count and the collection: copies at other daemons have them.
func TestCountsSurviveTheirDaemon(t *testing.T) {
	f := newSimFleet(t, 2, 9, 3)
	f.loss = 0.1
	f.run(simWindow, nil)
	for range 100 {
		f.count(f.daemons[4], "anna")
	}
	f.run(4*time.Second, nil)
	f.daemons[4].dead = true
	from, before := f.settle()
	f.checkReports(from+1, before+1)
}

// Guards against a restarted daemon whose new counts replace those of its earlier
// process, and against counts that are added twice.
func TestRestartCountsUnderANewOrigin(t *testing.T) {
	f := newSimFleet(t, 3, 9, 3)
	for range 60 {
		f.count(f.daemons[4], "anna")
	}
	f.run(1500*time.Millisecond, nil)
	f.daemons[4].start()
	f.setPeers()
	for range 40 {
		f.count(f.daemons[4], "anna")
	}
	from, before := f.settle()
	f.checkReports(from, before+1)
	assert.Equal(t, f.api.reports[from]["anna"], int64(100))
}

// Guards against counts of a daemon that is partitioned, or suspended, when its window
// ends: they are in copies, and when it returns it must not change what is reported.
func TestPartitionedAndSuspendedDaemons(t *testing.T) {
	for name, cut := range map[string]func(*simDaemon, bool){
		"partitioned": func(d *simDaemon, on bool) { d.partitioned = on },
		"suspended":   func(d *simDaemon, on bool) { d.stopped = on },
	} {
		t.Run(name, func(t *testing.T) {
			f := newSimFleet(t, 4, 9, 3)
			for range 80 {
				f.count(f.daemons[4], "anna")
			}
			f.run(2*time.Second, nil)
			cut(f.daemons[4], true)
			f.run(12*time.Second, nil)
			cut(f.daemons[4], false)
			from, before := f.settle()
			f.checkReports(from, before)
			assert.Equal(t, f.api.reports[from]["anna"], int64(80))
		})
	}
}

// Guards against a holder that is suspended before its call and then reports counts that
// differ from those of the holder that followed it.
func TestSuspendedHolderReportsTheSame(t *testing.T) {
	f := newSimFleet(t, 5, 9, 3)
	traffic := f.traffic(10, 3)
	f.run(7*time.Second, traffic) // the first window is being collected
	f.daemons[0].stopped = true
	f.run(2*time.Second, traffic)
	f.hold("d-1")
	f.run(4*time.Second, traffic)
	f.daemons[0].stopped = false
	f.hold("d-0")
	from, before := f.settle()
	f.checkReports(from, before)
}

// Guards against daemons that count in different windows after a step of the wall clock,
// and against reports that a step delays. The steps go back after some seconds.
func TestClockSteps(t *testing.T) {
	for _, step := range []time.Duration{-8 * time.Second, 8 * time.Second} {
		for _, daemon := range []int{0, 4} { // the holder, and another daemon
			t.Run(fmt.Sprintf("%v at %d", step, daemon), func(t *testing.T) {
				f := newSimFleet(t, 6, 9, 3)
				traffic := f.traffic(20, 2)
				f.run(7*time.Second, traffic)
				f.daemons[daemon].skew += step
				f.run(12*time.Second, traffic)
				f.daemons[daemon].skew -= step
				f.run(6*time.Second, traffic)
				from, before := f.settle()
				f.checkReports(from, before)
			})
		}
	}
}

// Guards against two different reports of a window, whatever is lost between the row, the
// call and its response while holders change.
func TestHolderChangesAtEachStep(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(*simFleet, bool)
	}{
		{"between collection and row", func(f *simFleet, on bool) { f.table.down = on }},
		{"row written, answer lost", func(f *simFleet, on bool) { f.table.loseWrites = on }},
		{"row written later", func(f *simFleet, on bool) { f.table.delayWrites = on }},
		{"between row and call", func(f *simFleet, on bool) { f.api.down = on }},
		{"between call and response", func(f *simFleet, on bool) { f.api.loseAnswers = on }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newSimFleet(t, 7, 9, 3)
			traffic := f.traffic(20, 2)
			f.run(5*time.Second, traffic)
			c.set(f, true)
			f.run(3*time.Second, traffic)
			// The next holder misses the counts of two daemons.
			f.daemons[5].partitioned, f.daemons[6].partitioned = true, true
			f.hold("d-1")
			f.run(2*time.Second, traffic)
			c.set(f, false)
			f.run(500*time.Millisecond, traffic)
			f.table.applyLate()
			f.run(500*time.Millisecond, traffic)
			f.daemons[5].partitioned, f.daemons[6].partitioned = false, false
			f.hold("d-2")
			from, before := f.settle()
			f.checkReports(from, before)
		})
	}
}

// Guards against reports that are given up while the API is down for a while, or whose
// responses are lost.
func TestReportsAreRepeated(t *testing.T) {
	for name, set := range map[string]func(*simFleet, bool){
		"API down":       func(f *simFleet, on bool) { f.api.down = on },
		"responses lost": func(f *simFleet, on bool) { f.api.loseAnswers = on },
		"store down":     func(f *simFleet, on bool) { f.table.down = on },
	} {
		t.Run(name, func(t *testing.T) {
			f := newSimFleet(t, 8, 9, 3)
			traffic := f.traffic(20, 2)
			f.run(4*time.Second, traffic)
			set(f, true)
			f.run(9*time.Second, traffic)
			set(f, false)
			f.run(4*time.Second, traffic)
			from, before := f.settle()
			f.checkReports(from, before)
		})
	}
}

// Guards against calls for windows whose reports are not due any more, and against calls
// without end.
func TestLateWindowsAreNotReported(t *testing.T) {
	f := newSimFleet(t, 9, 3, 1)
	f.api.down = true
	f.run(25*time.Second, f.traffic(20, 2))
	f.api.down = false
	f.run(3*time.Second, nil)
	from := simStart.UnixNano() / int64(simWindow)
	for w := range f.api.reports {
		assert.Assert(t, w >= from+2, "window %d is reported late", w-from)
	}
	assert.Assert(t, f.daemons[0].meter.missed.Count() > 0, "missed windows are not counted")
	calls := f.api.calls
	f.run(4*time.Second, nil)
	assert.Assert(t, f.api.calls <= calls+1, "reported windows are reported again")
}

// Guards against a fleet that reports windows of the time before its first start, or none
// of the time in which all daemons restarted.
func TestWindowsBeforeTheFirstStart(t *testing.T) {
	f := newSimFleet(t, 10, 3, 1)
	f.run(16*time.Second, nil)
	from := simStart.UnixNano() / int64(simWindow)
	for w := range f.api.reports {
		assert.Assert(t, w > from, "a window that no daemon saw from its beginning is reported")
	}
	assert.Equal(t, len(f.api.reports[from+1]), 0)
	f.hold("")
	for _, d := range f.daemons {
		d.start()
	}
	f.setPeers()
	f.run(6*time.Second, nil)
	f.hold("d-1")
	_, before := f.settle()
	f.checkReports(from+1, before)
}

// Guards against a holder that calls the store many times a second while it is down.
func TestCallsToTheStoreAreSpaced(t *testing.T) {
	f := newSimFleet(t, 13, 3, 1)
	f.run(7*time.Second, f.traffic(20, 2))
	f.table.down = true
	for _, holder := range []string{"d-0", "d-1"} {
		f.hold(holder)
		f.table.reads, f.table.commits = 0, 0
		f.run(5*time.Second, nil)
		calls := f.table.reads + f.table.commits
		assert.Assert(t, calls > 0 && calls <= 25, "%s made %d calls in 5 s", holder, calls)
	}
}

// Guards against rows that stay in the store for ever.
func TestOldRowsAreRemoved(t *testing.T) {
	f := newSimFleet(t, 11, 3, 1)
	f.run(50*simWindow, f.traffic(2, 2))
	f.hold("d-1")
	f.run(50*simWindow, f.traffic(2, 2))
	assert.Assert(t, len(f.table.rows) <= keptRows+2, "%d rows", len(f.table.rows))
	assert.Equal(t, len(f.api.violations), 0)
}
