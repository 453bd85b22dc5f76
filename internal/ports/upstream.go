package ports

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

var (
	// ErrRefused means that the upstream refused the request before it ran
	// any part of it.
	ErrRefused = errors.New("upstream refused the request before running it")
	// ErrNotSent means that no byte of the request reached the upstream, for
	// example because no connection could be made.
	ErrNotSent = errors.New("request was not sent")
	// ErrStreamBroken means that the stream ended before its final event.
	ErrStreamBroken = errors.New("stream ended early")
	// ErrStreamGone means that the upstream no longer holds the stream, so it
	// cannot be resumed there.
	ErrStreamGone = errors.New("stream cannot be resumed")
	// ErrMismatch means that an event belongs to another attempt or is out of
	// order.
	ErrMismatch = errors.New("event does not belong to the attempt")
	// ErrStaleFencingToken means that the upstream has seen a newer holder.
	ErrStaleFencingToken = errors.New("fencing token is stale")
)

// Endpoint names kinds of generation calls.
type Endpoint string

const (
	EndpointChat       Endpoint = "/v1/chat/completions"
	EndpointCompletion Endpoint = "/v1/completions"
)

// GenerateRequest is one attempt at a generation.
type GenerateRequest struct {
	Attempt  domain.AttemptID
	Endpoint Endpoint
	Model    domain.ModelID
	Adapter  string
	// Body is the caller's JSON object. The client overrides stream, priority
	// and prompt_suffix in it.
	Body []byte
	// Priority is the engine's priority; lower is more urgent.
	Priority int
	// PromptSuffix is the text already sent to the caller by an earlier
	// attempt; the engine continues behind it. Empty for a first attempt.
	PromptSuffix string
	// SkipTokens is the number of tokens in PromptSuffix; the engine's token
	// budget is reduced by it.
	SkipTokens int
}

// Event is one event of a generation stream.
type Event struct {
	Attempt domain.AttemptID
	// Index counts the events of an attempt from 0 without gaps.
	Index int
	// Data is the JSON of the event as the engine sent it.
	Data []byte
	// Text is the generated text in the event.
	Text string
	// Tokens is the number of generated tokens in the event.
	Tokens int
	// Final marks the last event; its fields below are set.
	Final        bool
	FinishReason string
	// CompletionTokens is the engine's own count for the whole attempt.
	CompletionTokens int
	PromptTokens     int
	// CachedTokens is how much of the prompt came from the prefix cache.
	CachedTokens int
}

// Stream delivers the events of one attempt in order.
type Stream interface {
	// Recv returns the next event. After the final event it returns io.EOF.
	// It fails with ErrStreamBroken or ErrMismatch.
	Recv() (Event, error)
	// Close releases the connection. It does not cancel the attempt.
	Close() error
}

// LoadReport is what an engine says about its load. It lags.
type LoadReport struct {
	Upstream    domain.UpstreamID  `json:"upstream"`
	Incarnation domain.Incarnation `json:"incarnation"`
	// Taken is when the engine measured; the engine's clock.
	Taken time.Time `json:"taken"`
	// Age is how old the measurement was when the report was sent.
	Age            time.Duration `json:"age_ns"`
	Running        int           `json:"running"`
	Queued         int           `json:"queued"`
	ActiveTokens   int           `json:"active_tokens"`
	Slots          int           `json:"slots"`
	KVUsed         float64       `json:"kv_used"` // 0 to 1
	Models         []string      `json:"models"`
	Adapters       []string      `json:"adapters"`
	Role           domain.Role   `json:"role"`
	AppliedOrder   string        `json:"applied_order,omitempty"`
	HighestFencing uint64        `json:"highest_fencing,omitempty"`
}

// CacheEvent tells that a prompt prefix entered or left an engine's cache.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"` // xxhash64 of the prompt's leading block
	Stored bool   `json:"stored"`
}

// Order tells an engine what to hold. Orders state the whole desired content,
// so that repeating one has no further effect.
type Order struct {
	ID       string              `json:"id"`
	Fencing  domain.FencingToken `json:"fencing"`
	Models   []string            `json:"models"`
	Adapters []string            `json:"adapters"`
	Role     domain.Role         `json:"role"`
}

// Engine is one model engine.
type Engine interface {
	// Generate starts an attempt. It fails with ErrNotSent, ErrRefused, or
	// ErrStreamBroken when the attempt may have started.
	Generate(ctx context.Context, req *GenerateRequest) (Stream, error)
	// Reconnect continues an attempt's stream behind event index last over a new
	// connection. It fails with ErrStreamGone when that is impossible.
	Reconnect(ctx context.Context, attempt domain.AttemptID, last int) (Stream, error)
	// Cancel stops an attempt. It is idempotent.
	Cancel(ctx context.Context, attempt domain.AttemptID) error
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns events after a sequence number; there may be gaps.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Order applies desired content. It fails with ErrStaleFencingToken where
	// the engine checks fencing tokens.
	Order(ctx context.Context, order Order) error
	// ExportKV returns the KV cache of an attempt; ImportKV loads one.
	ExportKV(ctx context.Context, attempt domain.AttemptID) ([]byte, error)
	ImportKV(ctx context.Context, attempt domain.AttemptID, data []byte) error
	// Probe checks over a new connection that the engine answers.
	Probe(ctx context.Context) error
}

// ServiceRequest is one call to a plain service.
type ServiceRequest struct {
	Attempt        domain.AttemptID
	Method         string
	Path           string
	Header         http.Header
	Body           []byte
	IdempotencyKey string
}

// ServiceResponse is a plain service's whole answer.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is one plain service.
type Service interface {
	// Call sends one call. It fails with ErrNotSent, ErrRefused, or
	// ErrStreamBroken when the call may have run.
	Call(ctx context.Context, req *ServiceRequest) (*ServiceResponse, error)
	Probe(ctx context.Context) error
}
