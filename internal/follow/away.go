package follow

import (
	"context"
	"errors"
	"time"

	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	// silentTime is how long the platform may say nothing before it counts as
	// away. It answers a page within some milliseconds, and within 0.35 s where it
	// is slow.
	silentTime = 800 * time.Millisecond
	// refusedTime is how long it may refuse to give any part of the table. After
	// a common start all daemons read at its rate limit for some seconds, and it
	// would be no help to read from each other instead.
	refusedTime = 5 * time.Second
)

// Unavailable reports whether the platform has told nothing of the table and does not
// seem to: it can't be reached, is silent, or turns this daemon away.
func (f *Follower) Unavailable(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.copy.AsOf > 0 {
		return false
	}
	return f.unreached || now.Sub(f.heardAt) >= silentTime || now.Sub(f.pageAt) >= refusedTime
}

// noted tells a follower of the platform's answers.
type noted struct {
	Reader
	f *Follower
}

func (n noted) ReadPage(ctx context.Context, from string) (Page, error) {
	page, err := n.Reader.ReadPage(ctx, from)
	now := time.Now()
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	if err == nil {
		n.f.pageAt = now
	}
	if err == nil || errors.Is(err, ports.ErrThrottled) {
		n.f.heardAt = now
	}
	return page, err
}
