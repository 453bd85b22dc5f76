package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	headerClient = "X-Client-Name"
	headerNotRun = "X-Not-Run"
	maxBody      = 16 << 20
)

func (p *Platform) routes() http.Handler {
	mux := http.NewServeMux()
	guarded := func(pattern string, h func(*Client, http.ResponseWriter, *http.Request)) {
		mux.HandleFunc(pattern, p.guard(h))
	}
	guarded("POST /v1/table/get", handleGet)
	guarded("POST /v1/table/scan", handleScan)
	guarded("POST /v1/table/commit", handleCommit)
	guarded("PUT /v1/objects/{name...}", handlePut)
	guarded("GET /v1/objects/{name...}", handleRead)
	guarded("GET /v1/vms", handleVMs)
	guarded("GET /v1/weights/{name...}", handleWeights)
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counters()) })
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Faults()) })
	mux.HandleFunc("POST /faults", p.handleFaults)
	return mux
}

// guard checks the credential and holds requests of unreachable clients until
// they give up.
func (p *Platform) guard(h func(*Client, http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := r.Header.Get(headerClient)
		if slices.Contains(p.Faults().Unreachable, name) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !p.authorized(token) {
			writeFailure(w, http.StatusUnauthorized, "unauthorized", "bearer credential is not accepted", nil)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		h(p.Client(name), w, r)
	}
}

type failure struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Code    string   `json:"code"`
	Message string   `json:"message"`
	Keys    []string `json:"keys,omitempty"`
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeFailure(w http.ResponseWriter, status int, code, message string, keys []string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(failure{failureDetail{Code: code, Message: message, Keys: keys}})
}

// respond writes v or the wire form of err. A lost answer aborts the
// connection.
func respond(w http.ResponseWriter, v any, err error) {
	var conflict *ports.ConflictError
	switch {
	case err == nil:
		writeJSON(w, v)
	case errors.As(err, &conflict):
		writeFailure(w, http.StatusConflict, "conflict", err.Error(), conflict.Keys)
	case errors.Is(err, ports.ErrNotFound):
		writeFailure(w, http.StatusNotFound, "not_found", err.Error(), nil)
	case errors.Is(err, ports.ErrThrottled):
		w.Header().Set(headerNotRun, "true")
		writeFailure(w, http.StatusTooManyRequests, "throttled", err.Error(), nil)
	case errors.Is(err, ports.ErrUnavailable):
		w.Header().Set(headerNotRun, "true")
		writeFailure(w, http.StatusServiceUnavailable, "unavailable", err.Error(), nil)
	case errors.Is(err, errInvalid):
		writeFailure(w, http.StatusBadRequest, "invalid", err.Error(), nil)
	default:
		panic(http.ErrAbortHandler)
	}
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		writeFailure(w, http.StatusBadRequest, "invalid", err.Error(), nil)
		return false
	}
	return true
}

// Rows is the answer to get and scan.
type Rows struct {
	Rows []ports.Row `json:"rows"`
}

// GetRequest is the body of POST /v1/table/get.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest is the body of POST /v1/table/scan.
type ScanRequest struct {
	Prefix string        `json:"prefix"`
	After  string        `json:"after"`
	Limit  int           `json:"limit"`
	Since  ports.Version `json:"since"`
}

// CommitRequest is the body of POST /v1/table/commit.
type CommitRequest struct {
	Writes []ports.Write `json:"writes"`
}

// CommitResponse is the answer to a commit.
type CommitResponse struct {
	Version ports.Version `json:"version"`
}

// WeightsResponse is the answer to GET /v1/weights/<name>.
type WeightsResponse struct {
	Size int64 `json:"size"`
}

func handleGet(c *Client, w http.ResponseWriter, r *http.Request) {
	var req GetRequest
	if !decode(w, r, &req) {
		return
	}
	rows, err := c.Get(r.Context(), req.Keys...)
	respond(w, Rows{rows}, err)
}

func handleScan(c *Client, w http.ResponseWriter, r *http.Request) {
	var req ScanRequest
	if !decode(w, r, &req) {
		return
	}
	rows, err := c.Scan(r.Context(), req.Prefix, req.After, req.Limit, req.Since)
	respond(w, Rows{rows}, err)
}

// handleCommit takes effect even when the client gives up while it waits, as a
// request that is already queued at the platform would.
func handleCommit(c *Client, w http.ResponseWriter, r *http.Request) {
	var req CommitRequest
	if !decode(w, r, &req) {
		return
	}
	version, err := c.Commit(context.WithoutCancel(r.Context()), req.Writes...)
	respond(w, CommitResponse{version}, err)
}

func handlePut(c *Client, w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		writeFailure(w, http.StatusBadRequest, "invalid", err.Error(), nil)
		return
	}
	err = c.Put(context.WithoutCancel(r.Context()), r.PathValue("name"), data)
	respond(w, struct{}{}, err)
}

func handleRead(c *Client, w http.ResponseWriter, r *http.Request) {
	data, err := c.Read(r.Context(), r.PathValue("name"))
	if err != nil {
		respond(w, nil, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}

func handleVMs(c *Client, w http.ResponseWriter, r *http.Request) {
	vms, err := c.VMs(r.Context())
	respond(w, vms, err)
}

func handleWeights(c *Client, w http.ResponseWriter, r *http.Request) {
	size, err := c.Size(r.Context(), r.PathValue("name"))
	respond(w, WeightsResponse{size}, err)
}

func (p *Platform) handleFaults(w http.ResponseWriter, r *http.Request) {
	cmd := faultCommand{Faults: p.Faults()}
	if !decode(w, r, &cmd) {
		return
	}
	w.WriteHeader(http.StatusNoContent)
	_ = http.NewResponseController(w).Flush()
	p.SetFaults(cmd.Faults)
	if cmd.Silence {
		p.Silence()
	}
}
