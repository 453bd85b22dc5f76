package policy

import "strconv"

// group is a set of items that no selector can tell apart, so that they share
// all matching work.
type group struct {
	labels map[string]string
	items  []int // ascending
}

func ruleCustomers(r *Rule) Selector { return r.Customers }
func ruleClasses(r *Rule) Selector   { return r.Classes }
func ruleUpstreams(r *Rule) Selector { return r.Upstreams }

// selected returns the label keys that the rules' selectors look at.
func selected(rules []Rule, selector func(*Rule) Selector) []string {
	keys := map[string]bool{}
	for i := range rules {
		selector(&rules[i]).keys(keys)
	}
	return sortedKeys(keys)
}

// groups collects the items that agree in all keys.
func groups(n int, keys []string, label func(i int, key string) (string, bool)) []group {
	var all []group
	index := map[string]int{}
	var text []byte
	for i := range n {
		text = text[:0]
		for _, key := range keys {
			value, ok := label(i, key)
			if ok {
				text = strconv.AppendQuote(text, value)
			}
			text = append(text, ',')
		}
		g, ok := index[string(text)]
		if !ok {
			g = len(all)
			index[string(text)] = g
			all = append(all, group{labels: pick(keys, i, label)})
		}
		all[g].items = append(all[g].items, i)
	}
	return all
}

func pick(keys []string, i int, label func(i int, key string) (string, bool)) map[string]string {
	set := make(map[string]string, len(keys))
	for _, key := range keys {
		if value, ok := label(i, key); ok {
			set[key] = value
		}
	}
	return set
}

// eachMatch calls found for each rule and group that match. A selector that
// requires certain values of a label is tried only on groups that have one of
// them; otherwise rules that name items one by one would make the cost grow
// with the product of rules and items.
func eachMatch(rules []*Rule, selector func(*Rule) Selector, groups []group, found func(rule, group int)) {
	all := make([]int, len(groups))
	byLabel := map[label][]int{}
	for g := range groups {
		all[g] = g
		for key, value := range groups[g].labels {
			byLabel[label{key, value}] = append(byLabel[label{key, value}], g)
		}
	}
	for r, rule := range rules {
		s := selector(rule)
		for _, g := range candidates(s, all, byLabel) {
			if s.Matches(groups[g].labels) {
				found(r, g)
			}
		}
	}
}

type label struct{ key, value string }

// candidates returns a superset of the groups that a selector matches.
func candidates(s Selector, all []int, byLabel map[label][]int) []int {
	best := all
	for _, required := range s.required() {
		var groups []int
		for _, value := range required.values {
			groups = append(groups, byLabel[label{required.key, value}]...)
		}
		if len(groups) < len(best) {
			best = groups
		}
	}
	return best
}

func customerLabel(c *Customer, key string) (string, bool) {
	return ownedLabel(string(c.ID), c.Team, c.Labels, key)
}

func classLabel(c *Class, key string) (string, bool) {
	return ownedLabel(string(c.ID), c.Team, c.Labels, key)
}

// ownedLabel returns a label of an item that may belong to a team.
func ownedLabel(id, team string, labels map[string]string, key string) (string, bool) {
	switch key {
	case labelID:
		return id, true
	case labelTeam:
		return team, team != ""
	}
	value, ok := labels[key]
	return value, ok
}

func upstreamLabel(u *Upstream, key string) (string, bool) {
	switch key {
	case labelID:
		return string(u.ID), true
	case labelRegion:
		return string(u.Region), true
	case labelZone:
		return string(u.Zone), true
	case labelKind:
		return string(u.Kind), true
	case labelService:
		return u.Service, u.Service != ""
	}
	value, ok := u.Labels[key]
	return value, ok
}
