package service_test

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/adapters/engineclient"
	"github.com/auburndyke/auburndyke/internal/adapters/httpsend"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/netfault"
	"github.com/auburndyke/auburndyke/internal/standin/service"
	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// Guards against a client that states wrongly whether a call ran, against a
// transport that sends a call twice, and against a ledger that misses an
// execution.
func TestFaults(t *testing.T) {
	cases := []struct {
		name       string
		faults     service.Faults
		silence    bool
		empty      bool
		want       error
		executions int
	}{
		{"healthy", service.Faults{}, false, false, nil, 1},
		{"refuse", service.Faults{Refuse: true}, false, false, ports.ErrRefused, 0},
		{"answer lost", service.Faults{LoseAnswers: true}, false, false, ports.ErrStreamBroken, 1},
		{"answer lost, no body", service.Faults{LoseAnswers: true}, false, true, ports.ErrStreamBroken, 1},
		{"crash before", service.Faults{CrashBefore: true}, false, false, ports.ErrStreamBroken, 0},
		{"crash before, no body", service.Faults{CrashBefore: true}, false, true, ports.ErrStreamBroken, 0},
		{"crash after", service.Faults{CrashAfter: true}, false, false, ports.ErrStreamBroken, 1},
		{"stopped", service.Faults{StopAnswering: true}, false, false, ports.ErrStreamBroken, 0},
		{"slow", service.Faults{Slow: time.Minute}, false, false, ports.ErrStreamBroken, 1},
		{"silent", service.Faults{}, true, false, ports.ErrStreamBroken, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				pipe := netfault.NewPipe()
				s := service.New(service.Config{Latency: 10 * time.Millisecond})
				s.Start(pipe)
				client, err := engineclient.New("http://service", engineclient.Options{Transport: httpsend.Options{Dial: pipe.Dial}})
				assert.NilError(t, err)
				assert.NilError(t, client.Probe(t.Context()))
				// The warm-up leaves a pooled connection, on which net/http
				// would repeat requests that it takes for idempotent.
				_, err = client.Call(t.Context(), &ports.ServiceRequest{Method: http.MethodPost, Path: "/warm", IdempotencyKey: "warm"})
				assert.NilError(t, err)
				s.SetFaults(c.faults)
				if c.silence {
					assert.Assert(t, s.Silence() > 0)
				}
				req := &ports.ServiceRequest{Method: http.MethodPost, Path: "/book", IdempotencyKey: "k", Body: []byte("board")}
				if c.empty {
					req.Body = nil
				}
				resp, err := client.Call(t.Context(), req)
				if c.want == nil {
					assert.NilError(t, err)
					assert.Equal(t, resp.Status, http.StatusOK)
				}
				assert.Assert(t, errors.Is(err, c.want), "%v", err)
				time.Sleep(2 * time.Minute)
				assert.Equal(t, s.Ledger().ByKey()["k"], c.executions)
				client.Close()
				assert.NilError(t, s.Close())
			})
		})
	}
}

// Guards against a stand-in that hides a double execution by default, and
// against fault switches that work by Go method only.
func TestDeduplicationIsOptional(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		pipe := netfault.NewPipe()
		s := service.New(service.Config{})
		s.Start(pipe)
		client, err := engineclient.New("http://service", engineclient.Options{Transport: httpsend.Options{Dial: pipe.Dial}})
		assert.NilError(t, err)
		call := func() {
			_, err := client.Call(t.Context(), &ports.ServiceRequest{Method: http.MethodPost, Path: "/book", IdempotencyKey: "k"})
			assert.NilError(t, err)
		}
		call()
		call()
		assert.Equal(t, s.Ledger().ByKey()["k"], 2)
		s.SetFaults(service.Faults{Deduplicate: true})
		call()
		assert.Equal(t, s.Ledger().ByKey()["k"], 2)
		assert.Equal(t, s.Ledger().Replayed, 1)
		report, err := client.Load(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, report.Slots, 16)
		_, err = client.Call(t.Context(), &ports.ServiceRequest{
			Method: http.MethodPost, Path: "/faults", Body: []byte(`{"refuse":true,"crash":true}`),
		})
		assert.NilError(t, err)
		synctest.Wait()
		assert.DeepEqual(t, s.Faults(), service.Faults{Refuse: true, Deduplicate: true})
		report, err = client.Load(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, report.Incarnation, domain.Incarnation(2))
		client.Close()
		assert.NilError(t, s.Close())
	})
}
