package mesh

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// Event is an input of Node: one of PeerConnected, PeerLost, FrameReceived,
// LocalFacts, LocalChange, Snapshot, RosterChanged and Tick.
type Event interface{ meshEvent() }

// PeerConnected reports a new connection. It replaces an earlier one.
type PeerConnected struct {
	Peer  domain.DaemonID
	Hello ports.Hello
}

// PeerLost reports the end of the current connection, or a failed dial.
type PeerLost struct {
	Peer       domain.DaemonID
	DialFailed bool
}

// FrameReceived reports a frame from a connected peer.
type FrameReceived struct {
	Peer  domain.DaemonID
	Frame ports.Frame
}

// LocalFacts adds facts that this daemon learned elsewhere. They spread to
// all daemons; they are not delivered back.
type LocalFacts struct{ Facts []ports.Fact }

// LocalChange announces a revision that this daemon learned from the platform
// or accepted itself. It spreads to all daemons and is not delivered back.
// Document may be a delta (Base set) or complete.
type LocalChange struct{ Change ports.Change }

// Snapshot tells which complete document is in force here, for daemons that
// fetch it. Call it after each applied change. Base must be zero.
type Snapshot struct{ Change ports.Change }

// RosterChanged replaces the members that the peer graph is built from. Leave
// out daemons that are gone; suspects stay until they are gone.
type RosterChanged struct{ Members []ports.Member }

// Tick lets time pass. Send it every TickInterval.
type Tick struct{}

func (PeerConnected) meshEvent() {}
func (PeerLost) meshEvent()      {}
func (FrameReceived) meshEvent() {}
func (LocalFacts) meshEvent()    {}
func (LocalChange) meshEvent()   {}
func (Snapshot) meshEvent()      {}
func (RosterChanged) meshEvent() {}
func (Tick) meshEvent()          {}

// Action is an output of Node: one of Send, Connect, Disconnect,
// DeliverFacts, DeliverChange, PeerSilent and PeerHeard.
type Action interface{ meshAction() }

// Send asks for a frame to be sent. A failure needs no report.
type Send struct {
	Peer  domain.DaemonID
	Frame ports.Frame
}

// Connect asks for a new connection, which replaces an open one.
type Connect struct{ Peer ports.Member }

// Disconnect asks for the connection to be closed.
type Disconnect struct{ Peer domain.DaemonID }

// DeliverFacts hands up facts that changed the state.
type DeliverFacts struct{ Facts []ports.Fact }

// DeliverChange hands up a change. Base is zero, or the revision that was
// delivered or announced before it. The receiver checks Digest after applying.
type DeliverChange struct {
	Change ports.Change
	From   domain.DaemonID
}

// PeerSilent reports that a neighbour has not been heard for SilenceLimit.
// Incarnation is the last one it showed, or that of the roster.
type PeerSilent struct {
	Peer        domain.DaemonID
	Incarnation domain.Incarnation
	Since       time.Time
}

// PeerHeard reports that a silent neighbour was heard again, or a new one for
// the first time.
type PeerHeard struct {
	Peer        domain.DaemonID
	Incarnation domain.Incarnation
}

func (Send) meshAction()          {}
func (Connect) meshAction()       {}
func (Disconnect) meshAction()    {}
func (DeliverFacts) meshAction()  {}
func (DeliverChange) meshAction() {}
func (PeerSilent) meshAction()    {}
func (PeerHeard) meshAction()     {}
