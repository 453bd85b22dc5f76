package membership

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// Event is an input of Core: one of ReadResult, CommitResult, ScanResult,
// PeerSilent, PeerHeard, FactsReceived, VMsListed and Tick.
type Event interface{ membershipEvent() }

// ReadResult is the result of Read. At is when the read began.
type ReadResult struct {
	Read Read
	Rows []ports.Row
	Err  error
	At   time.Time
}

// CommitResult is the result of Commit. At is when the write began.
type CommitResult struct {
	Commit  Commit
	Version ports.Version
	Err     error
	At      time.Time
}

// ScanResult is the result of Scan, all pages together. At is when the scan
// began.
type ScanResult struct {
	Scan Scan
	Rows []ports.Row
	Err  error
	At   time.Time
}

// PeerSilent reports from the mesh that a neighbour is not heard.
type PeerSilent struct {
	Daemon      domain.DaemonID
	Incarnation domain.Incarnation
}

// PeerHeard reports from the mesh that a neighbour is heard.
type PeerHeard struct {
	Daemon      domain.DaemonID
	Incarnation domain.Incarnation
}

// FactsReceived brings facts from the mesh. Other kinds are ignored.
type FactsReceived struct{ Facts []ports.Fact }

// VMsListed is a read of the VM list.
type VMsListed struct{ VMs []domain.VM }

// Tick lets time pass. Send it every second.
type Tick struct{}

func (ReadResult) membershipEvent()    {}
func (CommitResult) membershipEvent()  {}
func (ScanResult) membershipEvent()    {}
func (PeerSilent) membershipEvent()    {}
func (PeerHeard) membershipEvent()     {}
func (FactsReceived) membershipEvent() {}
func (VMsListed) membershipEvent()     {}
func (Tick) membershipEvent()          {}

// Action is an output of Core: one of Read, Commit, Scan, Publish,
// ViewChanged, Joined and LeaseLost. The first three have exactly one result.
type Action interface{ membershipAction() }

// Purpose tells what a table call is for.
type Purpose uint8

const (
	// PurposeJoin creates the daemon's rows under a new incarnation.
	PurposeJoin Purpose = iota + 1
	// PurposeRenew extends the daemon's own lease.
	PurposeRenew
	// PurposeObserve checks whether a suspect renews its lease.
	PurposeObserve
	// PurposeMarkGone ends another daemon's incarnation.
	PurposeMarkGone
	// PurposePurge removes the row of an incarnation that ended long ago.
	PurposePurge
)

// Read asks for a Get of keys.
type Read struct {
	Purpose Purpose
	Keys    []string
}

// Commit asks for one transaction.
type Commit struct {
	Purpose Purpose
	Daemon  domain.DaemonID
	Writes  []ports.Write
}

// Scan asks for all rows under Prefix that were written after Since.
type Scan struct {
	Prefix string
	Since  ports.Version
}

// Publish asks for facts to be given to the mesh.
type Publish struct{ Facts []ports.Fact }

// ViewChanged hands out a new snapshot.
type ViewChanged struct{ View *View }

// Joined tells that the daemon may act as this member.
type Joined struct{ Member ports.Member }

// LeaseLost tells that the daemon must at once stop acting on its lease:
// coordinated roles and orders. The core renews or joins again by itself and
// then reports Joined.
type LeaseLost struct {
	Incarnation domain.Incarnation
	// Ended means that the incarnation itself must not act any more, which
	// includes drain acknowledgements. It is false while only the table is out
	// of reach.
	Ended bool
}

func (Read) membershipAction()        {}
func (Commit) membershipAction()      {}
func (Scan) membershipAction()        {}
func (Publish) membershipAction()     {}
func (ViewChanged) membershipAction() {}
func (Joined) membershipAction()      {}
func (LeaseLost) membershipAction()   {}
