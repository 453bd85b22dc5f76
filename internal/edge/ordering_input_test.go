package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/httproute"
	"github.com/auburndyke/auburndyke/internal/inventory"
)

// Guards against upstreams that drain, leave or are superseded and count as capacity, and
// against load reports that are lost on the way to the planner.
func TestDrainingUpstreamsAreNoCapacity(t *testing.T) {
	now := time.Now()
	entries := []inventory.Entry{
		{State: inventory.Serving}, {State: inventory.Unlisted}, {State: inventory.Draining}, {State: inventory.Superseded}, {State: inventory.Serving}, {State: inventory.Serving},
	}
	for i, id := range []string{"serving", "unlisted", "draining", "superseded", "leaving", "other"} {
		entries[i].Registration = inventory.Registration{ID: domain.UpstreamID(id), Service: "app", Zone: "a", Slots: 8, Address: id}
	}
	entries[5].Service = "other"
	b := balancer.New(balancer.Site{Zone: "a"})
	b.Update(now, entries, func(string) balancer.Engine { return balancer.Engine{} })
	b.ObserveAvailability(now, "leaving", balancer.Availability{Leaving: true})
	b.ObserveLoad(now.Add(-time.Second), "serving", balancer.Load{Running: 3, Waiting: 2, Slots: 8})
	e := &Edge{state: &state{balancer: b}}
	got := e.orderingUpstreams(now, &httproute.Service{Name: "app"}, entries)
	assert.Equal(t, len(got), 2)
	assert.Equal(t, got[0].Running, 3)
	assert.Equal(t, got[0].Waiting, 2)
	assert.Equal(t, got[0].ReportAge, time.Second)
	assert.Assert(t, got[0].Reported && !got[0].Unlisted)
	assert.Assert(t, got[1].Unlisted && !got[1].Reported)
}
