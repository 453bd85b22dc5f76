package connlimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/auburndyke/auburndyke/internal/connlimit"
)

var t0 = time.Unix(1_000_000, 0)

func open(t *testing.T, a *connlimit.Account, group int, at time.Duration) connlimit.ID {
	t.Helper()
	id, closed, ok := a.Open(group, t0.Add(at))
	assert.Assert(t, ok)
	assert.Equal(t, len(closed), 0)
	return id
}

func charge(t *testing.T, a *connlimit.Account, id connlimit.ID, cost int64) {
	t.Helper()
	closed, verdict := a.Charge(id, cost)
	assert.Equal(t, verdict, connlimit.Granted)
	assert.Equal(t, len(closed), 0)
}

// Guards against unfinished headers that exceed the account's memory, against closing
// small ones before large ones, and against closing requests in progress.
func TestHeaviestUnfinishedHeadersAreClosed(t *testing.T) {
	const kb = 1 << 10
	a := connlimit.NewAccount(connlimit.Limits{HeaderBytes: 1000 * kb})
	served, large, larger, small := open(t, a, 0, 0), open(t, a, 0, 1), open(t, a, 0, 2), open(t, a, 0, 3)
	charge(t, a, served, 500*kb)
	assert.Assert(t, a.Serve(served, t0))
	charge(t, a, large, 200*kb)
	charge(t, a, larger, 300*kb)

	closed, verdict := a.Charge(small, 100*kb)
	assert.Equal(t, verdict, connlimit.Wait)
	assert.DeepEqual(t, closed, []connlimit.ID{larger})
	assert.Assert(t, !a.Serve(larger, t0), "a request whose connection was closed runs")
	closed, verdict = a.Charge(small, 100*kb)
	assert.Equal(t, verdict, connlimit.Wait, "memory that is not free yet is given away")
	assert.Equal(t, len(closed), 0, "more connections than necessary are closed")
	a.Close(larger)
	charge(t, a, small, 100*kb)

	// The heaviest unfinished header closes no lighter one.
	closed, verdict = a.Charge(large, 900*kb)
	assert.Equal(t, verdict, connlimit.Refused)
	assert.DeepEqual(t, closed, []connlimit.ID{large})
	a.Close(large)
	// A usual header needs no reservation.
	charge(t, a, small, 500*kb)
	charge(t, a, open(t, a, 0, 4), connlimit.FreeCost)
}

// Guards against a full listener that refuses new callers while others hold connections
// without a request, and against closing idle connections first, whose callers may be
// about to use them.
func TestFullGroupClosesOldestWithoutRequest(t *testing.T) {
	a := connlimit.NewAccount(connlimit.Limits{Connections: []int{3, 1}})
	served, kept, fresh := open(t, a, 0, 0), open(t, a, 0, 1), open(t, a, 0, 2)
	open(t, a, 1, 0)
	assert.Assert(t, a.Serve(served, t0))
	assert.Assert(t, a.Serve(kept, t0))
	a.Idle(kept, t0)

	next, closed, ok := a.Open(0, t0.Add(4))
	assert.Assert(t, ok)
	assert.DeepEqual(t, closed, []connlimit.ID{fresh})
	assert.Assert(t, a.Serve(next, t0))
	last, closed, ok := a.Open(0, t0.Add(5))
	assert.Assert(t, ok)
	assert.DeepEqual(t, closed, []connlimit.ID{kept})
	assert.Assert(t, a.Serve(last, t0))
	_, _, ok = a.Open(0, t0.Add(6))
	assert.Assert(t, !ok)
	a.Close(served)
	_, _, ok = a.Open(0, t0.Add(7))
	assert.Assert(t, ok)
}

// Guards against an account that exceeds its limits or loses or keeps reservations in
// any order of events.
func TestAccountHoldsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, connections = 1 << 20, 8
		a := connlimit.NewAccount(connlimit.Limits{HeaderBytes: limit, Connections: []int{connections}})
		costs := map[connlimit.ID]int64{}
		closing, uncounted := map[connlimit.ID]bool{}, map[connlimit.ID]bool{}
		for i := range 200 {
			now := t0.Add(time.Duration(i))
			id := connlimit.ID(rapid.IntRange(1, 40).Draw(t, "id"))
			_, known := costs[id]
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				if opened, closed, ok := a.Open(0, now); ok {
					for _, other := range closed {
						closing[other], uncounted[other] = true, true
					}
					costs[opened] = 0
				}
			case 1:
				cost := max(costs[id], rapid.Int64Range(0, limit).Draw(t, "cost"))
				if !known {
					continue
				}
				closed, verdict := a.Charge(id, cost)
				for _, other := range closed {
					closing[other] = true
				}
				if verdict == connlimit.Granted {
					assert.Equal(t, len(closed), 0)
					costs[id] = cost
				}
			case 2:
				assert.Equal(t, a.Serve(id, now), known && !closing[id])
			case 3:
				a.Idle(id, now)
				if known && !closing[id] {
					costs[id] = 0
				}
			case 4:
				a.Read(id, now)
			case 5:
				a.Close(id)
				delete(costs, id)
				delete(uncounted, id)
			}
			var sum int64
			for _, cost := range costs {
				sum += max(cost-connlimit.FreeCost, 0)
			}
			assert.Equal(t, a.Reserved(), sum)
			assert.Assert(t, sum <= limit)
			assert.Equal(t, a.Connections(0), len(costs)-len(uncounted))
			assert.Assert(t, a.Connections(0) <= connections)
		}
	})
}
