package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const keyPrefix = "claim/"

// State is the state of a claim row.
type State string

const (
	// StateClaimed means that the call may be running.
	StateClaimed State = "claimed"
	// StateRan means that the call ran; the row may hold its answer.
	StateRan State = "ran"
	// StateNotRun means that the call was not run. The key may be claimed
	// again.
	StateNotRun State = "not_run"
	// StateUnknown means that the call may have run. The key is never
	// claimed again.
	StateUnknown State = "unknown"
)

// Outcome returns what a caller is told about a call in this state.
func (s State) Outcome() domain.Outcome {
	switch s {
	case StateRan:
		return domain.OutcomeRan
	case StateNotRun:
		return domain.OutcomeNotRun
	}
	return domain.OutcomeUnknown
}

// Owner is one run of one daemon.
type Owner struct {
	Daemon      domain.DaemonID    `json:"daemon"`
	Incarnation domain.Incarnation `json:"incarnation"`
}

// Answer is a recorded answer.
type Answer struct {
	Status int               `json:"status"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	// Omitted means that the answer was too large to be recorded; Status is
	// still valid.
	Omitted bool `json:"omitted,omitempty"`
}

// bounded returns the answer, without its content when that exceeds limit
// bytes.
func (a *Answer) bounded(limit int) *Answer {
	if a == nil || a.size() <= limit {
		return a
	}
	return &Answer{Status: a.Status, Omitted: true}
}

func (a *Answer) size() int {
	n := len(a.Body)
	for k, v := range a.Header {
		n += len(k) + len(v)
	}
	return n
}

// Record is the value of a claim row.
type Record struct {
	State State `json:"state"`
	Owner Owner `json:"owner"`
	// Call distinguishes the calls that claimed the same key.
	Call string `json:"call"`
	// Digest is the digest of the request.
	Digest string `json:"digest"`
	// Dispatched means that the owner may have sent the call. It is written
	// before the call is sent.
	Dispatched bool      `json:"dispatched"`
	Answer     *Answer   `json:"answer,omitempty"`
	Expires    time.Time `json:"expires"`
}

// Key names a call: a customer's idempotency key.
type Key struct {
	Customer domain.CustomerID
	Key      string
}

func (k Key) row() string {
	return keyPrefix + url.PathEscape(string(k.Customer)) + "/" + url.PathEscape(k.Key)
}

// DigestOf returns the digest of a request. Requests with the same key must
// have the same digest.
func DigestOf(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		// The length keeps the parts apart.
		_ = binary.Write(h, binary.BigEndian, uint64(len(p)))
		h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

func encode(r Record) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		// A Record holds only strings, bytes, numbers and times.
		panic(err)
	}
	return data
}

func decode(row ports.Row) (Record, error) {
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, eris.Wrapf(err, "row %s cannot be decoded", row.Key)
	}
	return r, nil
}
