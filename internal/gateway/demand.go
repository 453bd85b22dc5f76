package gateway

import (
	"sync/atomic"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
)

// Demand is the traffic of one class for one model and adapter on this daemon.
type Demand struct {
	Class   domain.ClassID
	Model   domain.ModelID
	Adapter string
	// Upstreams are those that the class reaches.
	Upstreams []domain.UpstreamID
	// WaitingTokens is the estimated work in queues.
	WaitingTokens int64
	// Running is the number of requests in progress.
	Running int64
}

type demandKey struct {
	class   domain.ClassID
	model   domain.ModelID
	adapter string
}

// demandCount counts one key. Its keys are bounded by the configuration:
// classes, models and adapters.
type demandCount struct {
	route   atomic.Pointer[routeView]
	waiting atomic.Int64
	running atomic.Int64
}

type routeView struct {
	policy *policy.Policy
	route  *policy.Route
}

func (g *Gateway) demandOf(j *job) *demandCount {
	key := demandKey{j.route.Class.ID, j.query.Model, j.query.Adapter}
	found, ok := g.demand.Load(key)
	if !ok {
		found, _ = g.demand.LoadOrStore(key, new(demandCount))
	}
	count := found.(*demandCount)
	if view := count.route.Load(); view == nil || view.policy != j.policy {
		count.route.Store(&routeView{j.policy, j.route})
	}
	return count
}

// Demand returns the traffic of each class, model and adapter that has been
// asked for.
func (g *Gateway) Demand() []Demand {
	var out []Demand
	g.demand.Range(func(k, v any) bool {
		key, count := k.(demandKey), v.(*demandCount)
		view := count.route.Load()
		if view == nil {
			return true
		}
		d := Demand{
			Class: key.class, Model: key.model, Adapter: key.adapter,
			WaitingTokens: count.waiting.Load(), Running: count.running.Load(),
		}
		for _, i := range view.route.Upstreams {
			d.Upstreams = append(d.Upstreams, view.policy.Upstreams[i].ID)
		}
		out = append(out, d)
		return true
	})
	return out
}
