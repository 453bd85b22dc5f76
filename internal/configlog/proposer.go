package configlog

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// callTimeout bounds one call to the platform.
const callTimeout = 2 * time.Second

// Store is the part of the platform that the log needs. One Get must return
// a consistent snapshot of its keys.
type Store interface {
	ports.Table
	ports.Objects
}

// Proposer runs proposals against the platform. It is safe for concurrent
// use.
type Proposer struct {
	store  Store
	merger Merger
	seed   func() *rand.Rand
}

// NewProposer returns a proposer. Each proposal takes its own random source
// from seed. A nil merger reports each concurrent change as a conflict.
func NewProposer(store Store, merger Merger, seed func() *rand.Rand) *Proposer {
	return &Proposer{store: store, merger: merger, seed: seed}
}

// Propose brings a change into the log exactly once and waits for the
// outcome. Proposing a change again returns the earlier result. A result with
// conflicts is not an error. It fails with ErrChangeIDReused, ErrBaseUnknown,
// ports.ErrUnavailable (not accepted) or ports.ErrUnknownOutcome (the caller
// proposes the same change again to find out).
func (p *Proposer) Propose(ctx context.Context, change Change) (Result, error) {
	if change.ID == "" {
		return Result{}, eris.New("change has no id")
	}
	core := NewProposal(change, p.merger, p.seed())
	var event ProposalEvent = Started{}
	for {
		if ctx.Err() != nil {
			event = stopAfter(core, event, context.Cause(ctx))
		}
		action := core.Step(time.Now(), event)
		if done, ok := action.(Finished); ok {
			return done.Result, done.Err
		}
		event = p.run(ctx, action)
	}
}

// stopAfter returns the event that ends a proposal whose caller has gone. The
// answer to a commit is handed in first, because it decides the outcome.
func stopAfter(core *Proposal, event ProposalEvent, cause error) ProposalEvent {
	answer, ok := event.(Committed)
	if !ok {
		return Stopped{cause}
	}
	if answer.Err == nil {
		return event
	}
	core.Step(time.Now(), answer)
	return Stopped{cause}
}

func (p *Proposer) run(ctx context.Context, action ProposalAction) ProposalEvent {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch a := action.(type) {
	case ReadHead:
		return readHead(call, p.store, a.ChangeID)
	case ReadContent:
		return readContents(call, p.store, a)
	case StoreContent:
		return Stored{p.store.Put(call, a.Name, a.Data)}
	case CommitRevision:
		_, err := p.store.Commit(call, a.Writes...)
		return Committed{err}
	case Pause:
		sleep(ctx, a.For)
	}
	return Elapsed{}
}

func readHead(ctx context.Context, table ports.Table, changeID string) HeadRead {
	rows, err := table.Get(ctx, headKey, changeKey(changeID))
	if err != nil {
		return HeadRead{Err: err}
	}
	var read HeadRead
	for _, row := range rows {
		if row.Key == headKey {
			var head Head
			head, read.Err = decodeRow[Head](row)
			read.Head, read.Version = &head, row.Version
		} else {
			var receipt Receipt
			receipt, read.Err = decodeRow[Receipt](row)
			read.Receipt = &receipt
		}
		if read.Err != nil {
			return HeadRead{Err: read.Err}
		}
	}
	return read
}

func readContents(ctx context.Context, store Store, a ReadContent) ContentRead {
	head, err := readByDigest(ctx, store, Document{Revision: a.Head.Revision, Digest: a.Head.Digest})
	if err != nil {
		return ContentRead{Err: err}
	}
	if a.Base == a.Head.Revision {
		return ContentRead{Base: head.Content, Head: head.Content}
	}
	base, err := ReadRevision(ctx, store, a.Base)
	if err != nil {
		return ContentRead{Err: err}
	}
	return ContentRead{Base: base.Content, Head: head.Content}
}

// ReadRevision reads the content of one revision. It fails with
// ErrBaseUnknown when the revision is not in the history.
func ReadRevision(ctx context.Context, store Store, revision domain.Revision) (Document, error) {
	if revision == 0 {
		return Document{Content: []byte{}}, nil
	}
	rows, err := store.Get(ctx, revisionKey(revision))
	if err != nil {
		return Document{}, err
	}
	if len(rows) == 0 {
		return Document{}, eris.Wrapf(ErrBaseUnknown, "revision %d", revision)
	}
	record, err := decodeRow[Record](rows[0])
	if err != nil {
		return Document{}, err
	}
	return readByDigest(ctx, store, Document{Revision: revision, Digest: record.Digest})
}

// readByDigest fills in the content of a document and verifies it.
func readByDigest(ctx context.Context, objects ports.Objects, doc Document) (Document, error) {
	if doc.Revision == 0 {
		doc.Content = []byte{}
		return doc, nil
	}
	content, err := objects.Read(ctx, objectName(doc.Digest))
	if err != nil {
		return Document{}, err
	}
	doc.Content = content
	return doc, doc.Verify()
}

// RollForward proposes the content of an earlier revision as a new revision.
// The change's Content and Base are filled in.
func (p *Proposer) RollForward(ctx context.Context, to domain.Revision, change Change) (Result, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	earlier, err := ReadRevision(call, p.store, to)
	if err != nil {
		return Result{}, err
	}
	read := readHead(call, p.store, change.ID)
	if read.Err != nil {
		return Result{}, read.Err
	}
	if read.Head != nil {
		change.Base = read.Head.Revision
	}
	change.Content = earlier.Content
	return p.Propose(ctx, change)
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
