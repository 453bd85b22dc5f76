package edge

import (
	"context"
	"reflect"
	"syscall"
	"time"

	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// settingsInterval is how often the settings are compared with their file,
// which may change without a signal.
const settingsInterval = 5 * time.Second

// watchSettings reads the settings again after SIGHUP and at intervals.
func (e *Edge) watchSettings(ctx context.Context) error {
	signals, restore := notify(syscall.SIGHUP)
	defer restore()
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			e.reload("signal")
		case <-ticker.C:
			e.reload("interval")
		}
	}
}

// reload applies changed settings. Addresses are used from the next start on.
func (e *Edge) reload(cause string) {
	if e.deps.ReadSettings == nil {
		return
	}
	next, err := e.deps.ReadSettings()
	if err != nil {
		e.deps.Log.Event(telemetry.SettingsRejected).Err(err).Str("cause", cause).Send()
		return
	}
	changed := !reflect.DeepEqual(next, e.settings.Load())
	if changed {
		e.limitMemory(next)
		e.handler.Retries.SetRatio(next.RetryRatio)
		e.state.setRemovalHold(removalHold(next))
		e.settings.Store(next)
	}
	if changed || cause == "signal" {
		e.deps.Log.Event(telemetry.SettingsReloaded).Str("cause", cause).Bool("changed", changed).Send()
	}
}
