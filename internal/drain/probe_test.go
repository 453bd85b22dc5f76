package drain

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// Guards against a leave that two daemons of a region block which ended at
// once, and against one that is accepted over the head of daemons behind a
// partition because some of them have ended.
func TestEndedProcessesOfARegion(t *testing.T) {
	for _, c := range []struct {
		name       string
		cut, ended []int
		accepted   bool
	}{
		{"two of three ended", []int{1, 2}, []int{1, 2}, true},
		{"whole region ended", []int{1, 2, 3}, []int{1, 2, 3}, true},
		{"one cut off and one ended", []int{1, 2}, []int{1}, true},
		{"two cut off and one ended", []int{1, 2, 3}, []int{1}, false},
	} {
		w := newWorld(t, 4, 2, false)
		for _, n := range w.nodes[1:] {
			n.region = "b"
		}
		w.roster(w.nodes)
		w.run(2 * time.Second)
		for _, i := range c.cut {
			w.isolate(w.nodes[i])
		}
		for _, i := range c.ended {
			w.nodes[i].ended = true
		}
		left := slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.cut })
		w.leave(left[0], "u00")
		w.run(2 * time.Second)
		assert.Assert(t, w.targets["u00"].accepted.IsZero(), "%s: accepted before the leases ended", c.name)
		w.roster(left)
		w.run(2 * probeInterval)
		assert.Equal(t, !w.targets["u00"].accepted.IsZero(), c.accepted, c.name)
		assert.Equal(t, w.targets["u00"].late, 0, c.name)
	}
}

// Guards against a daemon that counts as stopped because an earlier run of it
// has ended, and against questions at each tick.
func TestProbesOneRun(t *testing.T) {
	w := newWorld(t, 2, 1, false)
	ctl := w.nodes[0].ctl
	member := ports.Member{Daemon: "d01", Incarnation: 1, Address: "d01"}
	ctl.Handle(w.now, ProbeResult{Member: member, Refused: true})
	later := &participant{member: ports.Member{Daemon: "d01", Incarnation: 2, Address: "d01"}, ended: true}
	assert.Assert(t, !ctl.replaced(later))

	d := &drain{owned: true, participants: map[domain.DaemonID]*participant{"d01": later}}
	probes := func(at time.Time) int {
		ctl.actions = nil
		ctl.probeSilent(at, d)
		return len(ctl.actions)
	}
	assert.Equal(t, probes(w.now), 1)
	assert.Equal(t, probes(w.now.Add(probeInterval-time.Millisecond)), 0)
	assert.Equal(t, probes(w.now.Add(probeInterval)), 1)
}
