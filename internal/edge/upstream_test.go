package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/edge"
	"github.com/auburndyke/auburndyke/platform/standin"
)

// Guards against requests to a leaving upstream while the platform is away and the
// daemon's copy of the table says that it serves.
func TestLeavingHoldsWhileThePlatformIsAway(t *testing.T) {
	s := start(t)
	s.configure(1, "/a/")
	s.store.Put("servers", "replica-0", s.replica.Registration("app", "a", "ready"))
	s.awaitStatus(s.callerURL("/a/"), "h.example", http.StatusOK)
	s.store.SetFault(standin.Silent)
	s.replica.Set(standin.Behaviour{Leaving: true})
	s.awaitStatus(s.callerURL("/a/"), "h.example", http.StatusServiceUnavailable)
	reached := s.replica.Arrivals()
	for range 20 {
		status, _ := s.get(s.callerURL("/a/"), "h.example")
		assert.Equal(t, status, http.StatusServiceUnavailable)
	}
	s.store.SetFault(standin.Healthy)
	time.Sleep(500 * time.Millisecond) // the table is read again and still says so
	status, _ := s.get(s.callerURL("/a/"), "h.example")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, s.replica.Arrivals(), reached)
}

// Guards against a part of a prompt that crashes upstreams through each daemon anew.
func TestDaemonsTellEachOtherOfCrashingParts(t *testing.T) {
	const daemons, replicas = 4, 10
	store := standin.NewStore()
	var all []*fixture
	for i := range daemons {
		all = append(all, startWithStore(t, store, func(s *edge.Settings) { s.Daemon = daemonName(i) }))
	}
	store.Put("op", "config", []byte(`{"version":1,"services":[{"name":"app"}],"routes":[{"name":"r","host":"h.example",
		"prefix":"/a/","type":"stream","resumable":true,"service":"app","attempts":2,"timeout_ms":2000,"goal_ms":1000}]}`))
	var upstreams []*standin.Replica
	for i := range replicas {
		r, err := standin.StartReplica(fmt.Sprintf("engine-%d", i))
		assert.NilError(t, err)
		t.Cleanup(r.Close)
		r.Set(standin.Behaviour{Events: 3, DeadlyPart: "dead"})
		store.Put("servers", r.ID, r.Registration("app", "a", "ready"))
		upstreams = append(upstreams, r)
	}
	for _, d := range all {
		d.awaitStatus(d.callerURL("/a/x"), "h.example", http.StatusOK)
	}
	time.Sleep(3 * time.Second) // the daemons have read the directory and know each other
	prompt := func(d *fixture, parts string) int {
		req, err := http.NewRequest(http.MethodPost, d.callerURL("/a/x"), nil)
		assert.NilError(t, err)
		req.Host = "h.example"
		req.Header.Set("X-Attempt-Id", "p1")
		req.Header.Set("X-Prompt-Prefix", parts)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		defer resp.Body.Close()
		return resp.StatusCode
	}
	crashed := func() (n int) {
		for _, r := range upstreams {
			if r.Crashed() {
				n++
			}
		}
		return n
	}
	for i := range 30 { // the budget for retries grows with requests
		assert.Equal(t, prompt(all[0], fmt.Sprintf("5a:100,%x:100", i+100)), http.StatusOK)
	}
	prompt(all[0], "5a:100,dead:100,1:100")
	assert.Equal(t, crashed(), 2, "the two attempts of the first request")
	time.Sleep(2 * time.Second) // four rounds of reports
	for i, d := range all {
		assert.Equal(t, prompt(d, fmt.Sprintf("5a:100,dead:100,%x:100", i+2)), http.StatusServiceUnavailable)
		assert.Equal(t, prompt(d, fmt.Sprintf("5a:100,%x:100", i+2)), http.StatusOK)
	}
	assert.Equal(t, crashed(), 2)
}
