package engineclient

import (
	"errors"
	"fmt"

	"github.com/tidwall/gjson"
)

var errMalformed = errors.New("event is not a valid JSON object")

// chunk is what the client needs of one event's JSON.
type chunk struct {
	text         string
	finishReason string
	// tokens is the number of tokens in the event. Without the field, an event
	// with text counts as one token.
	tokens           int
	hasTokens        bool
	hasUsage         bool
	completionTokens int
	promptTokens     int
	cachedTokens     int
	failure          string
}

// chunkParser decodes one chunk after another. It visits each field once and
// shares the strings of the result with one copy of the event, because
// encoding/json takes several times as long on this path (BenchmarkRecv).
type chunkParser struct {
	chunk  chunk
	err    error
	field  func(key, value gjson.Result) bool
	choice func(key, value gjson.Result) bool
}

func newChunkParser() *chunkParser {
	p := &chunkParser{}
	// The method values are made once, because each one is an allocation.
	p.field = p.visitField
	p.choice = p.visitChoice
	return p
}

// parse returns the chunk in data. The result does not refer to data.
func (p *chunkParser) parse(data []byte) (chunk, error) {
	p.chunk = chunk{}
	p.err = nil
	if !gjson.ValidBytes(data) {
		return chunk{}, errMalformed
	}
	root := gjson.Parse(string(data))
	if !root.IsObject() {
		return chunk{}, errMalformed
	}
	root.ForEach(p.field)
	return p.chunk, p.err
}

func (p *chunkParser) visitField(key, value gjson.Result) bool {
	switch key.Str {
	case "choices":
		value.Get("0").ForEach(p.choice)
	case "tokens":
		p.chunk.tokens, p.chunk.hasTokens = p.integer(key, value), true
	case "usage":
		if value.IsObject() {
			p.visitUsage(value)
		}
	case "error":
		if value.Type != gjson.Null {
			p.chunk.failure = value.Raw
		}
	}
	return p.err == nil
}

func (p *chunkParser) visitChoice(key, value gjson.Result) bool {
	switch key.Str {
	case "text":
		p.chunk.text = p.text(key, value)
	case "delta":
		if content := value.Get("content"); content.Exists() {
			p.chunk.text = p.text(key, content)
		}
	case "finish_reason":
		p.chunk.finishReason = p.text(key, value)
	}
	return p.err == nil
}

func (p *chunkParser) visitUsage(value gjson.Result) {
	p.chunk.hasUsage = true
	p.chunk.completionTokens = int(value.Get("completion_tokens").Int())
	p.chunk.promptTokens = int(value.Get("prompt_tokens").Int())
	p.chunk.cachedTokens = int(value.Get("prompt_tokens_details.cached_tokens").Int())
}

// text accepts a string or null.
func (p *chunkParser) text(key, value gjson.Result) string {
	if value.Type != gjson.String && value.Type != gjson.Null {
		p.err = fmt.Errorf("field %s is not a string: %w", key.Str, errMalformed)
	}
	return value.Str
}

func (p *chunkParser) integer(key, value gjson.Result) int {
	n := int(value.Int())
	if value.Type != gjson.Number || float64(n) != value.Num || n < 0 {
		p.err = fmt.Errorf("field %s is not a count: %w", key.Str, errMalformed)
	}
	return n
}
