package engineclient_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/adapters/engineclient"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/engine"
)

// Guards against a stream fault that goes unnoticed or that breaks an answer
// which the protocol lets the client mend.
func TestStreamFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults engine.Faults
		want   error
	}{
		{"healthy", engine.Faults{}, io.EOF},
		{"straggle", engine.Faults{Straggle: 10}, io.EOF},
		{"duplicate", engine.Faults{Duplicate: true}, io.EOF},
		{"late", engine.Faults{Late: true}, ports.ErrMismatch},
		{"crossed", engine.Faults{Crossed: true}, ports.ErrMismatch},
		{"truncated", engine.Faults{TruncateAfter: 5}, ports.ErrStreamBroken},
		{"other requests only", engine.Faults{TruncateAfter: 5, Only: "other"}, io.EOF},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, engine.Config{}, func(t *testing.T, e *engine.Engine, client *engineclient.Client) {
				e.SetFaults(c.faults)
				b := body("faults", 40)
				s, err := client.Generate(t.Context(), generate("r.0", b))
				assert.NilError(t, err)
				text, last, err := drain(s)
				assert.Assert(t, errors.Is(err, c.want), "%v", err)
				want, _ := engine.Expected(b)
				assert.Assert(t, strings.HasPrefix(want.Text, text))
				e.SetFaults(engine.Faults{})
				if c.want == io.EOF {
					assert.Equal(t, text, want.Text)
					return
				}
				s, err = client.Reconnect(t.Context(), "r.0", last.Index)
				assert.NilError(t, err)
				rest, _, err := drain(s)
				assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
				assert.Equal(t, text+rest, want.Text)
			})
		})
	}
}

// Guards against a crash that looks like a finished answer or whose state
// survives it.
func TestCrash(t *testing.T) {
	inBubble(t, engine.Config{ID: "e1"}, func(t *testing.T, e *engine.Engine, c *engineclient.Client) {
		s, err := c.Generate(t.Context(), generate("r.0", body("crash", 100)))
		assert.NilError(t, err)
		_, err = s.Recv()
		assert.NilError(t, err)
		e.Crash()
		_, _, err = drain(s)
		assert.Assert(t, errors.Is(err, ports.ErrStreamBroken), "%v", err)
		_, err = c.Reconnect(t.Context(), "r.0", 0)
		assert.Assert(t, errors.Is(err, ports.ErrStreamGone), "%v", err)
		report, err := c.Load(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, report.Incarnation, domain.Incarnation(2))
		assert.Equal(t, report.Running, 0)
		assert.Equal(t, e.Ledger().Attempts[0].State, engine.StateLost)
		s, err = c.Generate(t.Context(), generate("r.1", body("crash", 10)))
		assert.NilError(t, err)
		_, _, err = drain(s)
		assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	})
}

// Guards against an engine that is down being taken for one that may have run
// the request, and against one that hangs being taken for alive.
func TestDownAndStopped(t *testing.T) {
	inBubble(t, engine.Config{}, func(t *testing.T, e *engine.Engine, c *engineclient.Client) {
		assert.NilError(t, c.Probe(t.Context()))
		s, err := c.Generate(t.Context(), generate("r.0", body("down", 100)))
		assert.NilError(t, err)
		e.SetFaults(engine.Faults{StopAnswering: true})
		assert.Assert(t, c.Probe(t.Context()) != nil)
		generated := e.Ledger().GeneratedTokens
		time.Sleep(time.Minute)
		assert.Equal(t, e.Ledger().GeneratedTokens, generated)
		e.SetFaults(engine.Faults{Down: true})
		_, _, err = drain(s)
		assert.Assert(t, errors.Is(err, ports.ErrStreamBroken), "%v", err)
		assert.Assert(t, c.Probe(t.Context()) != nil)
		e.SetFaults(engine.Faults{})
		assert.NilError(t, c.Probe(t.Context()))
	})
}

// Guards against calls that hang on silent pooled connections for longer than
// one timeout, and against a cancellation that is lost on one.
func TestSilentPool(t *testing.T) {
	inBubble(t, engine.Config{}, func(t *testing.T, e *engine.Engine, c *engineclient.Client) {
		s, err := c.Generate(t.Context(), generate("r.0", body("silent", 1000)))
		assert.NilError(t, err)
		_, err = c.Load(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, e.Silence(), 2)
		assert.NilError(t, c.Cancel(t.Context(), "r.0"))
		assert.Equal(t, e.Ledger().Attempts[0].State, engine.StateCancelled)
		_, err = c.Load(t.Context())
		assert.NilError(t, err)
		start := time.Now()
		_, _, err = drain(s)
		assert.Assert(t, errors.Is(err, ports.ErrStreamBroken), "%v", err)
		assert.ErrorContains(t, err, "idle timeout")
		assert.Assert(t, time.Since(start) <= 2*time.Minute)
	})
}

// Guards against a pool that grows by one connection per finished stream.
func TestFinishedStreamsReuseConnections(t *testing.T) {
	inBubble(t, engine.Config{}, func(t *testing.T, e *engine.Engine, c *engineclient.Client) {
		for i := range 10 {
			s, err := c.Generate(t.Context(), generate(string(domain.NewAttemptID("r", i)), body("pool", 10)))
			assert.NilError(t, err)
			_, _, err = drain(s)
			assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
		}
		assert.Equal(t, e.Silence(), 1)
	})
}

// Guards against orders of a former lease holder that take effect.
func TestOrdersAndFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		cfg := engine.Config{Models: []string{"old"}, ChecksFencing: checks, OrderDelay: time.Second}
		inBubble(t, cfg, func(t *testing.T, e *engine.Engine, c *engineclient.Client) {
			ctx := t.Context()
			assert.NilError(t, c.Order(ctx, ports.Order{ID: "o2", Fencing: 2, Models: []string{"new"}}))
			err := c.Order(ctx, ports.Order{ID: "o1", Fencing: 1, Models: []string{"older"}})
			assert.Equal(t, errors.Is(err, ports.ErrStaleFencingToken), checks)
			time.Sleep(2 * time.Second)
			report, err := c.Load(ctx)
			assert.NilError(t, err)
			want := map[bool]string{true: "o2", false: "o1"}[checks]
			assert.Equal(t, report.AppliedOrder, want)
			orders := e.Ledger().Orders
			assert.Equal(t, len(orders), 2)
			assert.Equal(t, orders[1].Applied, !checks)
			req := generate("r.0", body("p", 0))
			req.Model = "old"
			_, err = c.Generate(ctx, req)
			assert.Assert(t, errors.Is(err, ports.ErrRefused), "%v", err)
		})
	}
}

// Guards against late, lost or false reports that look exact.
func TestReports(t *testing.T) {
	cfg := engine.Config{ID: "e1", LoadLag: time.Second, CacheLag: time.Second, CacheLoss: 0.3, LoadLoss: 0.3}
	inBubble(t, cfg, func(t *testing.T, e *engine.Engine, c *engineclient.Client) {
		ctx := t.Context()
		load := func() (report ports.LoadReport, failed int) {
			for {
				report, err := c.Load(ctx)
				if err == nil {
					return report, failed
				}
				failed++
			}
		}
		s, err := c.Generate(ctx, generate("r.0", body(strings.Repeat("wave ", 1000), 200)))
		assert.NilError(t, err)
		report, _ := load()
		assert.Equal(t, report.Running, 0)
		events, err := c.CacheEvents(ctx, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(events), 0)
		time.Sleep(1500 * time.Millisecond)
		report, _ = load()
		assert.Equal(t, report.Running, 1)
		assert.Equal(t, report.Age, time.Second)
		events, err = c.CacheEvents(ctx, 0)
		assert.NilError(t, err)
		blocks := len(engine.Prefixes(strings.Repeat("wave ", 1000), 256))
		assert.Assert(t, len(events) > 0 && len(events) < blocks)
		failures := 0
		for range 20 {
			_, failed := load()
			failures += failed
		}
		assert.Assert(t, failures > 0)
		e.SetFaults(engine.Faults{FalseIdle: true})
		report, _ = load()
		assert.Equal(t, report.Running, 0)
		assert.NilError(t, s.Close())
	})
}

// Guards against an exported cache that does not save prefill where it is
// imported.
func TestKVTransfer(t *testing.T) {
	prompt := body(strings.Repeat("wave ", 500), 10)
	var data []byte
	run := func(t *testing.T, c *engineclient.Client) {
		s, err := c.Generate(t.Context(), generate("r.0", prompt))
		assert.NilError(t, err)
		_, _, err = drain(s)
		assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	}
	inBubble(t, engine.Config{}, func(t *testing.T, _ *engine.Engine, c *engineclient.Client) {
		run(t, c)
		var err error
		data, err = c.ExportKV(t.Context(), "r.0")
		assert.NilError(t, err)
	})
	inBubble(t, engine.Config{}, func(t *testing.T, e *engine.Engine, c *engineclient.Client) {
		assert.NilError(t, c.ImportKV(t.Context(), "r.0", data))
		run(t, c)
		assert.Equal(t, e.Ledger().PrefillTokens, 0)
	})
}

// Guards against fault switches that work by Go method only.
func TestFaultsOverHTTP(t *testing.T) {
	inBubble(t, engine.Config{}, func(t *testing.T, e *engine.Engine, c *engineclient.Client) {
		resp, err := c.Call(t.Context(), &ports.ServiceRequest{
			Method: http.MethodPost, Path: "/faults", Body: []byte(`{"refuse":true,"crash":true}`),
		})
		assert.NilError(t, err)
		assert.Equal(t, resp.Status, http.StatusNoContent)
		time.Sleep(time.Second)
		assert.Assert(t, e.Faults().Refuse)
		report, err := c.Load(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, report.Incarnation, domain.Incarnation(2))
	})
}

// Guards against a receiver that stays blocked after its stream was given up.
func TestCloseUnblocksRecv(t *testing.T) {
	inBubble(t, engine.Config{}, func(t *testing.T, e *engine.Engine, c *engineclient.Client) {
		s, err := c.Generate(t.Context(), generate("r.0", body("close", 100)))
		assert.NilError(t, err)
		e.SetFaults(engine.Faults{StopAnswering: true})
		start := time.Now()
		time.AfterFunc(time.Second, func() { _ = s.Close() })
		_, _, err = drain(s)
		assert.Assert(t, errors.Is(err, ports.ErrStreamBroken), "%v", err)
		assert.Equal(t, time.Since(start), time.Second)
	})
}

// Guards against crossed, lost or repeated tokens when many streams run at
// once, some of them cut and resumed.
func TestManyStreams(t *testing.T) {
	inBubble(t, engine.Config{Slots: 250}, func(t *testing.T, e *engine.Engine, c *engineclient.Client) {
		e.SetFaults(engine.Faults{TruncateAfter: 7, Duplicate: true, Only: "cut"})
		var wg sync.WaitGroup
		for i := range 250 {
			wg.Go(func() {
				id := domain.NewAttemptID(domain.RequestID([]string{"cut", "whole"}[i%2]), i)
				text, err := generateWhole(t, c, id, body(string(id), 0))
				assert.Check(t, errors.Is(err, io.EOF), "%v", err)
				want, _ := engine.Expected(body(string(id), 0))
				assert.Check(t, text == want.Text)
			})
		}
		wg.Wait()
	})
}

// generateWhole resumes the stream until it ends well or cannot be resumed.
func generateWhole(t *testing.T, c *engineclient.Client, id domain.AttemptID, b []byte) (string, error) {
	text, index := "", -1
	s, err := c.Generate(t.Context(), generate(string(id), b))
	for err == nil {
		var part string
		var last ports.Event
		part, last, err = drain(s)
		text += part
		if last.Attempt != "" {
			index = last.Index
		}
		if errors.Is(err, ports.ErrStreamBroken) {
			s, err = c.Reconnect(t.Context(), id, index)
		}
	}
	return text, err
}
