package peers

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against daemons that derive different groups from the same list, against a
// zone without exactly one top-ranked reader, against daemons that depend on more or
// pass on to more others than two groups, and against one that no announcement of the
// top-ranked reader reaches or that many copies of it reach: a storm of datagrams.
func TestGroupsAreConsistent(t *testing.T) {
	for _, n := range []int{1, 3, 4, 16, 17, 55, 256, 300} {
		var zone []string
		for i := range n {
			zone = append(zone, fmt.Sprintf("10.0.%d.%d:7340", i/200, i%200))
		}
		groups := make(map[string]group, n)
		for _, self := range zone {
			groups[self] = newGroup(self, append([]string(nil), zone...))
		}
		top := make(map[string]bool)
		for self, g := range groups {
			assert.Assert(t, len(g.dependents) < 2*groupSize)
			assert.Assert(t, len(g.readers) < 2*groupSize)
			if len(g.readers) == 0 {
				top[self] = true
			}
			for _, address := range g.dependents {
				assert.Assert(t, groups[address].readers[self])
				assert.Assert(t, Hash(self) < Hash(address), "a reader has the higher hash")
			}
			for address := range g.readers {
				assert.Assert(t, Hash(address) < Hash(self))
			}
		}
		if n < minGroup {
			assert.Equal(t, len(top), n)
			continue
		}
		// Above groupSize groups, the daemons that read for them have several groups.
		tops := ((n+groupSize-1)/groupSize + groupSize - 1) / groupSize
		assert.Equal(t, len(top), tops, "zone of %d", n)
		// An announcement goes to the dependents, and the highest-ranked ones pass it on.
		received := make(map[string]int)
		for self := range top {
			received[self]++
			for _, address := range groups[self].dependents {
				received[address]++
				for _, member := range groups[address].members {
					received[member]++
				}
			}
		}
		assert.Equal(t, len(received), n)
		for address, times := range received {
			assert.Equal(t, times, 1, "%s gets an announcement %d times", address, times)
		}
	}
	assert.Equal(t, len(newGroup("absent", []string{"a", "b", "c", "d"}).readers), 0)
}

// Guards against daemons with different lists of their zone that rely on each other, so
// that none of them reads the platform.
func TestReadersRankHigherWhateverTheList(t *testing.T) {
	var zone []string
	for i := range 60 {
		zone = append(zone, fmt.Sprintf("10.0.0.%d:7340", i))
	}
	for known := minGroup; known <= len(zone); known++ {
		for _, self := range zone[:known] {
			for address := range newGroup(self, append([]string(nil), zone[:known]...)).readers {
				assert.Assert(t, Hash(address) < Hash(self))
			}
		}
	}
}
