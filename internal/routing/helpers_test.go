package routing

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
)

var start = time.Unix(1_700_000_000, 0)

func newRNG() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// testPolicy returns a policy of n engines with the given slots, every third one
// in a remote region, and a route to all of them.
func testPolicy(n, slots int) (*policy.Policy, *policy.Route) {
	p := &policy.Policy{Regions: map[domain.Region]*policy.Region{
		"a": {
			ID:         "a",
			RTT:        map[domain.Region]time.Duration{"b": 20 * time.Millisecond},
			PricePerGB: map[domain.Region]float64{"b": 0.02},
		},
	}}
	route := &policy.Route{Level: &policy.ServiceLevel{
		FirstToken: 770 * time.Millisecond, BetweenTokens: 58 * time.Millisecond,
		RemotePenalty: 100 * time.Millisecond,
	}}
	for i := range n {
		region := domain.Region("a")
		if i%3 == 2 {
			region = "b"
		}
		p.Upstreams = append(p.Upstreams, policy.Upstream{
			ID: domain.UpstreamID(fmt.Sprint("u", i)), Kind: domain.KindEngine,
			Address: fmt.Sprint("127.0.0.1:", 1000+i), Region: region,
			Models: []domain.ModelID{"m"}, Slots: slots,
		})
		route.Upstreams = append(route.Upstreams, i)
	}
	return p, route
}

func testRouter(n, slots int) (*Router, *Request) {
	p, route := testPolicy(n, slots)
	r := NewRouter(NewTable(start, nil, p, Site{Region: "a"}))
	return r, &Request{Route: route, Model: "m", PromptTokens: 500, OutputTokens: 300}
}

// A fixed seed keeps the property tests repeatable; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }
