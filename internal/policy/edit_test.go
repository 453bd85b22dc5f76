package policy

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

func load(t testing.TB) (*Document, *Policy) {
	d, p, list := Load(1, readExample(t, "maraval-bay")...)
	assert.NilError(t, list.Err())
	return d, p
}

// Guards against conflicts that hide one side, and against conflicts about
// changes of different labels or fields.
func TestMergeConflicts(t *testing.T) {
	base, _ := load(t)
	drained, err := base.SetDraining("lesson-01", true)
	assert.NilError(t, err)
	moved, err := base.SetAddress("lesson-01", "127.0.0.1:21050")
	assert.NilError(t, err)
	removed, err := base.Remove(ItemUpstream, "lesson-01")
	assert.NilError(t, err)
	day, _ := base.SetLabel(ItemUpstream, "lesson-02", "rental", "week")
	night, _ := base.SetLabel(ItemUpstream, "lesson-02", "rental", "night")
	added := base.PutTier(Tier{ID: "new", Rank: 20})
	addedToo := base.PutTier(Tier{ID: "new", Rank: 20, Preempts: true})
	cases := []struct {
		name         string
		mine, theirs *Document
		want         []Conflict
	}{
		{"different fields", drained, moved, nil},
		{"equal changes", drained, drained, nil},
		{"one label", day, night, []Conflict{{ItemUpstream, "lesson-02", "labels.rental", `"day"`, `"week"`, `"night"`}}},
		{"addition", added, addedToo, []Conflict{{ItemTier, "new", "preempts", "", "", "true"}}},
	}
	for _, c := range cases {
		_, got := Merge(base, c.mine, c.theirs)
		assert.DeepEqual(t, got, c.want)
	}
	merged, got := Merge(base, removed, drained)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Mine, "")
	assert.Equal(t, len(merged.Upstreams), len(base.Upstreams))
}

// Guards against an impact that misses traffic or reports untouched traffic.
func TestImpact(t *testing.T) {
	base, before := load(t)
	assert.Equal(t, len(Impact(before, before)), 0)
	next, err := base.SetDraining("booking-1", true)
	assert.NilError(t, err)
	next, err = next.SetLabel(ItemCustomer, "matura-trial", "plan", "standard")
	assert.NilError(t, err)
	after, list := Compile(next, 2)
	assert.NilError(t, list.Err())
	lost, moved := 0, 0
	for _, c := range Impact(before, after) {
		if len(c.Lost) == 1 && c.Lost[0] == "booking-1" {
			lost++
		}
		if c.OldTier != c.NewTier {
			assert.Equal(t, string(c.Customer), "matura-trial")
			moved++
		}
	}
	assert.Equal(t, lost, 10*3)
	assert.Equal(t, moved, 4)
}

// Guards against explanations that leave out why an upstream is not used.
func TestExplainNamesReasons(t *testing.T) {
	base, _ := load(t)
	base, err := base.SetDraining("lesson-01", true)
	assert.NilError(t, err)
	p, list := Compile(base, 1)
	assert.NilError(t, list.Err())
	e, err := Explain(p, "tyrico-trial", "season-summary", "lesson", "guest")
	assert.NilError(t, err)
	assert.Equal(t, len(e.Rules), 3)
	assert.Assert(t, e.Rules[0].Decides && !e.Rules[1].Decides)
	verdicts := map[string]UpstreamVerdict{}
	for _, v := range e.Upstreams {
		verdicts[string(v.ID)] = v
	}
	assert.Equal(t, len(verdicts), 15)
	assert.DeepEqual(t, verdicts["lesson-02"].Rules, []string{"trial-customers"})
	assert.DeepEqual(t, verdicts["lesson-01"].Reasons, []string{
		"rule trial-customers requires size=small",
		"rule season-summaries selects it but has the lower precedence 10",
		"is draining",
	})
	assert.Assert(t, !verdicts["booking-1"].In)
	_, err = Explain(p, "nobody", "season-summary", "lesson", "")
	var missing *NotFoundError
	assert.Assert(t, errors.As(err, &missing))
}

// Guards against edits that accept unreadable fragments, and against findings
// about edited items that name no item.
func TestApplyFragment(t *testing.T) {
	base, _ := load(t)
	_, list := base.Apply("request", []byte("[[rules]]\nid = \"x\"\ntier = 3\nservice_level = \"seconds\"\n"))
	assert.Equal(t, list.Error(), "request:3:8: error: tier has wrong type: integer (allowed: string)")
	next, list := base.Apply("request", []byte("[[models]]\nid = \"lesson\"\nadapters = [\"plan\"]\n[routing]\nsecond_value = 2\n"))
	assert.Equal(t, len(list), 0, list.Error())
	assert.Equal(t, len(Diff(base, next)), 2)
	assert.Equal(t, next.Routing.BytesPerToken, 300)
	bad := next.PutTier(Tier{ID: "beach-2", Rank: 0})
	_, list = Compile(bad, 2)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].String(), `tiers/beach-2/rank: error: tiers "beach" and "beach-2" have the same rank 0`)
}
