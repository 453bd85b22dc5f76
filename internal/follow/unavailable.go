package follow

import "time"

const (
	// silenceTimeout is how long the platform may send no response before it
	// counts as unavailable. It returns a page within a few milliseconds, and
	// within 0.35 s where it is slow.
	silenceTimeout = 800 * time.Millisecond
	// throttleTimeout is how long the platform may return no page before it counts
	// as unavailable, even if it sends throttling responses. After a simultaneous
	// start all daemons read at its rate limit for some seconds, and reading from
	// each other instead would not help.
	throttleTimeout = 5 * time.Second
)

// Unavailable reports whether the table has not been read yet and the platform is not
// expected to return it soon: the last call to it failed other than by throttling,
// it sends no response, or it has returned no page for throttleTimeout.
func (f *Follower) Unavailable(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.copy.AsOf > 0 {
		return false
	}
	return f.unreachable || now.Sub(f.lastResponseAt) >= silenceTimeout || now.Sub(f.lastPageAt) >= throttleTimeout
}
