package drain

import (
	"fmt"
	"strings"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/membership"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// Phase is how far a drain has come.
type Phase string

const (
	Serving  Phase = "serving"
	Draining Phase = "draining"
	// Quiet means that no daemon sends new work any more.
	Quiet Phase = "quiet"
	// Releasable means that no request is in progress, by everyone's word.
	Releasable Phase = "releasable"
	// Gone means that the incarnation has ended.
	Gone Phase = "gone"
)

// Source tells where a leave became known.
type Source string

const (
	FromOperator Source = "operator"
	FromVMList   Source = "vm-list"
	FromFact     Source = "fact"
)

// LastUpstreamError refuses the drain of the last serving upstream of classes.
// Force overrides it.
type LastUpstreamError struct {
	Upstream domain.UpstreamID
	Classes  []domain.ClassID
}

func (e *LastUpstreamError) Error() string {
	names := make([]string, len(e.Classes))
	for i, c := range e.Classes {
		names[i] = string(c)
	}
	return fmt.Sprintf("upstream %q is the last serving one of %s", e.Upstream, strings.Join(names, ", "))
}

// UnknownUpstreamError refuses an order for an upstream that the configuration
// in force does not name.
type UnknownUpstreamError struct{ Upstream domain.UpstreamID }

func (e *UnknownUpstreamError) Error() string {
	return fmt.Sprintf("upstream %q does not exist", e.Upstream)
}

// VMLeavingError refuses to end a drain whose VM is listed as leaving.
type VMLeavingError struct{ Upstream domain.UpstreamID }

func (e *VMLeavingError) Error() string {
	return fmt.Sprintf("the VM of upstream %q is listed as leaving", e.Upstream)
}

// Upstream is what drains need to know about one upstream.
type Upstream struct {
	ID domain.UpstreamID
	// VM is the name of its VM in the VM list. Empty means that it is not
	// listed.
	VM string
	// Classes are those whose traffic may reach it.
	Classes []domain.ClassID
	// Fences tells whether it refuses new work when it is told to.
	Fences bool
}

// Event is an input of Controller: one of LeaveRequested, UndrainRequested,
// UpstreamsChanged, VMsListed, Unreachable, FactsReceived, ViewChanged,
// FenceResult, ProbeResult, Running, RecordsRead, CommitResult, Role and Tick.
type Event interface{ drainEvent() }

// LeaveRequested is an operator's order to drain an upstream.
type LeaveRequested struct {
	Upstream domain.UpstreamID
	// Deadline is when the VM is taken away. Zero means that there is none.
	Deadline time.Time
	Force    bool
}

// UndrainRequested ends a drain.
type UndrainRequested struct{ Upstream domain.UpstreamID }

// UpstreamsChanged replaces the upstreams of the configuration in force.
type UpstreamsChanged struct{ Upstreams []Upstream }

// VMsListed is a successful read of the VM list.
type VMsListed struct{ VMs []domain.VM }

// Unreachable reports that an upstream does not answer probes over new
// connections (Reachable false), or does again.
type Unreachable struct {
	Upstream  domain.UpstreamID
	Reachable bool
}

// FactsReceived brings facts from the mesh. Other kinds are ignored.
type FactsReceived struct{ Facts []ports.Fact }

// ViewChanged brings the roster snapshot.
type ViewChanged struct{ View *membership.View }

// FenceResult is the upstream's answer to Fence.
type FenceResult struct {
	Fence Fence
	Err   error
}

// ProbeResult is the result of Probe. Refused tells that the daemon's machine
// refuses connections to it: its process has ended.
type ProbeResult struct {
	Member  ports.Member
	Refused bool
}

// Running is an upstream's own report of requests in progress, measured
// after the given time.
type Running struct {
	Upstream domain.UpstreamID
	Requests int
	Measured time.Time
}

// RecordsRead brings drain rows that changed.
type RecordsRead struct{ Rows []ports.Row }

// CommitResult is the result of Commit.
type CommitResult struct {
	Upstream domain.UpstreamID
	Record   Record
	Version  ports.Version
	Err      error
}

// Role tells whether this daemon holds the drain lease, and thus writes the
// records and repeats fences that others started.
type Role struct{ Holder bool }

// Tick lets time pass. Send it at least every 250 ms while drains run.
type Tick struct{}

func (LeaveRequested) drainEvent()   {}
func (UndrainRequested) drainEvent() {}
func (UpstreamsChanged) drainEvent() {}
func (VMsListed) drainEvent()        {}
func (Unreachable) drainEvent()      {}
func (FactsReceived) drainEvent()    {}
func (ViewChanged) drainEvent()      {}
func (FenceResult) drainEvent()      {}
func (ProbeResult) drainEvent()      {}
func (Running) drainEvent()          {}
func (RecordsRead) drainEvent()      {}
func (CommitResult) drainEvent()     {}
func (Role) drainEvent()             {}
func (Tick) drainEvent()             {}

// Action is an output of Controller or Holder: one of Publish, Fence, Probe,
// Commit, Accepted, Refused, PhaseChanged, Warning, StopNew, ResumeNew and MoveStreams.
type Action interface{ drainAction() }

// Publish asks for facts to be given to the mesh, and to the other cores of
// this daemon, which do not hear local facts from the mesh.
type Publish struct{ Facts []ports.Fact }

// Fence asks to tell an upstream to refuse new work, or to take it again if
// Open is set. It has exactly one FenceResult.
type Fence struct {
	Upstream domain.UpstreamID
	Epoch    uint64
	Open     bool
}

// Probe asks whether the process of a daemon still listens at its address. It
// has exactly one ProbeResult.
type Probe struct{ Member ports.Member }

// Commit asks for the conditional write of a drain record.
type Commit struct {
	Upstream domain.UpstreamID
	Record   Record
	Write    ports.Write
}

// Accepted tells that from now on no new work can reach the upstream later
// than 3 s. It is the answer to LeaveRequested.
type Accepted struct {
	Upstream domain.UpstreamID
	Epoch    uint64
}

// Refused answers an order with a typed error.
type Refused struct {
	Upstream domain.UpstreamID
	Err      error
}

// PhaseChanged reports progress.
type PhaseChanged struct {
	Upstream domain.UpstreamID
	Epoch    uint64
	Phase    Phase
}

// Warning reports a drain that goes on although Err speaks against it.
type Warning struct {
	Upstream domain.UpstreamID
	Err      error
}

func (Publish) drainAction()      {}
func (Fence) drainAction()        {}
func (Probe) drainAction()        {}
func (Commit) drainAction()       {}
func (Accepted) drainAction()     {}
func (Refused) drainAction()      {}
func (PhaseChanged) drainAction() {}
func (Warning) drainAction()      {}
func (StopNew) drainAction()      {}
func (ResumeNew) drainAction()    {}
func (MoveStreams) drainAction()  {}
