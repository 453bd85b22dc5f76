package placement

import "time"

// storeBurst is how many seconds of the weight store's rate may be used at
// once.
const storeBurst = 10

// store accounts for the weight store's rate limit.
type store struct {
	bytesPerSecond float64
	loads          int
	// debt is the bytes that were granted and not yet paid by time.
	debt float64
	at   time.Time
}

// allow reports whether a load may start while the given number of loads is
// running, and accounts for it. A load larger than the burst may start when
// nothing is owed.
func (s *store) allow(now time.Time, bytes int64, running int) bool {
	if s.loads > 0 && running >= s.loads {
		return false
	}
	if s.bytesPerSecond == 0 {
		return true
	}
	if !s.at.IsZero() {
		s.debt = max(0, s.debt-now.Sub(s.at).Seconds()*s.bytesPerSecond)
	}
	s.at = now
	if s.debt > 0 && s.debt+float64(bytes) > storeBurst*s.bytesPerSecond {
		return false
	}
	s.debt += float64(bytes)
	return true
}
