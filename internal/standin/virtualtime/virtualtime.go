// Package virtualtime runs tests in virtual time, in bubbles of testing/synctest.
//
// Under the race detector a bubble runs on one processor. Go 1.26 runs all
// timers of a bubble in one context of the race detector, also when goroutines
// of the bubble run timers at the same time on several processors: a timer that
// is due when it starts, or a channel that is read at the moment of its tick.
// The detector then crashes with SIGSEGV. The order in which it sees memory
// accesses does not depend on the number of processors, so races are still
// found.
package virtualtime

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// Test runs f in a bubble. Tests that run in parallel may call it at the same
// time.
func Test(t *testing.T, f func(t *testing.T)) {
	if raceDetector {
		processors.limit()
		defer processors.restore()
	}
	synctest.Test(t, f)
}

var processors limiter

// limiter keeps the process at one processor while bubbles run.
type limiter struct {
	mu      sync.Mutex
	bubbles int
	before  int
}

func (l *limiter) limit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bubbles == 0 {
		l.before = runtime.GOMAXPROCS(1)
	}
	l.bubbles++
}

func (l *limiter) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bubbles--
	if l.bubbles == 0 {
		runtime.GOMAXPROCS(l.before)
	}
}
