package service

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// Execution is the ledger's record of one execution.
type Execution struct {
	Attempt        domain.AttemptID   `json:"attempt"`
	IdempotencyKey string             `json:"idempotency_key"`
	Incarnation    domain.Incarnation `json:"incarnation"`
	Method         string             `json:"method"`
	Path           string             `json:"path"`
	At             time.Time          `json:"at"`
	// Answered is false when a fault kept the answer back.
	Answered bool `json:"answered"`
}

// Ledger is everything that the service did, across its crashes.
type Ledger struct {
	Executions []Execution `json:"executions"`
	Received   int         `json:"received"`
	Refused    int         `json:"refused"`
	Replayed   int         `json:"replayed"`
}

// ByKey returns the number of executions of each idempotency key.
func (l Ledger) ByKey() map[string]int {
	out := make(map[string]int)
	for _, x := range l.Executions {
		out[x.IdempotencyKey]++
	}
	return out
}

// Answer is the body of a response.
type Answer struct {
	// Execution counts the executions from 1.
	Execution      int    `json:"execution"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Path           string `json:"path"`
	// Digest is the xxhash64 of the request body.
	Digest uint64 `json:"digest"`
}

// Ledger returns a copy of the ledger.
func (s *Service) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.ledger
	out.Executions = append([]Execution{}, s.ledger.Executions...)
	return out
}
