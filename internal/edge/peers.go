package edge

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/relay"
)

// peerObserver passes knowledge between the daemon and its peers.
type peerObserver struct {
	*balancer.Balancer
	e *Edge
}

// SetTotal takes the work of all daemons and the daemon's share of the slack for
// repeats.
func (o peerObserver) SetTotal(service string, total balancer.Work, daemons int) {
	o.Balancer.SetTotalWork(time.Now(), service, total)
	o.e.handler.Retries.SetFloor(relay.RetryFloor(o.e.settings.Load().RetrySlack, daemons))
}
