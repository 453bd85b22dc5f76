package policy

import (
	"slices"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// ClassesByUpstream returns, by index in Upstreams, the classes whose traffic
// may reach each upstream, sorted.
func (p *Policy) ClassesByUpstream() [][]domain.ClassID {
	out := make([][]domain.ClassID, len(p.Upstreams))
	classes := make([]domain.ClassID, 0, len(p.Classes))
	for id := range p.Classes {
		classes = append(classes, id)
	}
	slices.Sort(classes)
	for _, class := range classes {
		for i := range p.reachedBy(class) {
			out[i] = append(out[i], class)
		}
	}
	return out
}

// reachedBy returns the upstreams that a class reaches for any customer.
// Customers with equal labels share one list, which is looked at once.
func (p *Policy) reachedBy(class domain.ClassID) map[int]bool {
	reached := make(map[int]bool)
	seen := make(map[*int]bool)
	for id := range p.Customers {
		route, ok := p.Route(id, class)
		if !ok || len(route.Upstreams) == 0 || seen[&route.Upstreams[0]] {
			continue
		}
		seen[&route.Upstreams[0]] = true
		for _, i := range route.Upstreams {
			reached[i] = true
		}
	}
	return reached
}
