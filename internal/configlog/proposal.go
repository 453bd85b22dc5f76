package configlog

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

var (
	// ErrChangeIDReused means that the change id was accepted earlier with
	// other content.
	ErrChangeIDReused = errors.New("change id was used for another change")
	// ErrBaseUnknown means that the base revision does not exist or has been
	// removed from the history.
	ErrBaseUnknown = errors.New("base revision is not in the history")
)

// Change is a proposed configuration.
type Change struct {
	// ID identifies the change across repeated proposals. The author chooses
	// it; it must be unique.
	ID      string
	Author  string
	Message string
	// Base is the revision that Content was edited from. Zero means that it
	// was written from nothing.
	Base    domain.Revision
	Content []byte
}

// Merger merges documents by their meaning.
type Merger interface {
	// Merge applies to theirs what mine changed since base. It returns the
	// merged document, or the conflicts that prevent it.
	Merge(base, mine, theirs []byte) (merged []byte, conflicts []Conflict)
}

// Conflict is one place that two changes set differently.
type Conflict struct {
	// Path names the place in the document. Empty means the whole document.
	Path   string `json:"path"`
	Base   string `json:"base"`
	Mine   string `json:"mine"`
	Theirs string `json:"theirs"`
}

// Result is what became of a proposal.
type Result struct {
	// Document is the accepted revision. Its Content is nil when the change
	// had been accepted by an earlier proposal.
	Document Document
	// Merged means that the content differs from the proposed content because
	// another change was accepted first.
	Merged bool
	// Repeated means that an earlier proposal with the same id was accepted.
	Repeated bool
	// Conflicts is set when the change was not accepted. Head is then the
	// revision that it conflicts with.
	Conflicts []Conflict
	Head      Head
}

// Accepted reports whether the change is part of the configuration.
func (r Result) Accepted() bool { return len(r.Conflicts) == 0 && r.Document.Revision > 0 }

// ProposalEvent is an input of a Proposal.
type ProposalEvent interface{ proposalEvent() }

// Started begins a proposal.
type Started struct{}

// HeadRead answers ReadHead. Head and Receipt are nil when their rows do not
// exist. Both must come from one consistent read.
type HeadRead struct {
	Head    *Head
	Version ports.Version
	Receipt *Receipt
	Err     error
}

// ContentRead answers ReadContent.
type ContentRead struct {
	Base, Head []byte
	Err        error
}

// Stored answers StoreContent.
type Stored struct{ Err error }

// Committed answers CommitRevision.
type Committed struct{ Err error }

// Elapsed answers Pause.
type Elapsed struct{}

// Stopped ends the proposal because its caller no longer waits.
type Stopped struct{ Cause error }

func (Started) proposalEvent()     {}
func (HeadRead) proposalEvent()    {}
func (ContentRead) proposalEvent() {}
func (Stored) proposalEvent()      {}
func (Committed) proposalEvent()   {}
func (Elapsed) proposalEvent()     {}
func (Stopped) proposalEvent()     {}

// ProposalAction is an output of a Proposal. Each action but Finished is
// answered by one event.
type ProposalAction interface{ proposalAction() }

// ReadHead asks for config/head and the receipt of the change.
type ReadHead struct{ ChangeID string }

// ReadContent asks for the contents of two revisions. Revision zero has
// empty content.
type ReadContent struct {
	Base domain.Revision
	Head Head
}

// StoreContent asks to write an object.
type StoreContent struct {
	Name string
	Data []byte
}

// CommitRevision asks for one transaction.
type CommitRevision struct{ Writes []ports.Write }

// Pause asks to wait.
type Pause struct{ For time.Duration }

// Finished ends the proposal.
type Finished struct {
	Result Result
	Err    error
}

func (ReadHead) proposalAction()       {}
func (ReadContent) proposalAction()    {}
func (StoreContent) proposalAction()   {}
func (CommitRevision) proposalAction() {}
func (Pause) proposalAction()          {}
func (Finished) proposalAction()       {}

// proposeBackoff bounds the delay between tries of one proposal.
var proposeBackoff = backoff.Policy{Floor: 20 * time.Millisecond, Cap: 2 * time.Second}

// Proposal brings one change into the log exactly once. It reads, stores the
// content, commits and, whenever the effect of a commit is not known, reads
// again by change id before it decides.
type Proposal struct {
	change   Change
	merger   Merger
	rng      *rand.Rand
	failures int

	head    Head
	version ports.Version
	content []byte // content to commit: proposed or merged
	parent  []byte // content of head, nil when it was not read
	merged  bool

	// A commit against unsettled may still take effect while config/head has
	// that version.
	pending   bool
	unsettled ports.Version
}

// NewProposal returns the state machine of one change. A nil merger reports
// each concurrent change as a conflict of whole documents.
func NewProposal(change Change, merger Merger, rng *rand.Rand) *Proposal {
	if merger == nil {
		merger = wholeDocument{}
	}
	return &Proposal{change: change, merger: merger, rng: rng}
}

// Step handles an event and returns the next action.
func (p *Proposal) Step(now time.Time, event ProposalEvent) ProposalAction {
	switch e := event.(type) {
	case HeadRead:
		return p.onHead(e)
	case ContentRead:
		return p.onContent(e)
	case Stored:
		if e.Err != nil {
			return p.retry()
		}
		return p.commit(now)
	case Committed:
		return p.onCommitted(e)
	case Stopped:
		return p.stop(e)
	}
	return ReadHead{p.change.ID}
}

func (p *Proposal) onHead(e HeadRead) ProposalAction {
	if e.Err != nil {
		return p.retry()
	}
	if e.Receipt != nil {
		return p.recognise(*e.Receipt)
	}
	p.head = Head{}
	if e.Head != nil {
		p.head = *e.Head
	}
	p.version = e.Version
	if p.pending && p.unsettled != p.version {
		p.pending = false
	}
	if p.change.Base > p.head.Revision {
		return p.fail(eris.Wrapf(ErrBaseUnknown, "base %d, head %d", p.change.Base, p.head.Revision))
	}
	return ReadContent{Base: p.change.Base, Head: p.head}
}

func (p *Proposal) recognise(r Receipt) ProposalAction {
	if r.Proposed != DigestOf(p.change.Content) {
		return p.fail(eris.Wrapf(ErrChangeIDReused, "change %q is revision %d", p.change.ID, r.Revision))
	}
	doc := Document{Revision: r.Revision, Digest: r.Digest}
	if DigestOf(p.content) == r.Digest {
		doc.Content = p.content
	}
	return Finished{Result: Result{Document: doc, Merged: r.Merged, Repeated: p.content == nil}}
}

func (p *Proposal) onContent(e ContentRead) ProposalAction {
	if errors.Is(e.Err, ErrBaseUnknown) {
		return p.fail(e.Err)
	}
	if e.Err != nil {
		return p.retry()
	}
	p.parent = e.Head
	p.content = p.change.Content
	p.merged = false
	if p.change.Base != p.head.Revision {
		merged, conflicts := p.merger.Merge(e.Base, p.change.Content, e.Head)
		if len(conflicts) > 0 {
			// The head has moved past the base, and the receipt was absent in
			// the same read, so no commit of this change can still take effect.
			return Finished{Result: Result{Conflicts: conflicts, Head: p.head}}
		}
		p.content = merged
		p.merged = true
	}
	return StoreContent{Name: objectName(DigestOf(p.content)), Data: p.content}
}

func (p *Proposal) commit(now time.Time) ProposalAction {
	digest := DigestOf(p.content)
	head := Head{Revision: p.head.Revision + 1, Digest: digest}
	record := Record{
		Revision: head.Revision,
		ChangeID: p.change.ID,
		Author:   p.change.Author,
		Time:     now.UTC(),
		Message:  p.change.Message,
		Base:     p.change.Base,
		Digest:   digest,
		Delta:    DeltaBetween(p.parent, p.content),
	}
	receipt := Receipt{
		Revision: head.Revision,
		Digest:   digest,
		Proposed: DigestOf(p.change.Content),
		Merged:   p.merged,
	}
	return CommitRevision{Writes: []ports.Write{
		{Key: revisionKey(head.Revision), Value: encodeRow(record)},
		{Key: headKey, Value: encodeRow(head), Expect: p.version},
		{Key: changeKey(p.change.ID), Value: encodeRow(receipt)},
	}}
}

func (p *Proposal) onCommitted(e Committed) ProposalAction {
	var conflict *ports.ConflictError
	switch {
	case e.Err == nil:
		doc := Document{Revision: p.head.Revision + 1, Digest: DigestOf(p.content), Content: p.content}
		return Finished{Result: Result{Document: doc, Merged: p.merged}}
	case errors.As(e.Err, &conflict):
		return p.retry()
	case errors.Is(e.Err, ports.ErrUnavailable), errors.Is(e.Err, ports.ErrThrottled):
		return p.retry()
	}
	// Any other error leaves the effect open.
	p.pending = true
	p.unsettled = p.version
	return p.retry()
}

// retry waits and starts over with a read of the head.
func (p *Proposal) retry() ProposalAction {
	p.failures++
	return Pause{For: proposeBackoff.Delay(p.failures, p.rng)}
}

func (p *Proposal) stop(e Stopped) ProposalAction {
	return p.fail(eris.Wrap(errors.Join(ports.ErrUnavailable, e.Cause), "change was not accepted in time"))
}

// fail ends the proposal. While a commit may still take effect, the outcome
// is unknown whatever the reason for ending.
func (p *Proposal) fail(err error) ProposalAction {
	if p.pending {
		err = eris.Wrapf(ports.ErrUnknownOutcome, "change %q may still be accepted: %v", p.change.ID, err)
	}
	return Finished{Err: err}
}

// wholeDocument is the Merger that merges only equal documents.
type wholeDocument struct{}

func (wholeDocument) Merge(base, mine, theirs []byte) ([]byte, []Conflict) {
	switch string(theirs) {
	case string(mine), string(base):
		return mine, nil
	}
	if string(mine) == string(base) {
		return theirs, nil
	}
	return nil, []Conflict{{Base: string(base), Mine: string(mine), Theirs: string(theirs)}}
}
