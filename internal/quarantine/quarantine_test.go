package quarantine

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/auburndyke/auburndyke/internal/domain"
)

const (
	shared Part = 1
	deadly Part = 2
	other  Part = 3
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// recorder is a Tracker with its changes.
type recorder struct {
	*Tracker
	changes []Change
}

func newTracker(seed uint64) *recorder {
	r := &recorder{}
	r.Tracker = New(rand.New(rand.NewPCG(seed, 0)), func(c Change) { r.changes = append(r.changes, c) })
	return r
}

// crash records the crash of an upstream 50 ms after it was sent a request.
func (r *recorder) crash(seconds float64, upstream domain.UpstreamID, stage Stage, parts []Part) {
	r.Crash(at(seconds), upstream, at(seconds-0.05), stage, parts)
}

func (r *recorder) blocks(seconds float64, parts ...Part) bool {
	_, blocked := r.Blocked(at(seconds), parts)
	return blocked
}

// Guards against parts that are blocked on too little evidence, or not on enough.
func TestBlocks(t *testing.T) {
	begun := func(s float64, upstream domain.UpstreamID) func(*recorder) {
		return func(r *recorder) { r.crash(s, upstream, Begun, []Part{deadly}) }
	}
	queued := func(s float64, upstream domain.UpstreamID) func(*recorder) {
		return func(r *recorder) { r.crash(s, upstream, Other, []Part{deadly}) }
	}
	sound := func(s float64) func(*recorder) {
		return func(r *recorder) { r.Sound(at(s), []Part{deadly}) }
	}
	for name, c := range map[string]struct {
		events  []func(*recorder)
		now     float64
		blocked bool
	}{
		"one crash":                       {[]func(*recorder){begun(0, "a")}, 1, false},
		"two crashes":                     {[]func(*recorder){begun(0, "a"), begun(1, "b")}, 2, true},
		"one crash, seen twice":           {[]func(*recorder){begun(0, "a"), begun(1, "a")}, 2, false},
		"two crashes of one upstream":     {[]func(*recorder){begun(0, "a"), begun(5, "a")}, 6, true},
		"two crashes at the same time":    {[]func(*recorder){begun(0, "a"), begun(0.02, "b")}, 2, false},
		"sent again after the crash":      {[]func(*recorder){begun(0, "a"), begun(0.06, "b")}, 2, true},
		"three crashes without a header":  {[]func(*recorder){queued(0, "a"), queued(1, "b"), queued(2, "c")}, 3, false},
		"four crashes without a header":   {[]func(*recorder){queued(0, "a"), queued(1, "b"), queued(2, "c"), queued(3, "d")}, 4, true},
		"crashes that are far apart":      {[]func(*recorder){begun(0, "a"), begun(60, "b")}, 61, false},
		"three crashes, a minute apart":   {[]func(*recorder){begun(0, "a"), begun(40, "b"), begun(60, "c")}, 61, true},
		"sound between the crashes":       {[]func(*recorder){begun(0, "a"), sound(1), begun(2, "b")}, 3, false},
		"sound before two crashes":        {[]func(*recorder){sound(0), begun(1, "a"), begun(2, "b")}, 3, false},
		"sound before four crashes":       {[]func(*recorder){sound(0), begun(1, "a"), begun(2, "b"), begun(3, "c"), begun(4, "d")}, 5, true},
		"sound long before two crashes":   {[]func(*recorder){sound(0), begun(61, "a"), begun(62, "b")}, 63, true},
		"sound after the block":           {[]func(*recorder){begun(0, "a"), begun(1, "b"), sound(2)}, 3, false},
		"the block is over":               {[]func(*recorder){begun(0, "a"), begun(1, "b")}, 125, false},
		"without a header blocks shorter": {[]func(*recorder){queued(0, "a"), queued(1, "b"), queued(2, "c"), queued(3, "d")}, 25, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTracker(1)
			for _, event := range c.events {
				event(r)
			}
			assert.Equal(t, r.blocks(c.now, shared, deadly), c.blocked)
			assert.Assert(t, !r.blocks(c.now, shared, other))
		})
	}
}

// Guards against a block of sound prompts that have a part in common with those that
// crash upstreams.
func TestBlocksNoMoreThanTheEvidence(t *testing.T) {
	r := newTracker(1)
	r.crash(0, "a", Begun, []Part{shared, deadly})
	r.crash(1, "b", Begun, []Part{shared, deadly})
	assert.Assert(t, r.blocks(2, shared, deadly))
	assert.Assert(t, !r.blocks(2, shared, other), "nothing shows which of the two parts is to blame")
	assert.Assert(t, !r.blocks(2, other, deadly))

	r.crash(3, "c", Begun, []Part{other, deadly})
	assert.Assert(t, r.blocks(4, deadly), "the third crash tells the parts apart")
	assert.Assert(t, !r.blocks(4, shared))

	r.Sound(at(5), []Part{shared})
	assert.Assert(t, r.blocks(6, shared, deadly))
}

// Guards against a part that is never tried again, and against one that crashes many
// upstreams each time that its block ends.
func TestBlockEndsAndIsRenewedByOneCrash(t *testing.T) {
	r := newTracker(1)
	r.crash(0, "a", Begun, []Part{deadly})
	r.crash(1, "b", Begun, []Part{deadly})
	until, blocked := r.Blocked(at(2), []Part{deadly})
	assert.Assert(t, blocked)
	r.Expire(until)
	assert.Assert(t, !r.blocks(until.Sub(start).Seconds(), deadly))

	later := until.Add(time.Minute)
	r.Crash(later, "c", later, Begun, []Part{deadly})
	again, blocked := r.Blocked(later, []Part{deadly})
	assert.Assert(t, blocked, "one crash renews the block")
	assert.Assert(t, again.Sub(later) >= 2*begunHold, "%v", again.Sub(later))
}

// Guards against daemons that try a harmful part again at the same time.
func TestDaemonsEndBlocksAtDifferentTimes(t *testing.T) {
	ends := make(map[time.Duration]bool)
	for seed := range uint64(20) {
		r := newTracker(seed)
		r.crash(0, "a", Begun, []Part{deadly})
		r.crash(1, "b", Begun, []Part{deadly})
		until, _ := r.Blocked(at(2), []Part{deadly})
		ends[until.Sub(start).Truncate(time.Second)] = true
	}
	assert.Assert(t, len(ends) > 10, "%d different ends", len(ends))
}

// exchange passes reports between all trackers until none has news.
func exchange(now time.Time, trackers ...*recorder) {
	for range 3 {
		for _, from := range trackers {
			if report := from.Report(now); report != nil {
				for _, to := range trackers {
					if to != from {
						to.Merge(now, report)
					}
				}
			}
		}
	}
}

// Guards against evidence that each daemon has to collect by itself, against a crash
// that counts once for each daemon which reports it, and against a part that is blocked
// although a peer knows it to be sound.
func TestDaemonsShareEvidence(t *testing.T) {
	a, b, c := newTracker(1), newTracker(2), newTracker(3)
	c.Sound(at(0), []Part{shared})
	a.crash(10, "x", Begun, []Part{shared, deadly})
	exchange(at(10.1), a, b, c)
	b.crash(10.2, "x", Begun, []Part{shared, deadly})
	exchange(at(10.3), a, b, c)
	for _, r := range []*recorder{a, b, c} {
		assert.Assert(t, !r.blocks(11, shared, deadly), "one crash, seen by two daemons")
	}
	b.crash(12, "y", Begun, []Part{shared, deadly})
	exchange(at(12.1), a, b, c)
	for _, r := range []*recorder{a, b, c} {
		assert.Assert(t, r.blocks(13, other, deadly), "the block needs no other part")
		assert.Assert(t, !r.blocks(13, shared, other))
	}
	c.Sound(at(14), []Part{deadly})
	exchange(at(14.1), a, b, c)
	for _, r := range []*recorder{a, b, c} {
		assert.Assert(t, !r.blocks(15, shared, deadly))
	}
}

// Guards against reports that go round for ever, and against facts that are not passed
// on to daemons which a report has missed.
func TestReportsEnd(t *testing.T) {
	a, b := newTracker(1), newTracker(2)
	a.crash(0, "x", Begun, []Part{deadly})
	exchange(at(0.1), a, b)
	assert.Assert(t, b.Report(at(1)) != nil)
	for s := 1.0; s < 10; s++ {
		exchange(at(s), a, b)
	}
	assert.Assert(t, a.Report(at(10)) == nil && b.Report(at(10)) == nil)
}

// Guards against a peer whose reports grow the daemon's memory or block without bound.
func TestReportsAreBounded(t *testing.T) {
	r := newTracker(1)
	for i := range 400 {
		report := &Report{}
		for k := range 100 {
			part := Part(i*100 + k)
			report.Crashes = append(report.Crashes, CrashReport{Part: part, Upstream: uint32(i), Stage: 200, Age: 3})
			report.Sound = append(report.Sound, SoundReport{Part: part + 1e9, Age: 65535})
		}
		r.Merge(at(float64(i)/100), report)
	}
	assert.Assert(t, len(r.suspects) <= maxSuspects, "%d suspects", len(r.suspects))
	assert.Assert(t, len(r.sound) <= maxSound, "%d sound parts", len(r.sound))
	report := r.Report(at(4))
	assert.Assert(t, report != nil)
	assert.Assert(t, len(report.Crashes) <= maxReported && len(report.Sound) <= maxReported)
}

// Guards against blocks that depend on the order or the repetition of reports.
func TestMergeIsIdempotentAndCommutative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []*Report
		for i := range rapid.IntRange(1, 8).Draw(t, "reports") {
			c := CrashReport{
				Part: Part(rapid.IntRange(1, 2).Draw(t, "part")), Upstream: uint32(rapid.IntRange(1, 4).Draw(t, "upstream")),
				Stage: Stage(rapid.IntRange(0, 1).Draw(t, "stage")), Age: uint16(100*i + 1),
			}
			reports = append(reports, &Report{Crashes: []CrashReport{c}})
		}
		merge := func(order []*Report) map[Part]bool {
			r := newTracker(1)
			for _, report := range order {
				r.Merge(at(100), report)
			}
			return map[Part]bool{1: r.blocks(100, 1), 2: r.blocks(100, 2)}
		}
		want := merge(reports)
		shuffled := rapid.Permutation(append(reports, reports...)).Draw(t, "order")
		assert.DeepEqual(t, merge(shuffled), want)
	})
}

// Guards against a block whose evidence grows old before it ends, so that another part
// with newer evidence seems to explain it.
func TestBlockKeepsItsEvidence(t *testing.T) {
	r := newTracker(1)
	for i, upstream := range []domain.UpstreamID{"a", "b", "c", "d", "e"} {
		r.crash(float64(10*i), upstream, Begun, []Part{deadly})
	}
	r.crash(90, "f", Begun, []Part{other})
	r.crash(91, "g", Begun, []Part{other})
	until, blocked := r.Blocked(at(92), []Part{deadly})
	assert.Assert(t, blocked)
	for s := 92.0; at(s).Before(until); s++ {
		r.Expire(at(s))
		assert.Assert(t, r.blocks(s, deadly), "at %v s", s)
	}
}

// Guards against a part that crashes upstreams without end because each daemon sees one
// crash, of a kind that is weak evidence, and keeps it to itself.
func TestDaemonsShareWeakEvidence(t *testing.T) {
	var daemons []*recorder
	for seed := range uint64(8) {
		daemons = append(daemons, newTracker(seed))
	}
	crashes := 0
	for n := range 20 { // every 4 s, at the next daemon in turn
		seconds := float64(4 * n)
		for i, d := range daemons {
			d.Sound(at(seconds+float64(i)/10), []Part{shared})
		}
		d := daemons[n%len(daemons)]
		if d.blocks(seconds+1, shared, deadly) {
			continue
		}
		crashes++
		d.crash(seconds+1, domain.UpstreamID(string(rune('a'+n))), Other, []Part{shared, deadly})
		for round := range 6 {
			exchange(at(seconds+1+float64(round)/2), daemons...)
		}
		assert.Check(t, !d.blocks(seconds+3, shared, other), "after %d crashes", crashes)
	}
	// The users allow three requests from 4 s after the fifth crash on.
	assert.Assert(t, crashes <= 5+3, "%d crashes", crashes)
}
