package claims

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// Batcher groups the writes of many callers into few transactions. It is a
// Committer whose every call costs up to batchWindow more. An answer that is
// lost counts for all members of the batch; each settles by reading.
type Batcher struct {
	table  Committer
	events chan batcherEvent
	done   chan struct{}
	last   atomic.Uint64
}

type batcherEvent struct {
	event  batchEvent
	answer chan<- reply // set with submitted
}

// NewBatcher returns a batcher that works while Run does.
func NewBatcher(table Committer) *Batcher {
	return &Batcher{table: table, events: make(chan batcherEvent, maxBatchWrites), done: make(chan struct{})}
}

// Commit applies the writes as one member of a batch. All of them apply or
// none. When ctx ends first, it fails with ports.ErrUnknownOutcome.
func (b *Batcher) Commit(ctx context.Context, writes ...ports.Write) (ports.Version, error) {
	answer := make(chan reply, 1)
	m := member{id: memberID(b.last.Add(1)), writes: writes}
	select {
	case b.events <- batcherEvent{submitted{m}, answer}:
	case <-b.done:
		return 0, eris.Wrap(ports.ErrUnavailable, "batcher has stopped")
	case <-ctx.Done():
		return 0, errors.Join(ports.ErrUnavailable, context.Cause(ctx))
	}
	select {
	case r := <-answer:
		return r.version, r.err
	case <-b.done:
		return 0, eris.Wrap(ports.ErrUnknownOutcome, "batcher has stopped")
	case <-ctx.Done():
		return 0, errors.Join(ports.ErrUnknownOutcome, context.Cause(ctx))
	}
}

// Run commits batches until ctx ends and returns the cause. A batcher is not
// run twice.
func (b *Batcher) Run(ctx context.Context) error {
	defer close(b.done)
	core := newBatch()
	answers := make(map[memberID]chan<- reply)
	timer := time.NewTimer(batchWindow)
	defer timer.Stop()
	for {
		event := batcherEvent{event: windowEnded{}}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-timer.C:
		case event = <-b.events:
		}
		if s, ok := event.event.(submitted); ok {
			answers[s.member.id] = event.answer
		}
		for _, action := range core.step(time.Now(), event.event) {
			b.run(ctx, action, answers)
		}
		if due, ok := core.deadline(); ok {
			timer.Reset(time.Until(due))
		} else {
			timer.Stop()
		}
	}
}

func (b *Batcher) run(ctx context.Context, action batchAction, answers map[memberID]chan<- reply) {
	switch a := action.(type) {
	case commitBatch:
		go b.commit(ctx, a)
	case reply:
		answers[a.id] <- a
		delete(answers, a.id)
	}
}

func (b *Batcher) commit(ctx context.Context, a commitBatch) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := b.table.Commit(call, a.writes...)
	select {
	case b.events <- batcherEvent{event: batchCommitted{a.id, version, err}}:
	case <-ctx.Done():
	}
}

// BatcherFor returns the daemon that batches the claims of a key, one of
// count daemons of the roster chosen by rendezvous hashing. A roster change
// moves few keys. Daemons with different rosters may choose differently; that
// costs transactions, not correctness. It is empty for an empty roster.
func BatcherFor(roster []domain.DaemonID, key string, count int) domain.DaemonID {
	shard := xxhash.Sum64String(key) % uint64(max(count, 1))
	var best domain.DaemonID
	var bestScore uint64
	for _, d := range roster {
		score := rendezvous(d, shard)
		if best == "" || score > bestScore || (score == bestScore && d < best) {
			best, bestScore = d, score
		}
	}
	return best
}

func rendezvous(d domain.DaemonID, shard uint64) uint64 {
	var h xxhash.Digest
	h.ResetWithSeed(shard)
	_, _ = h.WriteString(string(d))
	return h.Sum64()
}

// Forward sends a transaction to the batcher of another daemon and returns
// that batcher's answer. It fails with ports.ErrNotSent when the daemon could
// not be reached and with ports.ErrUnknownOutcome when its answer was lost.
type Forward func(ctx context.Context, to domain.DaemonID, writes []ports.Write) (ports.Version, error)

// Router is a Committer that sends each write to the batcher of its region.
// When that daemon cannot be reached, it uses the local batcher.
type Router struct {
	Self domain.DaemonID
	// Roster returns the live daemons of the region.
	Roster func() []domain.DaemonID
	// Batchers is how many daemons of the region batch. Zero means one.
	Batchers int
	Local    Committer
	Forward  Forward
}

// Commit applies the writes through the batcher of the first write's key.
func (r *Router) Commit(ctx context.Context, writes ...ports.Write) (ports.Version, error) {
	to := BatcherFor(r.Roster(), writes[0].Key, r.Batchers)
	if to == "" || to == r.Self {
		return r.Local.Commit(ctx, writes...)
	}
	version, err := r.Forward(ctx, to, writes)
	if errors.Is(err, ports.ErrNotSent) {
		return r.Local.Commit(ctx, writes...)
	}
	return version, err
}
