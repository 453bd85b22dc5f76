package peers

import (
	"net"
	"time"

	"github.com/auburndyke/auburndyke/internal/duty"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// candidateSettleTime is how long after its first reading of the directory a daemon
// waits for word of the others. A sighting reaches 330 daemons within about 4 s.
const candidateSettleTime = 5 * time.Second

// Duties is what daemons tell each other of those that may hold the fleet's duties. It
// is implemented by duty.Holder.
type Duties interface {
	// Sightings returns the news for peers, or nil.
	Sightings(now time.Time) []duty.Sighting
	// Merge takes over what a peer says.
	Merge(now time.Time, sightings []duty.Sighting)
}

// RecentPeers returns the addresses of the daemons from which a message came within the
// last 10 s, sorted. In a large fleet these are few of all: see KnownPeers.
func (n *Node) RecentPeers(now time.Time) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.recentPeers(now)
}

// KnownPeers returns the addresses of the daemons that still get messages, sorted.
func (n *Node) KnownPeers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.filterPeers(func(time.Time) bool { return true })
}

// KnowsFleet reports whether the daemon has read the directory and, if others are in it,
// has had time to hear of them.
func (n *Node) KnowsFleet(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.directoryReadAt.IsZero() {
		return false
	}
	return len(n.lastHeard) == 0 && n.directorySize > 0 || now.Sub(n.directoryReadAt) >= candidateSettleTime
}

// sendCandidates tells random peers which daemons may hold the duties.
func (n *Node) sendCandidates(now time.Time, socket *net.UDPConn) {
	if n.Duties == nil {
		return
	}
	sightings := n.Duties.Sightings(now)
	if len(sightings) == 0 {
		return
	}
	data, err := encodeCandidates(sightings)
	if err != nil {
		n.Log.Event(telemetry.PeerMessageRejected).Err(err).Send()
		return
	}
	n.mu.Lock()
	targets := n.state.Targets(n.Rand, gossipFanOut)
	n.mu.Unlock()
	for _, target := range targets {
		n.sendTo(socket, target, data)
	}
}
