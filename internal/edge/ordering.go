package edge

import (
	"time"

	"github.com/oklog/run"

	"github.com/auburndyke/auburndyke/internal/httproute"
	"github.com/auburndyke/auburndyke/internal/inventory"
	"github.com/auburndyke/auburndyke/internal/ordering"
	"github.com/auburndyke/auburndyke/internal/peers"
)

// addOrdering adds the loop that orders upstreams if the settings ask for it. Without
// peers the daemon does not know the demand.
func (e *Edge) addOrdering(g *run.Group, node *peers.Node) {
	s := e.settings.Load()
	if !s.Duties.Ordering || e.duties.acts == nil || node == nil {
		return
	}
	addLoop(g, ordering.NewRunner(ordering.Config{
		Duty: e.duties.acts, API: e.deps.Duties.API, CallRate: s.Duties.CallRate, FirstStart: s.FirstStart, Log: e.deps.Log, Metrics: e.deps.Metrics,
		Inputs: func(now time.Time) []ordering.Input { return e.orderingInputs(now, node) },
	}).Run)
}

// orderingInputs returns what the daemon knows about the services whose upstreams may be
// ordered.
func (e *Edge) orderingInputs(now time.Time, node *peers.Node) []ordering.Input {
	table := e.handler.Table()
	if table == nil {
		return nil
	}
	services := table.ScaledServices()
	if len(services) == 0 {
		return nil
	}
	entries, outdated := e.state.entries()
	var out []ordering.Input
	for _, s := range services {
		in := ordering.Input{Service: s.Name, Scaling: *s.Scaling, Outdated: outdated, Upstreams: e.orderingUpstreams(now, s, entries)}
		if s.Engine != nil {
			w, reporting, listed := node.TotalWork(now, s.Name)
			in.Work = &ordering.Work{Milliseconds: w.Interactive + w.Other, Reporting: reporting, Listed: listed}
		}
		out = append(out, in)
	}
	return out
}

// orderingUpstreams returns the upstreams of a service that take new requests. Those that
// drain, by their registration or by their own word, are no capacity.
func (e *Edge) orderingUpstreams(now time.Time, s *httproute.Service, entries []inventory.Entry) []ordering.Upstream {
	loads := e.state.balancer.UpstreamLoads(s.Name)
	var out []ordering.Upstream
	for _, entry := range entries {
		load := loads[entry.ID]
		if entry.Service != s.Name || load.Leaving || entry.State != inventory.Serving && entry.State != inventory.Unlisted {
			continue
		}
		out = append(out, ordering.Upstream{
			Zone: entry.Zone, Slots: entry.Slots, Unlisted: entry.State == inventory.Unlisted,
			Running: load.Running, Waiting: load.Waiting, ReportAge: now.Sub(load.At), Reported: !load.At.IsZero(),
		})
	}
	return out
}

// entries returns the list of upstreams, and whether it can't be read at the moment.
func (s *state) entries() (entries []inventory.Entry, outdated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inventory.Entries(), s.upstreamsLost || !s.upstreamsRead
}
