package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// sustain notes since when each artefact needs another replica, and forgets
// artefacts without traffic.
func (p *Planner) sustain(now time.Time) {
	for name, n := range p.needs {
		for class, c := range n.classes {
			if now.Sub(c.last) >= p.cfg.Idle {
				delete(n.classes, class)
			}
		}
		if len(n.classes) == 0 {
			delete(p.needs, name)
			continue
		}
		if !p.short(n) {
			n.since = time.Time{}
			delete(p.deferred, name)
		} else if n.since.IsZero() {
			n.since = now
		}
	}
}

// short reports whether demand asks for another replica: it exceeds what the
// replicas are meant to hold, or a class reaches none of them.
func (p *Planner) short(n *need) bool {
	return n.waiting >= p.cfg.LoadAt*float64(max(1, p.replicas(n.artefact))) || len(p.uncovered(n)) > 0
}

// uncovered returns the waiting classes that reach no replica.
func (p *Planner) uncovered(n *need) []*classNeed {
	var out []*classNeed
	for _, c := range n.classes {
		covered := slices.ContainsFunc(c.Upstreams, func(id domain.UpstreamID) bool {
			e, ok := p.engines[id]
			return ok && e.desired.has(n.artefact) && !e.spec.Draining
		})
		if c.Waiting > 0 && !covered {
			out = append(out, c)
		}
	}
	return out
}

// replicas counts the engines that hold or are meant to hold an artefact.
func (p *Planner) replicas(a Artefact) int {
	count := 0
	for _, e := range p.engines {
		if e.desired.has(a) && !e.spec.Draining {
			count++
		}
	}
	return count
}

// candidate is a load that could start.
type candidate struct {
	// score is the waiting demand that another replica would take over.
	score float64
	name  string
	start func() []Action
}

// load starts loads, the most needed first: those that the configuration asks
// for and those that demand asks for.
func (p *Planner) load(now time.Time) []Action {
	var queue []candidate
	for _, e := range p.engines {
		if c, ok := p.baseLoad(now, e); ok {
			queue = append(queue, c)
		}
	}
	for _, n := range p.needs {
		if !n.since.IsZero() && now.Sub(n.since) >= p.cfg.Sustain {
			queue = append(queue, candidate{p.perReplica(n), n.artefact.Name, func() []Action { return p.demandLoad(now, n) }})
		}
	}
	slices.SortFunc(queue, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	var out []Action
	for _, c := range queue {
		out = append(out, c.start()...)
	}
	return out
}

func (p *Planner) perReplica(n *need) float64 {
	return n.waiting / float64(1+p.replicas(n.artefact))
}

// baseLoad returns the change that brings an engine to its configured base.
func (p *Planner) baseLoad(now time.Time, e *engine) (candidate, bool) {
	if !e.known || e.saving || e.spec.Draining {
		return candidate{}, false
	}
	next := e.configured()
	if next.equal(e.desired) {
		return candidate{}, false
	}
	c := candidate{name: string(e.spec.ID)}
	for _, name := range slices.Concat(next.Models, next.Adapters) {
		if n, ok := p.needs[name]; ok && !slices.Contains(e.reported.Models, name) && !slices.Contains(e.reported.Adapters, name) {
			c.score = max(c.score, p.perReplica(n))
		}
	}
	c.start = func() []Action { return p.startBase(now, e, next) }
	return c, true
}

func (p *Planner) startBase(now time.Time, e *engine, next Content) []Action {
	bytes := p.cost(e, next)
	if bytes > 0 && !p.store.allow(now, bytes, p.loading(now)) {
		return p.postpone(string(e.spec.ID), Decision{Upstream: e.spec.ID, Reason: ReasonStoreBusy})
	}
	delete(p.deferred, string(e.spec.ID))
	kind := KindBase
	if next.Role != e.desired.Role {
		kind = KindRole
	}
	e.loading = bytes > 0
	decision := Decide{Decision{Kind: kind, Upstream: e.spec.ID, Reason: ReasonConfigured}}
	return append([]Action{decision}, p.want(now, e, next)...)
}

// cost returns the bytes that an engine loads to reach a content.
func (p *Planner) cost(e *engine, next Content) int64 {
	var bytes int64
	for _, adapters := range []bool{false, true} {
		for _, name := range next.names(adapters) {
			if !slices.Contains(e.reported.names(adapters), name) {
				bytes += max(p.bytes[name], 1)
			}
		}
	}
	return bytes
}

func (p *Planner) demandLoad(now time.Time, n *need) []Action {
	e, victim := p.choose(now, n)
	if e == nil {
		return p.postpone(n.artefact.Name, Decision{Artefact: n.artefact.Name, Reason: ReasonNoUpstream, Waiting: n.waiting})
	}
	next := e.desired.with(n.artefact)
	if !p.store.allow(now, p.cost(e, next), p.loading(now)) {
		return p.postpone(n.artefact.Name, Decision{Artefact: n.artefact.Name, Reason: ReasonStoreBusy, Waiting: n.waiting})
	}
	delete(p.deferred, n.artefact.Name)
	n.since = time.Time{}
	e.loading = true
	var out []Action
	if victim != "" {
		next = next.without(victim, n.artefact.Adapter)
		out = append(out, Decide{Decision{Kind: KindUnload, Upstream: e.spec.ID, Artefact: victim, Reason: ReasonReplaced, Waiting: p.waiting(victim)}})
	}
	out = append(out, Decide{Decision{Kind: KindLoad, Upstream: e.spec.ID, Artefact: n.artefact.Name, Reason: ReasonDemand, Waiting: n.waiting}})
	return append(out, p.want(now, e, next)...)
}

// postpone reports a load that cannot start, once per reason.
func (p *Planner) postpone(what string, d Decision) []Action {
	if p.deferred[what] == d.Reason {
		return nil
	}
	p.deferred[what] = d.Reason
	d.Kind = KindDefer
	return []Action{Decide{d}}
}

// loading counts the loads under way. One that takes longer than Settle no
// longer counts, because its engine may have died.
func (p *Planner) loading(now time.Time) int {
	count := 0
	for _, e := range p.engines {
		if e.loading && (e.saving || now.Sub(e.orderedAt) < p.cfg.Settle) {
			count++
		}
	}
	return count
}

func (p *Planner) waiting(name string) float64 {
	if n, ok := p.needs[name]; ok {
		return n.waiting
	}
	return 0
}

// choose returns the engine for a new replica, and the artefact that it gives
// up if it is full. Engines with room come first, then those whose artefact is
// in least demand.
func (p *Planner) choose(now time.Time, n *need) (best *engine, victim string) {
	uncovered := p.uncovered(n)
	lowest := 0.0
	for _, e := range p.sorted() {
		if !p.eligible(now, e, n) || !reaches(e, n, uncovered) {
			continue
		}
		if hasRoom(e, n.artefact) {
			return e, ""
		}
		name, waiting, ok := p.victim(now, e, n)
		if ok && (best == nil || waiting < lowest) {
			best, victim, lowest = e, name, waiting
		}
	}
	return best, victim
}

// eligible reports whether an engine may take a new replica now: it reports,
// has no change under way and may hold the artefact.
func (p *Planner) eligible(now time.Time, e *engine, n *need) bool {
	switch {
	case !p.changeable(now, e):
		return false
	case e.desired.has(n.artefact), !slices.Contains(e.spec.Allowed, n.artefact.Name):
		return false
	case n.artefact.Adapter && !slices.Contains(e.desired.Models, n.artefact.Model):
		return false
	}
	return true
}

func (p *Planner) changeable(now time.Time, e *engine) bool {
	return !e.spec.Draining && !e.ordering && e.settled() && now.Sub(e.reportedAt) <= p.cfg.Fresh
}

// reaches reports whether an engine serves a waiting class: one without any
// replica where there are such classes.
func reaches(e *engine, n *need, uncovered []*classNeed) bool {
	for _, c := range uncovered {
		if slices.Contains(c.Upstreams, e.spec.ID) {
			return true
		}
	}
	if len(uncovered) > 0 {
		return false
	}
	for _, c := range n.classes {
		if c.Waiting > 0 && slices.Contains(c.Upstreams, e.spec.ID) {
			return true
		}
	}
	return false
}

func hasRoom(e *engine, a Artefact) bool {
	limit := e.spec.MaxModels
	if a.Adapter {
		limit = e.spec.MaxAdapters
	}
	return limit == 0 || len(e.desired.names(a.Adapter)) < limit
}

// victim returns the artefact in least demand that the engine may give up for
// the needed one.
func (p *Planner) victim(now time.Time, e *engine, n *need) (name string, waiting float64, ok bool) {
	for _, candidate := range e.desired.names(n.artefact.Adapter) {
		w := p.waiting(candidate)
		if n.waiting < p.cfg.Advantage*w || !p.removable(now, e, candidate, n.artefact.Adapter) {
			continue
		}
		if !ok || w < waiting {
			name, waiting, ok = candidate, w, true
		}
	}
	return name, waiting, ok
}

// removable reports whether an engine may give up an artefact: it is not
// configured, has stayed for the dwell time, and each class with traffic
// within the idle time keeps another replica.
func (p *Planner) removable(now time.Time, e *engine, name string, adapter bool) bool {
	switch {
	case slices.Contains(e.spec.Base.names(adapter), name):
		return false
	case now.Sub(e.loaded[name]) < p.cfg.Dwell:
		return false
	case now.Sub(p.demandAt) > p.cfg.Fresh || now.Sub(p.watching) < p.cfg.Idle:
		// Traffic may exist that has not been reported here yet.
		return false
	case !adapter && p.carries(e, name):
		return false
	}
	n, ok := p.needs[name]
	return !ok || p.covered(now, e, n)
}

// carries reports whether an engine may hold adapters of a model.
func (p *Planner) carries(e *engine, model string) bool {
	return slices.ContainsFunc(e.desired.Adapters, func(adapter string) bool {
		n, ok := p.needs[adapter]
		return !ok || n.artefact.Model == model
	})
}

// servedElsewhere reports whether another engine that the class may reach
// reports the artefact and is going to keep it.
func (p *Planner) servedElsewhere(now time.Time, except domain.UpstreamID, d Demand) bool {
	return slices.ContainsFunc(d.Upstreams, func(id domain.UpstreamID) bool {
		e, ok := p.engines[id]
		return ok && id != except && !e.spec.Draining &&
			e.reported.has(d.Artefact) && e.desired.has(d.Artefact) &&
			now.Sub(e.reportedAt) <= p.cfg.Fresh
	})
}

// unload gives up artefacts without demand, one per engine at a time.
func (p *Planner) unload(now time.Time) []Action {
	var out []Action
	for _, e := range p.sorted() {
		if !p.changeable(now, e) {
			continue
		}
		name, adapter, ok := p.idle(now, e)
		if !ok {
			continue
		}
		out = append(out, Decide{Decision{Kind: KindUnload, Upstream: e.spec.ID, Artefact: name, Reason: ReasonIdle}})
		out = append(out, p.want(now, e, e.desired.without(name, adapter))...)
	}
	return out
}

// idle returns an artefact without traffic that the engine may give up.
func (p *Planner) idle(now time.Time, e *engine) (name string, adapter, ok bool) {
	for _, adapter := range []bool{true, false} {
		for _, name := range e.desired.names(adapter) {
			if _, busy := p.needs[name]; !busy && p.removable(now, e, name, adapter) {
				return name, adapter, true
			}
		}
	}
	return "", false, false
}

// Desired returns what each engine is meant to hold, as far as it is known
// under the current lease.
func (p *Planner) Desired() map[domain.UpstreamID]Content {
	out := make(map[domain.UpstreamID]Content, len(p.engines))
	for id, e := range p.engines {
		if e.known {
			out[id] = e.desired
		}
	}
	return out
}
