package edge

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/relay"
)

// peerObserver connects the balancer and the retry budgets to the peers.
type peerObserver struct {
	*balancer.Balancer
	e *Edge
}

// SetTotal sets the work of all daemons in the balancer, and the daemon's share of
// the retry slack.
func (o peerObserver) SetTotal(service string, total balancer.Work, daemons int) {
	o.Balancer.SetTotalWork(time.Now(), service, total)
	o.e.fleet.Store(int64(daemons))
	o.e.handler.Retries.SetFloor(relay.RetryFloor(o.e.settings.Load().RetrySlack, daemons))
}
