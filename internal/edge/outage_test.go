package edge_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/edge"
	"github.com/auburndyke/auburndyke/platform/standin"
)

// Guards against daemons that serve an old configuration, or no upstreams, for
// seconds after the platform has returned from an outage in which their calls got no
// response. The bound is the tightest that the users state for a configuration; the
// first request is served within that of registrations that lapsed.
func TestServesSoonAfterAnOutage(t *testing.T) {
	for name, fault := range map[string]standin.Fault{
		"silent": standin.Silent, "busy": standin.Busy, "throttled": standin.Throttled, "reset": standin.Reset,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testServesSoonAfter(t, fault)
		})
	}
}

func testServesSoonAfter(t *testing.T, fault standin.Fault) {
	const (
		daemons      = 7
		configBound  = 2500 * time.Millisecond
		servingBound = 2 * time.Second
	)
	store := standin.NewStore()
	var all []*fixture
	for i := range daemons {
		all = append(all, startWithStore(t, store, func(s *edge.Settings) {
			s.Daemon = daemonName(i)
			s.PlatformReadRate = 2000
		}))
		time.Sleep(200 * time.Millisecond) // daemons poll at different moments
	}
	first := all[0]
	first.configure(1, "/a/")
	store.Put("servers", "replica-0", first.replica.Registration("app", "a", "ready"))
	for _, d := range all {
		d.awaitStatus(d.callerURL("/a/x"), "h.example", http.StatusOK)
	}
	time.Sleep(4 * time.Second) // all have read the directory a second time

	store.SetFault(fault)
	// Two more daemons start in the outage and have no copies.
	for i := range 2 {
		all = append(all, startWithStore(t, store, func(s *edge.Settings) {
			s.Daemon = daemonName(daemons + i)
			s.PlatformReadRate = 2000
		}))
	}
	time.Sleep(9 * time.Second)
	store.Drop("servers", "replica-0") // lapses
	first.configure(2, "/b/")
	store.SetFault(standin.Healthy)
	returned := time.Now()
	time.AfterFunc(time.Second, func() {
		store.Put("servers", "replica-0", first.replica.Registration("app", "a", "ready"))
	})

	var wait sync.WaitGroup
	var mu sync.Mutex
	var slowest, slowestStart time.Duration
	for i, d := range all {
		wait.Go(func() {
			for status := 0; status != http.StatusOK; time.Sleep(10 * time.Millisecond) {
				status, _ = d.get(d.callerURL("/b/x"), "h.example")
				if time.Since(returned) > 10*time.Second {
					break
				}
			}
			took := time.Since(returned)
			bound := configBound
			mu.Lock()
			if i >= daemons {
				bound = servingBound
				slowestStart = max(slowestStart, took)
			} else {
				slowest = max(slowest, took)
			}
			mu.Unlock()
			assert.Check(t, took <= bound, "daemon %d served the new configuration after %s", i, took)
		})
	}
	wait.Wait()
	t.Logf("new configuration served after at most %s, by daemons that started in the outage after %s", slowest, slowestStart)
}

func daemonName(i int) domain.DaemonID { return domain.DaemonID(fmt.Sprint("edge-", i)) }
