package relay

import (
	"net/http"
	"time"

	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/domain"
)

// RequestInfo is what a Protocol reads from a request's header.
type RequestInfo struct {
	ID domain.RequestID
	// Timeout is how long the caller waits. Zero means that it states no timeout.
	Timeout time.Duration
	// APIKey is empty if there is none.
	APIKey string
	// Prompt lists the parts of the prompt in order.
	Prompt []balancer.Part
	// OutputTokens is the expected number of tokens in the response. Zero means
	// unknown.
	OutputTokens int
	// LastEventID is the last event of the stream that the caller has received.
	LastEventID string
	// Resumes is the attempt of the caller that brought the first event of the stream
	// that LastEventID is of. Empty if the caller does not say.
	Resumes domain.RequestID
}

// ForwardInfo is what an upstream is told about a request.
type ForwardInfo struct {
	Upstream  domain.UpstreamID
	Customer  domain.CustomerID // empty on public routes
	Remaining time.Duration
	// Urgency orders the requests at an engine, from 0 (first) to MaxUrgency.
	Urgency int
	// Engine reports whether the upstream takes an urgency.
	Engine bool
	// FetchFrom is the address of the engine from whose prefix cache the upstream
	// copies the prompt's shared parts. Empty means none.
	FetchFrom string
	// LastEventID is the event after which the stream resumes. Empty means that it
	// starts at the beginning.
	LastEventID string
}

// ResponseInfo is what a Protocol reads from a response's header.
type ResponseInfo struct {
	// NotRun reports whether the upstream states that it has not run the request.
	NotRun bool
	// AddressReused reports whether another upstream responded at the address.
	// NotRun is set as well.
	AddressReused bool
	// Genuine reports whether the response is marked as the upstream's own.
	Genuine bool
	// Availability is what the upstream says about new requests.
	Availability balancer.Availability
	// InvalidPause is a request for a pause that can't be read. It has no effect.
	InvalidPause string
	// Load is set when HasLoad is.
	Load    balancer.Load
	HasLoad bool
	// InvalidLoad is a load that can't be read. It has no effect.
	InvalidLoad string
}

// Protocol defines the headers of a platform.
type Protocol interface {
	// ParseRequest reads a request's header.
	ParseRequest(http.Header) RequestInfo
	// ForwardHeader returns the header for an upstream: the caller's without
	// hop-by-hop fields, the API key, and fields that only the daemon may set.
	ForwardHeader(http.Header, ForwardInfo) http.Header
	// MaxUrgency returns the least urgent Urgency that an engine takes.
	MaxUrgency() int
	// MatchesRequest reports whether a response's header belongs to the request.
	MatchesRequest(response http.Header, id domain.RequestID) bool
	// ParseResponse reads a response's header.
	ParseResponse(status int, header http.Header) ResponseInfo
	// CopyResponseHeader copies a response's header for the caller, without
	// hop-by-hop fields.
	CopyResponseHeader(dst, src http.Header)
	// LoadReportPath returns the path of an engine's load report.
	LoadReportPath() string
	// ParseLoadReport decodes an engine's load report.
	ParseLoadReport(body []byte) (balancer.Load, error)
	// SetRetryAfter tells a caller when to retry.
	SetRetryAfter(http.Header, time.Duration)
}
