package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// kvState is the exported KV cache of an attempt.
type kvState struct {
	Prefixes []uint64 `json:"prefixes"`
	Tokens   int      `json:"tokens"`
}

// handleExport returns the KV cache of the attempt named by X-Request-Id.
func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	a, known := e.attempts[domain.AttemptID(r.Header.Get(headerRequestID))]
	var state kvState
	if known {
		state = kvState{Prefixes: Prefixes(a.prompt, e.cfg.BlockBytes), Tokens: a.promptTokens + a.produced}
	}
	e.mu.Unlock()
	if !known {
		writeError(w, http.StatusNotFound, "unknown_attempt", "attempt is not held here")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_ = json.NewEncoder(w).Encode(state)
}

// handleImport loads the KV cache for the attempt named by X-Request-Id. The
// attempt then starts without prefill of the imported tokens.
func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	var state kvState
	if err := json.Unmarshal(data, &state); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	e.mu.Lock()
	e.cache.use(state.Prefixes, time.Now())
	e.imported[domain.AttemptID(r.Header.Get(headerRequestID))] = state.Tokens
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
