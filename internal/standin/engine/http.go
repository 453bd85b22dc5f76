package engine

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// Header names of the upstream protocol.
const (
	headerRequestID   = "X-Request-Id"
	headerNotRun      = "X-Not-Run"
	headerLastEventID = "Last-Event-ID"
	headerIdempotency = "Idempotency-Key"
)

const maxBody = 16 << 20

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	serving := func(pattern string, h http.HandlerFunc) {
		mux.HandleFunc(pattern, e.unlessStopped(h))
	}
	serving("POST /v1/chat/completions", e.handleGenerate)
	serving("POST /v1/completions", e.handleGenerate)
	serving("GET /v1/models", e.handleModels)
	serving("GET /v1/streams/{attempt}", e.handleResume)
	serving("DELETE /v1/streams/{attempt}", e.handleCancel)
	serving("GET /load", e.handleLoad)
	serving("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	serving("GET /cache/events", e.handleCacheEvents)
	serving("POST /orders", e.handleOrder)
	serving("POST /kv/export", e.handleExport)
	serving("POST /kv/import", e.handleImport)
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Ledger()) })
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Faults()) })
	mux.HandleFunc("POST /faults", e.handleFaults)
	return mux
}

// unlessStopped holds requests without an answer under StopAnswering.
func (e *Engine) unlessStopped(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.Faults().StopAnswering {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		h(w, r)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, errorBody{errorDetail{Message: message, Type: "engine_error", Code: code}})
}

func writeRefusal(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set(headerNotRun, "true")
	writeError(w, status, code, message)
}

func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	cmd := faultCommand{Faults: e.Faults()}
	if err := json.NewDecoder(r.Body).Decode(&cmd); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
	_ = http.NewResponseController(w).Flush()
	e.SetFaults(cmd.Faults)
	if cmd.Silence {
		e.Silence()
	}
	if cmd.Crash {
		e.Crash()
	}
}

func (e *Engine) handleModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	report, _ := e.report()
	data := []model{}
	for _, id := range append(report.Models, report.Adapters...) {
		data = append(data, model{ID: id, Object: "model"})
	}
	writeJSON(w, http.StatusOK, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", data})
}

func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	req, err := parseRequest(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	a, err := newAttempt(req, r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_suffix", err.Error())
		return
	}
	if e.Faults().Refuse {
		e.refuse(a, r.Header.Get(headerIdempotency))
		writeRefusal(w, http.StatusServiceUnavailable, "refused", "engine refuses new requests")
		return
	}
	switch err := e.submit(a, r.Header.Get(headerIdempotency)); {
	case err == nil:
	case errors.Is(err, errDuplicate), errors.Is(err, errCancelled):
		writeError(w, http.StatusConflict, "attempt_conflict", err.Error())
		return
	case errors.Is(err, errModel):
		writeRefusal(w, http.StatusServiceUnavailable, "model_not_loaded", err.Error())
		return
	default:
		writeRefusal(w, http.StatusTooManyRequests, "queue_full", err.Error())
		return
	}
	if req.Stream {
		e.stream(w, r, a, 0)
		return
	}
	e.answerWhole(w, r, a)
}

// newAttempt checks that a continuation follows the text of its prompt.
func newAttempt(req *request, r *http.Request) (*attempt, error) {
	p := req.prompt()
	full, _ := Prompt{Text: p.Text, Seed: p.Seed, MinTokens: p.MinTokens}.length()
	skip := CountTokens(req.PromptSuffix)
	if skip > full || Text(p.Text, p.Seed, skip) != req.PromptSuffix {
		return nil, errors.New("prompt_suffix does not continue the answer to this prompt")
	}
	want, finish := full-skip, "stop"
	if limit, limited := req.limit(); limited && limit < want {
		want, finish = limit, "length"
	}
	id := domain.AttemptID(r.Header.Get(headerRequestID))
	if id == "" {
		id = domain.AttemptID(uuid.NewString())
	}
	return &attempt{
		id: id, endpoint: r.URL.Path, model: req.Model, prompt: p.Text + req.PromptSuffix,
		hash: hashPrompt(p.Text, p.Seed), skip: skip, want: want, finish: finish,
		priority: req.Priority, promptTokens: PromptTokens(p.Text + req.PromptSuffix),
	}, nil
}

// refuse records a refused attempt.
func (e *Engine) refuse(a *attempt, key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.ledger.attempts = append(e.ledger.attempts, &Entry{
		Attempt: a.id, Request: a.id.Request(), IdempotencyKey: key, Incarnation: e.incarnation,
		Model: a.model, Priority: a.priority, Received: now, Ended: now, State: StateRefused,
	})
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	id := domain.AttemptID(r.PathValue("attempt"))
	next, err := resumeIndex(id, r.Header.Get(headerLastEventID))
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_last_event_id", err.Error())
		return
	}
	e.mu.Lock()
	a, known := e.attempts[id]
	gone := !known || a.entry.State != StateFinished && a.over() || next > a.produced+1
	if !gone {
		a.entry.Resumed++
	}
	e.mu.Unlock()
	if gone {
		writeError(w, http.StatusGone, "stream_gone", "attempt is not held here")
		return
	}
	e.stream(w, r, a, next)
}

// resumeIndex returns the index behind Last-Event-ID, or 0 without one.
func resumeIndex(id domain.AttemptID, header string) (int, error) {
	if header == "" {
		return 0, nil
	}
	index, ok := strings.CutPrefix(header, string(id)+":")
	if !ok {
		return 0, errors.New("Last-Event-ID names another attempt")
	}
	last, err := strconv.Atoi(index)
	if err != nil || last < -1 {
		return 0, errors.New("Last-Event-ID has no valid index")
	}
	return last + 1, nil
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	if !e.cancel(domain.AttemptID(r.PathValue("attempt"))) {
		writeError(w, http.StatusNotFound, "unknown_attempt", "attempt is not held here")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	report, lost := e.report()
	if lost {
		writeError(w, http.StatusServiceUnavailable, "report_lost", "no load report available")
		return
	}
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		writeError(w, http.StatusBadRequest, "invalid_after", err.Error())
		return
	}
	e.mu.Lock()
	events := e.cache.after(after, time.Now().Add(-e.cfg.CacheLag))
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o ports.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	if !e.order(o) {
		writeError(w, http.StatusConflict, "stale_fencing_token", "a newer holder has sent orders")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
