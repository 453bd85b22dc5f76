package callerhttp

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/gateway"
	"github.com/auburndyke/auburndyke/internal/ports"
)

var (
	dataPrefix = []byte("data: ")
	eventEnd   = []byte("\n\n")
	doneEvent  = []byte("data: [DONE]\n\n")
	idField    = []byte(`{"id":"`)
)

// streamSink writes events as server-sent events. The header is written with
// the first event, so that a request which fails earlier gets a plain error.
type streamSink struct {
	response *echo.Response
	control  *http.ResponseController
	id       string
	timeout  time.Duration
	started  bool
	buffer   bytes.Buffer
}

func newStreamSink(c echo.Context, request domain.RequestID, timeout time.Duration) *streamSink {
	return &streamSink{
		response: c.Response(),
		control:  http.NewResponseController(c.Response().Writer),
		id:       string(request),
		timeout:  timeout,
	}
}

// Emit writes one event and flushes it.
func (s *streamSink) Emit(event *ports.Event) error {
	s.start()
	s.buffer.Reset()
	s.buffer.Write(dataPrefix)
	writeWithID(&s.buffer, event.Data, s.id)
	s.buffer.Write(eventEnd)
	return s.flush()
}

// finish ends a complete stream.
func (s *streamSink) finish() error {
	s.start()
	s.buffer.Reset()
	s.buffer.Write(doneEvent)
	return s.flush()
}

// fail ends a stream that cannot be completed.
func (s *streamSink) fail(f *domain.Failure) error {
	s.buffer.Reset()
	s.buffer.Write(failureEvent(f))
	return s.flush()
}

func (s *streamSink) start() {
	if s.started {
		return
	}
	s.started = true
	header := s.response.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set("X-Request-Id", s.id)
	header.Set(HeaderOutcome, string(domain.OutcomeRan))
	s.response.WriteHeader(http.StatusOK)
}

func (s *streamSink) flush() error {
	if s.timeout > 0 {
		// A caller that does not read must not hold an upstream's slot.
		if err := s.control.SetWriteDeadline(time.Now().Add(s.timeout)); err != nil {
			return err
		}
	}
	if _, err := s.response.Write(s.buffer.Bytes()); err != nil {
		return err
	}
	return s.control.Flush()
}

// writeWithID copies an event's JSON and replaces its id, so that an answer
// which several attempts produced carries one id. JSON whose first field is
// not the id is copied unchanged.
func writeWithID(out *bytes.Buffer, data []byte, id string) {
	if !bytes.HasPrefix(data, idField) {
		out.Write(data)
		return
	}
	rest := data[len(idField):]
	end := bytes.IndexByte(rest, '"')
	if end < 0 {
		out.Write(data)
		return
	}
	out.Write(idField)
	out.WriteString(id)
	out.Write(rest[end:])
}

// wholeSink collects the events of an answer that is not streamed.
type wholeSink struct {
	text   strings.Builder
	tokens int
	final  ports.Event
}

// Emit adds one event.
func (s *wholeSink) Emit(event *ports.Event) error {
	s.text.WriteString(event.Text)
	s.tokens += event.Tokens
	if event.Final {
		s.final = *event
	}
	return nil
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type choice struct {
	Index        int             `json:"index"`
	Message      *message        `json:"message,omitempty"`
	Text         *string         `json:"text,omitempty"`
	FinishReason string          `json:"finish_reason"`
	Logprobs     json.RawMessage `json:"logprobs"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

// completion returns the protocol's object for the whole answer. Tokens are
// counted over all attempts that contributed to it.
func (s *wholeSink) completion(g *gateway.Generation, now time.Time) completion {
	text := s.text.String()
	object := "chat.completion"
	one := choice{FinishReason: s.final.FinishReason, Logprobs: json.RawMessage("null")}
	if g.Endpoint == ports.EndpointChat {
		one.Message = &message{Role: "assistant", Content: text}
	} else {
		object = "text_completion"
		one.Text = &text
	}
	return completion{
		ID:      string(g.Request),
		Object:  object,
		Created: now.Unix(),
		Model:   string(g.Model),
		Choices: []choice{one},
		Usage: usage{
			PromptTokens:     s.final.PromptTokens,
			CompletionTokens: s.tokens,
			TotalTokens:      s.final.PromptTokens + s.tokens,
		},
	}
}
