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
	"github.com/auburndyke/auburndyke/internal/relay"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// lameDuck is how long new requests are served after the signal to stop. The
	// load balancer removes the daemon after two failed probes, one second apart.
	lameDuck = 2500 * time.Millisecond
	// shutdownMargin is kept between the close of the last connection and
	// ShutdownTimeout.
	shutdownMargin = 300 * time.Millisecond
	// finalAnswerTime is how long before the close of the last connection the requests
	// in progress end, so that the daemon's own answers reach their callers.
	finalAnswerTime = 200 * time.Millisecond
	// defaultShutdownTimeout replaces a ShutdownTimeout of zero.
	defaultShutdownTimeout = 8 * time.Second
	// drainPollInterval is how often the daemon checks whether its requests have
	// ended. It is also how old a connection without a request must be before it is
	// closed.
	drainPollInterval = 50 * time.Millisecond
)

// shutdownState records whether a graceful shutdown has started.
type shutdownState struct{ started atomic.Bool }

func (s *shutdownState) stopping() bool { return s.started.Load() }

// awaitShutdown waits for a signal and then for the requests in progress. From the
// signal on, the daemon is not ready. It serves all new requests for lameDuck, and
// after that only those whose deadlines are before its own end. Requests that are still
// in progress then are answered by the daemon if their responses have not begun.
func (e *Edge) awaitShutdown(ctx, stop context.Context) error {
	signals, restore := notifySignals(syscall.SIGTERM, os.Interrupt)
	defer restore()
	select {
	case <-ctx.Done():
		return nil
	case <-stop.Done():
		return nil
	case <-signals:
	}
	timeout := cmp.Or(e.settings.Load().ShutdownTimeout, defaultShutdownTimeout)
	closeAt := time.Now().Add(timeout - shutdownMargin)
	deadline := closeAt.Add(-finalAnswerTime)
	e.shutdown.started.Store(true)
	e.duties.stop()
	e.handler.DisableKeepAlives()
	e.deps.Log.Event(telemetry.ShutdownStarted).Int("active", e.handler.Active()).Int64("bound_ms", timeout.Milliseconds()).Send()
	if !backoff.Sleep(ctx, lameDuck) {
		return nil
	}
	e.handler.SetShutdownDeadline(deadline)
	e.awaitCallers(ctx, deadline)
	unfinished := e.handler.Active()
	e.endRequests(relay.ErrStopping)
	e.awaitCallers(ctx, closeAt)
	e.deps.Log.Event(telemetry.ShutdownComplete).Int("ended", unfinished).Int("cut", e.handler.Active()).Send()
	return nil
}

// awaitCallers waits until no caller has a request in progress, at most until a time.
func (e *Edge) awaitCallers(ctx context.Context, until time.Time) {
	for e.callers.busy() && time.Now().Before(until) && backoff.Sleep(ctx, drainPollInterval) {
	}
}

// closeCallerServer closes the server for callers when the group stops. Requests
// have then ended, or the shutdown timeout has passed. The server's own Shutdown is not
// used: it drops requests whose header it has read meanwhile.
func (e *Edge) closeCallerServer(s *http.Server) { _ = s.Close() }
