package engine

import (
	"encoding/json"
	"fmt"
	"math/bits"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndyke/auburndyke/internal/splitmix"
)

const (
	minAnswerTokens = 8
	// maxAnswerDoublings bounds the natural answer length to
	// minAnswerTokens << maxAnswerDoublings tokens.
	maxAnswerDoublings  = 6
	promptBytesPerToken = 4
)

// syllables contains characters that need JSON escapes and multi-byte UTF-8,
// so that a byte-for-byte check covers the codecs on the way.
var syllables = [...]string{
	"ba", "ke", "li", "mo", "nu", "sa", "te", "ri", "vo", "zu", "da", "pe",
	"\u00e9", "\"", "\\", "<b>", "\u6ce2", "\U0001f30a", "\n", "\t", "&", "wa", "ho", "ny",
}

// Prompt is the part of a request body that determines the answer.
type Prompt struct {
	Text string
	Seed int64
	// MaxTokens limits the answer. Zero means no limit.
	MaxTokens int
	// MinTokens raises the natural length of the answer.
	MinTokens int
}

// Answer is the expected answer to a prompt.
type Answer struct {
	Text         string
	Tokens       int
	FinishReason string
}

// Expected returns the answer to a request body, for either endpoint.
func Expected(body []byte) (Answer, error) {
	req, err := parseRequest(body)
	if err != nil {
		return Answer{}, err
	}
	return req.prompt().Answer(), nil
}

// Answer returns the whole expected answer.
func (p Prompt) Answer() Answer {
	n, reason := p.length()
	return Answer{Text: Text(p.Text, p.Seed, n), Tokens: n, FinishReason: reason}
}

// length returns the number of answer tokens and the finish reason.
func (p Prompt) length() (int, string) {
	natural := max(NaturalLength(p.Text, p.Seed), p.MinTokens)
	if p.MaxTokens > 0 && p.MaxTokens < natural {
		return p.MaxTokens, "length"
	}
	return natural, "stop"
}

// NaturalLength returns the length in tokens of an answer without limits.
func NaturalLength(prompt string, seed int64) int {
	h := mix(hashPrompt(prompt, seed) ^ 0x6c656e677468)
	scale := minAnswerTokens << (h % maxAnswerDoublings)
	return scale + int((h>>8)%uint64(scale))
}

// Text returns the first n tokens of the answer to a prompt.
func Text(prompt string, seed int64, n int) string {
	h := hashPrompt(prompt, seed)
	var b strings.Builder
	for i := range n {
		b.WriteString(token(h, i))
	}
	return b.String()
}

// CountTokens returns the number of tokens in an answer text. Each token
// starts with a space and contains no other.
func CountTokens(text string) int {
	return strings.Count(text, " ")
}

// PromptTokens returns the number of tokens in a prompt.
func PromptTokens(prompt string) int {
	return (len(prompt) + promptBytesPerToken - 1) / promptBytesPerToken
}

func hashPrompt(prompt string, seed int64) uint64 {
	return mix(xxhash.Sum64String(prompt) ^ bits.RotateLeft64(uint64(seed), 17))
}

// mix is one step of SplitMix64.
func mix(x uint64) uint64 { return splitmix.Finalize(x + 0x9e3779b97f4a7c15) }

// token returns token i of the answer with prompt hash h.
func token(h uint64, i int) string {
	x := mix(h + uint64(i)*0x9e3779b97f4a7c15)
	n := 1 + int(x%4)
	x >>= 2
	out := " "
	for range n {
		out += syllables[x%uint64(len(syllables))]
		x /= uint64(len(syllables))
	}
	return out
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type request struct {
	Model        string    `json:"model"`
	Adapter      string    `json:"adapter"`
	Prompt       string    `json:"prompt"`
	Messages     []message `json:"messages"`
	Stream       bool      `json:"stream"`
	Priority     int       `json:"priority"`
	MaxTokens    *int      `json:"max_tokens"`
	MaxNewTokens *int      `json:"max_completion_tokens"`
	MinTokens    int       `json:"min_tokens"`
	Seed         int64     `json:"seed"`
	PromptSuffix string    `json:"prompt_suffix"`
}

func parseRequest(body []byte) (*request, error) {
	var req request
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, fmt.Errorf("request body: %w", err)
	}
	if req.Prompt == "" && len(req.Messages) == 0 {
		return nil, fmt.Errorf("request body has neither prompt nor messages")
	}
	if limit, limited := req.limit(); limited && (limit < 0 || limit == 0 && req.PromptSuffix == "") {
		return nil, fmt.Errorf("max_tokens is %d, want at least 1", limit)
	}
	return &req, nil
}

// limit returns the token limit. A continuation may have a limit of zero when
// only the final event is missing.
func (r *request) limit() (int, bool) {
	switch {
	case r.MaxTokens != nil:
		return *r.MaxTokens, true
	case r.MaxNewTokens != nil:
		return *r.MaxNewTokens, true
	}
	return 0, false
}

// prompt returns the prompt of the whole answer, before any continuation.
func (r *request) prompt() Prompt {
	limit, _ := r.limit()
	return Prompt{Text: r.text(), Seed: r.Seed, MaxTokens: limit, MinTokens: r.MinTokens}
}

func (r *request) text() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteByte(':')
		b.WriteString(strconv.Itoa(len(m.Content)))
		b.WriteByte(':')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}
