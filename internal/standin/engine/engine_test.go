package engine_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/auburndyke/auburndyke/internal/standin/engine"
	"github.com/auburndyke/auburndyke/internal/standin/netfault"
	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// requests numbers the requests of all tests.
var requests atomic.Int64

// submit sends requests one after another without waiting for their answers.
// It returns when all have arrived.
func submit(t *testing.T, client *http.Client, bodies ...map[string]any) (wait func()) {
	done := make(chan struct{}, len(bodies))
	for _, fields := range bodies {
		raw, _ := json.Marshal(fields)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://e/v1/completions", bytes.NewReader(raw))
		assert.NilError(t, err)
		req.Header.Set("X-Request-Id", fmt.Sprintf("r%d.0", requests.Add(1)))
		go func() {
			if resp, err := client.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			done <- struct{}{}
		}()
		synctest.Wait()
	}
	return func() {
		for range bodies {
			<-done
		}
	}
}

func inBubble(t *testing.T, cfg engine.Config, test func(t *testing.T, e *engine.Engine, client *http.Client)) {
	virtualtime.Test(t, func(t *testing.T) {
		pipe := netfault.NewPipe()
		e := engine.New(cfg)
		e.Start(pipe)
		tr := &http.Transport{DialContext: pipe.Dial}
		t.Cleanup(func() {
			tr.CloseIdleConnections()
			assert.NilError(t, e.Close())
		})
		test(t, e, &http.Client{Transport: tr})
	})
}

func prompt(text string, priority, tokens int) map[string]any {
	return map[string]any{"prompt": text, "priority": priority, "min_tokens": 600, "max_tokens": tokens, "stream": true}
}

// Guards against a stand-in that serves its queue in another order than by
// priority and arrival, or that accepts more than its queue holds.
func TestQueueOrderAndBound(t *testing.T) {
	inBubble(t, engine.Config{Slots: 1, QueueLimit: 3}, func(t *testing.T, e *engine.Engine, client *http.Client) {
		submit(t, client, prompt("a", 5, 10), prompt("b", 7, 10), prompt("c", 3, 10), prompt("d", 3, 10), prompt("e", 0, 10))()
		started := []string{}
		for _, i := range []int{0, 2, 3, 1} {
			entry := e.Ledger().Attempts[i]
			assert.Equal(t, entry.State, engine.StateFinished)
			started = append(started, entry.Started.Format(time.StampMicro))
		}
		for i := 1; i < len(started); i++ {
			assert.Assert(t, started[i-1] < started[i])
		}
		assert.Equal(t, e.Ledger().Attempts[4].State, engine.StateRefused)
		assert.Assert(t, e.Ledger().Attempts[4].Started.IsZero())
	})
}

// Guards against preemption that loses or repeats tokens.
func TestPreemption(t *testing.T) {
	inBubble(t, engine.Config{Slots: 1, Preempt: true}, func(t *testing.T, e *engine.Engine, client *http.Client) {
		wait := submit(t, client, prompt("low", 9, 50))
		time.Sleep(500 * time.Millisecond)
		waitUrgent := submit(t, client, prompt("urgent", 1, 10))
		wait()
		waitUrgent()
		ledger := e.Ledger()
		assert.Equal(t, ledger.Attempts[0].Preempted, 1)
		assert.Assert(t, ledger.Attempts[1].Ended.Before(ledger.Attempts[0].Ended))
		assert.Equal(t, ledger.Attempts[0].Generated, 50)
		assert.Equal(t, ledger.Attempts[0].State, engine.StateFinished)
	})
}

// Guards against a token interval that does not grow with the batch, and
// against prefill that ignores the prefix cache.
func TestTiming(t *testing.T) {
	cfg := engine.Config{BaseInterval: 10 * time.Millisecond, IntervalSlope: time.Millisecond, PrefillPerToken: time.Millisecond}
	inBubble(t, cfg, func(t *testing.T, e *engine.Engine, client *http.Client) {
		long := strings.Repeat("abcd", 1024)
		took := func(bodies ...map[string]any) time.Duration {
			start := time.Now()
			submit(t, client, bodies...)()
			return time.Since(start)
		}
		assert.Equal(t, took(prompt("a", 0, 100)), 1100*time.Millisecond)
		cold := took(prompt(long, 0, 100))
		assert.Assert(t, cold >= 2100*time.Millisecond, "%v", cold)
		assert.Equal(t, e.Ledger().Attempts[1].CachedTokens, 0)
	})
	inBubble(t, cfg, func(t *testing.T, e *engine.Engine, client *http.Client) {
		long := strings.Repeat("abcd", 1024)
		submit(t, client, prompt(long, 0, 10))()
		start := time.Now()
		bodies := []map[string]any{}
		for i := range 10 {
			bodies = append(bodies, prompt(long+fmt.Sprint(i), 0, 100))
		}
		submit(t, client, bodies...)()
		assert.Equal(t, e.Ledger().Attempts[10].CachedTokens, 1024)
		batch := time.Since(start)
		assert.Assert(t, batch >= 1900*time.Millisecond && batch <= 2200*time.Millisecond, "%v", batch)
	})
}

// Guards against a cancelled request that keeps its place in the queue.
func TestCancelQueued(t *testing.T) {
	inBubble(t, engine.Config{Slots: 1}, func(t *testing.T, e *engine.Engine, client *http.Client) {
		wait := submit(t, client, prompt("a", 0, 10), prompt("b", 1, 10), prompt("c", 2, 10))
		id := string(e.Ledger().Attempts[1].Attempt)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodDelete, "http://e/v1/streams/"+id, nil)
		assert.NilError(t, err)
		resp, err := client.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusNoContent)
		wait()
		attempts := e.Ledger().Attempts
		assert.Equal(t, attempts[1].State, engine.StateCancelled)
		assert.Equal(t, attempts[1].Generated, 0)
		assert.Equal(t, attempts[2].State, engine.StateFinished)
	})
}

// Guards against an attempt that runs although its cancellation came first. A
// caller whose hedged request was answered elsewhere cancels the other attempt,
// which may still be on its way.
func TestCancelOvertakesItsAttempt(t *testing.T) {
	inBubble(t, engine.Config{Slots: 1}, func(t *testing.T, e *engine.Engine, client *http.Client) {
		next := fmt.Sprintf("r%d.0", requests.Load()+1)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodDelete, "http://e/v1/streams/"+next, nil)
		assert.NilError(t, err)
		resp, err := client.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		submit(t, client, prompt("a", 0, 10))()
		attempt := e.Ledger().Attempts[0]
		assert.Equal(t, string(attempt.Attempt), next)
		assert.Equal(t, attempt.State, engine.StateRefused)
		assert.Assert(t, attempt.Started.IsZero())
		assert.Equal(t, attempt.Generated, 0)
	})
}

// Guards against tokens computed for a caller that will not come back.
func TestOrphanIsAbandoned(t *testing.T) {
	inBubble(t, engine.Config{OrphanTime: time.Second}, func(t *testing.T, e *engine.Engine, client *http.Client) {
		raw, _ := json.Marshal(prompt("orphan", 0, 500))
		resp, err := client.Post("http://e/v1/completions", "application/json", bytes.NewReader(raw))
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		time.Sleep(time.Minute)
		entry := e.Ledger().Attempts[0]
		assert.Equal(t, entry.State, engine.StateAbandoned)
		assert.Assert(t, entry.Generated <= 50, "%d", entry.Generated)
	})
}

// Guards against an expected answer that differs between streaming, whole and
// continued answers.
func TestTextProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		text := rapid.StringN(1, 50, -1).Draw(rt, "prompt")
		seed := rapid.Int64().Draw(rt, "seed")
		limit := rapid.IntRange(0, 600).Draw(rt, "limit")
		answer := engine.Prompt{Text: text, Seed: seed, MaxTokens: limit}.Answer()
		if engine.CountTokens(answer.Text) != answer.Tokens {
			rt.Fatalf("text has %d tokens, want %d", engine.CountTokens(answer.Text), answer.Tokens)
		}
		cut := rapid.IntRange(0, answer.Tokens).Draw(rt, "cut")
		if !strings.HasPrefix(answer.Text, engine.Text(text, seed, cut)) {
			rt.Fatal("a shorter text is not a prefix of the answer")
		}
	})
}

// Guards against a whole answer that differs from the streamed one.
func TestWholeAnswer(t *testing.T) {
	inBubble(t, engine.Config{}, func(t *testing.T, _ *engine.Engine, client *http.Client) {
		raw := []byte(`{"messages":[{"role":"user","content":"hi"}]}`)
		resp, err := client.Post("http://e/v1/chat/completions", "application/json", bytes.NewReader(raw))
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
		var answer struct {
			Choices []struct {
				Message struct{ Content string }
			}
		}
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&answer))
		want, err := engine.Expected(raw)
		assert.NilError(t, err)
		assert.Equal(t, answer.Choices[0].Message.Content, want.Text)
	})
}
