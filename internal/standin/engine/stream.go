package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// stream sends the events of an attempt from index next on.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, a *attempt, next int) {
	ch := e.watch(a)
	defer e.unwatch(a, ch)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerRequestID, string(a.id))
	w.WriteHeader(http.StatusOK)
	out := &eventWriter{engine: e, attempt: a, w: w, flush: http.NewResponseController(w).Flush}
	_ = out.flush()
	for {
		if e.Faults().StopAnswering {
			<-r.Context().Done()
			return
		}
		produced, state := e.progress(a)
		for ; next < produced; next++ {
			if !out.send(next, false) {
				return
			}
		}
		switch state {
		case StateQueued, StateRunning:
		case StateFinished:
			out.finish(next)
			return
		default:
			panic(http.ErrAbortHandler)
		}
		if err := out.flush(); err != nil {
			return
		}
		if await(r.Context(), ch) != nil {
			return
		}
	}
}

// eventWriter writes the events of one connection, with the stream faults.
type eventWriter struct {
	engine  *Engine
	attempt *attempt
	w       io.Writer
	flush   func() error
	buf     bytes.Buffer
	sent    int
	held    []byte
}

// send writes event index and reports whether the stream goes on.
func (o *eventWriter) send(index int, final bool) bool {
	f := o.engine.Faults()
	if !strings.HasPrefix(string(o.attempt.id), f.Only) {
		f = Faults{}
	}
	if f.TruncateAfter > 0 && o.sent >= f.TruncateAfter {
		return false
	}
	o.buf.Reset()
	if f.Crossed && o.sent == 1 {
		o.attempt.foreign().appendEvent(&o.buf, index, final)
	} else {
		o.attempt.appendEvent(&o.buf, index, final)
	}
	o.sent++
	if f.Late && index%2 == 1 && !final && o.held == nil {
		o.held = bytes.Clone(o.buf.Bytes())
		return true
	}
	if f.Duplicate {
		_, _ = o.w.Write(o.buf.Bytes())
	}
	_, err := o.w.Write(o.buf.Bytes())
	if o.held != nil {
		_, err = o.w.Write(o.held)
		o.held = nil
	}
	return err == nil
}

func (o *eventWriter) finish(index int) {
	if !o.send(index, true) {
		return
	}
	_, _ = io.WriteString(o.w, "data: [DONE]\n\n")
	_ = o.flush()
}

// foreign returns an attempt like a with another id and another answer.
func (a *attempt) foreign() *attempt {
	return &attempt{
		id:       domain.NewAttemptID("crossed-"+a.id.Request(), 0),
		endpoint: a.endpoint, model: a.model, hash: mix(a.hash), skip: a.skip,
		want: a.want, finish: a.finish, promptTokens: a.promptTokens, entry: a.entry,
	}
}

type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         *string `json:"text,omitempty"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (a *attempt) chat() bool {
	return strings.HasSuffix(a.endpoint, "/chat/completions")
}

func (a *attempt) usage() *usage {
	return &usage{
		PromptTokens:     a.promptTokens,
		CompletionTokens: a.want,
		TotalTokens:      a.promptTokens + a.want,
		Details:          promptDetails{CachedTokens: a.cached},
	}
}

// appendEvent writes event index in SSE form. Event i carries token i; the
// event behind the last token is final.
func (a *attempt) appendEvent(buf *bytes.Buffer, index int, final bool) {
	c := chunk{ID: string(a.id), Created: a.entry.Received.Unix(), Model: a.model, Choices: []choice{{}}}
	text := ""
	if final {
		c.Choices[0].FinishReason = &a.finish
		c.Usage = a.usage()
	} else {
		text = token(a.hash, a.skip+index)
	}
	if a.chat() {
		c.Object = "chat.completion.chunk"
		c.Choices[0].Delta = &delta{Content: text}
		if index == 0 {
			c.Choices[0].Delta.Role = "assistant"
		}
	} else {
		c.Object = "text_completion"
		c.Choices[0].Text = &text
	}
	buf.WriteString("id: ")
	buf.WriteString(string(a.id))
	buf.WriteByte(':')
	buf.WriteString(strconv.Itoa(index))
	buf.WriteString("\ndata: ")
	enc := json.NewEncoder(buf)
	_ = enc.Encode(c) // Encode ends the line.
	buf.WriteByte('\n')
}

// answerWhole waits for the end of the attempt and sends one JSON answer.
func (e *Engine) answerWhole(w http.ResponseWriter, r *http.Request, a *attempt) {
	ch := e.watch(a)
	defer e.unwatch(a, ch)
	for {
		_, state := e.progress(a)
		if state == StateFinished {
			break
		}
		if state != StateQueued && state != StateRunning {
			panic(http.ErrAbortHandler)
		}
		if await(r.Context(), ch) != nil {
			return
		}
	}
	var text strings.Builder
	for i := range a.want {
		text.WriteString(token(a.hash, a.skip+i))
	}
	full := text.String()
	c := chunk{ID: string(a.id), Created: time.Now().Unix(), Model: a.model, Usage: a.usage()}
	if a.chat() {
		c.Object = "chat.completion"
		c.Choices = []choice{{Message: &delta{Role: "assistant", Content: full}, FinishReason: &a.finish}}
	} else {
		c.Object = "text_completion"
		c.Choices = []choice{{Text: &full, FinishReason: &a.finish}}
	}
	writeJSON(w, http.StatusOK, c)
}
