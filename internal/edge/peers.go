package edge

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/adapters/telemetry"
	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/pacing"
	"github.com/auburndyke/auburndyke/internal/peers"
)

// peerObserver passes knowledge between the balancer, the pacer and the peers.
type peerObserver struct {
	b     *balancer.Balancer
	pacer *pacing.Pacer
	log   *telemetry.Log
	// limited holds the services whose starts are limited.
	limited map[string]bool
}

// Works returns the daemon's demand, with what waits here.
func (o peerObserver) Works(now time.Time) map[string]peers.Work {
	out := make(map[string]peers.Work)
	for service, w := range o.b.Works(now) {
		slowness, events := o.pacer.Slowness(service)
		out[service] = peers.Work{
			Interactive: w.Interactive,
			Other:       pacing.Demand(w.Other, o.pacer.Backlog(service)),
			Slowness:    slowness, Events: events,
		}
	}
	return out
}

func (o peerObserver) SetTotal(service string, total peers.Work, daemons int) {
	now := time.Now()
	o.b.SetTotal(now, service, balancer.Work{Interactive: total.Interactive, Other: total.Other})
	factor := o.pacer.Control(service, total.Slowness)
	own := pacing.Demand(o.b.Works(now)[service].Other, o.pacer.Backlog(service))
	engines := o.b.Engines(now, service)
	rate := pacing.Rate(own, total.Other, engines, factor)
	o.pacer.SetRate(service, rate)
	limited := rate != pacing.Unlimited
	if limited || o.limited[service] {
		o.limited[service] = limited
		o.log.Event(telemetry.PacingChanged).Str("service", service).Bool("limited", limited).
			Float64("rate_ms", rate).Float64("own_ms", own).Float64("total_ms", total.Other).
			Int("daemons", daemons).Int("engines", engines).
			Float64("slowness", total.Slowness).Float64("factor", factor).Send()
	}
}

func (o peerObserver) Loads() map[uint32]peers.Report {
	out := make(map[uint32]peers.Report)
	for id, r := range o.b.Learned() {
		out[id] = peers.Report{Running: r.Running, Waiting: r.Waiting, At: r.At}
	}
	return out
}

func (o peerObserver) SetLoads(loads map[uint32]peers.Report) {
	reports := make(map[uint32]balancer.Report, len(loads))
	for id, r := range loads {
		reports[id] = balancer.Report{Load: balancer.Load{Running: r.Running, Waiting: r.Waiting}, At: r.At}
	}
	o.b.SetReports(reports)
}
