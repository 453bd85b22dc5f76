package edge_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/edge"
	"github.com/auburndyke/auburndyke/internal/standin/process"
	"github.com/auburndyke/auburndyke/internal/telemetry"
	"github.com/auburndyke/auburndyke/platform"
	"github.com/auburndyke/auburndyke/platform/standin"
)

const awaitTimeout = 5 * time.Second

// fixture is a daemon in this process with its store and one replica.
type fixture struct {
	t        *testing.T
	store    *standin.Store
	replica  *standin.Replica
	settings atomic.Pointer[edge.Settings]
	stop     context.CancelFunc
	done     chan error
}

// ports lie below those that the kernel gives to outgoing connections and to listeners
// without a port, which could take a port before its daemon listens, and apart from those
// of the packages that start processes.
var (
	portsMu sync.Mutex
	ports   = process.NewPorts(2_000, 8_000)
)

// freeAddress returns an address that nothing listens on, and that it returns only once.
func freeAddress(t *testing.T) string {
	t.Helper()
	portsMu.Lock()
	defer portsMu.Unlock()
	port, err := ports.Free()
	assert.NilError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", port)
}

func start(t *testing.T) *fixture {
	t.Helper()
	return startWithRemovalTimeout(t, time.Second)
}

func startWithRemovalTimeout(t *testing.T, removalTimeout time.Duration) *fixture {
	t.Helper()
	return startWithStore(t, standin.NewStore(), func(s *edge.Settings) { s.RemovalTimeout = removalTimeout })
}

// startWithStore starts a daemon that follows a store. change adjusts its settings.
func startWithStore(t *testing.T, store *standin.Store, change func(*edge.Settings)) *fixture {
	t.Helper()
	return startWithDecoders(t, store, change, edge.Decoders{
		IsConfig: platform.IsConfig, Config: platform.DecodeConfig, Registration: platform.DecodeReplica,
	})
}

func startWithDecoders(t *testing.T, store *standin.Store, change func(*edge.Settings), decoders edge.Decoders) *fixture {
	t.Helper()
	s := &fixture{t: t, store: store, done: make(chan error, 1)}
	server := httptest.NewServer(s.store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	replica, err := standin.StartReplica("replica-0")
	assert.NilError(t, err)
	t.Cleanup(replica.Close)
	s.replica = replica
	settings := &edge.Settings{
		Daemon: "edge-1", Zone: "a", Region: "r", PlatformAddress: server.Listener.Addr().String(),
		CallerAddress: freeAddress(t), ReadinessAddress: freeAddress(t), InternalAddress: freeAddress(t), ControlAddress: freeAddress(t),
		ShutdownTimeout: 3 * time.Second, RetryRatio: 0.2, RetrySlack: 56,
	}
	change(settings)
	s.settings.Store(settings)
	client := platform.NewStore(s.settings.Load().PlatformAddress)
	e := edge.New(s.settings.Load(), edge.Deps{
		Protocol:      platform.Protocol{},
		Decoders:      decoders,
		Configuration: client.Configuration(), Upstreams: client.Replicas(), Daemons: client.Daemons(), Streams: client.Streams(), Era: client.Era(),
		ReadSettings: func() (*edge.Settings, error) { return s.settings.Load(), nil },
		Log:          telemetry.NopLog(), Metrics: telemetry.NewMetrics(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go func() { s.done <- e.Run(ctx) }()
	t.Cleanup(func() { cancel(); assert.NilError(t, <-s.done) })
	return s
}

func (s *fixture) configure(version int, prefix string) {
	s.store.Put("op", "config", fmt.Appendf(nil, `{"version":%d,"limits":{"idle_timeout_ms":200,"header_timeout_ms":300},"services":[{"name":"app"}],"routes":[
		{"name":"r","host":"h.example","prefix":%q,"type":"idempotent","service":"app","attempts":1,"timeout_ms":1000}]}`, version, prefix))
}

// get returns the status and the body of the response, or status 0 without one.
func (s *fixture) get(url, host string) (int, string) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	assert.NilError(s.t, err)
	req.Host = host
	req.Header.Set("X-Attempt-Id", "r1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(s.t, err)
	return resp.StatusCode, string(body)
}

func (s *fixture) awaitStatus(url, host string, status int) {
	s.t.Helper()
	got := 0
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if got, _ = s.get(url, host); got == status {
			return
		}
	}
	s.t.Fatalf("%s responds with status %d, not %d", url, got, status)
}

func (s *fixture) readyURL() string {
	return "http://" + s.settings.Load().ReadinessAddress + "/readyz"
}

func (s *fixture) callerURL(path string) string {
	return "http://" + s.settings.Load().CallerAddress + path
}

// Guards against a daemon that is ready before it can serve callers, that reverts to
// an earlier configuration or replaces a valid one by an invalid one, that keeps
// idle connections for too long, or that sends requests to removed upstreams.
func TestDaemonLifecycle(t *testing.T) {
	s := start(t)
	s.awaitStatus(s.readyURL(), "", http.StatusServiceUnavailable)
	s.awaitStatus(s.callerURL("/a/"), "h.example", http.StatusServiceUnavailable)

	s.configure(3, "/a/")
	s.awaitStatus(s.readyURL(), "", http.StatusOK)
	s.store.Put("servers", "broken", []byte(`{"service":7}`))
	s.store.Put("servers", "replica-0", s.replica.Registration("app", "a", "ready"))
	s.awaitStatus(s.callerURL("/a/x"), "h.example", http.StatusOK)

	s.configure(2, "/old/")
	s.store.Put("op", "config", []byte("not a configuration"))
	s.configure(5, "/b/")
	s.awaitStatus(s.callerURL("/b/"), "h.example", http.StatusOK)
	status, _ := s.get(s.callerURL("/old/"), "h.example")
	assert.Equal(t, status, http.StatusNotFound)
	status, _ = s.get(s.callerURL("/a/"), "h.example")
	assert.Equal(t, status, http.StatusNotFound)

	status, metrics := s.get("http://"+s.settings.Load().InternalAddress+"/metrics", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, strings.Contains(metrics, `auburndyke_requests_total{status="200"`), metrics)
	assert.Assert(t, strings.Contains(metrics, "auburndyke_request_microseconds_count"))

	// A connection that exceeds the idle timeout is closed.
	c, err := net.Dial("tcp", s.settings.Load().CallerAddress)
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /b/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: r2\r\n\r\n")
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(awaitTimeout)))
	_, err = io.Copy(io.Discard, c)
	assert.NilError(t, err)

	s.store.Drop("servers", "replica-0")
	s.awaitStatus(s.callerURL("/b/"), "h.example", http.StatusServiceUnavailable)
}

// Guards against a daemon that starts without an error although its address is in
// use.
func TestAddressInUse(t *testing.T) {
	s := start(t)
	s.awaitStatus(s.readyURL(), "", http.StatusServiceUnavailable)
	e := edge.New(s.settings.Load(), edge.Deps{
		Protocol: platform.Protocol{}, Log: telemetry.NopLog(), Metrics: telemetry.NewMetrics(),
	})
	assert.ErrorContains(t, e.Run(t.Context()), "listening for callers")
}
