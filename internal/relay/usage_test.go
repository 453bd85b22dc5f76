package relay_test

import (
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/httproute"
	"github.com/auburndyke/auburndyke/platform/standin"
)

// usageCount counts requests by customer.
type usageCount struct {
	mu     sync.Mutex
	counts map[domain.CustomerID]int
}

func (u *usageCount) add(c domain.CustomerID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts[c]++
}

// Guards against requests that are counted although they did not run, that ran and are
// not counted, and against counts for requests without a customer.
func TestUsageCountsRequestsThatRan(t *testing.T) {
	const reached = -1 // as many as reached an upstream
	for name, c := range map[string]struct {
		path   string
		first  standin.Behaviour // of the first upstream
		second standin.Behaviour
		want   int
	}{
		"response":                     {"/again/", standin.Behaviour{}, standin.Behaviour{}, 1},
		"refused by both":              {"/once/", standin.Behaviour{Refuse: true}, standin.Behaviour{Refuse: true}, 0},
		"refused stream":               {"/events/", standin.Behaviour{Refuse: true}, standin.Behaviour{Refuse: true}, 0},
		"server error":                 {"/once/", standin.Behaviour{Status: http.StatusInternalServerError}, standin.Behaviour{Status: http.StatusInternalServerError}, 1},
		"server errors, repeated":      {"/again/", standin.Behaviour{Status: http.StatusInternalServerError}, standin.Behaviour{Status: http.StatusInternalServerError}, 2},
		"not marked as own":            {"/once/", standin.Behaviour{Unsealed: true}, standin.Behaviour{Unsealed: true}, 1},
		"stream":                       {"/events/", standin.Behaviour{Events: 5}, standin.Behaviour{Events: 5}, 1},
		"stream resumed elsewhere":     {"/resume/", standin.Behaviour{Events: 8, CutAfter: 3}, standin.Behaviour{Events: 8}, reached},
		"stream without a first event": {"/events/", standin.Behaviour{Status: http.StatusInternalServerError}, standin.Behaviour{Status: http.StatusInternalServerError}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := startRelay(t, 2)
			u := &usageCount{counts: make(map[domain.CustomerID]int)}
			s.handler.CountUsage = u.add
			s.replicas[0].Set(c.first)
			s.replicas[1].Set(c.second)
			s.do(s.request(http.MethodPost, c.path, "r1", "x"))
			want := c.want
			if want == reached {
				want = s.executions()
			}
			u.mu.Lock()
			defer u.mu.Unlock()
			assert.Equal(t, u.counts["anna"], want)
		})
	}
	s := startRelay(t, 1)
	config := testConfig()
	for i := range config.Routes {
		config.Routes[i].Public = true
	}
	table, err := httproute.Compile(config)
	assert.NilError(t, err)
	s.handler.SetTable(table)
	s.handler.CountUsage = func(c domain.CustomerID) { t.Errorf("counted %q", c) }
	assert.Equal(t, s.do(s.request(http.MethodGet, "/again/", "r1", "")).status, http.StatusOK)
}
