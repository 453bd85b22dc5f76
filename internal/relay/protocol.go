package relay

import (
	"net/http"
	"time"

	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/domain"
)

// RequestInfo is what a request's header says.
type RequestInfo struct {
	ID domain.RequestID
	// Timeout is how long the caller waits. Zero means that it does not say.
	Timeout time.Duration
	// APIKey is the API key, empty if there is none.
	APIKey string
	// Prompt lists the parts of the prompt in order.
	Prompt []balancer.Part
	// OutputTokens is the expected number of tokens of the answer, or zero.
	OutputTokens int
	// LastEventID is the last event that the caller has of the stream.
	LastEventID string
}

// ForwardInfo is what the system tells an upstream about a request.
type ForwardInfo struct {
	Upstream  domain.UpstreamID
	Customer  domain.CustomerID // empty on public routes
	Remaining time.Duration
	// Urgency orders the requests at an engine, from 0 (first) to MaxUrgency.
	Urgency int
	// Engine marks upstreams that take an urgency.
	Engine bool
	// FetchFrom is the address of the engine from whose memory the upstream
	// copies the prompt's shared parts; empty for none.
	FetchFrom string
	// LastEventID is the event behind which the stream goes on; empty to start
	// at the beginning.
	LastEventID string
}

// ResponseInfo is what an answer's header says.
type ResponseInfo struct {
	// NotRun means that the upstream states it has not run the request.
	NotRun bool
	// Misdirected means that another upstream answered at the address. NotRun is set
	// as well.
	Misdirected bool
	// Genuine means that the answer is marked as the upstream's own.
	Genuine bool
	// Load is set when HasLoad is.
	Load    balancer.Load
	HasLoad bool
}

// Protocol knows the header names of a platform.
type Protocol interface {
	// ParseRequest reads a request's header.
	ParseRequest(http.Header) RequestInfo
	// ForwardHeader returns the header for an upstream: the caller's without
	// what concerns one connection, its key, or what only the system may set.
	ForwardHeader(http.Header, ForwardInfo) http.Header
	// MaxUrgency is the least urgent Urgency that an engine takes.
	MaxUrgency() int
	// MatchesRequest reports whether an answer's header belongs to the request.
	MatchesRequest(answer http.Header, id domain.RequestID) bool
	// ParseResponse reads an answer's header.
	ParseResponse(status int, header http.Header) ResponseInfo
	// CopyResponseHeader copies an answer's header for the caller, without what
	// concerns one connection.
	CopyResponseHeader(dst, src http.Header)
	// LoadReportPath is the path at which an engine states its load.
	LoadReportPath() string
	// ParseLoadReport reads an engine's load.
	ParseLoadReport(body []byte) (balancer.Load, error)
	// SetRetryAfter tells a caller when to come back.
	SetRetryAfter(http.Header, time.Duration)
}
