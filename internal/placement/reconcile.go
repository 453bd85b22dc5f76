package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/ports"
)

// orderRetry is the shortest time between two orders to one engine.
const orderRetry = 5 * time.Second

// adopt takes over the stored desired content of an engine. Without a stored
// one, it keeps what the engine reports, so that a first director unloads
// nothing.
func (p *Planner) adopt(e *engine) {
	if e.known {
		return
	}
	r, stored := p.stored[e.spec.ID]
	if !stored && e.reportedAt.IsZero() {
		return
	}
	e.known = true
	e.version = p.version[e.spec.ID]
	e.desired = r.Desired.normal()
	if !stored {
		e.desired = e.reported
	}
	e.loaded = maps.Clone(r.Loaded)
	if e.loaded == nil {
		e.loaded = make(map[string]time.Time)
	}
}

// configured returns the desired content extended to the configured base.
func (e *engine) configured() Content {
	c := e.desired
	c.Role = e.spec.Base.Role
	c.Models = sortedSet(append(slices.Clone(c.Models), e.spec.Base.Models...))
	c.Adapters = sortedSet(append(slices.Clone(c.Adapters), e.spec.Base.Adapters...))
	return c
}

// want stores new desired content. The order follows once it is stored.
func (p *Planner) want(now time.Time, e *engine, c Content) []Action {
	e.desired = c
	for _, name := range slices.Concat(c.Models, c.Adapters) {
		if _, ok := e.loaded[name]; !ok {
			e.loaded[name] = now
		}
	}
	maps.DeleteFunc(e.loaded, func(name string, _ time.Time) bool {
		return !slices.Contains(c.Models, name) && !slices.Contains(c.Adapters, name)
	})
	e.saving = true
	e.failed = false
	record := Record{Upstream: e.spec.ID, Desired: c, Fencing: p.token, Loaded: maps.Clone(e.loaded)}
	return []Action{SaveRecord{
		Token:    p.token,
		Upstream: e.spec.ID,
		Write:    ports.Write{Key: rowKey(p.cfg.Region, e.spec.ID), Value: encode(record), Expect: e.version},
	}}
}

// order sends the desired content.
func (p *Planner) order(now time.Time, e *engine) []Action {
	e.ordering = true
	e.orderedAt = now
	e.appliedBefore = e.applied
	return []Action{SendOrder{Upstream: e.spec.ID, Order: ports.Order{
		ID:       orderID(e.spec.ID, p.token, e.desired),
		Fencing:  p.token,
		Models:   e.desired.Models,
		Adapters: e.desired.Adapters,
		Role:     e.desired.Role,
	}}}
}

// reconcile repeats the order of an engine that reports other content: at
// once when it names another director's order, else after Settle. It is what
// makes orders safe at engines that do not check fencing tokens.
func (p *Planner) reconcile(now time.Time, e *engine) []Action {
	if !e.known || e.saving || e.ordering || e.reportedAt.IsZero() || e.settled() {
		return nil
	}
	reason, due := p.repeatOrder(now, e)
	if !due {
		return nil
	}
	if p.harmful(now, e) {
		return p.keep(now, e)
	}
	return append(p.order(now, e), Decide{Decision{Kind: KindRepair, Upstream: e.spec.ID, Reason: reason}})
}

func (p *Planner) repeatOrder(now time.Time, e *engine) (Reason, bool) {
	since := now.Sub(e.orderedAt)
	if since < orderRetry {
		return "", false
	}
	if e.failed {
		return ReasonOrderFailed, true
	}
	if !e.reportedAt.After(e.orderedAt) {
		return "", false
	}
	own := orderID(e.spec.ID, p.token, e.desired)
	if e.applied != "" && e.applied != own && e.applied != e.appliedBefore {
		return ReasonForeignOrder, true
	}
	return ReasonReportDiffers, since >= p.cfg.Settle
}

// harmful reports whether the order to an engine would take the last replica
// from a class with traffic. Traffic may have come back since the unload was
// decided, when its order failed or its director was replaced.
func (p *Planner) harmful(now time.Time, e *engine) bool {
	for _, adapters := range []bool{false, true} {
		for _, name := range e.reported.names(adapters) {
			if slices.Contains(e.desired.names(adapters), name) {
				continue
			}
			if n, ok := p.needs[name]; ok && !p.covered(now, e, n) {
				return true
			}
		}
	}
	return false
}

// covered reports whether each class with traffic that an engine serves with
// an artefact keeps another replica without it.
func (p *Planner) covered(now time.Time, e *engine, n *need) bool {
	for _, c := range n.classes {
		if slices.Contains(c.Upstreams, e.spec.ID) && !p.servedElsewhere(now, e.spec.ID, c.Demand) {
			return false
		}
	}
	return true
}

// keep makes what an engine reports its desired content again.
func (p *Planner) keep(now time.Time, e *engine) []Action {
	e.desired = e.reported
	decision := Decide{Decision{Kind: KindKeep, Upstream: e.spec.ID, Reason: ReasonTraffic}}
	return append([]Action{decision}, p.want(now, e, e.configured())...)
}
