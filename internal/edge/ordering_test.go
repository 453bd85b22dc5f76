package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/edge"
	platformports "github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
	"github.com/auburndyke/auburndyke/platform"
	"github.com/auburndyke/auburndyke/platform/standin"
)

// soleHolder always holds the duties.
type soleHolder struct{}

func (soleHolder) Held() bool { return true }

func (soleHolder) Do(ctx context.Context, act func(context.Context, platformports.DutyCall) error) error {
	return act(ctx, platformports.DutyCall{Holder: "edge-1", Token: 1})
}

// playOrdering serves requests at one upstream for a while, of a service with the given
// scaling, and returns the calls that reach the API.
func playOrdering(t *testing.T, ordered bool, scaling string, length time.Duration) []standin.DutyCall {
	t.Helper()
	s := &fixture{t: t, store: standin.NewStore(), done: make(chan error, 1)}
	server := httptest.NewServer(s.store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	replica, err := standin.StartReplica("replica-0")
	assert.NilError(t, err)
	t.Cleanup(replica.Close)
	api := &standin.API{LeaseTime: time.Second}
	apiServer := httptest.NewServer(api)
	t.Cleanup(apiServer.Close)
	s.settings.Store(&edge.Settings{
		Daemon: "edge-1", Zone: "a", Region: "r", PlatformAddress: server.Listener.Addr().String(),
		CallerAddress: freeAddress(t), ReadinessAddress: freeAddress(t), InternalAddress: freeAddress(t),
		ShutdownTimeout: time.Second, RetryRatio: 0.2, RetrySlack: 56, RemovalTimeout: time.Second,
		Duties: edge.DutySettings{Ordering: ordered, CallRate: 10},
	})
	client := platform.NewStore(s.settings.Load().PlatformAddress)
	e := edge.New(s.settings.Load(), edge.Deps{
		Protocol:      platform.Protocol{},
		Decoders:      edge.Decoders{IsConfig: platform.IsConfig, Config: platform.DecodeConfig, Registration: platform.DecodeReplica},
		Configuration: client.Configuration(), Upstreams: client.Replicas(), Daemons: client.Daemons(),
		Duties: edge.DutyDeps{API: platform.NewAPI(apiServer.Listener.Addr().String()), Acts: soleHolder{}},
		Log:    telemetry.NopLog(), Metrics: telemetry.NewMetrics(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { s.done <- e.Run(ctx) }()
	defer func() { cancel(); assert.NilError(t, <-s.done) }()
	s.store.Put("op", "config", fmt.Appendf(nil, `{"version":1,"services":[{"name":"app"%s}],"routes":[
		{"name":"r","host":"h.example","prefix":"/","type":"idempotent","service":"app","attempts":1,"timeout_ms":1000}]}`, scaling))
	s.store.Put("servers", "replica-0", replica.Registration("app", "a", "ready"))
	s.awaitStatus(s.callerURL("/x"), "h.example", http.StatusOK)
	for end := time.Now().Add(length); time.Now().Before(end) && len(api.Calls()) == 0; time.Sleep(50 * time.Millisecond) {
		s.get(s.callerURL("/x"), "h.example")
	}
	assert.Equal(t, len(api.Violations()), 0)
	return api.Calls()
}

const scalingOfApp = `,"scaling":{"min":2,"max":4,"boot_s":1,"zone_prices":{"a":1}}`

// Guards against a daemon whose orders don't reach the API, or name another service,
// zone or number than the configuration calls for.
func TestHolderOrdersTheMinimum(t *testing.T) {
	calls := playOrdering(t, true, scalingOfApp, 4*awaitTimeout)
	assert.Assert(t, len(calls) > 0, "nothing was ordered")
	assert.Equal(t, calls[0].Subject, "app/a")
	assert.Equal(t, calls[0].Desired, 2)
}

// Guards against orders in a deployment that has not asked for them, or of a service
// without scaling.
func TestNothingIsOrderedUnasked(t *testing.T) {
	assert.Equal(t, len(playOrdering(t, false, scalingOfApp, 6*time.Second)), 0)
	assert.Equal(t, len(playOrdering(t, true, "", 6*time.Second)), 0)
}
