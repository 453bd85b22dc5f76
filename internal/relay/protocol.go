package relay

import (
	"net/http"
	"time"

	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/domain"
)

// Caller is what a request's header says.
type Caller struct {
	ID domain.RequestID
	// Wait is how long the caller waits. Zero means that it does not say.
	Wait time.Duration
	// Key is the API key, empty if there is none.
	Key string
	// Prompt lists the parts of the prompt in order.
	Prompt []balancer.Part
	// OutputTokens is the expected number of tokens of the answer, or zero.
	OutputTokens int
	// LastEvent is the last event that the caller has of the stream.
	LastEvent string
}

// Forward is what the system tells an upstream about a request.
type Forward struct {
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
	// LastEvent is the event behind which the stream goes on; empty to start
	// at the beginning.
	LastEvent string
}

// Verdict is what an answer's header says.
type Verdict struct {
	// NotRun means that the upstream states it has not run the request.
	NotRun bool
	// Absent means that another upstream answered at the address. NotRun is set
	// as well.
	Absent bool
	// Genuine means that the answer is marked as the upstream's own.
	Genuine bool
	// Load is set when HasLoad is.
	Load    balancer.Load
	HasLoad bool
}

// Protocol knows the header names of a platform.
type Protocol interface {
	// ReadCaller reads a request's header.
	ReadCaller(http.Header) Caller
	// ForwardHeader returns the header for an upstream: the caller's without
	// what concerns one connection, its key, or what only the system may set.
	ForwardHeader(http.Header, Forward) http.Header
	// MaxUrgency is the least urgent Urgency that an engine takes.
	MaxUrgency() int
	// Mine reports whether an answer's header belongs to the request.
	Mine(answer http.Header, id domain.RequestID) bool
	// ReadAnswer reads an answer's header.
	ReadAnswer(status int, header http.Header) Verdict
	// CopyAnswer copies an answer's header for the caller, without what
	// concerns one connection.
	CopyAnswer(dst, src http.Header)
	// ReportTarget is the path at which an engine states its load.
	ReportTarget() string
	// ReadReport reads an engine's load.
	ReadReport(body []byte) (balancer.Load, error)
	// SetRetryAfter tells a caller when to come back.
	SetRetryAfter(http.Header, time.Duration)
}
