package edge_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/auburndyke/auburndyke/internal/edge"
	"github.com/auburndyke/auburndyke/platform/standin"
)

// Guards against a daemon that starts during an outage of the platform and serves
// nobody until it is over, although its seeds know all that it needs, and against
// one that stays with what a seed knew after the platform's return.
func TestStartsInAnOutageFromASeed(t *testing.T) {
	first := start(t)
	first.configure(1, "/a/")
	first.store.Put("servers", "replica-0", first.replica.Registration("app", "a", "ready"))
	first.await(first.ready(), "", http.StatusOK)

	away := standin.NewStore()
	away.SetFault(standin.Busy)
	second := startOn(t, away, func(s *edge.Settings) {
		s.Daemon, s.RemovalTimeout = "edge-2", time.Second
		// One seed is down, and one is the daemon itself.
		s.Seeds = []string{freeAddress(t), s.ControlAddress, first.settings.Load().ControlAddress}
	})
	second.await(second.ready(), "", http.StatusOK)
	second.await(second.route("/a/x"), "h.example", http.StatusOK)

	// The store comes back with more than the seed knew. Its versions go on.
	for range 3 {
		second.configure(1, "/a/")
	}
	second.configure(2, "/b/")
	second.store.Put("servers", "replica-0", first.replica.Registration("app", "a", "ready"))
	away.SetFault(standin.Healthy)
	second.await(second.route("/b/x"), "h.example", http.StatusOK)
	second.await(second.route("/a/x"), "h.example", http.StatusNotFound)
}
