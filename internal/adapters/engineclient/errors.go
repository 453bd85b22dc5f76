package engineclient

import (
	"bytes"
	"fmt"
	"net/http"

	"github.com/auburndyke/auburndyke/internal/adapters/httpsend"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	headerRequestID   = "X-Request-Id"
	headerNotRun      = "X-Not-Run"
	headerLastEventID = "Last-Event-ID"
	headerIdempotency = "Idempotency-Key"
)

// maxErrorBody bounds how much of an error response is kept.
const maxErrorBody = 4 << 10

// StatusError is a response with an unexpected status. It wraps
// ports.ErrRefused for 429 and 503 with X-Not-Run: true, and
// ports.ErrStreamBroken otherwise.
type StatusError struct {
	Status int
	Body   []byte
	kind   error
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("upstream answered %d: %s", e.Status, bytes.TrimSpace(e.Body))
}

// Unwrap returns the error's class.
func (e *StatusError) Unwrap() error {
	return e.kind
}

func newStatusError(resp *http.Response) *StatusError {
	kind := ports.ErrStreamBroken
	if refused(resp) {
		kind = ports.ErrRefused
	}
	return &StatusError{Status: resp.StatusCode, Body: readPrefix(resp.Body), kind: kind}
}

// refused reports whether the upstream states that nothing ran.
func refused(resp *http.Response) bool {
	switch resp.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return resp.Header.Get(headerNotRun) == "true"
	}
	return false
}

// sendError classifies a failure without a response.
func sendError(tracker *httpsend.Tracker, err error) error {
	if tracker.NotSent() {
		return fmt.Errorf("%w: %w", ports.ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", ports.ErrStreamBroken, err)
}
