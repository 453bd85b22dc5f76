package policy

import (
	"fmt"
	"slices"
	"strings"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// Explanation tells what the configuration gives for one kind of request and
// why. It covers the configuration only, not the health or load of upstreams.
type Explanation struct {
	Customer   domain.CustomerID `json:"customer"`
	Class      domain.ClassID    `json:"class"`
	Model      domain.ModelID    `json:"model,omitempty"`
	Adapter    string            `json:"adapter,omitempty"`
	Tier       domain.TierID     `json:"tier,omitempty"`
	Rank       int               `json:"rank"`
	Level      string            `json:"service_level,omitempty"`
	Rules      []RuleMatch       `json:"rules"`
	Upstreams  []UpstreamVerdict `json:"upstreams"`
	Precedence int               `json:"precedence"`
}

// RuleMatch is a rule whose customer and class selectors match.
type RuleMatch struct {
	Name       string `json:"name"`
	Precedence int    `json:"precedence"`
	// Decides is false for rules that a higher precedence overrides.
	Decides bool   `json:"decides"`
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
}

// UpstreamVerdict tells whether one upstream may serve the request.
type UpstreamVerdict struct {
	ID     domain.UpstreamID       `json:"id"`
	Region domain.Region           `json:"region"`
	Zone   domain.AvailabilityZone `json:"zone"`
	In     bool                    `json:"in"`
	// Rules names the deciding rules that select the upstream.
	Rules []string `json:"rules,omitempty"`
	// Reasons says why the upstream is out.
	Reasons []string `json:"reasons,omitempty"`
}

// Explain tells which upstreams may serve a request and why the others may
// not. An empty model asks for a plain service, an empty adapter for the model
// itself. It fails with *NotFoundError for an unknown customer, class or model.
func Explain(p *Policy, customer domain.CustomerID, class domain.ClassID, model domain.ModelID, adapter string) (*Explanation, error) {
	c := p.Customers[customer]
	if c == nil {
		return nil, &NotFoundError{ItemCustomer, string(customer)}
	}
	k := p.Classes[class]
	if k == nil {
		return nil, &NotFoundError{ItemClass, string(class)}
	}
	if model != "" && p.Models[model] == nil {
		return nil, &NotFoundError{ItemModel, string(model)}
	}
	e := &Explanation{Customer: customer, Class: class, Model: model, Adapter: adapter, Rules: []RuleMatch{}}
	if r, ok := p.Route(customer, class); ok {
		e.Tier, e.Rank, e.Level = r.Tier.ID, r.Tier.Rank, r.Level.Name
	}
	matching := matchingRules(p, c, k)
	e.describeRules(matching)
	for i := range p.Upstreams {
		e.Upstreams = append(e.Upstreams, e.verdict(p, &p.Upstreams[i], matching))
	}
	return e, nil
}

// matchingRules returns the rules that match, with the highest precedence
// first.
func matchingRules(p *Policy, c *Customer, k *Class) []*Rule {
	customer := labelView(func(key string) (string, bool) { return customerLabel(c, key) })
	class := labelView(func(key string) (string, bool) { return classLabel(k, key) })
	var rules []*Rule
	for i := range p.Rules {
		r := &p.Rules[i]
		if r.Customers.matchesView(customer) && r.Classes.matchesView(class) {
			rules = append(rules, r)
		}
	}
	slices.SortStableFunc(rules, byPrecedence)
	return rules
}

func (e *Explanation) describeRules(matching []*Rule) {
	for _, r := range matching {
		file, line, _ := r.At("id")
		e.Rules = append(e.Rules, RuleMatch{
			Name:       r.Name,
			Precedence: r.Precedence,
			Decides:    r.Precedence == matching[0].Precedence,
			File:       file,
			Line:       line,
		})
	}
	if len(matching) > 0 {
		e.Precedence = matching[0].Precedence
	}
}

func (e *Explanation) verdict(p *Policy, u *Upstream, matching []*Rule) UpstreamVerdict {
	v := UpstreamVerdict{ID: u.ID, Region: u.Region, Zone: u.Zone}
	v.Rules, v.Reasons = ruleReasons(u, matching)
	v.Reasons = append(v.Reasons, e.fitReasons(p, u)...)
	if u.Draining {
		v.Reasons = append(v.Reasons, "is draining")
	}
	v.In = len(v.Reasons) == 0
	return v
}

// ruleReasons names the deciding rules that select an upstream, or says why
// none does.
func ruleReasons(u *Upstream, matching []*Rule) (rules, reasons []string) {
	if len(matching) == 0 {
		return nil, []string{"no rule matches the customer and class"}
	}
	view := labelView(func(key string) (string, bool) { return upstreamLabel(u, key) })
	for _, r := range matching {
		decides := r.Precedence == matching[0].Precedence
		selected := r.Upstreams.matchesView(view)
		switch {
		case decides && selected:
			rules = append(rules, r.Name)
		case decides:
			reasons = append(reasons, fmt.Sprintf("rule %s requires %s", r.Name, strings.Join(r.Upstreams.unmet(view), ", ")))
		case selected:
			reasons = append(reasons, fmt.Sprintf("rule %s selects it but has the lower precedence %d", r.Name, r.Precedence))
		}
	}
	if len(rules) > 0 {
		return rules, nil
	}
	return nil, reasons
}

// fitReasons says what the upstream lacks for the model and adapter.
func (e *Explanation) fitReasons(p *Policy, u *Upstream) []string {
	if e.Model == "" {
		if u.Kind != domain.KindService {
			return []string{"is an engine, and no model was asked for"}
		}
		return nil
	}
	switch {
	case u.Kind != domain.KindEngine:
		return []string{"is a plain service"}
	case !slices.Contains(u.Models, e.Model):
		return []string{fmt.Sprintf("does not have model %s", e.Model)}
	case !p.AdapterAllowed(u, e.Model, e.Adapter):
		return []string{fmt.Sprintf("may not use adapter %s of model %s", e.Adapter, e.Model)}
	}
	return nil
}

// AdapterAllowed reports whether an upstream may use an adapter of a model. The
// empty adapter, which stands for the model itself, is always allowed.
func (p *Policy) AdapterAllowed(u *Upstream, model domain.ModelID, adapter string) bool {
	if adapter == "" {
		return true
	}
	m := p.Models[model]
	if m == nil || !slices.Contains(m.Adapters, adapter) {
		return false
	}
	return len(u.Adapters) == 0 || slices.Contains(u.Adapters, adapter)
}

// labelView presents an item's own and implicit labels to selectors.
type labelView func(key string) (string, bool)

// Has implements labels.Labels.
func (v labelView) Has(key string) bool {
	_, ok := v(key)
	return ok
}

// Get implements labels.Labels.
func (v labelView) Get(key string) string {
	value, _ := v(key)
	return value
}

// Lookup implements labels.Labels.
func (v labelView) Lookup(key string) (string, bool) { return v(key) }

var _ labels.Labels = labelView(nil)
