package edge_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/duty"
	"github.com/auburndyke/auburndyke/internal/edge"
	"github.com/auburndyke/auburndyke/internal/lease"
	dutyports "github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
	"github.com/auburndyke/auburndyke/platform"
	"github.com/auburndyke/auburndyke/platform/standin"
)

// dutyDaemon starts a daemon with the given duties at a store.
func dutyDaemon(t *testing.T, store string, duties edge.DutySettings) (e *edge.Edge, api *platform.API, done chan error) {
	t.Helper()
	settings := &edge.Settings{
		Daemon: "edge-1", Zone: "a", Region: "r", PlatformAddress: store, Duties: duties,
		CallerAddress: freeAddress(t), ReadinessAddress: freeAddress(t), InternalAddress: freeAddress(t),
		ShutdownTimeout: 4 * time.Second,
	}
	client := platform.NewStore(store)
	api = platform.NewAPI(duties.APIAddress)
	e = edge.New(settings, edge.Deps{
		Protocol:      platform.Protocol{},
		Decoders:      edge.Decoders{IsConfig: platform.IsConfig, Config: platform.DecodeConfig, Registration: platform.DecodeReplica},
		Configuration: client.Configuration(), Upstreams: client.Replicas(), Daemons: client.Daemons(),
		Duties: edge.DutyDeps{Table: client.Duties(), API: api},
		Log:    telemetry.NopLog(), Metrics: telemetry.NewMetrics(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done = make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	t.Cleanup(cancel)
	return e, api, done
}

func await(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%s did not happen", what)
	}
}

// Guards against a daemon that does not get the duties of its settings, whose calls don't
// reach the API, and that keeps the lease during a planned stop or ends before it has
// answered its callers, because its loop for the duties ended.
func TestDaemonHoldsAndReleasesTheDuties(t *testing.T) {
	store, service := standin.NewStore(), &standin.API{LeaseTime: time.Second}
	storeServer, apiServer := httptest.NewServer(store), httptest.NewServer(service)
	t.Cleanup(func() { storeServer.CloseClientConnections(); storeServer.Close(); apiServer.Close() })
	duties := edge.DutySettings{
		APIAddress: strings.TrimPrefix(apiServer.URL, "http://"), Metering: true, CallRate: 50, LeaseTime: time.Second,
	}
	e, api, done := dutyDaemon(t, storeServer.Listener.Addr().String(), duties)
	holder := e.DutyHolder()
	await(t, "holding the duties", holder.Held)
	act := func(ctx context.Context, p duty.Permit) error {
		return api.ReportUsage(ctx, p.DutyCall, dutyports.UsageReport{Window: 1})
	}
	assert.NilError(t, holder.Do(t.Context(), act))
	assert.Equal(t, service.Calls()[0].Holder, "edge-1")
	assert.Equal(t, service.Calls()[0].Token, uint64(1))

	started := time.Now()
	assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	await(t, "the release", func() bool { return !holder.Held() })
	released := func() bool {
		rows, err := platform.NewStore(storeServer.Listener.Addr().String()).Duties().Get(t.Context(), "lease/duties")
		return err == nil && len(rows) == 1 && !strings.Contains(string(rows[0].Value), "edge-1\",\"incarnation")
	}
	await(t, "the release of the row", released)
	assert.ErrorIs(t, holder.Do(t.Context(), act), lease.ErrNotHeld)
	select {
	case <-done:
		assert.Assert(t, time.Since(started) > 2*time.Second, "the daemon ended before the load balancer removed it")
	case <-time.After(20 * time.Second):
		t.Fatal("the daemon did not stop")
	}
	assert.Equal(t, len(service.Violations()), 0)
}

// Guards against calls of a daemon whose settings name no duty.
func TestNoDutiesNoCalls(t *testing.T) {
	store := standin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	e, _, _ := dutyDaemon(t, server.Listener.Addr().String(), edge.DutySettings{APIAddress: "127.0.0.1:1"})
	assert.Assert(t, e.DutyHolder() == nil)
	time.Sleep(time.Second)
	rows, err := platform.NewStore(server.Listener.Addr().String()).Duties().Scan(t.Context(), "", "", 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 0)
}
