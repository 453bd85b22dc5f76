package edge_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/edge"
	"github.com/auburndyke/auburndyke/platform/standin"
)

// configBound is the tightest time that the users state for a configuration.
const configBound = 2500 * time.Millisecond

// Guards against daemons that keep their old tables after the store has come back from
// an older copy, until its versions have passed theirs.
func TestConfigurationChangesAfterStoreRestoration(t *testing.T) {
	store := standin.NewStore()
	var all []*fixture
	for i := range 5 {
		all = append(all, startWithStore(t, store, func(s *edge.Settings) { s.Daemon = daemonName(i) }))
	}
	first := all[0]
	first.configure(1, "/a/")
	store.Put("servers", "replica-0", first.replica.Registration("app", "a", "ready"))
	copied := store.Version()
	first.configure(2, "/b/")
	for range 100 { // daemons and upstreams write as well
		store.Put("servers", "replica-0", first.replica.Registration("app", "a", "ready"))
	}
	for _, d := range all {
		d.awaitStatus(d.callerURL("/b/x"), "h.example", http.StatusOK)
	}

	store.Restore(copied)
	first.configure(2, "/b/")
	store.Put("servers", "replica-0", first.replica.Registration("app", "a", "ready"))
	first.configure(3, "/c/")
	changed := time.Now()
	var wait sync.WaitGroup
	for i, d := range all {
		wait.Go(func() {
			status := 0
			for status != http.StatusOK && time.Since(changed) < configBound {
				time.Sleep(10 * time.Millisecond)
				status, _ = d.get(d.callerURL("/c/x"), "h.example")
			}
			assert.Check(t, status == http.StatusOK, "daemon %d: status %d after %s", i, status, time.Since(changed))
			status, _ = d.get(d.callerURL("/b/x"), "h.example")
			assert.Check(t, status == http.StatusNotFound, "daemon %d still has the route of revision 2", i)
		})
	}
	wait.Wait()
}
