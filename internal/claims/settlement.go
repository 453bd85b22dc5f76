package claims

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// settleBackoff bounds the delay between tries to record an outcome.
var settleBackoff = backoff.Policy{Floor: 20 * time.Millisecond, Cap: 10 * time.Second}

// Settled ends a settlement. Lost means that the row no longer belongs to
// the call: it has expired, or a reserved claim was given to another call.
type Settled struct{ Lost bool }

func (Settled) claimAction() {}

// Settlement records the outcome of one claimed call and tries until it is
// stored.
type Settlement struct {
	key     string
	target  Record
	version ports.Version
	// fence makes a missing row be written too. A commit of the call that is
	// still under way then fails.
	fence    bool
	rng      *rand.Rand
	failures int
}

// newSettlement returns the settlement of a granted call.
func newSettlement(g *Grant, state State, answer *Answer, limits Limits, rng *rand.Rand) *Settlement {
	target := g.record
	target.State = state
	target.Answer = answer.bounded(limits.AnswerBytes)
	return &Settlement{key: g.key, target: target, version: g.version, rng: rng}
}

// newFence returns the settlement of a call that was never dispatched and
// whose claim may or may not have been written.
func newFence(request Request, owner Owner, rng *rand.Rand) *Settlement {
	target := Record{State: StateNotRun, Owner: owner, Call: request.Call, Digest: request.Digest}
	return &Settlement{key: request.Key.row(), target: target, fence: true, rng: rng}
}

// expireAt sets when the settled row expires.
func (s *Settlement) expireAt(t time.Time) { s.target.Expires = t.UTC() }

// Step handles an event and returns the next action.
func (s *Settlement) Step(_ time.Time, event ClaimEvent) ClaimAction {
	switch e := event.(type) {
	case Started:
		if s.fence {
			return ReadRow{s.key}
		}
		return s.commit(s.version)
	case RowRead:
		return s.onRow(e)
	case Committed:
		return s.onCommitted(e)
	}
	return ReadRow{s.key}
}

func (s *Settlement) commit(expect ports.Version) ClaimAction {
	return CommitRow{ports.Write{Key: s.key, Value: encode(s.target), Expect: expect}}
}

func (s *Settlement) onCommitted(e Committed) ClaimAction {
	var conflict *ports.ConflictError
	switch {
	case e.Err == nil:
		return Settled{}
	case errors.As(e.Err, &conflict):
		return ReadRow{s.key}
	}
	return s.retry()
}

func (s *Settlement) onRow(e RowRead) ClaimAction {
	switch {
	case e.Err != nil:
		return s.retry()
	case e.Record == nil && s.fence:
		return s.commit(0)
	case e.Record == nil, e.Record.Call != s.target.Call:
		return Settled{Lost: true}
	case e.Record.State == s.target.State:
		return Settled{}
	case e.Record.State == StateRan, e.Record.State == StateNotRun:
		return Settled{Lost: true}
	}
	// The owner knows better than a daemon that has settled for unknown.
	return s.commit(e.Version)
}

func (s *Settlement) retry() ClaimAction {
	s.failures++
	return Pause{For: settleBackoff.Delay(s.failures, s.rng)}
}
