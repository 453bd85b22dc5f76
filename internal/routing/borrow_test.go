package routing

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// The daemons that share an upstream decide on the same load report. Guards
// against each of them borrowing the last free slot, and against an overload
// that lasts because each daemon reuses its borrowed slots.
func TestDaemonsTogetherBorrowTheFreeSlots(t *testing.T) {
	const daemons = 8
	now := time.Unix(1_000_000, 0)
	p := &policy.Policy{Upstreams: []policy.Upstream{{ID: "u", Slots: 6}}}
	var states []*State
	for i := range daemons {
		site := Site{Daemon: domain.DaemonID("d" + strconv.Itoa(i)), Sharers: map[domain.UpstreamID]int{"u": daemons}}
		states = append(states, NewTable(now, nil, p, site).State("u"))
	}
	meanBorrowed := func(running, inFlight int) float64 {
		sum := int64(0)
		for i := range 500 {
			taken := now.Add(time.Duration(i) * time.Second)
			for _, s := range states {
				s.inFlight.Store(int64(inFlight))
				s.Report(taken, ports.LoadReport{Taken: taken, Slots: 6, Running: running}, daemons)
				sum += s.limit(taken, 0) - int64(inFlight)
			}
		}
		return float64(sum) / 500
	}
	twoFree, fourFree := meanBorrowed(4, 0), meanBorrowed(2, 0)
	assert.Assert(t, twoFree > 0.5 && twoFree < 1.5, "of 2 free slots, %.2f were borrowed", twoFree)
	assert.Assert(t, fourFree > 2.5 && fourFree < 3.5, "of 4 free slots, %.2f were borrowed", fourFree)
	assert.Equal(t, meanBorrowed(6, 0), 0.0)
	assert.Equal(t, meanBorrowed(16, 2), -16.0, "16 requests in flight on 6 slots")
}

// Guards against shares that add up to more slots than an upstream has, and
// against a remainder that always goes to the same daemons, so that others have
// no slots.
func TestSlotSharesAddUpToTheSlots(t *testing.T) {
	const daemons, upstreams = 8, 12
	totals := map[int]int{}
	for index := range upstreams {
		sum := 0
		for rank := range daemons {
			n := slotShare(6, daemons, rank, index)
			totals[rank] += n
			sum += n
		}
		assert.Equal(t, sum, 6)
	}
	for rank := range daemons {
		assert.Equal(t, totals[rank], 6*upstreams/daemons)
	}
}

// Guards against remote daemons that borrow as many of a region's free slots as
// local ones, and against weights by which the daemons together borrow more
// slots than are free.
func TestLocalDaemonsBorrowMore(t *testing.T) {
	local, remote := borrowDivisor(8, 3, false), borrowDivisor(8, 3, true)
	assert.Assert(t, remote >= 3*local, "local %d, remote %d", local, remote)
	borrowed := 3/float64(local) + 5/float64(remote)
	assert.Assert(t, borrowed > 0.8 && borrowed <= 1, "%.2f of the free slots", borrowed)
	assert.Equal(t, borrowDivisor(8, 0, true), 8)
}

// Guards against requests that try one upstream after the other of a region that
// is cut off, against excluding a whole region because one of its upstreams
// failed, and against attempts at a region whose load reports have stopped.
func TestUnreachableRegionIsExcluded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := &policy.Policy{Upstreams: []policy.Upstream{
		{ID: "a", Region: "far", Slots: 9},
		{ID: "b", Region: "far", Slots: 9},
		{ID: "c", Region: "far", Slots: 9},
		{ID: "d", Region: "home", Slots: 9},
	}}
	table := NewTable(now, nil, p, Site{Region: "home"})
	fail := func(i int) {
		state := table.Members()[i].State
		state.Acquire(now, 9, 1, 0).Release(now, ResultFailed)
	}
	check := func(i int) Reason {
		return HealthFilter{}.Check(&Query{Now: now, Table: table}, table.Members()[i])
	}
	fail(0)
	fail(0)
	fail(3)
	assert.Equal(t, check(2), Keep)
	fail(1)
	assert.Equal(t, check(2), ReasonLinkDown)
	assert.Equal(t, check(3), Keep)
	table = NewTable(now, table, p, table.Site)
	assert.Equal(t, check(2), ReasonLinkDown, "a new configuration reset the state of the link")
	now = now.Add(linkHoldDown)
	assert.Equal(t, check(2), Keep)

	table.Members()[0].Report(now, ports.LoadReport{Taken: now, Slots: 9})
	now = now.Add(linkReportTimeout)
	assert.Equal(t, check(2), Keep)
	now = now.Add(time.Millisecond)
	assert.Equal(t, check(2), ReasonLinkDown, "load reports stopped")
	table.Members()[1].Report(now, ports.LoadReport{Taken: now, Slots: 9})
	assert.Equal(t, check(2), Keep)
}

// Guards against lower tiers that borrow the last free slots, so that urgent
// requests must preempt, and against requests that go to another region before
// they have waited for a local slot as long as the remote penalty.
func TestNonPreemptingTiersBorrowLessAndWaitForLocalSlots(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := &policy.Policy{Upstreams: []policy.Upstream{
		{ID: "a", Region: "home", Slots: 2}, {ID: "b", Region: "far", Slots: 2},
	}}
	site := Site{Region: "home", Sharers: map[domain.UpstreamID]int{"a": 3, "b": 3}, Ranks: map[domain.UpstreamID]int{"a": 2, "b": 2}}
	table := NewTable(now, nil, p, site)
	low := &policy.Route{Tier: &policy.Tier{Rank: 1}, Level: &policy.ServiceLevel{RemotePenalty: time.Second}}
	high := &policy.Route{Tier: &policy.Tier{Preempts: true}, Level: low.Level}
	check := func(f Filter, i int, route *policy.Route, waited time.Duration) Reason {
		q := &Query{Request: &Request{Route: route, WaitingSince: now.Add(-waited)}, Now: now, Table: table}
		return f.Check(q, table.Members()[i])
	}
	table.Members()[0].State.Report(now, ports.LoadReport{Taken: now, Slots: 2}, 1)
	assert.Equal(t, check(SlotFilter{}, 0, high, 0), Keep)
	assert.Equal(t, check(SlotFilter{}, 0, low, 0), ReasonNoSlot)

	assert.Equal(t, check(RemoteFilter{}, 1, high, 0), Keep)
	assert.Equal(t, check(RemoteFilter{}, 1, low, 0), ReasonRemote)
	assert.Equal(t, check(RemoteFilter{}, 1, low, time.Second), Keep)
	assert.Equal(t, check(RemoteFilter{}, 0, low, 0), Keep)
}
