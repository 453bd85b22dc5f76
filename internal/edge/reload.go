package edge

import (
	"context"
	"reflect"
	"syscall"
	"time"

	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// settingsInterval is how often the settings file is reread. It may change without
// a signal.
const settingsInterval = 5 * time.Second

// watchSettings rereads the settings after SIGHUP and at intervals.
func (e *Edge) watchSettings(ctx context.Context) error {
	signals, restore := notifySignals(syscall.SIGHUP)
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

// reload applies changed settings. Changed addresses take effect after a restart.
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
		e.applyLimits(next)
		e.handler.Retries.SetRatio(next.RetryRatio)
		e.state.setRemovalGrace(removalGrace(next))
		e.settings.Store(next)
	}
	if changed || cause == "signal" {
		e.deps.Log.Event(telemetry.SettingsReloaded).Str("cause", cause).Bool("changed", changed).Send()
	}
}
