package usage

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// Guards against two different reports of a window when a write takes effect after its
// holder has been replaced. The second holder is cut off from the others, so that it
// collects other counts, and the third one repeats what the second has reported.
func TestLateRowOfAnEarlierHolder(t *testing.T) {
	for _, c := range []struct {
		name string
		// late is when the write takes effect, and full whether its counts are reported.
		late time.Duration
		full bool
	}{
		{"before the second holder reads the rows", 8900 * time.Millisecond, true},
		{"after the second holder has read the rows", 10 * time.Second, true},
		{"after the second holder has written its row", 12900 * time.Millisecond, false},
		{"never", time.Hour, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newSimFleet(t, 20, 9, 3)
			first := f.window()
			traffic := f.traffic(20, 2)
			f.run(4500*time.Millisecond, traffic)
			f.table.delayWrites = true
			f.run(4400*time.Millisecond, nil) // until 9 s
			assert.Equal(t, f.api.calls, 0, "counts are reported that are in no row")
			f.table.delayWrites = false
			f.daemons[1].partitioned = true
			if c.late <= f.elapsed {
				f.table.applyLate()
			}
			f.hold("d-1")
			f.run(5*time.Second, func() {
				if f.elapsed >= c.late {
					f.table.applyLate()
				}
			})
			reported, ok := f.api.reports[first]
			assert.Assert(t, ok)
			assert.Equal(t, maps.Equal(reported, f.truth[first]), c.full, "%v instead of %v", reported, f.truth[first])
			calls := f.api.calls
			f.hold("d-2")
			f.run(1500*time.Millisecond, nil)
			assert.Assert(t, f.api.calls > calls, "the third holder has reported nothing")
			assert.Equal(t, len(f.api.violations), 0, "%v", f.api.violations)
		})
	}
}

// Guards against a holder that collects anew, and reports other counts than before, when
// it holds the duties again after its call was not answered.
func TestReturningHolderKeepsItsReport(t *testing.T) {
	f := newSimFleet(t, 21, 9, 3)
	traffic := f.traffic(20, 2)
	f.run(4500*time.Millisecond, traffic)
	f.api.loseAnswers = true
	f.run(2*time.Second, nil)
	assert.Assert(t, f.api.calls > 0)
	f.hold("")
	f.run(time.Second, nil)
	f.daemons[0].partitioned = true
	f.api.loseAnswers = false
	f.hold("d-0")
	f.run(2*time.Second, nil)
	assert.Equal(t, len(f.api.violations), 0, "%v", f.api.violations)
}

// Guards against a peer that changes what a daemon has counted itself, and against
// answers with counts that still grow.
func TestOwnCountsAndOpenWindows(t *testing.T) {
	f := newSimFleet(t, 22, 2, 1)
	a, b := f.daemons[0], f.daemons[1]
	f.count(a, "anna")
	w := f.window()
	a.meter.Receive(&Message{Kind: KindCounts, Sender: b.address, Window: w, Origin: a.meter.origin, Counts: []CustomerCount{{Customer: "anna", Count: 9}}})
	assert.DeepEqual(t, a.meter.ledger.Sum(w), map[domain.CustomerID]int64{"anna": 1})
	query := &Message{Kind: KindQuery, Sender: b.address, Window: w}
	a.meter.Outgoing()
	a.meter.Receive(query)
	assert.Equal(t, len(a.meter.Outgoing()), 0, "a window that has not ended is answered")
	f.elapsed = simWindow + 100*time.Millisecond
	a.meter.Receive(query)
	answer := a.meter.Outgoing()
	assert.Equal(t, len(answer), 2)
	assert.DeepEqual(t, answer[1].Message.Held, []Held{{Origin: a.meter.origin, Window: w, Total: 1}})
	for _, far := range []int64{w - 2*maxWindowDistance, w + 2*maxWindowDistance} {
		a.meter.Receive(&Message{Kind: KindCopy, Sender: b.address, Window: far, Origin: 7, Counts: []CustomerCount{{Customer: "anna", Count: 9}}})
		assert.Equal(t, a.meter.ledger.Total(far, 7), int64(0))
	}
}

// Guards against a peer that asks again and again and fills the memory with answers.
func TestOutboxIsBounded(t *testing.T) {
	f := newSimFleet(t, 23, 2, 1)
	a, b := f.daemons[0], f.daemons[1]
	f.elapsed = simWindow + 100*time.Millisecond
	for range 2 * maxOutbox {
		a.meter.Receive(&Message{Kind: KindQuery, Sender: b.address, Window: f.window() - 1})
	}
	assert.Equal(t, len(a.meter.Outgoing()), maxOutbox)
}
