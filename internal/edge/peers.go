package edge

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/pacing"
	"github.com/auburndyke/auburndyke/internal/peers"
)

// peerObserver passes knowledge between the balancer, the pacer and the peers.
type peerObserver struct {
	b     *balancer.Balancer
	pacer *pacing.Pacer
}

// Works returns the daemon's demand, with what waits here.
func (o peerObserver) Works(now time.Time) map[string]peers.Work {
	out := make(map[string]peers.Work)
	for service, w := range o.b.Works(now) {
		w.Other = pacing.Demand(w.Other, o.pacer.Backlog(service))
		out[service] = peers.Work(w)
	}
	return out
}

func (o peerObserver) SetTotal(service string, total peers.Work, _ int) {
	now := time.Now()
	o.b.SetTotal(now, service, balancer.Work(total))
	own := pacing.Demand(o.b.Works(now)[service].Other, o.pacer.Backlog(service))
	o.pacer.SetRate(service, pacing.Rate(own, total.Other, o.b.Engines(now, service)))
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
