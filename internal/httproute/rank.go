package httproute

import "slices"

// Rank orders the requests of a configuration; 0 is the most urgent. Requests
// are ranked by the priority of their customer, or of their route where the
// customer has none, and among equals by the priority of their route.
type Rank int

// precedence is what a rank is derived from.
type precedence struct {
	priority, route int
}

func (p precedence) compare(q precedence) int {
	if p.priority != q.priority {
		return p.priority - q.priority
	}
	return p.route - q.route
}

// ranks lists the precedences that occur in a configuration, in order.
type ranks []precedence

func newRanks(c *Config) ranks {
	var out ranks
	for i := range c.Routes {
		route := c.Routes[i].Priority
		out = append(out, precedence{route, route})
		for j := range c.Customers {
			if customer := &c.Customers[j]; customer.HasPriority {
				out = append(out, precedence{customer.Priority, route})
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

// ScaleRank maps a rank to 0..most, for upstreams that know fewer ranks.
func (t *Table) ScaleRank(rank Rank, most int) int {
	if len(t.ranks) <= most+1 {
		return int(rank)
	}
	return int(rank) * (most + 1) / len(t.ranks)
}
