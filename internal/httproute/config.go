package httproute

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// Type tells what a route's requests allow.
type Type uint8

const (
	// NonIdempotent requests run at most once.
	NonIdempotent Type = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events. They run at most
	// once, unless the route is resumable.
	Stream
)

func (t Type) String() string {
	switch t {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "non_idempotent"
	}
}

// Target is one service that a route sends to, with its share of the traffic.
type Target struct {
	Service string
	Weight  int
}

// Route maps a host and path prefix to services.
type Route struct {
	Name   string
	Host   string // lower case, without a port
	Prefix string // begins and ends with a slash
	Type   Type
	// Resumable streams may go on at another upstream behind the last event.
	Resumable bool
	// Timeout bounds the whole request. Zero means no bound of the route.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to the first event of a stream.
	LatencyTarget time.Duration
	// MaxGap is the longest pause between two events that is still on time.
	// Zero means that the route states none.
	MaxGap time.Duration
	// MaxAttempts is the largest number of upstreams that one request may be sent
	// to, at least 1.
	MaxAttempts int
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Public routes need no API key.
	Public bool
	// Targets is never empty and its weights sum to more than zero.
	Targets []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Type == Idempotent || r.Type == Stream && r.Resumable
}

// Engine describes the model engines of a service. Nil means a plain service.
type Engine struct {
	// KVTokens is the number of tokens that an engine's memory holds.
	KVTokens int
	// KVTokenBytes is the size of one token in that memory. Zero means that it
	// is not known.
	KVTokenBytes int
	// EventTokens is the number of tokens in one event of a stream. Zero means
	// that it is not known.
	EventTokens int
	// LinkBitRate is the rate at which an engine copies memory from another, in
	// bits per second. Zero means that engines do not copy.
	LinkBitRate float64
}

// Service is a group of equal upstreams.
type Service struct {
	Name   string
	Engine *Engine
}

// Limits bound what a caller may send and how long its connection may idle.
// Zero values leave the daemon's defaults in place.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	IdleTimeout time.Duration
	// HeaderTimeout bounds the time in which a request's header arrives.
	HeaderTimeout time.Duration
}

// Customer owns API keys.
type Customer struct {
	Name domain.CustomerID
	Keys []string
	// Priority replaces the priority of the route when HasPriority is set.
	Priority    int
	HasPriority bool
}

// Config is one version of the configuration.
type Config struct {
	Version   domain.Revision
	Routes    []Route
	Services  []Service
	Limits    Limits
	Customers []Customer
}
