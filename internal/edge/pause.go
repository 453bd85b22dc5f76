package edge

import (
	"context"
	"time"

	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// pauseCheckInterval is how often the daemon checks whether it was paused.
	pauseCheckInterval = 500 * time.Millisecond
	// minPause is the shortest pause that counts: delegations and open calls tolerate
	// shorter ones.
	minPause = 1500 * time.Millisecond
)

// watchPauses calls resumed after the process or its VM was paused. What the daemon
// knew before may have been revoked meanwhile, while its timers still have time left.
func (e *Edge) watchPauses(ctx context.Context, clock func() time.Duration, resumed func()) error {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	last := clock()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := clock()
			if pause := now - last - pauseCheckInterval; pause >= minPause {
				e.deps.Log.Event(telemetry.ProcessPaused).Int64("paused_ms", pause.Milliseconds()).Send()
				resumed()
			}
			last = now
		}
	}
}
