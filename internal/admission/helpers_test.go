package admission

import (
	"flag"
	"fmt"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
)

var start = time.Unix(1_700_000_000, 0)

// testTiers returns n tiers, each with the given queue bound and minimum share.
// With queueTokens 0 the bound is never reached. The upper half of the tiers
// preempts.
func testTiers(n, queueTokens int, share float64) []policy.Tier {
	if queueTokens == 0 {
		queueTokens = 1 << 40
	}
	tiers := make([]policy.Tier, n)
	for i := range tiers {
		tiers[i] = policy.Tier{
			ID: domain.TierID(fmt.Sprint("t", i)), Rank: i,
			MinShare: share, QueueTokens: queueTokens, Preempts: i < n/2,
		}
	}
	return tiers
}

func newRequest(id int, rank int, customer string, tokens int) *Request {
	return &Request{
		ID: domain.RequestID(fmt.Sprint(id)), Rank: rank,
		Customer: domain.CustomerID(customer), Tokens: tokens,
	}
}

// The fixed seed makes the property tests reproducible; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }
