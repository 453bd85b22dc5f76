package memlimit

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against reservations beyond the limit, and against refused ones that stay
// counted, when many users reserve at once.
func TestLimitHoldsForAllUsersTogether(t *testing.T) {
	var l Limit
	l.Set(1000)
	var users sync.WaitGroup
	for range 50 {
		users.Go(func() {
			for range 1000 {
				if l.Reserve(70) {
					l.Release(70)
				}
			}
		})
	}
	users.Wait()
	assert.Equal(t, l.Used(), int64(0))
	assert.Assert(t, l.Reserve(1000))
	assert.Assert(t, !l.Reserve(1))
	assert.Equal(t, l.Used(), int64(1000))
	l.Set(0)
	assert.Assert(t, l.Reserve(1<<40))
}
