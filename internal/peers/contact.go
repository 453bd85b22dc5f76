package peers

import (
	"math"
	"net"
	"time"

	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// returnFanOut is the number of random peers that are told of the platform's
	// return at once. Each tells as many others.
	returnFanOut = 3
	// returnAnnounceTime is how long messages carry the platform's return. It
	// covers propagation to a few hundred daemons by regular messages.
	returnAnnounceTime = 4 * time.Second
	// callsPerReturn is the number of calls that a daemon makes when the platform
	// returns: one for each table, and one for the directory.
	callsPerReturn = 3
	// returnRateShare is the share of the platform's rate of reads that these calls
	// may take.
	returnRateShare = 0.5
	// retryRate is the number of calls a second with which the daemons of a fleet
	// ask whether the platform has returned, beside those that read for a zone.
	retryRate = 60
	// maxRetryCap is the longest delay between two such calls of a daemon.
	maxRetryCap = 10 * time.Second
	// retryFloorShare is the shortest delay as a share of the longest.
	retryFloorShare = 0.125
)

// Contact records whether the platform responds, and learns of its return from
// peers. It is implemented by follow.Contact.
type Contact interface {
	Responded(now time.Time)
	Failed()
	ReportReturn(at time.Time) bool
	ReturnedAt() time.Time
	Returned() <-chan struct{}
}

// platformReturn returns what messages say of the platform's return.
func (n *Node) platformReturn(now time.Time) *PlatformReturn {
	at := n.Contact.ReturnedAt()
	age := now.Sub(at)
	if at.IsZero() || age >= returnAnnounceTime {
		return nil
	}
	return &PlatformReturn{Age: uint8(min(max(age, 0)/ageUnit, math.MaxUint8))}
}

// mergeReturn takes over a peer's report of the platform's return.
func (n *Node) mergeReturn(now time.Time, m *Message) {
	if m.Return == nil {
		return
	}
	age := time.Duration(m.Return.Age) * ageUnit
	if n.Contact.ReportReturn(now.Add(-age)) {
		n.Log.Event(telemetry.PlatformReturned).Str("peer", m.Sender).Int64("age_ms", age.Milliseconds()).Send()
	}
}

// announceReturn tells the daemons that depend on this one and a few random peers
// that the platform has returned.
func (n *Node) announceReturn(now time.Time, socket *net.UDPConn) {
	m := &Message{Sender: n.Address, Return: n.platformReturn(now)}
	if m.Return == nil {
		return
	}
	data, err := encode(m)
	if err != nil {
		n.Log.Event(telemetry.PeerMessageRejected).Err(err).Send()
		return
	}
	n.mu.Lock()
	targets := append(n.state.Targets(n.Rand, returnFanOut), n.group.dependents...)
	n.mu.Unlock()
	for _, target := range targets {
		n.sendTo(socket, target, data)
	}
}

// RetryPolicy returns the delays between the calls of a daemon while the platform does
// not respond. Daemons with a reader learn of its return from others, so that they call
// rarely in a large fleet; the others call as often as in a small one.
func (n *Node) RetryPolicy() backoff.Policy {
	n.mu.Lock()
	defer n.mu.Unlock()
	longest := time.Duration(float64(n.directorySize*len(n.Tables)) / retryRate * float64(time.Second))
	if len(n.group.readers) == 0 || longest <= follow.DefaultRetryPolicy.Cap {
		return follow.DefaultRetryPolicy
	}
	longest = min(longest, maxRetryCap)
	return backoff.Policy{Floor: time.Duration(retryFloorShare * float64(longest)), Cap: longest}
}

// ReturnSpread returns the span over which the daemons spread their calls when the
// platform returns, so that they stay within its rate of reads.
func (n *Node) ReturnSpread() time.Duration {
	if n.PlatformReadRate <= 0 {
		return 0
	}
	n.mu.Lock()
	daemons := n.directorySize
	n.mu.Unlock()
	calls := float64(daemons * callsPerReturn)
	return time.Duration(calls / (returnRateShare * n.PlatformReadRate) * float64(time.Second))
}
