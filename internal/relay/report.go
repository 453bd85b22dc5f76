package relay

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/adapters/upstreamhttp"
	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/inventory"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// reportTimeout bounds the wait for load reports: the way to another region
	// and back, twice.
	reportTimeout = 60 * time.Millisecond
	// reportBytes bounds a load report.
	reportBytes = 64 << 10
)

// askLoads asks upstreams for their load, all at once, and hands the answers
// to the balancer. One that does not answer in time keeps its old report.
func (h *Handler) askLoads(ctx context.Context, upstreams []inventory.Entry) {
	if len(upstreams) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, u := range upstreams {
		wait.Go(func() {
			load, err := h.askLoad(ctx, u)
			if err != nil {
				h.Log.Event(telemetry.LoadReportError).Err(err).Str("upstream", string(u.ID)).Send()
				return
			}
			h.Balancer.ObserveLoad(time.Now(), u.ID, load)
		})
	}
	wait.Wait()
}

func (h *Handler) askLoad(ctx context.Context, u inventory.Entry) (balancer.Load, error) {
	deadline, _ := ctx.Deadline()
	answer, err := h.Pool.Do(ctx, u.Address, &upstreamhttp.Request{
		Method: http.MethodGet, Target: h.Protocol.LoadReportPath(), Host: u.Address,
		Header: http.Header{}, MaxIdleAge: repeatableIdleAge, HeaderDeadline: deadline,
	})
	if err != nil {
		return balancer.Load{}, err
	}
	defer answer.Close()
	if answer.Status != http.StatusOK {
		return balancer.Load{}, eris.Errorf("load report has status %d", answer.Status)
	}
	body, err := io.ReadAll(io.LimitReader(answer, reportBytes))
	if err != nil {
		return balancer.Load{}, err
	}
	return h.Protocol.ParseLoadReport(body)
}
