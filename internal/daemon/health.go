package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	healthHeaderTimeout = 5 * time.Second
	healthIdleTimeout   = time.Minute
)

// HealthHandler serves /healthz, /readyz and /metrics.
func (d *Daemon) HealthHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if ok, reason := d.gateway.Ready(); !ok {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_ = d.cfg.Metrics.WritePrometheus(w)
	})
	return mux
}

// adminLoop serves the administration listener until ctx ends.
func (d *Daemon) adminLoop(ctx context.Context) error {
	server := &http.Server{
		Handler:           d.HealthHandler(),
		ReadHeaderTimeout: healthHeaderTimeout,
		IdleTimeout:       healthIdleTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(d.cfg.Admin)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "administration listener failed")
}
