package policy

import (
	"slices"
	"strings"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/findings"
)

// index holds the lookups of a compiled policy.
type index struct {
	keys      map[KeyHash]*Customer
	customers map[domain.CustomerID]int
	classes   map[domain.ClassID]int
	upstreams map[domain.UpstreamID]int
	// routes holds one Route per customer and class, row by row; a nil Tier
	// means that no rule matches.
	routes []Route
	width  int
}

// CustomerByKey returns the customer whose API key has a hash, or nil.
func (p *Policy) CustomerByKey(hash KeyHash) *Customer { return p.index.keys[hash] }

// Upstream returns an upstream by its identifier, or nil.
func (p *Policy) Upstream(id domain.UpstreamID) *Upstream {
	if i, ok := p.index.upstreams[id]; ok {
		return &p.Upstreams[i]
	}
	return nil
}

// Route returns what the rules give for a customer and class. It is false when
// either does not exist or no rule matches. It does not allocate.
func (p *Policy) Route(customer domain.CustomerID, class domain.ClassID) (*Route, bool) {
	row, ok := p.index.customers[customer]
	if !ok {
		return nil, false
	}
	column, ok := p.index.classes[class]
	if !ok {
		return nil, false
	}
	r := &p.index.routes[row*p.index.width+column]
	return r, r.Tier != nil
}

// Compile turns a document into a policy. The policy is nil when the findings
// hold an error. The policy shares maps with the document, which must not be
// changed afterwards.
func Compile(d *Document, revision domain.Revision) (*Policy, findings.List) {
	var list findings.List
	check(d, &list)
	doc := d.Clone()
	doc.sort()
	p := newPolicy(doc, revision)
	c := newCompiler(p, doc, &list)
	c.checkSelectors()
	c.buildRoutes()
	c.reportUnreached()
	list.Sort()
	if list.HasErrors() {
		return nil, list
	}
	return p, list
}

func newPolicy(d *Document, revision domain.Revision) *Policy {
	p := &Policy{
		Revision:  revision,
		Tiers:     d.Tiers,
		Levels:    byID(d.Levels, func(l *ServiceLevel) string { return l.Name }),
		Models:    byID(d.Models, func(m *Model) domain.ModelID { return m.ID }),
		Classes:   byID(d.Classes, func(c *Class) domain.ClassID { return c.ID }),
		Customers: byID(d.Customers, func(c *Customer) domain.CustomerID { return c.ID }),
		Upstreams: d.Upstreams,
		Regions:   byID(d.Regions, func(r *Region) domain.Region { return r.ID }),
		Rules:     d.Rules,
		Routing:   d.Routing,
	}
	for i := range p.Tiers {
		p.Tiers[i].Rank = i
	}
	p.index = index{
		keys:      map[KeyHash]*Customer{},
		customers: positions(d.Customers, func(c *Customer) domain.CustomerID { return c.ID }),
		classes:   positions(d.Classes, func(c *Class) domain.ClassID { return c.ID }),
		upstreams: positions(d.Upstreams, func(u *Upstream) domain.UpstreamID { return u.ID }),
		routes:    make([]Route, len(d.Customers)*len(d.Classes)),
		width:     len(d.Classes),
	}
	for i := range d.Customers {
		for _, k := range d.Customers[i].APIKeys {
			p.index.keys[k] = &d.Customers[i]
		}
	}
	return p
}

func byID[K comparable, T any](items []T, id func(*T) K) map[K]*T {
	m := make(map[K]*T, len(items))
	for i := range items {
		m[id(&items[i])] = &items[i]
	}
	return m
}

func positions[K comparable, T any](items []T, id func(*T) K) map[K]int {
	m := make(map[K]int, len(items))
	for i := range items {
		m[id(&items[i])] = i
	}
	return m
}

// group is a set of items that no selector can tell apart, so that they share
// all matching work.
type group struct {
	labels map[string]string
	items  []int // ascending
}

// compiler evaluates the rules over groups of customers, classes and upstreams.
type compiler struct {
	policy *Policy
	doc    *Document
	list   *findings.List

	customers, classes, upstreams []group
	// customerRules[g] and classRules[g] are the rules that match a group.
	customerRules, classRules []bitset
	// ruleUpstreams[r] are the upstream groups that rule r selects.
	ruleUpstreams []bitset
	// byPrecedence lists rules with the highest precedence first.
	byPrecedence []int
	tiers        map[domain.TierID]*Tier
	decisions    map[string]*decision
	conflicts    map[[2]int]bool
}

// decision is the part of a Route that depends on the matching rules only.
type decision struct {
	tier      *Tier
	level     *ServiceLevel
	upstreams []int
	rules     []string
}

func newCompiler(p *Policy, d *Document, list *findings.List) *compiler {
	c := &compiler{
		policy:    p,
		doc:       d,
		list:      list,
		tiers:     byID(p.Tiers, func(t *Tier) domain.TierID { return t.ID }),
		decisions: map[string]*decision{},
		conflicts: map[[2]int]bool{},
	}
	c.customers = groups(len(d.Customers), selected(d.Rules, ruleCustomers), func(i int, key string) (string, bool) {
		return customerLabel(&d.Customers[i], key)
	})
	c.classes = groups(len(d.Classes), selected(d.Rules, ruleClasses), func(i int, key string) (string, bool) {
		return classLabel(&d.Classes[i], key)
	})
	c.upstreams = groups(len(d.Upstreams), selected(d.Rules, ruleUpstreams), func(i int, key string) (string, bool) {
		return upstreamLabel(&d.Upstreams[i], key)
	})
	c.match()
	return c
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
				text = append(text, '=')
				text = append(text, value...)
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

func customerLabel(c *Customer, key string) (string, bool) {
	switch key {
	case labelID:
		return string(c.ID), true
	case labelTeam:
		return c.Team, c.Team != ""
	}
	value, ok := c.Labels[key]
	return value, ok
}

func classLabel(c *Class, key string) (string, bool) {
	if key == labelID {
		return string(c.ID), true
	}
	value, ok := c.Labels[key]
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

// match evaluates each selector once per group.
func (c *compiler) match() {
	rules := c.doc.Rules
	c.customerRules = make([]bitset, len(c.customers))
	for g := range c.customers {
		c.customerRules[g] = matching(rules, ruleCustomers, c.customers[g].labels)
	}
	c.classRules = make([]bitset, len(c.classes))
	for g := range c.classes {
		c.classRules[g] = matching(rules, ruleClasses, c.classes[g].labels)
	}
	c.ruleUpstreams = make([]bitset, len(rules))
	for r := range rules {
		c.ruleUpstreams[r] = newBitset(len(c.upstreams))
		for g := range c.upstreams {
			if rules[r].Upstreams.Matches(c.upstreams[g].labels) {
				c.ruleUpstreams[r].set(g)
			}
		}
	}
	c.byPrecedence = make([]int, len(rules))
	for r := range rules {
		c.byPrecedence[r] = r
	}
	slices.SortStableFunc(c.byPrecedence, func(a, b int) int {
		return rules[b].Precedence - rules[a].Precedence
	})
}

func matching(rules []Rule, selector func(*Rule) Selector, labels map[string]string) bitset {
	set := newBitset(len(rules))
	for r := range rules {
		if selector(&rules[r]).Matches(labels) {
			set.set(r)
		}
	}
	return set
}

// buildRoutes decides each pair of customer group and class group and writes
// the routes of all their members.
func (c *compiler) buildRoutes() {
	both := newBitset(len(c.doc.Rules))
	for cg := range c.customers {
		for kg := range c.classes {
			both.and(c.customerRules[cg], c.classRules[kg])
			top := c.top(both)
			if len(top) == 0 {
				continue
			}
			c.reportConflicts(top, cg, kg)
			c.fill(cg, kg, c.decide(top))
		}
	}
}

// top returns the rules of the highest precedence in a set, in rule order.
func (c *compiler) top(set bitset) []int {
	var top []int
	for _, r := range c.byPrecedence {
		if !set.has(r) {
			continue
		}
		if len(top) > 0 && c.doc.Rules[r].Precedence != c.doc.Rules[top[0]].Precedence {
			break
		}
		top = append(top, r)
	}
	return top
}

// decide returns the shared decision of a set of rules.
func (c *compiler) decide(rules []int) *decision {
	key := make([]byte, 0, len(rules)*4)
	for _, r := range rules {
		key = append(key, byte(r), byte(r>>8), byte(r>>16), byte(r>>24))
	}
	if d, ok := c.decisions[string(key)]; ok {
		return d
	}
	first := &c.doc.Rules[rules[0]]
	d := &decision{
		tier:  c.tiers[first.Tier],
		level: c.policy.Levels[first.Level],
	}
	reachable := newBitset(len(c.upstreams))
	for _, r := range rules {
		reachable.or(c.ruleUpstreams[r])
		d.rules = append(d.rules, c.doc.Rules[r].Name)
	}
	for g := range c.upstreams {
		if reachable.has(g) {
			d.upstreams = append(d.upstreams, c.upstreams[g].items...)
		}
	}
	slices.Sort(d.upstreams)
	c.decisions[string(key)] = d
	return d
}

func (c *compiler) fill(customers, classes int, d *decision) {
	width := c.policy.index.width
	for _, i := range c.customers[customers].items {
		for _, j := range c.classes[classes].items {
			c.policy.index.routes[i*width+j] = Route{
				Customer:  &c.doc.Customers[i],
				Class:     &c.doc.Classes[j],
				Tier:      d.tier,
				Level:     d.level,
				Upstreams: d.upstreams,
				Rules:     d.rules,
			}
		}
	}
}

// reportConflicts reports each pair of rules that disagree once, with the first
// customer and class that both decide.
func (c *compiler) reportConflicts(rules []int, customers, classes int) {
	a := &c.doc.Rules[rules[0]]
	for _, r := range rules[1:] {
		b := &c.doc.Rules[r]
		if a.Tier == b.Tier && a.Level == b.Level || c.conflicts[[2]int{rules[0], r}] {
			continue
		}
		c.conflicts[[2]int{rules[0], r}] = true
		customer := c.doc.Customers[c.customers[customers].items[0]].ID
		class := c.doc.Classes[c.classes[classes].items[0]].ID
		file, line, column := b.At("precedence")
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

// checkSelectors reports selectors that match nothing. For upstreams this is a
// warning, because rented upstreams come and go while their rules stay.
func (c *compiler) checkSelectors() {
	customers := union(c.customerRules, len(c.doc.Rules))
	classes := union(c.classRules, len(c.doc.Rules))
	for r := range c.doc.Rules {
		rule := &c.doc.Rules[r]
		if !customers.has(r) {
			file, line, column := rule.At("customers")
			c.list.Errorf(file, line, column, "selector over customer labels", "customers selector %q of rule %q matches nothing", rule.Customers, rule.Name)
		}
		if !classes.has(r) {
			file, line, column := rule.At("classes")
			c.list.Errorf(file, line, column, "selector over class labels", "classes selector %q of rule %q matches nothing", rule.Classes, rule.Name)
		}
		if c.ruleUpstreams[r].empty() {
			file, line, column := rule.At("upstreams")
			c.list.Warnf(file, line, column, "selector over upstream labels", "upstreams selector %q of rule %q matches nothing", rule.Upstreams, rule.Name)
		}
	}
}

// reportUnreached warns about customers and classes that no rule reaches.
func (c *compiler) reportUnreached() {
	width := c.policy.index.width
	classReached := make([]bool, width)
	for i := range c.doc.Customers {
		reached := false
		for j := range c.doc.Classes {
			if c.policy.index.routes[i*width+j].Customer != nil {
				reached = true
				classReached[j] = true
			}
		}
		if !reached {
			x := &c.doc.Customers[i]
			file, line, column := x.At("id")
			c.list.Warnf(file, line, column, "", "no rule reaches customer %q", x.ID)
		}
	}
	for j := range c.doc.Classes {
		if !classReached[j] {
			x := &c.doc.Classes[j]
			file, line, column := x.At("id")
			c.list.Warnf(file, line, column, "", "no rule reaches class %q", x.ID)
		}
	}
}
