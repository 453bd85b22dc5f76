package policy

import (
	"cmp"
	"slices"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/findings"
)

// index holds the lookups of a compiled policy.
type index struct {
	keys        map[KeyHash]*Customer
	adminTokens map[KeyHash]*AdminToken
	customers   map[domain.CustomerID]int
	classes     map[domain.ClassID]int
	upstreams   map[domain.UpstreamID]int
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

// HasZone reports whether an availability zone belongs to a region. A daemon
// whose settings name another place cannot tell near upstreams from remote ones.
func (p *Policy) HasZone(region domain.Region, zone domain.AvailabilityZone) bool {
	r := p.Regions[region]
	return r != nil && slices.Contains(r.Zones, zone)
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
	p.dropPlaces()
	return p, list
}

// dropPlaces releases the positions in the files, which a policy in force does
// not need. Rules keep theirs for Explain.
func (p *Policy) dropPlaces() {
	for i := range p.Tiers {
		p.Tiers[i].Place = nil
	}
	for i := range p.Upstreams {
		p.Upstreams[i].Place = nil
	}
	for _, l := range p.Levels {
		l.Place = nil
	}
	for _, m := range p.Models {
		m.Place = nil
	}
	for _, c := range p.Classes {
		c.Place = nil
	}
	for _, c := range p.Customers {
		c.Place = nil
	}
	for _, r := range p.Regions {
		r.Place = nil
	}
}

func newPolicy(d *Document, revision domain.Revision) *Policy {
	p := &Policy{
		Revision:  revision,
		Tiers:     d.Tiers,
		Levels:    byID(d.Levels, levelID),
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
		keys:        map[KeyHash]*Customer{},
		adminTokens: indexAdminTokens(d.AdminTokens),
		customers:   positions(d.Customers, func(c *Customer) domain.CustomerID { return c.ID }),
		classes:     positions(d.Classes, func(c *Class) domain.ClassID { return c.ID }),
		upstreams:   positions(d.Upstreams, func(u *Upstream) domain.UpstreamID { return u.ID }),
		routes:      make([]Route, len(d.Customers)*len(d.Classes)),
		width:       len(d.Classes),
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
	// rules lists the usable rules with the highest precedence first. Sets of
	// rules hold indexes into it.
	rules     []*Rule
	tiers     map[domain.TierID]*Tier
	decisions map[string]*decision
	conflicts map[[2]int]bool
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

// match evaluates the selectors over the groups. Rules that could not be read
// completely match nothing.
func (c *compiler) match() {
	c.rules = make([]*Rule, 0, len(c.doc.Rules))
	for r := range c.doc.Rules {
		if !c.doc.Rules[r].Rejected("") {
			c.rules = append(c.rules, &c.doc.Rules[r])
		}
	}
	slices.SortStableFunc(c.rules, byPrecedence)
	c.customerRules = newBitsets(len(c.customers), len(c.rules))
	eachMatch(c.rules, ruleCustomers, c.customers, func(r, g int) { c.customerRules[g].set(r) })
	c.classRules = newBitsets(len(c.classes), len(c.rules))
	eachMatch(c.rules, ruleClasses, c.classes, func(r, g int) { c.classRules[g].set(r) })
	c.ruleUpstreams = newBitsets(len(c.rules), len(c.upstreams))
	eachMatch(c.rules, ruleUpstreams, c.upstreams, func(r, g int) { c.ruleUpstreams[r].set(g) })
}

// byPrecedence orders rules with the highest precedence first.
func byPrecedence(a, b *Rule) int { return cmp.Compare(b.Precedence, a.Precedence) }

// buildRoutes decides each pair of customer group and class group and writes
// the routes of all their members.
func (c *compiler) buildRoutes() {
	both := newBitset(len(c.rules))
	var top []int
	for cg := range c.customers {
		for kg := range c.classes {
			both.and(c.customerRules[cg], c.classRules[kg])
			top = c.top(top[:0], both)
			if len(top) == 0 {
				continue
			}
			c.reportConflicts(top, cg, kg)
			c.fill(cg, kg, c.decide(top))
		}
	}
}

// top appends the rules of the highest precedence in a set.
func (c *compiler) top(into []int, set bitset) []int {
	for r := set.next(0); r >= 0; r = set.next(r + 1) {
		if len(into) > 0 && c.rules[r].Precedence != c.rules[into[0]].Precedence {
			break
		}
		into = append(into, r)
	}
	return into
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
	first := c.rules[rules[0]]
	d := &decision{
		tier:  c.tiers[first.Tier],
		level: c.policy.Levels[first.Level],
	}
	reachable := newBitset(len(c.upstreams))
	for _, r := range rules {
		reachable.or(c.ruleUpstreams[r])
		d.rules = append(d.rules, c.rules[r].Name)
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
				decision:  d,
			}
		}
	}
}
