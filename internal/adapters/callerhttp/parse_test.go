package callerhttp

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// Guards against malformed bodies that reach an upstream, and against errors
// that leave open whether the request ran.
func TestParseGenerationRejects(t *testing.T) {
	cases := map[string]string{
		"malformed JSON": `{"model":`,
		"not an object":  `[1]`,
		"no model":       `{"messages":[]}`,
		"no messages":    `{"model":"m"}`,
		"two answers":    `{"model":"m","messages":[],"n":2}`,
		"no tokens":      `{"model":"m","messages":[],"max_tokens":0}`,
		"bad UTF-8":      "{\"model\":\"m\xff\",\"messages\":[]}",
	}
	for name, body := range cases {
		_, failure := ParseGeneration(ports.EndpointChat, []byte(body))
		assert.Assert(t, failure != nil, name)
		assert.Equal(t, failure.Code, domain.CodeInvalidRequest, name)
		assert.Equal(t, failure.Outcome, domain.OutcomeNotRun, name)
	}
}

// Guards against a lost adapter or a lost token bound.
func TestParseGeneration(t *testing.T) {
	g, failure := ParseGeneration(ports.EndpointCompletion, []byte(`{"model":"lesson:surf","prompt":"hi","max_tokens":7,"stream":true}`))
	assert.Assert(t, failure == nil)
	assert.Equal(t, g.Model, domain.ModelID("lesson"))
	assert.Equal(t, g.Adapter, "surf")
	assert.Equal(t, g.MaxTokens, 7)
	assert.Assert(t, g.Stream)
}

// Guards against answers whose events carry the ids of several attempts.
func TestWriteWithID(t *testing.T) {
	cases := []struct{ in, want string }{
		{`{"id":"a.0","object":"x"}`, `{"id":"r","object":"x"}`},
		{`{"object":"x"}`, `{"object":"x"}`},
		{`{"id":"unterminated`, `{"id":"unterminated`},
	}
	for _, c := range cases {
		var out bytes.Buffer
		writeWithID(&out, []byte(c.in), "r")
		assert.Equal(t, out.String(), c.want)
	}
}

// Guards against a parser that panics or accepts a body without a model.
func FuzzParseGeneration(f *testing.F) {
	f.Add([]byte(`{"model":"m:a","messages":[{"role":"user","content":"hi"}],"max_tokens":3}`))
	f.Add([]byte(`{"model":"m","prompt":["a","b"],"n":1}`))
	f.Add([]byte("{\"model\":\"\xff\"}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		g, failure := ParseGeneration(ports.EndpointChat, data)
		if failure == nil && (len(g.Prompt) == 0 || g.MaxTokens < 0) {
			t.Fatalf("accepted %q as %+v", data, g)
		}
		if failure != nil && failure.Outcome != domain.OutcomeNotRun {
			t.Fatalf("outcome %s for %q", failure.Outcome, data)
		}
	})
}
