package origin

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
)

var onlyNew = map[string][]string{service: {"new"}}

// Guards against a process that started after a release and takes the version that it
// lists for the only one that ever was in service, when it can't read the rows of others.
func TestStartedAfterRelease(t *testing.T) {
	for _, heard := range []time.Duration{0, time.Second, time.Minute} {
		for _, connected := range []bool{true, false} {
			t.Run(fmt.Sprint("after ", heard, " connected ", connected), func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) {
					table := newMemoryTable()
					a := startProcess(t, table, "a", mixed)
					defer a.kill()
					a.begin("1", "old")
					time.Sleep(time.Second)
					a.Observe(time.Now(), onlyNew)
					// With heard = 0 the platform is away before the process has read the rows.
					table.setAway(heard == 0)
					b := startProcess(t, table, "b", onlyNew)
					defer b.kill()
					time.Sleep(heard)
					table.setAway(true)
					if heard < 15*time.Second {
						a.begin("2", "old")
					}
					if connected {
						connect(t, a, b)
					}
					time.Sleep(time.Second)
					for _, id := range []string{"1", "2"} {
						want := "old"
						if !connected || heard >= 15*time.Second {
							want = "unknown" // or forgotten: callers wait for 15 s
						}
						assert.Equal(t, b.resolve(t, id), want, "stream %s", id)
					}
				})
			})
		}
	}
}

// Guards against a process whose word is taken for that of the whole fleet when it reaches
// the smaller part of it only.
func TestSmallerPartOfFleetDecidesNothing(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		var fleet []*process
		for i := range 8 {
			p := startProcess(t, table, fmt.Sprint(i), onlyNew)
			defer p.kill()
			fleet = append(fleet, p)
		}
		connect(t, fleet...)
		// No process has read the rows for long enough, but one has.
		table.setAway(true)
		assert.Equal(t, fleet[0].resolve(t, "x"), "unknown")
		table.setAway(false)
		time.Sleep(2 * settleTime)
		table.setAway(true)
		assert.Equal(t, fleet[0].resolve(t, "x"), "new")
		for i := range 5 {
			fleet[7-i].cut.Store(true)
		}
		late := startProcess(t, table, "late", onlyNew)
		defer late.kill()
		connect(t, append([]*process{late}, fleet[:3]...)...)
		late.SetPeers([]string{fleet[0].o.Address, fleet[1].o.Address, fleet[2].o.Address}, nil, 9)
		assert.Equal(t, late.resolve(t, "x"), "unknown")
		late.SetPeers([]string{fleet[0].o.Address, fleet[1].o.Address, fleet[2].o.Address}, nil, 4)
		assert.Equal(t, late.resolve(t, "x"), "new")
	})
}

// Guards against a version that all have heard of but one, and against a service that is
// mixed for good because daemons repeat each other's word.
func TestReportedVersionsAreForgotten(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		a := startProcess(t, table, "a", mixed)
		defer a.kill()
		time.Sleep(time.Second)
		a.Observe(time.Now(), onlyNew)
		b := startProcess(t, table, "b", onlyNew)
		defer b.kill()
		time.Sleep(time.Second)
		b.begin("1", "new")
		assert.Equal(t, b.resolve(t, "x"), "unknown")
		time.Sleep(time.Second)
		b.kill()
		c := startProcess(t, table, "c", onlyNew)
		defer c.kill()
		assert.Equal(t, c.resolve(t, "1"), "new", "a daemon does not write down its streams of a service that others know to be mixed")
		time.Sleep(2*Memory + time.Second)
		assert.Equal(t, c.resolve(t, "x"), "new")
		assert.Equal(t, a.resolve(t, "x"), "new")
	})
}
