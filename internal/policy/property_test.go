package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/findings"
	"github.com/auburndyke/auburndyke/internal/tomlstrict"
)

var labelSets = rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.SampledFrom([]string{"x", "y"}), 0, 3)

var selectors = rapid.Custom(func(t *rapid.T) Selector {
	text := rapid.SampledFrom([]string{"", "a", "!a", "a=x", "a!=x", "b in (x,y)", "b notin (x),c", "id=i1", "a=x,b=y"}).Draw(t, "selector")
	s, err := ParseSelector(text)
	assert.NilError(t, err)
	return s
})

// documents draws documents that decode without an error. All rules of one
// precedence agree, so that they compile too.
var documents = rapid.Custom(func(t *rapid.T) *Document {
	d := &Document{
		Tiers:   []Tier{{ID: "t0", MinShare: 0.07, Preempts: true}, {ID: "t1", Rank: 3}},
		Levels:  []ServiceLevel{{Name: "l", FirstToken: 770 * time.Millisecond, Attainment: 0.95}},
		Models:  []Model{{ID: "m", WeightBytes: rapid.Int64Range(0, 1<<50).Draw(t, "weights")}},
		Regions: []Region{{ID: "r", Zones: []domain.AvailabilityZone{"z"}}},
		Routing: Routing{SecondValue: rapid.Float64Range(0, 10).Draw(t, "value"), BytesPerToken: 9},
	}
	for i := range rapid.IntRange(0, 4).Draw(t, "customers") {
		d.Customers = append(d.Customers, Customer{
			ID:      domain.CustomerID(fmt.Sprintf("i%d", i)),
			Labels:  labelSets.Draw(t, "labels"),
			Weight:  rapid.SampledFrom([]float64{1, 0.25, 3e9}).Draw(t, "weight"),
			APIKeys: []KeyHash{HashKey(fmt.Sprint(i))},
		})
	}
	for i := range rapid.IntRange(0, 4).Draw(t, "classes") {
		d.Classes = append(d.Classes, Class{
			ID:          domain.ClassID(fmt.Sprintf("i%d", i)),
			Labels:      labelSets.Draw(t, "labels"),
			Repeatable:  rapid.Bool().Draw(t, "repeatable"),
			Limits:      Limits{Concurrent: rapid.IntRange(0, 3).Draw(t, "concurrent")},
			ClaimOutage: ClaimOutageRefuse,
		})
	}
	for i := range rapid.IntRange(0, 5).Draw(t, "upstreams") {
		d.Upstreams = append(d.Upstreams, Upstream{
			ID: domain.UpstreamID(fmt.Sprintf("i%d", i)), Kind: domain.KindEngine,
			Address: fmt.Sprintf("127.0.0.1:%d", 21000+i), Region: "r", Zone: "z", Slots: 1,
			Labels: labelSets.Draw(t, "labels"), Models: []domain.ModelID{"m"}, Role: domain.RoleBoth,
			Draining: rapid.Bool().Draw(t, "draining"),
		})
	}
	for i := range rapid.IntRange(0, 5).Draw(t, "rules") {
		precedence := rapid.IntRange(-1, 1).Draw(t, "precedence")
		d.Rules = append(d.Rules, Rule{
			Name: fmt.Sprintf("r%d", i), Precedence: precedence, Level: "l",
			Tier:      domain.TierID(fmt.Sprintf("t%d", precedence&1)),
			Customers: selectors.Draw(t, "customers"),
			Classes:   selectors.Draw(t, "classes"),
			Upstreams: selectors.Draw(t, "upstreams"),
		})
	}
	return d
})

// Guards against an encoding that loses or changes part of a configuration.
func TestEncodeDecodesToTheSameDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := documents.Draw(t, "document")
		d.Rules = append(d.Rules, Rule{Name: rapid.String().Draw(t, "name")})
		text := d.Encode()
		decoded := &Document{}
		decoded.SetDefaults()
		var list findings.List
		tomlstrict.Decode("p.toml", text, decoded, &list)
		assert.NilError(t, list.Err(), string(text))
		assert.Equal(t, string(decoded.Encode()), string(text))
		assert.DeepEqual(t, Diff(d, decoded), []Change(nil))
	})
}

// naiveRoute evaluates the rule semantics without any sharing.
func naiveRoute(d *Document, c *Customer, k *Class) (tier domain.TierID, upstreams []int) {
	matches := func(s Selector, id string, labels map[string]string) bool {
		set := copyLabels(labels)
		set["id"] = id
		return s.Matches(set)
	}
	var top []Rule
	for _, r := range d.Rules {
		if matches(r.Customers, string(c.ID), c.Labels) && matches(r.Classes, string(k.ID), k.Labels) {
			top = append(top, r)
		}
	}
	slices.SortFunc(top, func(a, b Rule) int { return b.Precedence - a.Precedence })
	for _, r := range top {
		if r.Precedence != top[0].Precedence {
			break
		}
		tier = r.Tier
		for i, u := range d.Upstreams {
			if matches(r.Upstreams, string(u.ID), u.Labels) {
				upstreams = append(upstreams, i)
			}
		}
	}
	slices.Sort(upstreams)
	return tier, slices.Compact(upstreams)
}

// Guards against sharing between equal label sets that changes a route, and
// against an Explain that disagrees with Route.
func TestRouteFollowsTheRuleSemantics(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := documents.Draw(t, "document")
		p, list := Compile(d, 1)
		assert.NilError(t, list.Err())
		for i := range d.Customers {
			for j := range d.Classes {
				c, k := &d.Customers[i], &d.Classes[j]
				tier, upstreams := naiveRoute(d, c, k)
				r, ok := p.Route(c.ID, k.ID)
				assert.Equal(t, ok, tier != "")
				e, err := Explain(p, c.ID, k.ID, "m", "")
				assert.NilError(t, err)
				assert.Equal(t, e.Tier, tier)
				for n, v := range e.Upstreams {
					assert.Equal(t, v.In, slices.Contains(upstreams, n) && !d.Upstreams[n].Draining)
					assert.Equal(t, v.In, len(v.Reasons) == 0)
				}
				if ok {
					assert.Equal(t, r.Tier.ID, tier)
					assert.Assert(t, slices.Equal(r.Upstreams, upstreams))
				}
			}
		}
	})
}

// drawEdit changes one random thing of a document.
func drawEdit(t *rapid.T, d *Document) *Document {
	if len(d.Upstreams) == 0 {
		return d.SetRouting(Routing{BytesPerToken: rapid.IntRange(1, 3).Draw(t, "bytes")})
	}
	id := rapid.SampledFrom(d.Upstreams).Draw(t, "upstream").ID
	var next *Document
	var err error
	switch rapid.IntRange(0, 3).Draw(t, "edit") {
	case 0:
		next, err = d.SetDraining(id, rapid.Bool().Draw(t, "draining"))
	case 1:
		next, err = d.SetLabel(ItemUpstream, string(id), "a", rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "value"))
	case 2:
		next, err = d.RemoveLabel(ItemUpstream, string(id), "b")
	default:
		next, err = d.Remove(ItemUpstream, string(id))
	}
	assert.NilError(t, err)
	return next
}

// Guards against edits that change the original, merges that depend on the
// order of the sides, and changes that get lost without a conflict.
func TestMergeKeepsBothSides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := documents.Draw(t, "base")
		before := string(base.Encode())
		mine, theirs := drawEdit(t, base), drawEdit(t, base)
		assert.Equal(t, string(base.Encode()), before)
		merged, conflicts := Merge(base, mine, theirs)
		swapped, reverse := Merge(base, theirs, mine)
		assert.Equal(t, len(conflicts), len(reverse))
		if len(conflicts) > 0 {
			assert.Assert(t, conflicts[0].Mine != conflicts[0].Theirs)
			return
		}
		assert.Assert(t, merged.Equal(swapped))
		for _, side := range []*Document{mine, theirs} {
			for _, change := range Diff(base, side) {
				assert.Assert(t, slices.ContainsFunc(Diff(base, merged), func(c Change) bool {
					return c.Kind == change.Kind && c.ID == change.ID
				}), "%v is lost", change)
			}
		}
		assert.Equal(t, len(Diff(mine, merged)) > 0, len(Diff(base, theirs)) > 0 && !mine.Equal(merged))
	})
}
