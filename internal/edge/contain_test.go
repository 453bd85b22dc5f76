package edge_test

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/edge"
	"github.com/auburndyke/auburndyke/internal/httproute"
	"github.com/auburndyke/auburndyke/internal/inventory"
	"github.com/auburndyke/auburndyke/platform"
	"github.com/auburndyke/auburndyke/platform/standin"
)

// Guards against one row that ends the process by a panic of its decoder: the other
// rows hold, an earlier configuration stays in force, and later rows are read.
func TestRowThatPanicsIsSkipped(t *testing.T) {
	store := standin.NewStore()
	s := startWithDecoders(t, store, func(s *edge.Settings) { s.RemovalTimeout = time.Second }, edge.Decoders{
		IsConfig: platform.IsConfig,
		Config: func(value []byte) (*httproute.Config, error) {
			if bytes.Contains(value, []byte("planted")) {
				panic("planted")
			}
			return platform.DecodeConfig(value)
		},
		Registration: func(id string, value []byte) (inventory.Registration, error) {
			if id == "planted" {
				panic("planted")
			}
			return platform.DecodeReplica(id, value)
		},
	})
	store.Put("servers", "planted", []byte("x"))
	s.configure(1, "/a/")
	store.Put("servers", "replica-0", s.replica.Registration("app", "a", "ready"))
	s.awaitStatus(s.callerURL("/a/"), "h.example", http.StatusOK)
	store.Put("op", "config", []byte("planted"))
	time.Sleep(200 * time.Millisecond)
	status, _ := s.get(s.callerURL("/a/"), "h.example")
	assert.Equal(t, status, http.StatusOK)
	s.configure(2, "/b/")
	s.awaitStatus(s.callerURL("/b/"), "h.example", http.StatusOK)
}

// Guards against odd registrations of another writer that end the daemon, make it stop
// following the table, or take requests from sound upstreams.
func TestOddRegistrationsAreSkipped(t *testing.T) {
	store := standin.NewStore()
	s := startWithStore(t, store, func(s *edge.Settings) { s.RemovalTimeout = time.Second })
	for key, value := range map[string]string{
		"deep":      `{"service":"app","addr":"127.0.0.1:9","zone":"z","version":"v1","seq":1,"slots":8,"state":"ready","models":` + strings.Repeat("[", 30_000) + strings.Repeat("]", 30_000) + `}`,
		"unclosed":  strings.Repeat(`{"service":`, 5_000),
		"large":     `{"service":"app","addr":"127.0.0.1:9","zone":"z","version":"v1","seq":1,"slots":1e999,"state":"ready"}`,
		"slots":     `{"service":"app","addr":"127.0.0.1:9","zone":"z","version":"v1","seq":1,"slots":9223372036854775807,"state":"ready"}`,
		"negative":  `{"service":"app","addr":"127.0.0.1:9","zone":"z","version":"v1","seq":1,"slots":-1,"state":"ready"}`,
		"port":      `{"service":"app","addr":"127.0.0.1:70000","zone":"z","version":"v1","seq":1,"slots":8,"state":"ready"}`,
		"born":      `{"service":"app","addr":"127.0.0.1:9","zone":"z","version":"v1","seq":1,"slots":8,"state":"ready","born":-5}`,
		"not-utf-8": "\xff\xfe\x00",
	} {
		store.Put("servers", key, []byte(value))
	}
	s.configure(1, "/a/")
	store.Put("servers", "replica-0", s.replica.Registration("app", "a", "ready"))
	s.awaitStatus(s.callerURL("/a/"), "h.example", http.StatusOK)
	for range 20 {
		status, _ := s.get(s.callerURL("/a/"), "h.example")
		assert.Equal(t, status, http.StatusOK)
	}
	store.Drop("servers", "replica-0")
	s.awaitStatus(s.callerURL("/a/"), "h.example", http.StatusServiceUnavailable)
}
