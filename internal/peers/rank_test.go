package peers

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against daemons that form different groups, and against a daemon for
// which nobody or two may read.
func TestGroups(t *testing.T) {
	for _, n := range []int{1, 3, 4, 16, 17, 55} {
		var zone []string
		for i := range n {
			zone = append(zone, fmt.Sprintf("10.0.0.%d:7340", i))
		}
		for _, self := range zone {
			g := newGroup(self, append([]string(nil), zone...))
			assert.Assert(t, len(g.behind)+len(g.better) < groupSize)
			if n < minGroup {
				assert.Equal(t, len(g.behind)+len(g.better), 0)
			}
		}
		best := 0
		for _, self := range zone {
			g := newGroup(self, append([]string(nil), zone...))
			if len(g.better) == 0 {
				best++
			}
			for _, address := range g.behind {
				assert.Assert(t, newGroup(address, append([]string(nil), zone...)).better[self])
			}
		}
		if n >= minGroup {
			assert.Equal(t, best, (n+groupSize-1)/groupSize)
		}
	}
	assert.Equal(t, len(newGroup("absent", []string{"a", "b", "c", "d"}).better), 0)
}
