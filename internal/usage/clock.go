package usage

import "time"

const (
	// maxFollowedStep is the largest difference between the wall clock and the boot clock
	// that is followed at once. It covers the corrections of a time daemon.
	maxFollowedStep = 500 * time.Millisecond
	// stepHoldTime is how long a larger step has to last before it is followed: most steps
	// go back.
	stepHoldTime = 30 * time.Second
)

// Clock is a wall clock without short steps. The zero value follows the first reading. It
// is not safe for concurrent use.
type Clock struct {
	set bool
	// offset is the wall clock minus the boot clock, in nanoseconds.
	offset int64
	// stepped is the offset since a step at steppedAt that is not followed yet.
	stepped   int64
	steppedAt time.Duration
	stepping  bool
}

// Now returns the filtered time for a reading of the wall clock and of the time since the
// VM's start, which has to include the time for which the VM was suspended.
func (c *Clock) Now(wall time.Time, boot time.Duration) time.Time {
	offset := wall.UnixNano() - int64(boot)
	switch {
	case !c.set || within(offset, c.offset):
		c.set, c.offset, c.stepping = true, offset, false
	case !c.stepping || !within(offset, c.stepped):
		c.stepping, c.stepped, c.steppedAt = true, offset, boot
	case boot-c.steppedAt >= stepHoldTime:
		c.offset, c.stepping = offset, false
	}
	return time.Unix(0, int64(boot)+c.offset)
}

// Step returns the step that is not followed yet, or zero.
func (c *Clock) Step() time.Duration {
	if !c.stepping {
		return 0
	}
	return time.Duration(c.stepped - c.offset)
}

func within(a, b int64) bool { return time.Duration(a-b).Abs() <= maxFollowedStep }
