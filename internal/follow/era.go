package follow

import (
	"sync"
	"time"
)

// Era is the latest era of the platform that any call of the daemon or any peer's copy has
// shown. Rows of the daemon's own that were written in an earlier era may be gone. It is
// safe for concurrent use.
type Era struct {
	mu      sync.Mutex
	number  uint64
	heardAt time.Time
	risen   chan struct{}
}

// NewEra returns an Era of 0, in which the platform has never been restored.
func NewEra() *Era { return &Era{risen: make(chan struct{})} }

// Observe records an era. Earlier ones than the latest are late answers.
func (e *Era) Observe(now time.Time, number uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if number <= e.number {
		return
	}
	e.number, e.heardAt = number, now
	close(e.risen)
	e.risen = make(chan struct{})
}

// Latest returns the latest era and when the daemon first heard of it. The time is zero if
// the platform has never been restored.
func (e *Era) Latest() (number uint64, heardAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.number, e.heardAt
}

// Risen returns a channel that is closed when a later era is heard of.
func (e *Era) Risen() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.risen
}
