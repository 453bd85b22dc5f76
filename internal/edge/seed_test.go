package edge_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/auburndyke/auburndyke/internal/edge"
	"github.com/auburndyke/auburndyke/platform/standin"
)

// Guards against a daemon that starts during an outage of the platform and does not
// serve until its end, although its seeds have copies of the tables, and against
// one that keeps a seed's copy after the outage.
func TestStartsInAnOutageFromASeed(t *testing.T) {
	first := start(t)
	first.configure(1, "/a/")
	first.store.Put("servers", "replica-0", first.replica.Registration("app", "a", "ready"))
	first.awaitStatus(first.readyURL(), "", http.StatusOK)

	busy := standin.NewStore()
	busy.SetFault(standin.Busy)
	second := startWithStore(t, busy, func(s *edge.Settings) {
		s.Daemon, s.RemovalTimeout = "edge-2", time.Second
		// One seed is down, and one is the daemon itself.
		s.Seeds = []string{freeAddress(t), s.ControlAddress, first.settings.Load().ControlAddress}
	})
	second.awaitStatus(second.readyURL(), "", http.StatusOK)
	second.awaitStatus(second.callerURL("/a/x"), "h.example", http.StatusOK)

	// After the outage the store has newer versions than the seed's copy.
	for range 3 {
		second.configure(1, "/a/")
	}
	second.configure(2, "/b/")
	second.store.Put("servers", "replica-0", first.replica.Registration("app", "a", "ready"))
	busy.SetFault(standin.Healthy)
	second.awaitStatus(second.callerURL("/b/x"), "h.example", http.StatusOK)
	second.awaitStatus(second.callerURL("/a/x"), "h.example", http.StatusNotFound)
}
