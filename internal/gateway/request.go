package gateway

import (
	"net/http"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

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
