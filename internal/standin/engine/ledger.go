package engine

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// State is where an attempt is in its life.
type State string

const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateFinished  State = "finished"
	StateCancelled State = "cancelled"
	// StateRefused means that no part of the attempt ran.
	StateRefused State = "refused"
	// StateAbandoned means that no connection came back in time.
	StateAbandoned State = "abandoned"
	// StateLost means that the engine crashed.
	StateLost State = "lost"
)

// Entry is the ledger's record of one attempt.
type Entry struct {
	Attempt        domain.AttemptID   `json:"attempt"`
	Request        domain.RequestID   `json:"request"`
	IdempotencyKey string             `json:"idempotency_key,omitempty"`
	Incarnation    domain.Incarnation `json:"incarnation"`
	Model          string             `json:"model"`
	Priority       int                `json:"priority"`
	PromptTokens   int                `json:"prompt_tokens"`
	CachedTokens   int                `json:"cached_tokens"`
	// Skipped is the number of tokens in prompt_suffix.
	Skipped  int       `json:"skipped"`
	Received time.Time `json:"received"`
	// Started is when the attempt first ran. Zero means that it never did.
	Started time.Time `json:"started,omitzero"`
	Ended   time.Time `json:"ended,omitzero"`
	// Generated is the number of tokens computed for the attempt.
	Generated int   `json:"generated"`
	State     State `json:"state"`
	Preempted int   `json:"preempted"`
	Resumed   int   `json:"resumed"`
}

// OrderEntry is the ledger's record of one order.
type OrderEntry struct {
	Order       ports.Order        `json:"order"`
	Received    time.Time          `json:"received"`
	Incarnation domain.Incarnation `json:"incarnation"`
	// Applied is false when the fencing token was stale.
	Applied bool `json:"applied"`
}

// Ledger is everything that the engine did, across its crashes.
type Ledger struct {
	Attempts []Entry      `json:"attempts"`
	Orders   []OrderEntry `json:"orders"`
	// GeneratedTokens and PrefillTokens count computed tokens.
	GeneratedTokens int `json:"generated_tokens"`
	PrefillTokens   int `json:"prefill_tokens"`
}

type ledger struct {
	attempts  []*Entry
	orders    []OrderEntry
	generated int
	prefill   int
}

// Ledger returns a copy of the ledger.
func (e *Engine) Ledger() Ledger {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := Ledger{
		Attempts:        make([]Entry, 0, len(e.ledger.attempts)),
		Orders:          append([]OrderEntry{}, e.ledger.orders...),
		GeneratedTokens: e.ledger.generated,
		PrefillTokens:   e.ledger.prefill,
	}
	for _, entry := range e.ledger.attempts {
		out.Attempts = append(out.Attempts, *entry)
	}
	return out
}
