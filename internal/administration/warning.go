package administration

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
)

// WarningCode is the type of a Warning.
type WarningCode string

const (
	// WarningClassWithoutUpstreams means that the last usable upstream of a
	// class for a model or service would go.
	WarningClassWithoutUpstreams WarningCode = "class_without_upstreams"
	// WarningNoOperator means that no administration token of role operator
	// would be left.
	WarningNoOperator WarningCode = "no_operator_token"
)

// maxNamedCustomers bounds the customers that one warning names.
const maxNamedCustomers = 5

// Warning is a consequence that an operator has to confirm with force.
type Warning struct {
	Code  WarningCode    `json:"code"`
	Class domain.ClassID `json:"class,omitempty"`
	// Model or Service is what the class can no longer use.
	Model   domain.ModelID `json:"model,omitempty"`
	Service string         `json:"service,omitempty"`
	// Affected is the number of customers; Customers names the first of them.
	Affected  int                 `json:"affected_customers,omitempty"`
	Customers []domain.CustomerID `json:"customers,omitempty"`
	Message   string              `json:"message"`
}

// capability is something that an upstream can do for a class.
type capability struct {
	model   domain.ModelID
	service string
}

// Warnings lists what a change takes away. Draining upstreams count as gone.
func Warnings(current Snapshot, next *policy.Document, compiled *policy.Policy) []Warning {
	warnings := lostCapabilities(current.Policy, compiled)
	if current.Document.HasOperator() && !next.HasOperator() {
		warnings = append(warnings, Warning{
			Code:    WarningNoOperator,
			Message: "no administration token of role operator would be left",
		})
	}
	return warnings
}

type lossKey struct {
	class domain.ClassID
	capability
}

func lostCapabilities(before, after *policy.Policy) []Warning {
	olds, news := newCapabilities(before), newCapabilities(after)
	losses := map[lossKey]*Warning{}
	for customer := range before.Customers {
		for class := range before.Classes {
			if after.Customers[customer] == nil || after.Classes[class] == nil {
				continue
			}
			have := news.of(customer, class)
			for c := range olds.of(customer, class) {
				if !have[c] {
					addLoss(losses, lossKey{class, c}, customer)
				}
			}
		}
	}
	return sortedLosses(losses)
}

func addLoss(losses map[lossKey]*Warning, key lossKey, customer domain.CustomerID) {
	w := losses[key]
	if w == nil {
		w = &Warning{Code: WarningClassWithoutUpstreams, Class: key.class, Model: key.model, Service: key.service}
		losses[key] = w
	}
	w.Affected++
	w.Customers = append(w.Customers, customer)
}

func sortedLosses(losses map[lossKey]*Warning) []Warning {
	warnings := make([]Warning, 0, len(losses))
	for _, w := range losses {
		slices.Sort(w.Customers)
		w.Customers = w.Customers[:min(len(w.Customers), maxNamedCustomers)]
		what := fmt.Sprintf("model %s", w.Model)
		if w.Service != "" {
			what = fmt.Sprintf("service %s", w.Service)
		}
		w.Message = fmt.Sprintf("class %s of %d customers would have no upstream for %s", w.Class, w.Affected, what)
		warnings = append(warnings, *w)
	}
	slices.SortFunc(warnings, func(a, b Warning) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Service, b.Service))
	})
	return warnings
}

// capabilities finds what the usable upstreams of each route can do. Routes
// share their lists of upstreams, so each list is examined once.
type capabilities struct {
	policy *policy.Policy
	known  map[*int]map[capability]bool
}

func newCapabilities(p *policy.Policy) *capabilities {
	return &capabilities{policy: p, known: map[*int]map[capability]bool{}}
}

func (c *capabilities) of(customer domain.CustomerID, class domain.ClassID) map[capability]bool {
	route, ok := c.policy.Route(customer, class)
	if !ok || len(route.Upstreams) == 0 {
		return nil
	}
	key := &route.Upstreams[0]
	if set, ok := c.known[key]; ok {
		return set
	}
	set := map[capability]bool{}
	for _, i := range route.Upstreams {
		c.add(set, &c.policy.Upstreams[i])
	}
	c.known[key] = set
	return set
}

func (c *capabilities) add(set map[capability]bool, u *policy.Upstream) {
	if u.Draining {
		return
	}
	if u.Service != "" {
		set[capability{service: u.Service}] = true
	}
	for _, m := range u.Models {
		set[capability{model: m}] = true
	}
}
