package edge

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/peers"
)

// peerObserver passes knowledge between the balancer and the peers.
type peerObserver struct{ b *balancer.Balancer }

func (o peerObserver) Works(now time.Time) map[string]peers.Work {
	out := make(map[string]peers.Work)
	for service, w := range o.b.Works(now) {
		out[service] = peers.Work(w)
	}
	return out
}

func (o peerObserver) SetTotal(service string, total peers.Work, _ int) {
	o.b.SetTotal(time.Now(), service, balancer.Work(total))
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
