package engineclient_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/adapters/engineclient"
	"github.com/auburndyke/auburndyke/internal/adapters/httpsend"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/engine"
	"github.com/auburndyke/auburndyke/internal/standin/netfault"
	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// inBubble runs a test against an engine in virtual time.
func inBubble(t *testing.T, cfg engine.Config, test func(t *testing.T, e *engine.Engine, c *engineclient.Client)) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		pipe := netfault.NewPipe()
		e := engine.New(cfg)
		e.Start(pipe)
		c, err := engineclient.New("http://engine", engineclient.Options{
			Transport: httpsend.Options{Dial: pipe.Dial},
		})
		assert.NilError(t, err)
		t.Cleanup(func() {
			c.Close()
			assert.NilError(t, e.Close())
		})
		test(t, e, c)
	})
}

func body(prompt string, minTokens int) []byte {
	raw, _ := json.Marshal(map[string]any{"model": "m", "prompt": prompt, "min_tokens": minTokens})
	return raw
}

func generate(attempt string, b []byte) *ports.GenerateRequest {
	return &ports.GenerateRequest{
		Attempt: domain.AttemptID(attempt), Endpoint: ports.EndpointCompletion, Model: "m", Body: b,
	}
}

// drain reads a stream until an error and returns its text.
func drain(s ports.Stream) (text string, last ports.Event, err error) {
	var b strings.Builder
	for {
		event, err := s.Recv()
		if err != nil {
			_ = s.Close()
			return b.String(), last, err
		}
		b.WriteString(event.Text)
		last = event
	}
}

// Guards against altered, lost or repeated text between engine and caller.
func TestGenerateDeliversExpectedAnswer(t *testing.T) {
	inBubble(t, engine.Config{}, func(t *testing.T, _ *engine.Engine, c *engineclient.Client) {
		for i, endpoint := range []ports.Endpoint{ports.EndpointCompletion, ports.EndpointChat} {
			b := body("Describe the swell at the bay.", 0)
			if endpoint == ports.EndpointChat {
				b = []byte(`{"messages":[{"role":"user","content":"swell?"}],"max_tokens":20}`)
			}
			req := generate(fmt.Sprintf("r%d.0", i), b)
			req.Endpoint = endpoint
			s, err := c.Generate(t.Context(), req)
			assert.NilError(t, err)
			text, last, err := drain(s)
			assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
			want, err := engine.Expected(b)
			assert.NilError(t, err)
			assert.Equal(t, text, want.Text)
			assert.Equal(t, last.CompletionTokens, want.Tokens)
			assert.Equal(t, last.FinishReason, want.FinishReason)
		}
	})
}

// Guards against lost or repeated tokens when a stream moves to a new
// connection.
func TestResumeContinuesBehindLastEvent(t *testing.T) {
	inBubble(t, engine.Config{}, func(t *testing.T, e *engine.Engine, c *engineclient.Client) {
		b := body("resume", 50)
		s, err := c.Generate(t.Context(), generate("r.0", b))
		assert.NilError(t, err)
		text := ""
		last := ports.Event{}
		for range 10 {
			last, err = s.Recv()
			assert.NilError(t, err)
			text += last.Text
		}
		assert.Equal(t, e.Silence(), 1)
		time.Sleep(200 * time.Millisecond)
		assert.NilError(t, s.Close())
		s, err = c.Reconnect(t.Context(), "r.0", last.Index)
		assert.NilError(t, err)
		rest, _, err := drain(s)
		assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
		want, _ := engine.Expected(b)
		assert.Equal(t, text+rest, want.Text)
	})
}

// Guards against wrong text or a wrong token budget at the seam when another
// engine continues an answer.
func TestContinuationJoinsSeamlessly(t *testing.T) {
	inBubble(t, engine.Config{}, func(t *testing.T, _ *engine.Engine, c *engineclient.Client) {
		b := []byte(`{"prompt":"continue","min_tokens":40,"max_tokens":30}`)
		want, _ := engine.Expected(b)
		req := generate("r.1", b)
		req.PromptSuffix = engine.Text("continue", 0, 12)
		req.SkipTokens = 12
		s, err := c.Generate(t.Context(), req)
		assert.NilError(t, err)
		text, last, err := drain(s)
		assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
		assert.Equal(t, req.PromptSuffix+text, want.Text)
		assert.Equal(t, last.FinishReason, "length")
		assert.Equal(t, last.CompletionTokens, 18)
	})
}

// Guards against tokens computed for a cancelled attempt, and against a
// request that overtakes its own cancellation.
func TestCancelStopsAttempt(t *testing.T) {
	inBubble(t, engine.Config{}, func(t *testing.T, e *engine.Engine, c *engineclient.Client) {
		s, err := c.Generate(t.Context(), generate("r.0", body("cancel", 100)))
		assert.NilError(t, err)
		_, err = s.Recv()
		assert.NilError(t, err)
		assert.NilError(t, c.Cancel(t.Context(), "r.0"))
		assert.NilError(t, c.Cancel(t.Context(), "r.0"))
		_, _, err = drain(s)
		assert.Assert(t, errors.Is(err, ports.ErrStreamBroken), "%v", err)
		time.Sleep(time.Minute)
		entry := e.Ledger().Attempts[0]
		assert.Equal(t, entry.State, engine.StateCancelled)
		assert.Assert(t, entry.Generated < 5)

		assert.NilError(t, c.Cancel(t.Context(), "late.0"))
		_, err = c.Generate(t.Context(), generate("late.0", body("cancel", 100)))
		assert.Assert(t, errors.Is(err, ports.ErrStreamBroken), "%v", err)
		assert.Equal(t, e.Ledger().Attempts[1].State, engine.StateRefused)
	})
}

// Guards against a wrong class of error, from which a caller would be told
// wrongly that its request was not run.
func TestErrorClasses(t *testing.T) {
	inBubble(t, engine.Config{}, func(t *testing.T, e *engine.Engine, c *engineclient.Client) {
		e.SetFaults(engine.Faults{Refuse: true})
		_, err := c.Generate(t.Context(), generate("a.0", body("p", 0)))
		assert.Assert(t, errors.Is(err, ports.ErrRefused), "%v", err)

		e.SetFaults(engine.Faults{StopAnswering: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = c.Generate(ctx, generate("b.0", body("p", 0)))
		assert.Assert(t, errors.Is(err, ports.ErrStreamBroken), "%v", err)
		assert.Assert(t, !errors.Is(err, ports.ErrNotSent))

		e.SetFaults(engine.Faults{})
		_, err = c.Reconnect(t.Context(), "unknown.0", 3)
		assert.Assert(t, errors.Is(err, ports.ErrStreamGone), "%v", err)
		_, err = c.Generate(t.Context(), generate("c.0", []byte("{}")))
		assert.Assert(t, errors.Is(err, ports.ErrStreamBroken), "%v", err)
	})
	c, err := engineclient.New("http://127.0.0.1:1", engineclient.Options{})
	assert.NilError(t, err)
	_, err = c.Generate(t.Context(), generate("d.0", body("p", 0)))
	assert.Assert(t, errors.Is(err, ports.ErrNotSent), "%v", err)
}
