package edge

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// Guards against a daemon that goes on with a delegation or an open call from before a
// pause, because the clock of its timers stood still while the VM was suspended; and
// against one that takes a busy machine for a pause.
func TestSuspendedVMIsNoticed(t *testing.T) {
	for suspended, noticed := range map[time.Duration]int64{
		0: 0, time.Second: 0, 3 * time.Second: 1, 10 * time.Second: 1, 40 * time.Second: 1,
	} {
		virtualtime.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			started := time.Now()
			var extra atomic.Int64 // time that the steady clock does not count
			clock := func() time.Duration { return time.Since(started) + time.Duration(extra.Load()) }
			var resumed atomic.Int64
			e := &Edge{deps: Deps{Log: telemetry.NopLog()}}
			done := make(chan error, 1)
			go func() { done <- e.watchPauses(ctx, clock, func() { resumed.Add(1) }) }()
			time.Sleep(5 * time.Second)
			extra.Store(int64(suspended))
			time.Sleep(600 * time.Millisecond)
			assert.Check(t, resumed.Load() == noticed, "suspended for %s", suspended)
			time.Sleep(5 * time.Second)
			assert.Check(t, resumed.Load() == noticed, "suspended for %s", suspended)
			cancel()
			assert.NilError(t, <-done)
		})
	}
}
