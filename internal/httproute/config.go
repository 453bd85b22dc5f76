package httproute

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// Type is the kind of a route's requests.
type Type uint8

const (
	// NonIdempotent requests run at most once.
	NonIdempotent Type = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests get a series of events as their response. They run at most
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

// Target is one service that a route sends to. Its share of the requests is its Weight
// divided by the sum of the route's weights.
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
	// Resumable streams may be resumed at another upstream after the last event.
	Resumable bool
	// Timeout bounds the whole request. Zero means that the route has no timeout.
	Timeout time.Duration
	// LatencyTarget is the target for the time to the response, or to the first event
	// of a stream.
	LatencyTarget time.Duration
	// MaxGap is the longest acceptable gap between two events. Zero means that the
	// route states none.
	MaxGap time.Duration
	// MaxAttempts is the largest number of upstreams that one request may be sent
	// to, at least 1.
	MaxAttempts int
	// Priority is 0 for the most urgent routes.
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
	// KVTokens is the capacity of an engine's KV cache, in tokens.
	KVTokens int
	// KVTokenBytes is the size of one token in the KV cache. Zero means unknown.
	KVTokenBytes int
	// EventTokens is the number of tokens in one event of a stream. Zero means
	// unknown.
	EventTokens int
	// LinkBitRate is the rate at which an engine fetches from the KV cache of another,
	// in bits per second. Zero means that engines can't fetch.
	LinkBitRate float64
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name   string
	Engine *Engine
	// Scaling says how many upstreams may be ordered. Nil means that none are.
	Scaling *Scaling
}

// Scaling bounds the orders of a service's upstreams.
type Scaling struct {
	// Min and Max bound the number of upstreams in each zone.
	Min, Max int
	// StartTime is how long after an order new upstreams serve.
	StartTime time.Duration
	// ZonePrices are the prices of a second of an upstream, by the zones in which the
	// service runs.
	ZonePrices map[domain.AvailabilityZone]float64
	// ReclaimablePrice is the share of the price of upstreams that the platform may take
	// back. Zero means that there are none.
	ReclaimablePrice float64
}

// Limits bounds what a caller may send and how long its connection may be idle. A zero
// field keeps the daemon's default.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	IdleTimeout time.Duration
	// HeaderTimeout bounds the time to read a request's header.
	HeaderTimeout time.Duration
}

// Customer is an owner of API keys.
type Customer struct {
	Name domain.CustomerID
	Keys []string
	// Priority replaces the priority of the route if HasPriority is set.
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
