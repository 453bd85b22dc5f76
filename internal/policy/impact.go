package policy

import (
	"cmp"
	"slices"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// RouteChange tells how a change of configuration affects the traffic of one
// customer and class. Empty tiers and service levels mean that no rule matches.
type RouteChange struct {
	Customer domain.CustomerID   `json:"customer"`
	Class    domain.ClassID      `json:"class"`
	OldTier  domain.TierID       `json:"old_tier,omitempty"`
	NewTier  domain.TierID       `json:"new_tier,omitempty"`
	OldLevel string              `json:"old_service_level,omitempty"`
	NewLevel string              `json:"new_service_level,omitempty"`
	Gained   []domain.UpstreamID `json:"gained,omitempty"`
	Lost     []domain.UpstreamID `json:"lost,omitempty"`
	// LeftWithout is set when the traffic had upstreams and has none now.
	LeftWithout bool `json:"left_without_upstreams,omitempty"`
}

// Impact lists the traffic whose tier, service level or usable upstreams differ
// between two policies, by customer and class. Draining upstreams count as not
// usable. The slices of changes may be shared.
func Impact(oldPolicy, newPolicy *Policy) []RouteChange {
	c := &comparer{
		old:   oldPolicy,
		new:   newPolicy,
		cache: map[[2]*decision]upstreamChange{},
	}
	var changes []RouteChange
	for _, customer := range unionNames(oldPolicy.Customers, newPolicy.Customers) {
		for _, class := range unionNames(oldPolicy.Classes, newPolicy.Classes) {
			if change, ok := c.compare(customer, class); ok {
				changes = append(changes, change)
			}
		}
	}
	return changes
}

func unionNames[K cmp.Ordered, V any](a, b map[K]V) []K {
	names := make([]K, 0, len(a))
	for name := range a {
		names = append(names, name)
	}
	for name := range b {
		if _, ok := a[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

type upstreamChange struct {
	gained, lost []domain.UpstreamID
	leftWithout  bool
}

// comparer compares each pair of shared decisions once.
type comparer struct {
	old, new *Policy
	cache    map[[2]*decision]upstreamChange
}

func (c *comparer) compare(customer domain.CustomerID, class domain.ClassID) (RouteChange, bool) {
	before, _ := c.old.Route(customer, class)
	after, _ := c.new.Route(customer, class)
	ups := c.upstreams(before, after)
	change := RouteChange{
		Customer:    customer,
		Class:       class,
		Gained:      ups.gained,
		Lost:        ups.lost,
		LeftWithout: ups.leftWithout,
	}
	change.OldTier, change.OldLevel = standing(before)
	change.NewTier, change.NewLevel = standing(after)
	same := change.OldTier == change.NewTier && change.OldLevel == change.NewLevel
	return change, !same || len(change.Gained) > 0 || len(change.Lost) > 0
}

func standing(r *Route) (domain.TierID, string) {
	if r == nil || r.Tier == nil {
		return "", ""
	}
	return r.Tier.ID, r.Level.Name
}

func (c *comparer) upstreams(before, after *Route) upstreamChange {
	pair := [2]*decision{decisionOf(before), decisionOf(after)}
	if known, ok := c.cache[pair]; ok {
		return known
	}
	olds := usable(c.old, before)
	news := usable(c.new, after)
	change := upstreamChange{
		gained:      without(news, olds),
		lost:        without(olds, news),
		leftWithout: len(olds) > 0 && len(news) == 0,
	}
	c.cache[pair] = change
	return change
}

func decisionOf(r *Route) *decision {
	if r == nil {
		return nil
	}
	return r.decision
}

// usable lists the upstreams of a route that take new work, by identifier.
func usable(p *Policy, r *Route) []domain.UpstreamID {
	if r == nil {
		return nil
	}
	ids := make([]domain.UpstreamID, 0, len(r.Upstreams))
	for _, i := range r.Upstreams {
		if !p.Upstreams[i].Draining {
			ids = append(ids, p.Upstreams[i].ID)
		}
	}
	return ids
}

// without returns the members of a that b lacks. Both are sorted.
func without(a, b []domain.UpstreamID) []domain.UpstreamID {
	var rest []domain.UpstreamID
	for _, id := range a {
		if _, ok := slices.BinarySearch(b, id); !ok {
			rest = append(rest, id)
		}
	}
	return rest
}
