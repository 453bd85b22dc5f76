package usage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against copies that are sent again and again although they have arrived, against
// copies that go only to daemons that are gone, and against a daemon that lost its copies
// in a restart and does not get them again.
func TestCopiesFollowConfirmations(t *testing.T) {
	var c copies
	candidates := []string{"a", "b", "c"}
	totals := map[int64]int64{8: 3, 10: 5}
	total := func(w int64) int64 { return totals[w] }
	now := time.Duration(0)
	next := func() map[string][]int64 {
		now += copyInterval
		return c.next(now, candidates, 10, total)
	}
	assert.DeepEqual(t, next(), map[string][]int64{"a": {8, 10}, "b": {8, 10}})
	assert.Equal(t, len(c.next(now+copyInterval/2, candidates, 10, total)), 0, "copies are sent once a second")
	c.confirm("a", []Held{{Window: 8, Total: 3}, {Window: 10, Total: 5}})
	c.confirm("b", []Held{{Window: 8, Total: 2}, {Window: 10, Total: 5}})
	assert.DeepEqual(t, next(), map[string][]int64{"b": {8}})
	c.confirm("b", []Held{{Window: 8, Total: 3}, {Window: 10, Total: 5}})
	assert.Equal(t, len(next()), 0)
	totals[10] = 6
	assert.DeepEqual(t, next(), map[string][]int64{"a": {10}, "b": {10}})
	// b has restarted and holds the newest window only.
	c.confirm("a", []Held{{Window: 8, Total: 3}, {Window: 10, Total: 6}})
	c.confirm("b", []Held{{Window: 10, Total: 6}})
	assert.DeepEqual(t, next(), map[string][]int64{"b": {8}})
	c.confirm("b", []Held{{Window: 8, Total: 3}, {Window: 10, Total: 6}})
	// a is gone. c gets all windows, and a is tried again later.
	for range silentAfter {
		totals[10]++
		assert.DeepEqual(t, next(), map[string][]int64{"a": {10}, "b": {10}})
		c.confirm("b", []Held{{Window: 8, Total: 3}, {Window: 10, Total: totals[10]}})
	}
	assert.DeepEqual(t, next(), map[string][]int64{"c": {8, 10}})
	now += silentTime
	assert.DeepEqual(t, next(), map[string][]int64{"a": {8, 10}})
}

// Guards against a holder whose socket overflows because all daemons answer at once, and
// against a daemon that is asked rarely because others do not answer.
func TestQueriesAreSpread(t *testing.T) {
	var daemons []string
	for i := range 330 {
		daemons = append(daemons, string(rune('a'+i%26))+string(rune('a'+i/26)))
	}
	c := newCollection(0, 7, 0, 10*time.Second, daemons)
	none := func(Origin) int64 { return 0 }
	asked := make(map[string]int)
	now := time.Duration(0)
	for ; !c.done(now, none); now += queryTick {
		queries := c.next(now, none)
		assert.Assert(t, len(queries) <= 11)
		for _, q := range queries {
			asked[q.to]++
		}
	}
	assert.Equal(t, now, collectTime)
	for _, d := range daemons {
		assert.Assert(t, asked[d] >= 2, "%s was asked %d times", d, asked[d])
	}
}

// Guards against a collection that ends before the counts of a daemon are complete, or
// that waits although all are, and against one that asks nobody because its holder took
// over late.
func TestCollectionEndsWhenAllIsKnown(t *testing.T) {
	known := map[Origin]int64{}
	total := func(o Origin) int64 { return known[o] }
	c := newCollection(0, 7, 0, 10*time.Second, []string{"a", "b"})
	assert.Equal(t, len(c.next(0, total)), 2)
	c.answer("a", []Held{{Origin: 1, Window: 7, Total: 5}, {Origin: 3, Window: 7, Total: 2}})
	c.answer("b", nil)
	assert.Assert(t, !c.done(time.Second, total))
	assert.DeepEqual(t, c.next(time.Second, total)[0].wanted, []Origin{1, 3})
	known[1], known[3] = 5, 2
	assert.Assert(t, c.done(time.Second, total))
	late := newCollection(8*time.Second, 7, 0, 10*time.Second, []string{"a"})
	assert.Assert(t, len(late.next(8*time.Second, total)) == 1 && late.ends >= 8*time.Second)
	early := newCollection(4*time.Second, 7, 0, 10*time.Second, []string{"a"})
	assert.Equal(t, early.ends, 4*time.Second+collectTime)
}
