package administration_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/examples"
	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
)

// enlargedExample extends the example configuration to the planned size of 2,000
// customers and 2,500 upstreams.
func enlargedExample(b *testing.B) administration.Snapshot {
	d, err := examples.Load("maraval-bay")
	assert.NilError(b, err)
	customers, upstreams := d.Customers, d.Upstreams
	d = d.Clone()
	for i := len(customers); i < 2000; i++ {
		c := customers[i%len(customers)]
		c.ID = domain.CustomerID(fmt.Sprintf("%s-%d", c.ID, i))
		c.APIKeys = []policy.KeyHash{policy.HashKey(fmt.Sprint(i))}
		d.Customers = append(d.Customers, c)
	}
	for i := len(upstreams); i < 2500; i++ {
		u := upstreams[i%len(upstreams)]
		u.ID = domain.UpstreamID(fmt.Sprintf("%s-%d", u.ID, i))
		u.Address = fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250)
		d.Upstreams = append(d.Upstreams, u)
	}
	p, list := policy.Compile(d, 1)
	assert.NilError(b, list.Err())
	return administration.Snapshot{Revision: 1, Document: d, Policy: p}
}

// BenchmarkChange measures the steps of one configuration change at the planned
// size.
func BenchmarkChange(b *testing.B) {
	s := enlargedExample(b)
	operator := administration.Principal{Role: policy.RoleOperator}
	next, err := s.Document.SetLabel(policy.ItemUpstream, "lesson-02", "size", "large")
	assert.NilError(b, err)
	other, err := s.Document.SetDraining("lesson-03", true)
	assert.NilError(b, err)
	otherPolicy, _ := policy.Compile(other, 2)
	later := administration.Snapshot{Revision: 2, Document: other, Policy: otherPolicy}
	b.Run("same base", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, err := administration.NewPlan(operator, s.Document, 1, s, next)
			assert.NilError(b, err)
		}
	})
	b.Run("older base", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, err := administration.NewPlan(operator, s.Document, 1, later, next)
			assert.NilError(b, err)
		}
	})
	b.Run("merger", func(b *testing.B) {
		base, mine, theirs := s.Document.Encode(), next.Encode(), other.Encode()
		b.ReportAllocs()
		for b.Loop() {
			_, conflicts := administration.Merger{}.Merge(base, mine, theirs)
			assert.Equal(b, len(conflicts), 0)
		}
		b.ReportMetric(float64(len(base)), "B-document")
	})
	b.Run("compile", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			policy.Compile(next, 2)
		}
	})
	b.Run("diff", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			policy.Diff(s.Document, next)
		}
	})
}
