package configlog

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	// pollTimeout bounds one poll, so that a silent platform counts as down.
	pollTimeout = time.Second
	// maxDeltaRows bounds how many deltas are read instead of one object.
	maxDeltaRows = 16
	// watcherQueue bounds the events that wait for the watcher's loop.
	watcherQueue = 64
)

// Hooks receive what a Watcher decides. They are called one at a time from
// its loop and must not block. A nil hook is skipped.
type Hooks struct {
	Enforce   func(Document)
	AskPeer   func(domain.DaemonID, domain.Revision)
	Reject    func(Reject)
	Readiness func(Readiness)
	// PollFailed hears why config/head could not be read.
	PollFailed func(error)
}

// Watcher runs a Follower: it polls the platform and takes in what peers
// send.
type Watcher struct {
	store  Store
	hooks  Hooks
	core   *Follower
	events chan FollowEvent

	inForce   atomic.Pointer[Document]
	readiness atomic.Pointer[Readiness]
}

// NewWatcher returns a watcher that works once Run is called.
func NewWatcher(store Store, self domain.DaemonID, region domain.Region, rng *rand.Rand, hooks Hooks) *Watcher {
	w := &Watcher{
		store:  store,
		hooks:  hooks,
		core:   NewFollower(self, region, rng),
		events: make(chan FollowEvent, watcherQueue),
	}
	w.publish()
	return w
}

// InForce returns the revision in force. It is safe for concurrent use.
func (w *Watcher) InForce() Document { return *w.inForce.Load() }

// Readiness tells whether the daemon may serve. It is safe for concurrent
// use.
func (w *Watcher) Readiness() Readiness { return *w.readiness.Load() }

// Offer hands in a revision that a peer or a local proposal produced. It
// waits while the queue is full.
func (w *Watcher) Offer(ctx context.Context, from domain.DaemonID, doc Document) {
	w.post(ctx, Offered{From: from, Document: doc})
}

// Announce hands in that a peer has a revision in force.
func (w *Watcher) Announce(ctx context.Context, from domain.DaemonID, r domain.Revision) {
	w.post(ctx, Announced{From: from, Revision: r})
}

// PeerAnswered hands in a peer's answer to this starting daemon.
func (w *Watcher) PeerAnswered(ctx context.Context, a PeerAnswer) {
	w.post(ctx, PeerAnswered{a})
}

func (w *Watcher) post(ctx context.Context, e FollowEvent) {
	select {
	case w.events <- e:
	case <-ctx.Done():
	}
}

// Run follows the log until ctx ends and returns the cause.
func (w *Watcher) Run(ctx context.Context) error {
	timer := time.NewTimer(pollFloor)
	defer timer.Stop()
	var event FollowEvent = Tick{}
	for {
		if polled, ok := event.(HeadPolled); ok && polled.Err != nil {
			call(w.hooks.PollFailed, polled.Err)
		}
		actions := w.core.Step(time.Now(), event)
		w.publish()
		for _, a := range actions {
			w.run(ctx, a)
		}
		timer.Reset(w.untilDue())
		event = Tick{}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-timer.C:
		case event = <-w.events:
		}
	}
}

// untilDue returns the time to the next tick. While the core waits for an
// answer, the answer's event comes first.
func (w *Watcher) untilDue() time.Duration {
	due, ok := w.core.Deadline()
	if !ok {
		return callTimeout
	}
	return time.Until(due)
}

func (w *Watcher) publish() {
	doc := w.core.InForce()
	readiness := w.core.Readiness()
	w.inForce.Store(&doc)
	w.readiness.Store(&readiness)
}

func (w *Watcher) run(ctx context.Context, action FollowAction) {
	switch a := action.(type) {
	case PollHead:
		go func() { w.post(ctx, pollHead(ctx, w.store)) }()
	case Fetch:
		go func() { w.post(ctx, fetch(ctx, w.store, a)) }()
	case Enforce:
		call(w.hooks.Enforce, a.Document)
	case Reject:
		call(w.hooks.Reject, a)
	case ReadinessChanged:
		call(w.hooks.Readiness, a.Readiness)
	case AskPeer:
		if w.hooks.AskPeer != nil {
			w.hooks.AskPeer(a.Peer, a.Revision)
		}
	}
}

func call[T any](hook func(T), v T) {
	if hook != nil {
		hook(v)
	}
}

func pollHead(ctx context.Context, table ports.Table) HeadPolled {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	rows, err := table.Get(ctx, headKey)
	if err != nil || len(rows) == 0 {
		return HeadPolled{Err: err}
	}
	head, err := decodeRow[Head](rows[0])
	return HeadPolled{Head: &head, Err: err}
}

// fetch reads the target through deltas where that is short, else from the
// object store.
func fetch(ctx context.Context, store Store, a Fetch) Fetched {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if doc, err := fetchDeltas(ctx, store, a); err == nil {
		return Fetched{Document: doc}
	}
	if a.Target.Digest == "" {
		doc, err := ReadRevision(ctx, store, a.Target.Revision)
		return Fetched{Document: doc, Err: err}
	}
	doc, err := readByDigest(ctx, store, Document{Revision: a.Target.Revision, Digest: a.Target.Digest})
	return Fetched{Document: doc, Err: err}
}

func fetchDeltas(ctx context.Context, table ports.Table, a Fetch) (Document, error) {
	missing := a.Target.Revision - a.From.Revision
	if a.From.Revision == 0 || missing > maxDeltaRows {
		return Document{}, eris.Errorf("%d revisions are missing", missing)
	}
	keys := make([]string, 0, missing)
	for r := a.From.Revision + 1; r <= a.Target.Revision; r++ {
		keys = append(keys, revisionKey(r))
	}
	rows, err := table.Get(ctx, keys...)
	if err != nil {
		return Document{}, err
	}
	return applyRows(a.From, rows)
}

// applyRows applies the deltas of consecutive revisions and verifies the
// digest of the last.
func applyRows(doc Document, rows []ports.Row) (Document, error) {
	for _, row := range rows {
		record, err := decodeRow[Record](row)
		if err != nil {
			return Document{}, err
		}
		if record.Revision != doc.Revision+1 || record.Delta == nil {
			return Document{}, eris.Errorf("no delta from revision %d to %d", doc.Revision, record.Revision)
		}
		content, err := record.Delta.Apply(doc.Content)
		if err != nil {
			return Document{}, err
		}
		doc = Document{Revision: record.Revision, Digest: record.Digest, Content: content}
	}
	return doc, doc.Verify()
}
