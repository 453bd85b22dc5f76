package ports

import (
	"context"
	"errors"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// ErrPeerNotConnected means that no connection to the peer is open, so the
// frame was dropped. Anti-entropy repairs the loss.
var ErrPeerNotConnected = errors.New("peer is not connected")

// Member is one run of a daemon as peers know it.
type Member struct {
	Daemon domain.DaemonID `cbor:"1,keyasint" json:"daemon"`
	// Incarnation is zero for a daemon that has no roster row yet.
	Incarnation domain.Incarnation      `cbor:"2,keyasint,omitempty" json:"incarnation"`
	Address     string                  `cbor:"3,keyasint,omitempty" json:"address"` // IP:port of the peer listener
	Region      domain.Region           `cbor:"4,keyasint,omitempty" json:"region"`
	Zone        domain.AvailabilityZone `cbor:"5,keyasint,omitempty" json:"zone"`
}

// FactKind tells which register a Fact belongs to.
type FactKind uint8

const (
	// FactRevision is the highest configuration revision known, with the
	// digest of its document.
	FactRevision FactKind = iota + 1
	// FactUpstreamServing ends a drain of the same incarnation (higher Epoch)
	// or admits a later incarnation.
	FactUpstreamServing
	// FactUpstreamLeaving starts drain Epoch of one incarnation.
	FactUpstreamLeaving
	// FactUpstreamGone ends one incarnation.
	FactUpstreamGone
	// FactDaemonJoined tells where a daemon incarnation can be reached.
	FactDaemonJoined
	// FactDaemonGone ends a daemon incarnation. Seq is 1 if the daemon says so
	// itself after a planned stop, when it has no request in progress.
	FactDaemonGone
	// FactDrainAck is one daemon's acknowledgement of a drain epoch.
	FactDrainAck
	// FactDaemonTrusted and FactDaemonSuspect tell whether any neighbour hears
	// a daemon incarnation. A higher Seq replaces a lower one.
	FactDaemonTrusted
	FactDaemonSuspect
)

// Fact is one piece of monotone knowledge. Facts about the same subject are
// totally ordered, and the highest one replaces the others.
type Fact struct {
	Kind FactKind `cbor:"1,keyasint"`
	// Upstream is set for upstream facts and acknowledgements.
	Upstream domain.UpstreamID `cbor:"2,keyasint,omitempty"`
	// Incarnation is that of Upstream.
	Incarnation domain.Incarnation `cbor:"3,keyasint,omitempty"`
	// Epoch counts the drains and undrains of an upstream incarnation.
	Epoch uint64 `cbor:"4,keyasint,omitempty"`
	// Deadline is when the leaving VM is taken away, in Unix seconds. Zero
	// means unknown.
	Deadline int64 `cbor:"5,keyasint,omitempty"`
	// Member is set for daemon facts; acknowledgements and suspicions set its
	// Daemon and Incarnation only.
	Member *Member `cbor:"6,keyasint,omitempty"`
	// Seq orders the acknowledgements of one daemon incarnation for one drain,
	// and the suspicions of one daemon incarnation.
	Seq uint64 `cbor:"7,keyasint,omitempty"`
	// InProgress is the number of requests that the daemon still has running
	// at the upstream.
	InProgress int `cbor:"8,keyasint,omitempty"`
	// Revision and Digest are set for FactRevision.
	Revision domain.Revision `cbor:"9,keyasint,omitempty"`
	Digest   uint64          `cbor:"10,keyasint,omitempty"`
	// Stamp is when the fact was last confirmed, in hours since the Unix
	// epoch. It controls garbage collection only.
	Stamp uint32 `cbor:"11,keyasint,omitempty"`
}

// Hello is the first frame in both directions of a connection.
type Hello struct {
	Protocol int             `cbor:"1,keyasint"`
	Member   Member          `cbor:"2,keyasint"`
	Revision domain.Revision `cbor:"3,keyasint,omitempty"`
}

// Heartbeat shows that the sender is alive and the connection works.
type Heartbeat struct {
	Seq uint64 `cbor:"1,keyasint,omitempty"`
}

// Change carries one configuration revision.
type Change struct {
	Revision domain.Revision `cbor:"1,keyasint"`
	// Base is the revision that Document is a delta to. Zero means that
	// Document is complete.
	Base domain.Revision `cbor:"2,keyasint,omitempty"`
	// Digest identifies the complete document of Revision.
	Digest   uint64 `cbor:"3,keyasint"`
	Document []byte `cbor:"4,keyasint"`
}

// Digest summarises the sender's facts for anti-entropy.
type Digest struct {
	Hash uint64 `cbor:"1,keyasint"`
	// Buckets holds four bytes for each bucket. It is sent when hashes differ.
	Buckets []byte `cbor:"2,keyasint,omitempty"`
	// Answer marks buckets that answer buckets; they are not answered again.
	Answer bool `cbor:"3,keyasint,omitempty"`
}

// Fetch asks a neighbour for the changes behind revision Have.
type Fetch struct {
	Have domain.Revision `cbor:"1,keyasint,omitempty"`
	// Answer marks the reply of a neighbour that has nothing behind the asked
	// revision; its own is Have. It is not answered.
	Answer bool `cbor:"2,keyasint,omitempty"`
}

// Frame is one message between daemons. Absent parts are nil.
type Frame struct {
	Hello     *Hello     `cbor:"1,keyasint,omitempty"`
	Heartbeat *Heartbeat `cbor:"2,keyasint,omitempty"`
	Facts     []Fact     `cbor:"3,keyasint,omitempty"`
	Changes   []Change   `cbor:"4,keyasint,omitempty"`
	Digest    *Digest    `cbor:"5,keyasint,omitempty"`
	Fetch     *Fetch     `cbor:"6,keyasint,omitempty"`
}

// PeerEvent is what a PeerTransport reports. Exactly one of Hello, Lost and
// Frame describes it: Hello for a new connection, Lost for the end of the
// current one, otherwise Frame.
type PeerEvent struct {
	Peer  domain.DaemonID
	Hello *Hello
	Lost  error
	// DialFailed marks a Lost that is about an attempt of Connect only. A
	// connection that the peer opened meanwhile stays.
	DialFailed bool
	Frame      *Frame
	At         time.Time
}

// PeerTransport exchanges frames with other daemons. A new connection to a
// peer replaces the previous one.
type PeerTransport interface {
	// Connect dials a peer in the background. Success shows as a PeerEvent
	// with Hello; failure as one with Lost and DialFailed.
	Connect(peer Member)
	// Disconnect closes the connection to a peer, if any.
	Disconnect(peer domain.DaemonID)
	// Refuses reports whether the machine of a peer refuses a new connection,
	// which means that no process listens at the peer's address. A machine that
	// is silent or unreachable does not refuse.
	Refuses(ctx context.Context, peer Member) bool
	// Send queues a frame. It never blocks: it fails with ErrPeerNotConnected,
	// or drops the connection when its send queue is full.
	Send(peer domain.DaemonID, frame Frame) error
	// SetRevision raises the revision that later Hello frames carry.
	SetRevision(revision domain.Revision)
	// SetIncarnation sets the incarnation that later Hello frames carry.
	SetIncarnation(incarnation domain.Incarnation)
	// Events delivers connections and frames in order for each peer. It is
	// closed when Run ends.
	Events() <-chan PeerEvent
	// Run serves until ctx ends.
	Run(ctx context.Context) error
}
