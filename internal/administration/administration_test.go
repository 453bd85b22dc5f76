package administration_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/examples"
	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
)

func loadExample(t *testing.T) administration.Snapshot {
	d, err := examples.Load("maraval-bay")
	assert.NilError(t, err)
	p, list := policy.Compile(d, 1)
	assert.NilError(t, list.Err())
	return administration.Snapshot{Revision: 1, Document: d, Policy: p}
}

func applyFragment(t *testing.T, d *policy.Document, fragment string) *policy.Document {
	next, list := d.Apply("test", []byte(fragment))
	assert.NilError(t, list.Err())
	return next
}

// Guards against a team token that changes fields beyond labels and weights,
// items the team does not own, or, by naming an old base revision, an item that
// has since moved to another team.
func TestTeamScope(t *testing.T) {
	s := loadExample(t)
	principal := administration.Principal{ID: "schools-desk", Role: policy.RoleTeam, Team: "schools"}
	class := s.Document.Classes[0]
	class.Team = "schools"
	s.Document = s.Document.PutClass(class)
	customer := s.Document.Customers[0]
	for customer.Team != "schools" {
		s.Document.Customers = s.Document.Customers[1:]
		customer = s.Document.Customers[0]
	}
	s.Policy, _ = policy.Compile(s.Document, 1)
	editCustomer := func(change func(*policy.Customer)) *policy.Document {
		c := customer
		change(&c)
		return s.Document.PutCustomer(c)
	}
	setLabel := func(kind policy.ItemKind, id string) *policy.Document {
		d, err := s.Document.SetLabel(kind, id, "season", "high")
		assert.NilError(t, err)
		return d
	}
	removed, err := s.Document.Remove(policy.ItemCustomer, string(customer.ID))
	assert.NilError(t, err)
	added := s.Document.PutCustomer(policy.Customer{ID: "new", Team: "schools", Weight: 1})
	cases := []struct {
		name string
		next *policy.Document
		ok   bool
	}{
		{"own label", setLabel(policy.ItemCustomer, string(customer.ID)), true},
		{"own class label", setLabel(policy.ItemClass, string(class.ID)), true},
		{"own weight", editCustomer(func(c *policy.Customer) { c.Weight = 7 }), true},
		{"own team", editCustomer(func(c *policy.Customer) { c.Team = "hire" }), false},
		{"own limits", editCustomer(func(c *policy.Customer) { c.Limits.Concurrent = 9999 }), false},
		{"own key", editCustomer(func(c *policy.Customer) { c.APIKeys = nil }), false},
		{"own default class", editCustomer(func(c *policy.Customer) { c.DefaultClass = "season-summary" }), false},
		{"other class", setLabel(policy.ItemClass, "season-summary"), false},
		{"upstream", setLabel(policy.ItemUpstream, "lesson-01"), false},
		{"removal", removed, false},
		{"addition", added, false},
	}
	for _, c := range cases {
		_, err := administration.NewPlan(principal, s.Document, 1, s, c.next)
		var scope *administration.ScopeError
		assert.Equal(t, errors.As(err, &scope), !c.ok, "%s: %v", c.name, err)
	}
	current := s
	current.Revision = 2
	current.Document = editCustomer(func(c *policy.Customer) { c.Team = "hire" })
	_, err = administration.NewPlan(principal, s.Document, 1, current, cases[0].next)
	var scope *administration.ScopeError
	assert.Assert(t, errors.As(err, &scope), "item of another team was changed through an old revision")
	principal.Team = ""
	_, err = administration.NewPlan(principal, s.Document, 1, s, cases[0].next)
	assert.Assert(t, errors.As(err, &scope), "a token without a team may change items without a team")
}

// Guards against a merge that loses one side's edit, and against merging two
// rules that conflict only in combination, which daemons would reject. A version
// that does not decode must be a conflict, and an empty base must be accepted.
func TestMerger(t *testing.T) {
	base := loadExample(t).Document
	mine := applyFragment(t, base, "[[rules]]\nid = \"new\"\ntier = \"spare\"\nservice_level = \"hours\"\nclasses = \"id=pupil-report\"\nprecedence = 90\n")
	theirs, err := base.SetDraining("lesson-01", true)
	assert.NilError(t, err)
	merged, conflicts := administration.Merger{}.Merge(base.Encode(), mine.Encode(), theirs.Encode())
	assert.Equal(t, len(conflicts), 0)
	d, list := policy.Decode("merged", merged)
	assert.NilError(t, list.Err())
	assert.Equal(t, len(policy.Diff(base, d)), 2)

	contradicting := applyFragment(t, base, "[[rules]]\nid = \"other\"\ntier = \"beach\"\nservice_level = \"hours\"\nclasses = \"id=pupil-report\"\nprecedence = 90\n")
	_, conflicts = administration.Merger{}.Merge(base.Encode(), mine.Encode(), contradicting.Encode())
	assert.Assert(t, len(conflicts) > 0 && strings.Contains(conflicts[0].Mine, "different tiers"), "%v", conflicts)

	_, conflicts = administration.Merger{}.Merge(base.Encode(), mine.Encode(), []byte("tiers = 3"))
	assert.Equal(t, len(conflicts), 1)
	merged, conflicts = administration.Merger{}.Merge(nil, base.Encode(), base.Encode())
	assert.Equal(t, len(conflicts), 0)
	assert.DeepEqual(t, merged, base.Encode())
}

// A new deployment has no configuration to compare with. Guards against a plan
// for its first configuration that fails or carries warnings.
func TestFirstConfiguration(t *testing.T) {
	s := loadExample(t)
	plan, err := administration.NewPlan(administration.Principal{Role: policy.RoleOperator}, administration.EmptySnapshot().Document, 0, administration.EmptySnapshot(), s.Document)
	assert.NilError(t, err)
	assert.Equal(t, len(plan.Warnings), 0)
	assert.Assert(t, len(plan.Impact) > 0)
}

// Drains all engines one by one. Guards against a warning about an engine whose
// models others still offer, and against a missing warning when a class loses
// its last upstream for a model.
func TestWarnings(t *testing.T) {
	s := loadExample(t)
	next := s.Document
	var err error
	count := 0
	for _, u := range s.Document.Upstreams {
		if u.Kind != domain.KindEngine {
			continue
		}
		if next, err = next.SetDraining(u.ID, true); err != nil {
			t.Fatal(err)
		}
		p, list := policy.Compile(next, 2)
		assert.NilError(t, list.Err())
		count = len(administration.Warnings(s, next, p))
		if u.ID == "lesson-01" {
			assert.Equal(t, count, 0)
		}
	}
	assert.Assert(t, count > 0)
}
