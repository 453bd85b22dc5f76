package edge

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/peers"
	"github.com/auburndyke/auburndyke/internal/relay"
)

// peerObserver passes knowledge between the daemon and its peers.
type peerObserver struct{ e *Edge }

func (o peerObserver) Works(now time.Time) map[string]peers.Work {
	out := make(map[string]peers.Work)
	for service, w := range o.e.state.balancer.Works(now) {
		out[service] = peers.Work(w)
	}
	return out
}

func (o peerObserver) SetTotal(service string, total peers.Work, daemons int) {
	o.e.state.balancer.SetTotal(time.Now(), service, balancer.Work(total))
	o.e.handler.Retries.SetFloor(relay.Floor(o.e.settings.Load().RetrySlack, daemons))
}

func (o peerObserver) Loads() map[uint32]peers.Report {
	out := make(map[uint32]peers.Report)
	for id, r := range o.e.state.balancer.Learned() {
		out[id] = peers.Report{Running: r.Running, Waiting: r.Waiting, At: r.At}
	}
	return out
}

func (o peerObserver) SetLoads(loads map[uint32]peers.Report) {
	reports := make(map[uint32]balancer.Report, len(loads))
	for id, r := range loads {
		reports[id] = balancer.Report{Load: balancer.Load{Running: r.Running, Waiting: r.Waiting}, At: r.At}
	}
	o.e.state.balancer.SetReports(reports)
}
