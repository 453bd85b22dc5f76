package callerhttp

import (
	"context"
	"net/http"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// Gateway is the request path behind the HTTP adapter.
type Gateway interface {
	// Ready reports whether load balancers should send requests here, or why
	// not.
	Ready() (ok bool, reason string)
	// Accepting reports whether requests can be served, or why not.
	Accepting() (ok bool, reason string)
	// Authenticate finds the customer of an API key.
	Authenticate(apiKey string) (domain.CustomerID, bool)
	// Models lists the models that a customer can reach.
	Models(customer domain.CustomerID) []domain.ModelID
	// Generate runs one generation and emits its events in order. It returns
	// nil after the whole answer was emitted.
	Generate(ctx context.Context, g *Generation, sink Sink) *domain.Failure
	// Call runs one call to a plain service.
	Call(ctx context.Context, c *ServiceCall) (*ports.ServiceResponse, *domain.Failure)
}

// Sink receives the events of one answer. An error means that the caller is
// gone.
type Sink interface {
	Emit(event *ports.Event) error
}

// Generation is one parsed generation request.
type Generation struct {
	Request  domain.RequestID
	Customer domain.CustomerID
	// Class is empty when the caller named none.
	Class    domain.ClassID
	Endpoint ports.Endpoint
	Model    domain.ModelID
	Adapter  string
	// Prompt is the raw JSON of the prompt or the messages.
	Prompt []byte
	Body   []byte
	// MaxTokens is the caller's bound on generated tokens; zero means none.
	MaxTokens int
	Stream    bool
}

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	Request        domain.RequestID
	Customer       domain.CustomerID
	Class          domain.ClassID
	Service        string
	Method         string
	Path           string
	Header         http.Header
	Body           []byte
	IdempotencyKey string
}
