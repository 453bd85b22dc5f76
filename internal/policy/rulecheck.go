package policy

import "strings"

// reportConflicts reports each pair of rules that disagree once, with the first
// customer and class that both decide.
func (c *compiler) reportConflicts(rules []int, customers, classes int) {
	a := c.rules[rules[0]]
	for _, r := range rules[1:] {
		b := c.rules[r]
		if a.Tier == b.Tier && a.Level == b.Level || c.conflicts[[2]int{rules[0], r}] {
			continue
		}
		c.conflicts[[2]int{rules[0], r}] = true
		customer := c.doc.Customers[c.customers[customers].items[0]].ID
		class := c.doc.Classes[c.classes[classes].items[0]].ID
		file, line, column := locate(b, "precedence")
		c.list.Errorf(file, line, column, "different precedences, or the same tier and service level",
			"rules %q and %q of precedence %d give customer %q and class %q different %s",
			a.Name, b.Name, b.Precedence, customer, class, difference(a, b))
	}
}

func difference(a, b *Rule) string {
	var parts []string
	if a.Tier != b.Tier {
		parts = append(parts, "tiers ("+string(a.Tier)+", "+string(b.Tier)+")")
	}
	if a.Level != b.Level {
		parts = append(parts, "service levels ("+a.Level+", "+b.Level+")")
	}
	return strings.Join(parts, " and ")
}

// checkSelectors warns about selectors that match nothing. This is no error:
// rented upstreams come and go while their rules stay, and a label edit may take
// the last customer out of a rule. Items that could not be read might match, so
// they silence the findings.
func (c *compiler) checkSelectors() {
	customers := union(c.customerRules, len(c.rules))
	classes := union(c.classRules, len(c.rules))
	unknownCustomers := anyRejected(c.doc.Customers) || c.doc.lost[ItemCustomer]
	unknownClasses := anyRejected(c.doc.Classes) || c.doc.lost[ItemClass]
	unknownUpstreams := anyRejected(c.doc.Upstreams) || c.doc.lost[ItemUpstream]
	for r, rule := range c.rules {
		c.checkSelector(rule, "customers", rule.Customers, customers.has(r) || unknownCustomers)
		c.checkSelector(rule, "classes", rule.Classes, classes.has(r) || unknownClasses)
		c.checkSelector(rule, "upstreams", rule.Upstreams, !c.ruleUpstreams[r].empty() || unknownUpstreams)
	}
}

func (c *compiler) checkSelector(rule *Rule, field string, s Selector, matches bool) {
	if matches || s.String() == "" {
		return
	}
	file, line, column := locate(rule, field)
	c.list.Warnf(file, line, column, "selector over labels of "+field, "%s selector %q of rule %q matches nothing", field, s, rule.Name)
}

func anyRejected[T any, P interface {
	*T
	located
}](items []T) bool {
	for i := range items {
		if P(&items[i]).Rejected("") {
			return true
		}
	}
	return false
}

// reportUnreached warns about customers, classes and default classes that no
// rule reaches.
func (c *compiler) reportUnreached() {
	if len(c.rules) < len(c.doc.Rules) || c.doc.lost[ItemRule] {
		return
	}
	if len(c.doc.Customers) == 0 || len(c.doc.Classes) == 0 {
		return
	}
	classReached := make([]bool, len(c.doc.Classes))
	for i := range c.doc.Customers {
		x := &c.doc.Customers[i]
		row := c.policy.index.routes[i*len(classReached):][:len(classReached)]
		reached := false
		for j := range row {
			if row[j].Customer != nil {
				reached = true
				classReached[j] = true
			}
		}
		if !reached && !x.Rejected("") {
			file, line, column := locate(x, "id")
			c.list.Warnf(file, line, column, "", "no rule reaches customer %q", x.ID)
		}
		if j, ok := c.policy.index.classes[x.DefaultClass]; ok && reached && row[j].Customer == nil {
			file, line, column := locate(x, "default_class")
			c.list.Warnf(file, line, column, "", "no rule reaches customer %q with its default class %q", x.ID, x.DefaultClass)
		}
	}
	for j := range c.doc.Classes {
		if x := &c.doc.Classes[j]; !classReached[j] && !x.Rejected("") {
			file, line, column := locate(x, "id")
			c.list.Warnf(file, line, column, "", "no rule reaches class %q", x.ID)
		}
	}
}
