package balancer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/inventory"
)

// Guards against a flood of a new engine that is 5 times as slow as usual for 10 s, by few
// daemons and by 330 that each send it less than one request per second. The load is 7
// requests per second for each engine.
func TestRampUpColdStart(t *testing.T) {
	for _, fleet := range []struct{ daemons, engines int }{{6, 8}, {60, 8}, {330, 44}} {
		t.Run(fmt.Sprint(fleet.daemons), func(t *testing.T) {
			if testing.Short() && fleet.daemons > 100 {
				t.Skip("large fleet")
			}
			n := fleet.engines
			without, with := rampSim{
				engines: n, initial: n - 1, daemons: fleet.daemons, perSecond: 7 * n, prefixes: 8 * n, affected: []int{n - 1},
				steps: []rampSimStep{{rampSimEvent, func(s *rampSimState) {
					s.listed = n
					s.restart(n-1, 10*time.Second)
					s.list()
				}}},
			}.compare(t)
			assert.Assert(t, without.late >= 50, "the load is too low for a comparison")
			assert.Assert(t, 2*with.late < without.late)
			assert.Assert(t, 2*with.early < without.early)
			assert.Assert(t, with.p99 < without.p99)
			assert.Assert(t, with.peak < simSlots+rampSimQueue)
			assert.Assert(t, with.refused <= max(without.refused, 20))
			assert.Assert(t, with.rest > 0, "the engine was left idle")
		})
	}
}

// Guards against a ramp-up that is worse than none while daemons do not hear of each other's
// load reports: at a new engine that is 5 times as slow as usual for 10 s, and at one that is
// fast at once.
func TestRampUpWithoutPeers(t *testing.T) {
	for _, slow := range []time.Duration{10 * time.Second, 0} {
		without, with := rampSim{
			engines: 8, initial: 7, daemons: 20, perSecond: 55, prefixes: 60, affected: []int{7}, alone: true,
			steps: []rampSimStep{{rampSimEvent, func(s *rampSimState) {
				s.listed = 8
				s.restart(7, slow)
				s.list()
			}}},
		}.compare(t)
		assert.Assert(t, with.late <= without.late+with.all/200)
		assert.Assert(t, 2*with.early < without.early)
		assert.Assert(t, with.rest > 0)
		if slow == 0 {
			// Guards against leaving an upstream idle that is well.
			// Silence alone raises the share from startingShare to 1 in 14 s.
			t.Run("half_of_usual_requests", func(t *testing.T) {
				assert.Assert(t, with.rest > 0.5*without.rest, "%.0f of %.0f requests", with.rest, without.rest)
			})
		}
	}
}

// Guards against a pick that fails, or a share outside its bounds, after any sequence of
// results, reports and changes of the list: a request gets an upstream whenever it would get
// one without ramp-ups.
func TestRampUpPicksWheneverEligible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := engines(5)
		entries[0].SlowStart = time.Second
		b := newBalancer(entries)
		now := start
		var open []*Reservation
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				q := review(uint64(rapid.IntRange(1, 9).Draw(t, "shared")), uint64(i+100))
				for _, e := range entries {
					if rapid.IntRange(0, 3).Draw(t, "tried") == 0 {
						q.Tried = append(q.Tried, e.ID)
					}
				}
				candidates := len(eligible(b.services["model"].upstreams, now, q.Tried))
				c, ok := b.Pick(now, q)
				assert.Equal(t, ok, candidates > 0)
				if ok {
					assert.Assert(t, c.HeldBack < candidates)
					assert.Assert(t, c.RampUp >= 0 && c.RampUp <= 1)
					open = append(open, c.Reservation())
				}
			case 2:
				if len(open) > 0 {
					open[0].FirstEvent(now)
					open[0].Progress(now, 5, time.Duration(rapid.IntRange(1, 2000).Draw(t, "gaps"))*time.Millisecond)
					open[0].Done(now, Result(rapid.IntRange(0, int(Abandoned)).Draw(t, "result")))
					open = open[1:]
				}
			case 3:
				u := rapid.SampledFrom(entries).Draw(t, "reporter")
				b.ObserveLoad(now, u.ID, Load{Running: rapid.IntRange(0, 64).Draw(t, "running"), Waiting: rapid.IntRange(0, 64).Draw(t, "waiting"), WorkTime: 100})
			case 4:
				u := b.upstreams[rapid.SampledFrom(entries).Draw(t, "peer").ID]
				b.MergeReports(map[uint32]LoadReport{u.hash32(): {Load{Running: rapid.IntRange(0, 64).Draw(t, "running")}, now}})
			case 5:
				j := rapid.IntRange(0, len(entries)-1).Draw(t, "entry")
				entries[j].State = rapid.SampledFrom([]inventory.State{inventory.Serving, inventory.Unlisted, inventory.Draining}).Draw(t, "state")
				entries[j].Incarnation += domain.Incarnation(rapid.IntRange(0, 1).Draw(t, "start"))
				entries[j].SlowStart = time.Duration(rapid.IntRange(0, 10).Draw(t, "slow")) * time.Second
				b.Update(now, entries, engineWithKV(400_000))
			}
			for _, u := range b.upstreams {
				if u.ramp.active(now) {
					assert.Assert(t, u.ramp.share >= startingShare && u.ramp.current() <= 1)
				}
			}
		}
	})
}

// Guards against leaving a new engine idle that is fast at once.
func TestRampUpFastStart(t *testing.T) {
	without, with := rampSim{
		engines: 8, initial: 7, daemons: 60, perSecond: 55, prefixes: 60, affected: []int{7},
		steps: []rampSimStep{{rampSimEvent, func(s *rampSimState) {
			s.listed = 8
			s.restart(7, 0)
			s.list()
		}}},
	}.compare(t)
	assert.Assert(t, with.rampUp > 0 && with.rampUp <= 10*time.Second)
	assert.Assert(t, with.rest > 0.6*without.rest)
	assert.Assert(t, with.late <= without.late+with.all/200)
	assert.Assert(t, with.p99 < without.p99*5/4)
	assert.Assert(t, with.refused <= without.refused+10)
}

// Guards against sending an engine all its earlier prompts at once, after it has crashed and
// started again 3 s later with an empty cache, slow for 2 s.
func TestRampUpRestartAfterCrash(t *testing.T) {
	without, with := rampSim{
		engines: 8, daemons: 60, perSecond: 55, prefixes: 60, affected: []int{3},
		steps: []rampSimStep{
			{rampSimEvent - 3*time.Second, func(s *rampSimState) { s.stop(3, false) }},
			{rampSimEvent, func(s *rampSimState) { s.restart(3, 2*time.Second); s.list() }},
		},
	}.compare(t)
	assert.Assert(t, without.late >= 100, "the load is too low for a comparison")
	assert.Assert(t, 4*with.late < without.late)
	assert.Assert(t, 2*with.early < without.early)
	assert.Assert(t, with.refused < without.refused)
	assert.Assert(t, with.rest > 0.5*without.rest)
	assert.Assert(t, with.rampUp <= 10*time.Second)
}

// Guards against repeated refusals by an engine that was slow for 6 s, refused requests and
// works off its queue, and against leaving it idle afterwards.
func TestRampUpRecoveryFromOverload(t *testing.T) {
	without, with := rampSim{
		engines: 8, daemons: 60, perSecond: 55, prefixes: 60, affected: []int{3},
		steps: []rampSimStep{{rampSimEvent - 4*time.Second, func(s *rampSimState) {
			s.sim[3].slowUntil, s.sim[3].slowdown = s.now.Add(6*time.Second), 8
		}}},
	}.compare(t)
	assert.Assert(t, without.refused >= 100, "the load is too low for a comparison")
	assert.Assert(t, 5*with.refused < 4*without.refused)
	assert.Assert(t, with.late <= without.late+with.all/200)
	assert.Assert(t, with.rest > 0.5*without.rest)
	assert.Assert(t, with.rampUp <= 12*time.Second)
}

// Guards against a ramp-up that overloads the remaining half of a pool when the other half is
// replaced at once by engines that are slow for 5 s.
func TestRampUpHalfReplaced(t *testing.T) {
	without, with := rampSim{
		engines: 8, daemons: 60, perSecond: 50, prefixes: 60, affected: []int{0, 1, 2, 3},
		steps: []rampSimStep{{rampSimEvent, func(s *rampSimState) {
			for i := range 4 {
				s.stop(i, false)
				s.restart(i, 5*time.Second)
			}
			s.list()
		}}},
	}.compare(t)
	assert.Assert(t, without.late >= 300, "the load is too low for a comparison")
	assert.Assert(t, 4*with.late < 3*without.late)
	assert.Assert(t, with.refused < without.refused)
	assert.Assert(t, with.p99 < without.p99)
	assert.Assert(t, with.rest > 0.4*without.rest)
}

// Guards against a slow return of a whole zone, 3 of 9 engines, that was cut off for 4 s and
// unlisted for 2 s, and whose engines are as fast and hold the same prompts as before.
func TestRampUpZoneReturns(t *testing.T) {
	without, with := rampSim{
		engines: 9, daemons: 60, perSecond: 55, prefixes: 60, affected: []int{0, 1, 2},
		steps: []rampSimStep{
			{rampSimEvent - 4*time.Second, func(s *rampSimState) {
				for i := range 3 {
					s.stop(i, true)
				}
			}},
			{rampSimEvent - 2*time.Second, func(s *rampSimState) {
				for i := range 3 {
					s.entries[i].State = inventory.Unlisted
				}
				s.list()
			}},
			{rampSimEvent, func(s *rampSimState) {
				for i := range 3 {
					s.down[i] = false
					s.entries[i].State = inventory.Serving
				}
				s.list()
			}},
		},
	}.compare(t)
	assert.Assert(t, with.rampUp > 0 && with.rampUp <= 12*time.Second)
	assert.Assert(t, with.rest > 0.7*without.rest)
	assert.Assert(t, with.late <= without.late+with.all/200)
	assert.Assert(t, with.p99 < without.p99*5/4)
	assert.Assert(t, with.refused <= without.refused+10)
}

// rampingUp returns a balancer whose last upstream has just started and announces a slow start.
func rampingUp(t *testing.T, n int) (*Balancer, []inventory.Entry) {
	t.Helper()
	entries := engines(n)
	b := newBalancer(entries[:n-1])
	r := mustPick(t, b, start, review(1, 1)).Reservation()
	r.ObserveLoad(start, Load{Running: 1, Slots: 64, WorkTime: 100})
	r.Done(start, OK)
	entries[n-1].SlowStart = 10 * time.Second
	b.Update(start, entries, engineWithKV(400_000))
	assert.Equal(t, b.RampingUp(start), 1)
	return b, entries
}

// Guards against a ramp-up where no upstream has announced a slow start or at a plain service,
// against one that ends with the announcement, and against an announced time that counts as a
// start of the upstream when it changes.
func TestRampUpEnabledBySlowStart(t *testing.T) {
	for _, kvTokens := range []int{400_000, 0} {
		entries := engines(6)
		b := New(Site{})
		update := func(n int) { b.Update(start, entries[:n], engineWithKV(kvTokens)) }
		update(3)
		r := mustPick(t, b, start, review(1, 1)).Reservation()
		r.ObserveLoad(start, Load{Running: 1, Slots: 64, WorkTime: 140})
		r.Done(start, OK)
		update(4)
		assert.Equal(t, b.RampingUp(start), 0)

		known := b.upstreams[entries[1].ID]
		state := *known
		for _, left := range []time.Duration{8 * time.Second, 4 * time.Second, 12 * time.Second, 0} {
			entries[1].SlowStart = left
			update(4)
			assert.Equal(t, b.upstreams[entries[1].ID], known)
			assert.Equal(t, known.SlowStart, left)
			assert.Equal(t, known.ramp, state.ramp)
			assert.Equal(t, known.joinedAt, state.joinedAt)
		}
		before := b.RampingUp(start)
		update(5)
		if kvTokens == 0 {
			assert.Equal(t, b.RampingUp(start), 0)
			continue
		}
		assert.Equal(t, b.RampingUp(start), before+1)

		entries[4].SlowStart = 5 * time.Second
		update(5)
		ramp := &b.upstreams[entries[4].ID].ramp
		ramp.observePace(start, 1)
		share := ramp.share
		entries[4].SlowStart = 4 * time.Second
		update(5)
		assert.Equal(t, b.upstreams[entries[4].ID].ramp.share, share)
	}
}

// Guards against a ramp-up that refuses a request: one that only a starting upstream can take
// goes there, however many it has.
func TestRampUpNeverRefuses(t *testing.T) {
	b, entries := rampingUp(t, 2)
	for i := range 200 {
		q := review(1, uint64(i+10))
		q.Tried = []domain.UpstreamID{entries[0].ID}
		c := mustPick(t, b, start, q)
		assert.Equal(t, c.Upstream.ID, entries[1].ID)
		assert.Equal(t, c.HeldBack, 0)
		assert.Equal(t, c.RampUp, startingShare)
	}
}

// Guards against a wait of more than heldBackCost at the other upstreams while a starting one
// is idle.
func TestRampUpYieldsToLongQueues(t *testing.T) {
	b, entries := rampingUp(t, 4)
	for _, e := range entries[:3] {
		b.ObserveLoad(start, e.ID, Load{Running: 64, Waiting: 60, Slots: 64})
	}
	b.ObserveLoad(start, entries[3].ID, Load{})
	for i := range 20 {
		c := mustPick(t, b, start, note(uint64(i+10)))
		assert.Equal(t, c.Upstream.ID, entries[3].ID)
		c.Reservation().Done(start, Abandoned)
	}
}

// Guards against a ramp-up that never ends when load reports and answers stop, or when the
// upstream stays slow.
func TestRampUpEndsWithoutReports(t *testing.T) {
	b, _ := rampingUp(t, 12)
	now := start
	for b.RampingUp(now) > 0 {
		now = now.Add(100 * time.Millisecond)
		assert.Assert(t, now.Sub(start) <= 16*time.Second)
		mustPick(t, b, now, review(uint64(now.UnixMilli())%40, uint64(now.UnixMilli()))).Reservation().Done(now, Abandoned)
	}
	var slow rampUp
	slow.start(start)
	for at := time.Duration(0); at < maxRampUp; at += 100 * time.Millisecond {
		slow.observePace(start.Add(at), 10)
		assert.Assert(t, slow.active(start.Add(at)) && slow.current() >= startingShare)
	}
	assert.Assert(t, !slow.active(start.Add(maxRampUp)))
}

// Guards against a ramp-up that goes on after the answers have shown the usual pace.
func TestRampUpEndsWithUsualAnswers(t *testing.T) {
	var r rampUp
	r.start(start)
	for range 4 {
		assert.Assert(t, r.active(start))
		r.observePace(start, 1)
	}
	assert.Assert(t, !r.active(start))
}

// Guards against a daemon that takes all upstreams for new ones after its own restart and so
// leaves them to the other daemons.
func TestRampUpAfterRestartOfDaemon(t *testing.T) {
	entries := engines(4)
	entries[0].SlowStart = time.Second
	b := newBalancer(entries)
	for i, e := range entries {
		b.ObserveLoad(start, e.ID, Load{Running: i, Slots: 64, WorkTime: 100})
	}
	assert.Equal(t, b.RampingUp(start), 0)
	for i := range 50 {
		c := mustPick(t, b, start, review(uint64(i), uint64(i+100)))
		assert.Equal(t, c.HeldBack, 0)
		c.Reservation().Done(start, OK)
	}
	entries[2].Incarnation++
	b.Update(start, entries, engineWithKV(400_000))
	assert.Equal(t, b.RampingUp(start), 1)
}

// Guards against a ramp-up after a lapse of all registrations in an outage of the platform,
// which would hold back every upstream.
func TestRampUpOfWholePoolHoldsNothingBack(t *testing.T) {
	b, entries := rampingUp(t, 6)
	for _, state := range []inventory.State{inventory.Unlisted, inventory.Serving} {
		for i := range entries {
			entries[i].State = state
		}
		b.Update(start, entries, engineWithKV(400_000))
	}
	assert.Equal(t, b.RampingUp(start), 6)
	for i := range 50 {
		assert.Equal(t, mustPick(t, b, start, review(uint64(i), uint64(i+100))).HeldBack, 0)
	}
}

// Guards against requests at the usual rate right after an ejection, and against a ramp-up
// for a service whose upstreams announce no slow start, also if they report four figures.
func TestRampUpAfterRefusal(t *testing.T) {
	for _, slowStart := range []time.Duration{0, time.Second} {
		entries := engines(4)
		entries[3].SlowStart = slowStart
		b := newBalancer(entries)
		for range 2 {
			r := mustPick(t, b, start, review(1, 1)).Reservation()
			r.ObserveLoad(start, Load{Running: 1, Slots: 64, WorkTime: 100})
			r.Done(start, OK)
		}
		first := mustPick(t, b, start, review(1, 2))
		first.Reservation().Done(start, Refused)
		now := start.Add(reportMaxAge)
		chosen := 0
		for i := range 100 {
			c := mustPick(t, b, now, review(1, uint64(i+100)))
			if c.Upstream.ID == first.Upstream.ID {
				chosen++
			}
			c.Reservation().Done(now, Abandoned)
		}
		if slowStart == 0 {
			assert.Equal(t, b.RampingUp(now), 0)
			assert.Equal(t, chosen, 100)
		} else {
			assert.Equal(t, b.RampingUp(now), 1)
			assert.Assert(t, chosen > 10 && chosen < 60, "%d of 100", chosen)
		}
	}
}
