package bootclock

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a clock that stands still or goes backwards.
func TestNowGrows(t *testing.T) {
	first := Now()
	assert.Assert(t, first > 0)
	for range 1000 {
		next := Now()
		assert.Assert(t, next >= first)
		first = next
	}
}
