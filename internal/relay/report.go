package relay

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/adapters/upstreamhttp"
	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/contain"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/inventory"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// loadReportTimeout bounds the wait for load reports. It covers two round trips
	// to another region.
	loadReportTimeout = 60 * time.Millisecond
	// maxLoadReportBytes bounds a load report.
	maxLoadReportBytes = 64 << 10
	// invalidLoadLogInterval bounds the log lines on loads that can't be read, which may
	// come with every response.
	invalidLoadLogInterval = 10 * time.Second
	// maxLoggedLoad bounds the logged part of such a load, in bytes.
	maxLoggedLoad = 64
)

// loadLog bounds the log lines on loads that can't be read. Its zero value is ready.
type loadLog struct{ next atomic.Int64 }

// due reports whether a line may be written, at most once in invalidLoadLogInterval.
func (l *loadLog) due(now time.Time) bool {
	next := l.next.Load()
	return now.UnixNano() >= next && l.next.CompareAndSwap(next, now.Add(invalidLoadLogInterval).UnixNano())
}

// recordInvalidLoad counts a load that can't be read, and logs some of them. Without its
// loads the balancer knows nothing of the upstream's other requests.
func (h *Handler) recordInvalidLoad(upstream domain.UpstreamID, load string) {
	if load == "" {
		return
	}
	h.Metrics.invalidLoads.Inc(1)
	if h.invalidLoads.due(time.Now()) {
		h.Log.Event(telemetry.UpstreamLoadInvalid).Str("upstream", string(upstream)).
			Str("load", load[:min(len(load), maxLoggedLoad)]).Int64("total", h.Metrics.invalidLoads.Count()).Send()
	}
}

// pollLoads polls upstreams for their load concurrently and passes the reports to
// the balancer. An upstream that does not respond in time keeps its old report.
func (h *Handler) pollLoads(ctx context.Context, upstreams []inventory.Entry) {
	if len(upstreams) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, u := range upstreams {
		wait.Go(func() {
			err := contain.Do(h.Log, "a load report", func() error {
				load, err := h.pollLoad(ctx, u)
				if err == nil {
					h.Balancer.ObserveLoad(time.Now(), u.ID, load)
				}
				return err
			})
			if err != nil {
				h.Log.Event(telemetry.LoadReportError).Err(err).Str("upstream", string(u.ID)).Send()
			}
		})
	}
	wait.Wait()
}

func (h *Handler) pollLoad(ctx context.Context, u inventory.Entry) (balancer.Load, error) {
	deadline, _ := ctx.Deadline()
	response, err := h.Pool.Do(ctx, u.Address, &upstreamhttp.Request{
		Method: http.MethodGet, Target: h.Protocol.LoadReportPath(), Host: u.Address,
		Header: http.Header{}, MaxIdleAge: repeatableMaxIdleAge, HeaderDeadline: deadline,
	})
	if err != nil {
		return balancer.Load{}, err
	}
	defer response.Close()
	info := h.Protocol.ParseResponse(response.Status, response.Header)
	leaving, pause := h.Balancer.ObserveAvailability(time.Now(), u.ID, info.Availability)
	h.logAvailability(u.ID, "", leaving, pause, info)
	if response.Status != http.StatusOK {
		return balancer.Load{}, eris.Errorf("load report has status %d", response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response, maxLoadReportBytes))
	if err != nil {
		return balancer.Load{}, err
	}
	return h.Protocol.ParseLoadReport(body)
}
