// Package memlimit bounds the memory that many users take together.
package memlimit

import "sync/atomic"

// Limit counts reserved bytes up to a limit. The zero value has no limit. It is safe for
// concurrent use and takes no lock.
type Limit struct {
	limit atomic.Int64 // zero means no limit
	used  atomic.Int64
}

// Set changes the limit, in bytes. Zero means no limit. What is reserved stays reserved.
func (l *Limit) Set(bytes int64) { l.limit.Store(bytes) }

// Reserve reserves n bytes. It reports whether they were available.
func (l *Limit) Reserve(n int64) bool {
	used := l.used.Add(n)
	if limit := l.limit.Load(); limit > 0 && used > limit {
		l.used.Add(-n)
		return false
	}
	return true
}

// Release returns n reserved bytes.
func (l *Limit) Release(n int64) { l.used.Add(-n) }

// Used returns the reserved bytes.
func (l *Limit) Used() int64 { return l.used.Load() }
