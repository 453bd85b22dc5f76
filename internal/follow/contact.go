package follow

import (
	"sync"
	"time"
)

// returnWindow is how long further returns count as the same one. Daemons notice
// the end of an outage at different moments, and each return makes all of them
// repeat their open calls.
const returnWindow = 3 * time.Second

// Contact records whether the platform responds to a daemon, whatever table was
// read. When the platform returns after an outage, calls that were open during it
// may never get a response: Returned tells their callers to repeat them.
type Contact struct {
	mu         sync.Mutex
	failing    bool
	returnedAt time.Time
	returned   chan struct{}
	// longCall is set while a call with a long timeout is open.
	longCall bool
}

// NewContact returns a Contact without failures.
func NewContact() *Contact { return &Contact{returned: make(chan struct{})} }

// Responded records that the platform responded to a call. It counts as the
// platform's return if a call failed before.
func (c *Contact) Responded(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failing {
		c.failing = false
		c.recordReturn(now)
	}
}

// Failed records that a call got no response, or one that shows that the platform
// is unavailable.
func (c *Contact) Failed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failing = true
}

// ReportReturn records that the platform returned at the given time according to
// another daemon. It reports whether that return was unknown.
func (c *Contact) ReportReturn(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recordReturn(at)
}

// recordReturn records a return unless it belongs to the last one. The caller
// holds mu.
func (c *Contact) recordReturn(at time.Time) bool {
	if !c.returnedAt.IsZero() && at.Sub(c.returnedAt) < returnWindow {
		return false
	}
	c.returnedAt = at
	close(c.returned)
	c.returned = make(chan struct{})
	return true
}

// ReturnedAt returns when the platform last returned, or zero if it never did.
func (c *Contact) ReturnedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.returnedAt
}

// Returned returns a channel that is closed at the platform's next return.
func (c *Contact) Returned() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.returned
}

// untilRepeat returns how long to wait until a call is repeated that is due a delay
// after the platform's last return. A daemon that learns of the return late does not
// wait for longer than the others.
func (c *Contact) untilRepeat(delay time.Duration) time.Duration {
	return max(time.Until(c.ReturnedAt().Add(delay)), 0)
}

// beginLongCall reports whether a call may have a long timeout. Only one of the daemon's
// calls has one at a time, so that another one soon notices the platform's return.
func (c *Contact) beginLongCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.longCall {
		return false
	}
	c.longCall = true
	return true
}

// endLongCall lets another call have a long timeout.
func (c *Contact) endLongCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.longCall = false
}
