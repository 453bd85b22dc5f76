package edge

import (
	"cmp"
	"context"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// lameDuck is how long new requests are served after the signal to stop.
	// The balancer needs two failed probes, one second apart, to take the
	// daemon out.
	lameDuck = 2500 * time.Millisecond
	// stopMargin is kept between the end of the last request and StopBound.
	stopMargin = 300 * time.Millisecond
	// defaultStopBound replaces a StopBound of zero.
	defaultStopBound = 8 * time.Second
	// quietCheck is how often the daemon looks for the end of its requests.
	quietCheck = 50 * time.Millisecond
)

// stopper tells whether a planned stop has begun.
type stopper struct{ begun atomic.Bool }

func (s *stopper) stopping() bool { return s.begun.Load() }

// awaitStop waits for the signal and then lets the requests in progress end.
// The daemon is not ready from the signal on. It serves what still arrives for
// lameDuck, and after that only what ends in time by its route's timeout.
func (e *Edge) awaitStop(ctx, stop context.Context) error {
	signals, restore := notify(syscall.SIGTERM, os.Interrupt)
	defer restore()
	select {
	case <-ctx.Done():
		return nil
	case <-stop.Done():
		return nil
	case <-signals:
	}
	bound := cmp.Or(e.settings.Load().ShutdownTimeout, defaultStopBound)
	end := time.Now().Add(bound - stopMargin)
	e.stop.begun.Store(true)
	e.handler.DisableKeepAlives()
	e.deps.Log.Event(telemetry.ShutdownStarted).Int("active", e.handler.Active()).Int64("bound_ms", bound.Milliseconds()).Send()
	if !backoff.Sleep(ctx, lameDuck) {
		return nil
	}
	e.handler.SetShutdownDeadline(end)
	for e.handler.Active() > 0 && time.Now().Before(end) && backoff.Sleep(ctx, quietCheck) {
	}
	e.deps.Log.Event(telemetry.ShutdownComplete).Int("cut", e.handler.Active()).Send()
	return nil
}

// stopServing ends the server for callers once the group stops.
func (e *Edge) stopServing(s *http.Server) { _ = s.Close() } // requests have ended or their time is over
