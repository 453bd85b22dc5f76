package httproute

import (
	"testing"

	"gotest.tools/v3/assert"
)

func compile(t *testing.T, c *Config) *Table {
	t.Helper()
	table, err := Compile(c)
	assert.NilError(t, err)
	return table
}

func route(name, host, prefix string) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Targets: []Target{{"app", 1}}}
}

// Guards against requests that match the route of a shorter prefix, of another host, or
// of a prefix that ends within a path segment.
func TestLookup(t *testing.T) {
	table := compile(t, &Config{Routes: []Route{
		route("root", "a.example", "/shop/"),
		route("deep", "a.example", "/shop/cart/"),
		route("other", "b.example", "/"),
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/shop/x", "root"},
		{"A.Example:8080", "/shop/", "root"},
		{"a.example", "/shop/cart/1/2", "deep"},
		{"a.example", "/shop/cartoon", "root"},
		{"a.example", "/shop", ""},
		{"a.example", "/shopping/x", ""},
		{"b.example", "/anything", "other"},
		{"c.example", "/shop/x", ""},
	} {
		got := ""
		if r := table.Lookup(c.host, c.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, c.want, "%s%s", c.host, c.path)
	}
}

// Guards against accepting a configuration that requests can't be served by.
func TestCompileRejects(t *testing.T) {
	for name, r := range map[string]Route{
		"prefix without slash": {Name: "r", Prefix: "/a", Targets: []Target{{"app", 1}}},
		"no target":            {Name: "r", Prefix: "/a/"},
		"no weight":            {Name: "r", Prefix: "/a/", Targets: []Target{{"app", 0}}},
		"negative weight":      {Name: "r", Prefix: "/a/", Targets: []Target{{"app", -1}, {"b", 2}}},
	} {
		_, err := Compile(&Config{Routes: []Route{r}})
		assert.Assert(t, err != nil, name)
	}
}

// Guards against requests that are not split between services by weight.
func TestPick(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"b", 0}, {"c", 10}}}
	assert.Equal(t, r.Pick(0), "a")
	assert.Equal(t, r.Pick(0.899), "a")
	assert.Equal(t, r.Pick(0.901), "c")
	assert.Equal(t, r.Pick(0.9999999), "c")
}

// Guards against ranking a customer's less urgent requests above its more urgent ones,
// and against scaled ranks that upstreams don't accept.
func TestRank(t *testing.T) {
	urgent, normal := route("u", "h", "/u/"), route("n", "h", "/n/")
	normal.Priority = 2
	first := Customer{Name: "first", Priority: 0, HasPriority: true}
	second := Customer{Name: "second", Priority: 1, HasPriority: true}
	plain := Customer{Name: "plain"}
	table := compile(t, &Config{Routes: []Route{urgent, normal}, Customers: []Customer{first, second, plain}})
	order := []Rank{
		table.Rank(&urgent, &first), table.Rank(&normal, &first),
		table.Rank(&urgent, &second), table.Rank(&normal, &second),
		table.Rank(&normal, nil),
	}
	for i := 1; i < len(order); i++ {
		assert.Assert(t, order[i-1] < order[i], "%v", order)
	}
	assert.Equal(t, table.Rank(&urgent, nil), table.Rank(&urgent, &plain))
	for _, highest := range []int{0, 1, 3, 9} {
		last := 0
		for _, rank := range order {
			scaled := table.ScaleRank(rank, highest)
			assert.Assert(t, scaled >= last && scaled <= highest, "rank %d scaled to 0..%d is %d", rank, highest, scaled)
			last = scaled
		}
	}
}

// Guards against running a request again on a route that does not permit it.
func TestRepeatable(t *testing.T) {
	assert.Assert(t, !(&Route{Type: NonIdempotent, Resumable: true}).Repeatable())
	assert.Assert(t, !(&Route{Type: Stream}).Repeatable())
	assert.Assert(t, (&Route{Type: Stream, Resumable: true}).Repeatable())
	assert.Assert(t, (&Route{Type: Idempotent}).Repeatable())
}
