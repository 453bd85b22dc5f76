package callerhttp

import (
	"context"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/gateway"
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
	Generate(ctx context.Context, g *gateway.Generation, sink gateway.Sink) *domain.Failure
	// Call runs one call to a plain service.
	Call(ctx context.Context, c *gateway.ServiceCall) (*ports.ServiceResponse, *domain.Failure)
}
