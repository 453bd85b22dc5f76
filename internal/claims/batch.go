package claims

import (
	"errors"
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	// batchWindow is how long the first write of a batch waits for others.
	batchWindow = 5 * time.Millisecond
	// maxBatchWrites bounds one transaction.
	maxBatchWrites = 100
	// maxBatchesInFlight lets claims pass a transaction that is not answered.
	maxBatchesInFlight = 4
)

// memberID identifies one submitted group of writes.
type memberID uint64

// member is a group of writes that must be applied together.
type member struct {
	id     memberID
	writes []ports.Write
}

func (m member) touches(keys []string) bool {
	return slices.ContainsFunc(m.writes, func(w ports.Write) bool { return slices.Contains(keys, w.Key) })
}

// batchID identifies one transaction under way.
type batchID uint64

// batchEvent is an input of a batch core.
type batchEvent interface{ batchEvent() }

type (
	// submitted adds a member.
	submitted struct{ member member }
	// windowEnded lets time pass.
	windowEnded struct{}
	// batchCommitted answers commitBatch.
	batchCommitted struct {
		id      batchID
		version ports.Version
		err     error
	}
)

func (submitted) batchEvent()      {}
func (windowEnded) batchEvent()    {}
func (batchCommitted) batchEvent() {}

// batchAction is an output of a batch core.
type batchAction interface{ batchAction() }

type (
	// commitBatch asks for one transaction.
	commitBatch struct {
		id     batchID
		writes []ports.Write
	}
	// reply answers a member.
	reply struct {
		id      memberID
		version ports.Version
		err     error
	}
)

func (commitBatch) batchAction() {}
func (reply) batchAction()       {}

// batch groups writes of many callers into transactions. A member whose
// precondition fails is answered and taken out; the others are sent again.
type batch struct {
	waiting  []member
	due      time.Time
	inFlight map[batchID][]member
	lastID   batchID
}

func newBatch() *batch { return &batch{inFlight: make(map[batchID][]member)} }

// deadline returns when windowEnded is due. It is false while nothing waits
// or all slots are taken.
func (b *batch) deadline() (time.Time, bool) {
	return b.due, len(b.waiting) > 0 && len(b.inFlight) < maxBatchesInFlight
}

func (b *batch) step(now time.Time, event batchEvent) []batchAction {
	var out []batchAction
	switch e := event.(type) {
	case submitted:
		if len(b.waiting) == 0 {
			b.due = now.Add(batchWindow)
		}
		b.waiting = append(b.waiting, e.member)
	case batchCommitted:
		out = b.onCommitted(now, e)
	}
	for {
		due, ok := b.deadline()
		if !ok || (now.Before(due) && len(b.waiting) < maxBatchWrites) {
			return out
		}
		out = append(out, b.send())
	}
}

// send forms a transaction from waiting members with distinct keys.
func (b *batch) send() commitBatch {
	var chosen, rest []member
	var writes []ports.Write
	used := make(map[string]bool)
	for _, m := range b.waiting {
		full := len(chosen) > 0 && len(writes)+len(m.writes) > maxBatchWrites
		if full || slices.ContainsFunc(m.writes, func(w ports.Write) bool { return used[w.Key] }) {
			rest = append(rest, m)
			continue
		}
		chosen = append(chosen, m)
		for _, w := range m.writes {
			used[w.Key] = true
			writes = append(writes, w)
		}
	}
	b.waiting = rest
	b.lastID++
	b.inFlight[b.lastID] = chosen
	return commitBatch{id: b.lastID, writes: writes}
}

func (b *batch) onCommitted(now time.Time, e batchCommitted) []batchAction {
	members := b.inFlight[e.id]
	delete(b.inFlight, e.id)
	var conflict *ports.ConflictError
	if errors.As(e.err, &conflict) {
		return b.takeOut(now, members, conflict)
	}
	out := make([]batchAction, len(members))
	for i, m := range members {
		out[i] = reply{id: m.id, version: e.version, err: e.err}
	}
	return out
}

// takeOut answers the members that conflict and sends the others at once.
func (b *batch) takeOut(now time.Time, members []member, conflict *ports.ConflictError) []batchAction {
	var out []batchAction
	var rest []member
	for _, m := range members {
		if m.touches(conflict.Keys) {
			out = append(out, reply{id: m.id, err: conflict})
		} else {
			rest = append(rest, m)
		}
	}
	if len(rest) == len(members) {
		// The table names no key of the batch. Sending it again could go on
		// for ever.
		for _, m := range rest {
			out = append(out, reply{id: m.id, err: conflict})
		}
		return out
	}
	if len(rest) > 0 {
		b.waiting = append(rest, b.waiting...)
		b.due = now
	}
	return out
}
