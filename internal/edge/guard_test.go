package edge

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/connlimit"
)

// Guards against shares of memory that together exceed the garbage collector's soft
// limit, and against connections or headers that exceed their shares, on the VMs of the
// deployments.
func TestMemoryShares(t *testing.T) {
	assert.Assert(t, bodyMemoryShare+responseMemoryShare+headerMemoryShare+connectionMemoryShare <= gcMemoryShare+1e-9)
	for _, memoryMB := range []int64{112, 256, 536} {
		for _, descriptors := range []int{2870, 8192} {
			memory := memoryMB << 20
			l := connLimits(&Settings{MemoryBytes: memory, FileDescriptors: descriptors})
			connections := 0
			for _, n := range l.Connections {
				assert.Assert(t, n > 0)
				connections += n
			}
			assert.Assert(t, float64(connections*connlimit.ConnectionCost) <= connectionMemoryShare*float64(memory), "%d connections at %d MB", connections, memoryMB)
			assert.Assert(t, float64(l.HeaderBytes) <= headerMemoryShare*float64(memory), "%d bytes at %d MB", l.HeaderBytes, memoryMB)
			assert.Assert(t, l.HeaderBytes >= connlimit.MaxCost(maxHeaderBytes))
			assert.Assert(t, l.Connections[groupCallers] <= descriptors/2)
			t.Logf("%d MB, %d descriptors: %d callers, %d bytes for headers", memoryMB, descriptors, l.Connections[groupCallers], l.HeaderBytes)
		}
	}
}
