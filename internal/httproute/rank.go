package httproute

import "slices"

// Rank is the urgency of a request; 0 is the most urgent. Requests are ranked by the
// priority of their customer, or of their route if the customer has none, and among
// equals by the priority of their route.
type Rank int

// precedence is the pair of priorities that a rank is derived from.
type precedence struct {
	priority, routePriority int
}

func (p precedence) compare(q precedence) int {
	if p.priority != q.priority {
		return p.priority - q.priority
	}
	return p.routePriority - q.routePriority
}

// ranks lists the precedences that occur in a configuration, from the most to the least
// urgent. The index is the rank.
type ranks []precedence

func newRanks(c *Config) ranks {
	var out ranks
	for i := range c.Routes {
		routePriority := c.Routes[i].Priority
		out = append(out, precedence{routePriority, routePriority})
		for j := range c.Customers {
			if customer := &c.Customers[j]; customer.HasPriority {
				out = append(out, precedence{customer.Priority, routePriority})
			}
		}
	}
	slices.SortFunc(out, precedence.compare)
	return slices.Compact(out)
}

// Rank returns the rank of a customer's request on a route. customer may be
// nil.
func (t *Table) Rank(r *Route, customer *Customer) Rank {
	p := precedence{r.Priority, r.Priority}
	if customer != nil && customer.HasPriority {
		p.priority = customer.Priority
	}
	i, _ := slices.BinarySearchFunc(t.ranks, p, precedence.compare)
	return Rank(i)
}

// ScaleRank maps a rank to 0..highest, for upstreams that support fewer ranks.
func (t *Table) ScaleRank(rank Rank, highest int) int {
	if len(t.ranks) <= highest+1 {
		return int(rank)
	}
	return int(rank) * (highest + 1) / len(t.ranks)
}
