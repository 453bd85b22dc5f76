package callerhttp

import (
	"encoding/json"
	"strings"
	"unicode/utf8"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/gateway"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// generationBody holds the fields of a caller's JSON that routing needs. The
// rest is passed to the engine as it is.
type generationBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	N                   *int            `json:"n"`
}

// ParseGeneration reads a caller's JSON body for an endpoint.
func ParseGeneration(endpoint ports.Endpoint, data []byte) (*gateway.Generation, *domain.Failure) {
	if !utf8.Valid(data) {
		return nil, invalid("the body is not valid UTF-8")
	}
	var body generationBody
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, invalid("the body is not a valid JSON object: " + err.Error())
	}
	if body.Model == "" {
		return nil, invalid("the field model is missing")
	}
	if body.N != nil && *body.N != 1 {
		return nil, invalid("the field n must be 1")
	}
	prompt := body.Messages
	if endpoint == ports.EndpointCompletion {
		prompt = body.Prompt
	}
	if len(prompt) == 0 {
		return nil, invalid("the prompt or the messages are missing")
	}
	maxTokens, failure := tokenBound(&body)
	if failure != nil {
		return nil, failure
	}
	model, adapter, _ := strings.Cut(body.Model, ":")
	return &gateway.Generation{
		Endpoint:  endpoint,
		Model:     domain.ModelID(model),
		Adapter:   adapter,
		Prompt:    prompt,
		Body:      data,
		MaxTokens: maxTokens,
		Stream:    body.Stream,
	}, nil
}

func tokenBound(body *generationBody) (int, *domain.Failure) {
	bound := body.MaxCompletionTokens
	if bound == nil {
		bound = body.MaxTokens
	}
	if bound == nil {
		return 0, nil
	}
	if *bound < 1 {
		return 0, invalid("the bound on generated tokens must be at least 1")
	}
	return *bound, nil
}

func invalid(message string) *domain.Failure {
	return domain.NotRun(domain.CodeInvalidRequest, message)
}
