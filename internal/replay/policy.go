package replay

import (
	"math/rand/v2"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/routing"
)

// PolicyName names one way to serve a trace.
type PolicyName string

const (
	// PolicyRoundRobin dispatches at once to each engine in turn.
	PolicyRoundRobin PolicyName = "roundrobin"
	// PolicyLeastRequests dispatches at once to the engine with fewer own
	// requests among two chosen at random.
	PolicyLeastRequests PolicyName = "leastrequests"
	// PolicyAuburndyke is the decision code of the daemon.
	PolicyAuburndyke PolicyName = "auburndyke"
	// PolicyOracle is one daemon per trace that knows answer lengths and the
	// true load of each engine at once.
	PolicyOracle PolicyName = "oracle"
)

// Policies lists all policies in the order of the report.
var Policies = []PolicyName{PolicyRoundRobin, PolicyLeastRequests, PolicyAuburndyke, PolicyOracle}

const modelName = "model"

// baseline policies have no admission control, priorities or hedging.
func (p PolicyName) baseline() bool {
	return p == PolicyRoundRobin || p == PolicyLeastRequests
}

// compile turns a header into a policy. Baselines get one tier without bounds
// and engines without slot limits.
func compile(h *Header, name PolicyName) (*policy.Policy, map[string]*policy.Route) {
	p := &policy.Policy{
		Revision:  1,
		Models:    map[domain.ModelID]*policy.Model{modelName: {ID: modelName}},
		Classes:   map[domain.ClassID]*policy.Class{},
		Customers: map[domain.CustomerID]*policy.Customer{},
		Levels:    map[string]*policy.ServiceLevel{},
		Regions:   map[domain.Region]*policy.Region{},
	}
	compileTiers(p, h, name)
	compileRegions(p, h)
	all := make([]int, len(h.Engines))
	for i, e := range h.Engines {
		all[i] = i
		u := policy.Upstream{
			ID:      domain.UpstreamID(e.ID),
			Kind:    domain.KindEngine,
			Region:  domain.Region(e.Region),
			Zone:    domain.AvailabilityZone(e.Region + "-a"),
			Address: e.ID,
			Models:  []domain.ModelID{modelName},
			Slots:   e.Slots,
		}
		if name.baseline() {
			u.Slots = 0
		}
		p.Upstreams = append(p.Upstreams, u)
	}
	return p, compileRoutes(p, h, name, all)
}

func compileTiers(p *policy.Policy, h *Header, name PolicyName) {
	if name.baseline() {
		p.Tiers = []policy.Tier{{ID: "all"}}
		return
	}
	scale := 1
	if name == PolicyOracle {
		scale = len(h.Daemons)
	}
	for i, t := range h.Tiers {
		p.Tiers = append(p.Tiers, policy.Tier{
			ID:          domain.TierID(t.ID),
			Rank:        i,
			MinShare:    t.MinShare,
			QueueTokens: t.QueueTokens * scale,
			Preempts:    t.Preempts,
		})
	}
}

func compileRegions(p *policy.Policy, h *Header) {
	for _, from := range h.Regions {
		r := &policy.Region{
			ID:         domain.Region(from),
			RTT:        map[domain.Region]time.Duration{},
			PricePerGB: map[domain.Region]float64{},
		}
		for _, to := range h.Regions {
			if to != from {
				r.RTT[domain.Region(to)] = 2 * h.RegionHop.Duration()
				r.PricePerGB[domain.Region(to)] = h.PricePerGB
			}
		}
		p.Regions[r.ID] = r
	}
}

// compileRoutes returns the route of each class; customers share it.
func compileRoutes(p *policy.Policy, h *Header, name PolicyName, upstreams []int) map[string]*policy.Route {
	routes := map[string]*policy.Route{}
	for i := range h.Classes {
		c := &h.Classes[i]
		class := &policy.Class{
			ID:         domain.ClassID(c.ID),
			Repeatable: true,
			Hedge:      c.Hedge && name == PolicyAuburndyke,
			MaxTokens:  c.MaxTokens,
			MaxWait:    c.MaxWait.Duration(),
		}
		level := &policy.ServiceLevel{
			Name:          c.ID,
			FirstToken:    c.FirstToken.Duration(),
			BetweenTokens: c.BetweenTokens.Duration(),
			RemotePenalty: c.RemotePenalty.Duration(),
		}
		p.Classes[class.ID] = class
		p.Levels[level.Name] = level
		tier := &p.Tiers[0]
		for j := range p.Tiers {
			if p.Tiers[j].ID == domain.TierID(c.Tier) {
				tier = &p.Tiers[j]
			}
		}
		routes[c.ID] = &policy.Route{Class: class, Level: level, Tier: tier, Upstreams: upstreams}
	}
	return routes
}

// newRouter returns the router of a policy; the oracle has none.
func newRouter(name PolicyName, t *routing.Table) *routing.Router {
	switch name {
	case PolicyRoundRobin:
		return baselineRouter(t, &routing.RoundRobin{})
	case PolicyLeastRequests:
		return baselineRouter(t, routing.LeastRequests{})
	default:
		return routing.NewRouter(t)
	}
}

func baselineRouter(t *routing.Table, picker routing.Picker) *routing.Router {
	r := routing.NewBaseline(t, picker)
	r.Filters = []routing.Filter{routing.ModelFilter{}, routing.LeavingFilter{}, routing.TriedFilter{}}
	return r
}

func newRand(seed uint64, stream string) *rand.Rand {
	h := uint64(14695981039346656037)
	for i := range len(stream) {
		h = (h ^ uint64(stream[i])) * 1099511628211
	}
	return rand.New(rand.NewPCG(seed, h))
}
