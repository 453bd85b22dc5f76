package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/edge"
	platformports "github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
	"github.com/auburndyke/auburndyke/platform"
	"github.com/auburndyke/auburndyke/platform/standin"
)

// fixedDuty is the Duty of a daemon that always or never holds the duties.
type fixedDuty struct{ held bool }

func (d fixedDuty) Held() bool { return d.held }

func (d fixedDuty) Do(ctx context.Context, act func(context.Context, platformports.DutyCall) error) error {
	if !d.held {
		return fmt.Errorf("the duties are not held")
	}
	return act(ctx, platformports.DutyCall{Holder: "edge-0", Token: 1})
}

// memoryTable is a Table in memory.
type memoryTable struct {
	platformports.Table
	mu   sync.Mutex
	rows map[string]platformports.Row
}

func (t *memoryTable) Get(_ context.Context, keys ...string) ([]platformports.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []platformports.Row
	for _, key := range keys {
		if row, ok := t.rows[key]; ok {
			out = append(out, row)
		}
	}
	return out, nil
}

func (t *memoryTable) Commit(_ context.Context, writes ...platformports.Write) (platformports.Version, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range writes {
		if _, exists := t.rows[w.Key]; exists && !w.Unconditional {
			return 0, &platformports.ConflictError{Keys: []string{w.Key}}
		}
	}
	for _, w := range writes {
		if w.Delete {
			delete(t.rows, w.Key)
		} else {
			t.rows[w.Key] = platformports.Row{Key: w.Key, Value: w.Value, Version: 1}
		}
	}
	return 1, nil
}

// Guards against daemons whose counts do not get from the relay, by datagrams, to the
// holder's report: requests at three daemons must be in the reports that reach the API.
func TestUsageOfAllDaemonsIsReported(t *testing.T) {
	api := &standin.API{}
	apiServer := httptest.NewServer(api)
	t.Cleanup(apiServer.Close)
	store := standin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(func() { storeServer.CloseClientConnections(); storeServer.Close() })
	replica, err := standin.StartReplica("replica-0")
	assert.NilError(t, err)
	t.Cleanup(replica.Close)
	table := &memoryTable{rows: make(map[string]platformports.Row)}
	store.Put("op", "config", []byte(`{"version":1,"services":[{"name":"app"}],"tenants":[{"name":"c0","api_keys":["k0"]},{"name":"c1","api_keys":["k1"]},{"name":"c2","api_keys":["k2"]}],"routes":[
		{"name":"r","host":"h.example","prefix":"/","type":"idempotent","service":"app","attempts":1,"timeout_ms":1000}]}`))
	store.Put("servers", "replica-0", replica.Registration("app", "a", "ready"))
	var daemons []*fixture
	for i := range 3 {
		client := platform.NewStore(storeServer.Listener.Addr().String())
		settings := &edge.Settings{
			Daemon: domain.DaemonID(fmt.Sprintf("edge-%d", i)), Zone: "a", Region: "r", PlatformAddress: storeServer.Listener.Addr().String(),
			CallerAddress: freeAddress(t), ReadinessAddress: freeAddress(t), InternalAddress: freeAddress(t), ControlAddress: freeAddress(t),
			ShutdownTimeout: 3 * time.Second, RetryRatio: 0.2, RetrySlack: 56,
			Duties: edge.DutySettings{Metering: true, UsageWindow: time.Second, UsageDue: 10 * time.Second},
		}
		s := &fixture{t: t, store: store, done: make(chan error, 1)}
		s.settings.Store(settings)
		e := edge.New(settings, edge.Deps{
			Protocol: platform.Protocol{}, Decoders: edge.Decoders{IsConfig: platform.IsConfig, Config: platform.DecodeConfig, Registration: platform.DecodeReplica},
			Configuration: client.Configuration(), Upstreams: client.Replicas(), Daemons: client.Daemons(),
			Usage: &edge.UsageDeps{Duty: fixedDuty{i == 0}, Table: table, API: platform.NewAPI(apiServer.Listener.Addr().String())},
			Log:   telemetry.NopLog(), Metrics: telemetry.NewMetrics(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		go func() { s.done <- e.Run(ctx) }()
		t.Cleanup(func() { cancel(); assert.NilError(t, <-s.done) })
		daemons = append(daemons, s)
	}
	for _, s := range daemons {
		s.awaitStatus(s.readyURL(), "", http.StatusOK)
	}
	request := func(i int) {
		req, err := http.NewRequest(http.MethodGet, daemons[i].callerURL("/"), nil)
		assert.NilError(t, err)
		req.Host = "h.example"
		req.Header.Set("X-Attempt-Id", "r1")
		req.Header.Set("Authorization", fmt.Sprintf("Bearer k%d", i))
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
	}
	// Each customer uses another daemon. The daemons find each other meanwhile.
	complete := func() bool {
		for _, counts := range api.Reports() {
			if counts["c0"] > 0 && counts["c1"] > 0 && counts["c2"] > 0 {
				return true
			}
		}
		return false
	}
	for deadline := time.Now().Add(30 * time.Second); !complete(); time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "no report has the counts of all daemons: %v", api.Reports())
		for i := range daemons {
			request(i)
		}
	}
	assert.Equal(t, len(api.Violations()), 0, "%v", api.Violations())
}
