package usage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a clock that follows a step that goes back, or never follows one that
// stays, and against one that a suspended VM delays.
func TestClockFollowsOnlyLastingSteps(t *testing.T) {
	at := func(c *Clock, boot, step time.Duration) time.Duration {
		return c.Now(simStart.Add(boot+step), boot).Sub(simStart) - boot
	}
	for _, step := range []time.Duration{3 * time.Second, -3 * time.Second} {
		var c Clock
		assert.Equal(t, at(&c, 0, 0), time.Duration(0))
		assert.Equal(t, at(&c, time.Second, 200*time.Millisecond), 200*time.Millisecond, "a small correction is followed")
		for boot := 2 * time.Second; boot < 30*time.Second; boot += time.Second {
			assert.Equal(t, at(&c, boot, step), 200*time.Millisecond)
		}
		assert.Assert(t, c.Step() != 0)
		assert.Equal(t, at(&c, 31*time.Second, 0), time.Duration(0), "the step has gone back")
		assert.Equal(t, c.Step(), time.Duration(0))
		// A step to and fro does not add up to a lasting one.
		assert.Equal(t, at(&c, 40*time.Second, step), time.Duration(0))
		assert.Equal(t, at(&c, 50*time.Second, 2*step), time.Duration(0))
		assert.Equal(t, at(&c, 75*time.Second, 2*step), time.Duration(0))
		assert.Equal(t, at(&c, 80*time.Second, 2*step), 2*step)
		assert.Equal(t, c.Step(), time.Duration(0))
		// Both clocks count a suspension of ten minutes.
		assert.Equal(t, at(&c, 11*time.Minute, 2*step), 2*step)
	}
}
