package administration

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
)

// WarningCode identifies the kind of a Warning.
type WarningCode string

const (
	// WarningClassWithoutUpstreams means that a class would lose its last usable
	// upstream for a model or service.
	WarningClassWithoutUpstreams WarningCode = "class_without_upstreams"
	// WarningNoOperator means that no administration token with the operator
	// role would be left.
	WarningNoOperator WarningCode = "no_operator_token"
)

// maxNamedCustomers is the maximum number of customers that one warning names.
const maxNamedCustomers = 5

// Warning is an effect of a change that an operator must confirm with force.
type Warning struct {
	Code  WarningCode    `json:"code"`
	Class domain.ClassID `json:"class,omitempty"`
	// Model or Service is what the class would no longer have an upstream for.
	Model   domain.ModelID `json:"model,omitempty"`
	Service string         `json:"service,omitempty"`
	// Affected is the number of affected customers. Customers lists the first
	// maxNamedCustomers of them.
	Affected  int                 `json:"affected_customers,omitempty"`
	Customers []domain.CustomerID `json:"customers,omitempty"`
	Message   string              `json:"message"`
}

// capability is a model or service that an upstream offers.
type capability struct {
	model   domain.ModelID
	service string
}

// Warnings returns the warnings about replacing the current configuration with
// next. Draining upstreams count as removed.
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
	oldCapabilities, remaining := newCapabilities(before), newCapabilities(after)
	losses := map[lossKey]*Warning{}
	for customer := range before.Customers {
		for class := range before.Classes {
			if after.Customers[customer] == nil || after.Classes[class] == nil {
				continue
			}
			available := remaining.forRoute(customer, class)
			for c := range oldCapabilities.forRoute(customer, class) {
				if !available[c] {
					addLoss(losses, lossKey{class, c}, customer)
				}
			}
		}
	}
	return lossWarnings(losses)
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

func lossWarnings(losses map[lossKey]*Warning) []Warning {
	warnings := make([]Warning, 0, len(losses))
	for _, w := range losses {
		slices.Sort(w.Customers)
		w.Customers = w.Customers[:min(len(w.Customers), maxNamedCustomers)]
		resource := fmt.Sprintf("model %s", w.Model)
		if w.Service != "" {
			resource = fmt.Sprintf("service %s", w.Service)
		}
		w.Message = fmt.Sprintf("class %s of %d customers would have no upstream for %s", w.Class, w.Affected, resource)
		warnings = append(warnings, *w)
	}
	slices.SortFunc(warnings, func(a, b Warning) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Service, b.Service))
	})
	return warnings
}

// capabilities finds the capabilities of each route's usable upstreams. Routes
// share their lists of upstreams, so the result for each list is cached under
// the address of its first element.
type capabilities struct {
	policy      *policy.Policy
	byUpstreams map[*int]map[capability]bool
}

func newCapabilities(p *policy.Policy) *capabilities {
	return &capabilities{policy: p, byUpstreams: map[*int]map[capability]bool{}}
}

func (c *capabilities) forRoute(customer domain.CustomerID, class domain.ClassID) map[capability]bool {
	route, ok := c.policy.Route(customer, class)
	if !ok || len(route.Upstreams) == 0 {
		return nil
	}
	key := &route.Upstreams[0]
	if set, ok := c.byUpstreams[key]; ok {
		return set
	}
	set := map[capability]bool{}
	for _, i := range route.Upstreams {
		c.add(set, &c.policy.Upstreams[i])
	}
	c.byUpstreams[key] = set
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
