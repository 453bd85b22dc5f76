package peers

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against daemons that derive different groups from the same list, and
// against a group without exactly one top-ranked reader.
func TestGroupsAreConsistent(t *testing.T) {
	for _, n := range []int{1, 3, 4, 16, 17, 55} {
		var zone []string
		for i := range n {
			zone = append(zone, fmt.Sprintf("10.0.0.%d:7340", i))
		}
		for _, self := range zone {
			g := newGroup(self, append([]string(nil), zone...))
			assert.Assert(t, len(g.dependents)+len(g.readers) < groupSize)
			if n < minGroup {
				assert.Equal(t, len(g.dependents)+len(g.readers), 0)
			}
		}
		topRanked := 0
		for _, self := range zone {
			g := newGroup(self, append([]string(nil), zone...))
			if len(g.readers) == 0 {
				topRanked++
			}
			for _, address := range g.dependents {
				assert.Assert(t, newGroup(address, append([]string(nil), zone...)).readers[self])
			}
		}
		if n >= minGroup {
			assert.Equal(t, topRanked, (n+groupSize-1)/groupSize)
		}
	}
	assert.Equal(t, len(newGroup("absent", []string{"a", "b", "c", "d"}).readers), 0)
}
