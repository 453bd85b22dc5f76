package policy

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func readExample(t testing.TB, dir string) []Source {
	var sources []Source
	for _, name := range []string{"policy.toml", "customers.toml", "upstreams.toml"} {
		data, err := os.ReadFile(filepath.Join("..", "..", "examples", dir, name))
		assert.NilError(t, err)
		sources = append(sources, Source{name, data})
	}
	return sources
}

// Guards against example files that the daemon would refuse.
func TestMaravalBayExample(t *testing.T) {
	d, p, list := Load(7, readExample(t, "maraval-bay")...)
	assert.Equal(t, len(list), 0, list.Error())
	assert.Equal(t, len(d.Upstreams), 15)
	c := p.CustomerByKey(HashKey("mb-maraval-surf-school-key"))
	assert.Equal(t, c.ID, p.Customers["maraval-surf-school"].ID)
	r, ok := p.Route(c.ID, "guest-question")
	assert.Assert(t, ok)
	assert.Equal(t, r.Tier.Rank, 0)
	assert.Equal(t, len(r.Upstreams), 12)
	r, _ = p.Route(c.ID, "season-summary")
	assert.DeepEqual(t, r.Rules, []string{"season-summaries", "season-summaries-overnight"})
	r, _ = p.Route("tyrico-trial", "season-summary")
	assert.Equal(t, string(r.Tier.ID), "spare")
}

// Guards against example files that the daemon would refuse, and against
// README keys that do not match.
func TestFrylineExample(t *testing.T) {
	d, p, list := Load(7, readExample(t, "fryline")...)
	assert.Equal(t, len(list), 0, list.Error())
	assert.Equal(t, len(d.Upstreams), 13)
	for id := range p.Customers {
		assert.Equal(t, p.CustomerByKey(HashKey("fl-"+string(id)+"-key")).ID, id)
	}
	r, ok := p.Route("liffey-churros", "opening-time")
	assert.Assert(t, ok)
	assert.Equal(t, r.Tier.Rank, 0)
	r, _ = p.Route("mayo-rapeseed", "supplier-terms")
	assert.DeepEqual(t, r.Rules, []string{"terms", "terms-connacht"})
	assert.Equal(t, len(r.Upstreams), 10)
	r, _ = p.Route("shannon-oils", "supplier-terms")
	assert.DeepEqual(t, r.Rules, []string{"large-suppliers"})
}
