package configlog

import (
	"math/rand/v2"
	"time"

	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/domain"
)

const (
	// pollFloor is the shortest time between two polls of config/head.
	pollFloor = time.Second
	// pollSpread is the width of the random part of the poll interval.
	pollSpread = 500 * time.Millisecond
	// askInterval is the shortest time between two requests to peers for the
	// same revision, so that several announcements move its content once.
	askInterval = time.Second
)

var (
	// outageBackoff bounds the delay between polls while the table fails. With
	// the cap, a revision is found within 3 s of the table's return, and 330
	// daemons send at most 330 polls per second, which is their normal rate.
	outageBackoff = backoff.Policy{Floor: pollFloor, Cap: 2 * time.Second}
	// fetchBackoff bounds the delay between tries to read a revision.
	fetchBackoff = backoff.Policy{Floor: 100 * time.Millisecond, Cap: 5 * time.Second}
)

// FollowEvent is an input of a Follower.
type FollowEvent interface{ followEvent() }

// Tick lets time pass.
type Tick struct{}

// HeadPolled answers PollHead. Head is nil when no revision exists.
type HeadPolled struct {
	Head *Head
	Err  error
}

// Fetched answers Fetch.
type Fetched struct {
	Document Document
	Err      error
}

// Offered is a revision that a peer sent.
type Offered struct {
	From     domain.DaemonID
	Document Document
}

// Announced says that a peer has a revision in force, without its content.
type Announced struct {
	From     domain.DaemonID
	Revision domain.Revision
}

// PeerAnswered is a peer's answer to a starting daemon.
type PeerAnswered struct{ Answer PeerAnswer }

func (Tick) followEvent()         {}
func (HeadPolled) followEvent()   {}
func (Fetched) followEvent()      {}
func (Offered) followEvent()      {}
func (Announced) followEvent()    {}
func (PeerAnswered) followEvent() {}

// FollowAction is an output of a Follower.
type FollowAction interface{ followAction() }

// PollHead asks to read config/head. It is answered by HeadPolled.
type PollHead struct{}

// Fetch asks to read the content of a revision from the platform, where From
// is the revision in force that deltas apply to. It is answered by Fetched.
// Target.Digest is empty when only the number is known.
type Fetch struct {
	From   Document
	Target Head
}

// AskPeer asks to request the content of a revision from a peer.
type AskPeer struct {
	Peer     domain.DaemonID
	Revision domain.Revision
}

// Enforce puts a revision into force.
type Enforce struct{ Document Document }

// Reject reports a revision that was not accepted. From is empty when it
// came from the platform.
type Reject struct {
	From     domain.DaemonID
	Revision domain.Revision
	Reason   string
}

// ReadinessChanged reports a new readiness or a new reason.
type ReadinessChanged struct{ Readiness Readiness }

func (PollHead) followAction()         {}
func (Fetch) followAction()            {}
func (AskPeer) followAction()          {}
func (Enforce) followAction()          {}
func (Reject) followAction()           {}
func (ReadinessChanged) followAction() {}

// Follower holds the highest revision that one daemon has seen and never
// goes to a lower one. It needs no revision in between: it moves from any
// revision to any higher one.
type Follower struct {
	rng     *rand.Rand
	inForce Document
	// target is the highest revision known to exist.
	target    Head
	digests   map[domain.Revision]Digest // stated by the platform, above inForce
	start     startup
	readiness Readiness

	polling      bool
	nextPoll     time.Time
	pollFailures int

	fetching      bool
	nextFetch     time.Time
	fetchFailures int

	// The highest revision that a peer was asked for, and when.
	asked   domain.Revision
	askedAt time.Time
}

// NewFollower returns the follower of a daemon that starts now without a
// configuration.
func NewFollower(self domain.DaemonID, region domain.Region, rng *rand.Rand) *Follower {
	f := &Follower{
		rng:     rng,
		digests: make(map[domain.Revision]Digest),
		start:   newStartup(self, region),
	}
	f.readiness = f.start.judge(f.inForce.Revision)
	return f
}

// InForce returns the revision in force. Its Revision is zero before the
// first one.
func (f *Follower) InForce() Document { return f.inForce }

// Target returns the highest revision known to exist. It is above the one in
// force while a gap is open.
func (f *Follower) Target() Head { return f.target }

// Readiness tells whether the daemon may serve, and why not.
func (f *Follower) Readiness() Readiness { return f.readiness }

// Deadline returns when the next Tick is due. It is false while the next step
// waits for an answer.
func (f *Follower) Deadline() (due time.Time, ok bool) {
	if !f.polling {
		due, ok = f.nextPoll, true
	}
	if f.gap() && !f.fetching && (!ok || f.nextFetch.Before(due)) {
		due, ok = f.nextFetch, true
	}
	return due, ok
}

// Step handles an event and returns what to do.
func (f *Follower) Step(now time.Time, event FollowEvent) []FollowAction {
	var out []FollowAction
	switch e := event.(type) {
	case HeadPolled:
		out = f.onPolled(now, e)
	case Fetched:
		out = f.onFetched(now, e)
	case Offered:
		out = f.accept(e.From, e.Document)
	case Announced:
		out = f.onAnnounced(now, e)
	case PeerAnswered:
		out = f.onPeerAnswer(now, e.Answer)
	}
	out = append(out, f.due(now)...)
	return append(out, f.reviewReadiness()...)
}

func (f *Follower) onPolled(now time.Time, e HeadPolled) []FollowAction {
	f.polling = false
	if e.Err != nil {
		f.pollFailures++
		f.start.platformFailed = true
		f.nextPoll = now.Add(outageBackoff.Delay(f.pollFailures, f.rng))
		return nil
	}
	f.pollFailures = 0
	f.nextPoll = now.Add(pollFloor + time.Duration(f.rng.Int64N(int64(pollSpread))))
	if e.Head == nil {
		return nil
	}
	f.start.sawPlatform(e.Head.Revision)
	return f.onHead(*e.Head)
}

func (f *Follower) onHead(head Head) []FollowAction {
	switch {
	case head.Revision < f.inForce.Revision:
		return []FollowAction{Reject{Revision: head.Revision, Reason: "platform names a lower revision than the one in force"}}
	case head.Revision == f.inForce.Revision && head.Digest != f.inForce.Digest:
		return []FollowAction{Reject{Revision: head.Revision, Reason: "platform states another digest than that of the revision in force"}}
	}
	if head.Revision > f.inForce.Revision {
		f.digests[head.Revision] = head.Digest
	}
	if head.Revision >= f.target.Revision {
		f.target = head
	}
	return nil
}

func (f *Follower) onAnnounced(now time.Time, e Announced) []FollowAction {
	if e.Revision <= f.inForce.Revision {
		return nil
	}
	f.aimAt(e.Revision)
	if e.Revision <= f.asked && now.Before(f.askedAt.Add(askInterval)) {
		return nil
	}
	f.asked = max(f.asked, e.Revision)
	f.askedAt = now
	return []FollowAction{AskPeer{Peer: e.From, Revision: e.Revision}}
}

// aimAt notes that a revision exists.
func (f *Follower) aimAt(r domain.Revision) {
	if r > f.target.Revision {
		f.target = Head{Revision: r}
	}
}

func (f *Follower) onPeerAnswer(now time.Time, a PeerAnswer) []FollowAction {
	if f.readiness.Ready {
		return nil
	}
	f.start.answered(a)
	if a.Document != nil {
		return f.accept(a.Peer, *a.Document)
	}
	if !a.Ready {
		return nil
	}
	return f.onAnnounced(now, Announced{From: a.Peer, Revision: a.Revision})
}

func (f *Follower) onFetched(now time.Time, e Fetched) []FollowAction {
	f.fetching = false
	if e.Err != nil {
		f.fetchFailures++
		f.nextFetch = now.Add(fetchBackoff.Delay(f.fetchFailures, f.rng))
		return nil
	}
	f.fetchFailures = 0
	return f.accept("", e.Document)
}

// accept puts a document into force when it is newer and its digest holds.
func (f *Follower) accept(from domain.DaemonID, doc Document) []FollowAction {
	if reason := f.objection(doc); reason != "" {
		return []FollowAction{Reject{From: from, Revision: doc.Revision, Reason: reason}}
	}
	if doc.Revision <= f.inForce.Revision {
		return nil
	}
	f.inForce = doc
	if doc.Revision >= f.target.Revision {
		f.target = Head{Revision: doc.Revision, Digest: doc.Digest}
	}
	for r := range f.digests {
		if r <= doc.Revision {
			delete(f.digests, r)
		}
	}
	return []FollowAction{Enforce{doc}}
}

func (f *Follower) objection(doc Document) string {
	if err := doc.Verify(); err != nil {
		return err.Error()
	}
	if stated, ok := f.digests[doc.Revision]; ok && stated != doc.Digest {
		return "digest differs from the one that the platform states"
	}
	if doc.Revision == f.inForce.Revision && doc.Revision > 0 && doc.Digest != f.inForce.Digest {
		return "digest differs from that of the revision in force"
	}
	return ""
}

func (f *Follower) gap() bool { return f.target.Revision > f.inForce.Revision }

// due returns the polls and fetches that are due.
func (f *Follower) due(now time.Time) []FollowAction {
	var out []FollowAction
	if !f.polling && !now.Before(f.nextPoll) {
		f.polling = true
		out = append(out, PollHead{})
	}
	if f.gap() && !f.fetching && !now.Before(f.nextFetch) {
		f.fetching = true
		out = append(out, Fetch{From: f.inForce, Target: f.target})
	}
	return out
}

func (f *Follower) reviewReadiness() []FollowAction {
	if f.readiness.Ready {
		return nil
	}
	next := f.start.judge(f.inForce.Revision)
	if next == f.readiness {
		return nil
	}
	f.readiness = next
	return []FollowAction{ReadinessChanged{next}}
}
