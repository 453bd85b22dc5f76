package mesh

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	// TickInterval is how often Node expects a Tick.
	TickInterval = 250 * time.Millisecond
	// HeartbeatInterval is how often each side of a connection sends.
	HeartbeatInterval = time.Second
	// SilenceLimit is how long a connection may be silent.
	SilenceLimit = 3 * time.Second
	// DigestInterval is how often neighbours compare digests.
	DigestInterval = 10 * time.Second
	// AckInterval is the mean time that acknowledgements wait for others to
	// join them. It varies, so that neighbours do not send each other the same
	// ones at the same moment.
	AckInterval = time.Second

	// dialYield is how long the daemon with the higher id waits for the other
	// side to dial. Without it both ends dial at once and replace each
	// other's connection.
	dialYield    = time.Second
	dialTimeout  = 3 * time.Second
	minRedial    = 500 * time.Millisecond
	maxRedial    = 5 * time.Second
	fetchTimeout = time.Second

	// maxPushBytes is the largest document that is pushed without being asked
	// for. A larger one is announced and fetched, so that each daemon receives
	// it once.
	maxPushBytes = 4 << 10
	// maxFactsPerFrame keeps a frame of facts under the transport's limit.
	maxFactsPerFrame = 1024
)

// Config configures a Node.
type Config struct {
	Self domain.DaemonID
	// Rand spreads periodic work and redials.
	Rand *rand.Rand
}

// peer is what a Node knows about one graph neighbour or connected daemon.
type peer struct {
	member    ports.Member
	neighbour bool
	connected bool
	silent    bool
	heard     time.Time
	sent      time.Time
	dialAt    time.Time
	redial    time.Duration
	digestAt  time.Time
	revision  domain.Revision
	seq       uint64
	outbox    map[register]struct{}
}

// Node is the mesh logic of one daemon. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	state   *State
	peers   map[domain.DaemonID]*peer
	log     changeLog
	fetch   fetchState
	ackAt   time.Time
	actions []Action
}

// NewNode returns a node without neighbours.
func NewNode(cfg Config) *Node {
	return &Node{cfg: cfg, state: NewState(), peers: map[domain.DaemonID]*peer{}}
}

// State returns the facts known here. The caller must not change it.
func (n *Node) State() *State { return n.state }

// Neighbours returns the daemons that the node should be connected to, and
// how many of these connections are open.
func (n *Node) Neighbours() (members []ports.Member, open int) {
	for _, id := range n.peerIDs() {
		if p := n.peers[id]; p.neighbour {
			members = append(members, p.member)
			if p.connected {
				open++
			}
		}
	}
	return members, open
}

// Connection is a neighbour and whether its connection is open.
type Connection struct {
	Daemon    domain.DaemonID
	Connected bool
}

// Connections returns the neighbours, sorted.
func (n *Node) Connections() []Connection {
	var out []Connection
	for _, id := range n.peerIDs() {
		if p := n.peers[id]; p.neighbour {
			out = append(out, Connection{id, p.connected})
		}
	}
	return out
}

// LastHeard returns when any neighbour was last heard over an open connection.
// Zero means that none is connected.
func (n *Node) LastHeard() time.Time {
	var last time.Time
	for _, p := range n.peers {
		if p.neighbour && p.connected && p.heard.After(last) {
			last = p.heard
		}
	}
	return last
}

// Handle processes one event and returns what to do, in order.
func (n *Node) Handle(now time.Time, event Event) []Action {
	n.actions = nil
	switch e := event.(type) {
	case PeerConnected:
		n.onConnected(now, e)
	case PeerLost:
		n.onLost(now, e)
	case FrameReceived:
		n.onFrame(now, e)
	case LocalFacts:
		n.mergeFacts(now, "", e.Facts)
	case LocalChange:
		n.onLocalChange(now, e.Change)
	case Snapshot:
		n.log.setSnapshot(e.Change)
	case RosterChanged:
		n.onRoster(now, e.Members)
	case Tick:
		n.onTick(now)
	}
	return n.actions
}

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

func (n *Node) send(now time.Time, id domain.DaemonID, frame ports.Frame) {
	p := n.peers[id]
	if p == nil || !p.connected {
		return
	}
	p.sent = now
	n.emit(Send{Peer: id, Frame: frame})
}

// peerIDs returns a fixed order, so that equal inputs give equal outputs.
func (n *Node) peerIDs() []domain.DaemonID {
	ids := make([]domain.DaemonID, 0, len(n.peers))
	for id := range n.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (n *Node) onConnected(now time.Time, e PeerConnected) {
	p := n.peers[e.Peer]
	if p == nil {
		p = &peer{}
		n.peers[e.Peer] = p
	}
	p.member = e.Hello.Member
	p.connected = true
	p.heard = now
	p.sent = now
	p.redial = 0
	p.revision = e.Hello.Revision
	p.outbox = map[register]struct{}{}
	p.digestAt = n.jittered(now, DigestInterval)
	n.noteHeard(e.Peer, p)
	n.send(now, e.Peer, ports.Frame{Digest: &ports.Digest{Hash: n.state.Hash()}})
	n.fetchMissing(now)
}

// noteHeard ends a suspicion. A first connection counts too, because a
// restarted neighbour may be suspected by others.
func (n *Node) noteHeard(id domain.DaemonID, p *peer) {
	p.silent = false
	n.emit(PeerHeard{Peer: id, Incarnation: p.member.Incarnation})
}

func (n *Node) onLost(now time.Time, e PeerLost) {
	id := e.Peer
	p := n.peers[id]
	if p == nil || (e.DialFailed && p.connected) {
		return
	}
	p.connected = false
	if !p.neighbour {
		delete(n.peers, id)
		return
	}
	p.redial = min(max(2*p.redial, minRedial), maxRedial)
	p.dialAt = n.jittered(now, p.redial)
	if n.yields(id) {
		p.dialAt = p.dialAt.Add(dialYield)
	}
}

// jittered returns a time between 0.75 and 1.25 intervals from now.
func (n *Node) jittered(now time.Time, interval time.Duration) time.Time {
	return now.Add(time.Duration(float64(interval) * (0.75 + n.cfg.Rand.Float64()/2)))
}

// yields tells whether the other side dials first.
func (n *Node) yields(other domain.DaemonID) bool { return n.cfg.Self > other }

func (n *Node) onRoster(now time.Time, members []ports.Member) {
	wanted := Graph(members, n.cfg.Self)
	for _, p := range n.peers {
		p.neighbour = false
	}
	for _, m := range wanted {
		n.addNeighbour(now, m)
	}
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		if p.neighbour {
			continue
		}
		if !p.connected {
			delete(n.peers, id)
			continue
		}
		// Both sides of a dropped edge learn of it at different times, so only
		// the side that dials closes it.
		if !n.yields(id) && slices.ContainsFunc(members, func(m ports.Member) bool { return m.Daemon == id }) {
			n.emit(Disconnect{Peer: id})
			delete(n.peers, id)
		}
	}
}

func (n *Node) addNeighbour(now time.Time, m ports.Member) {
	p := n.peers[m.Daemon]
	if p == nil {
		p = &peer{heard: now, dialAt: now}
		if n.yields(m.Daemon) {
			p.dialAt = now.Add(dialYield)
		}
		n.peers[m.Daemon] = p
	}
	p.neighbour = true
	if !p.connected || m.Incarnation >= p.member.Incarnation {
		p.member = m
	}
}

func (n *Node) onTick(now time.Time) {
	n.state.Collect(now)
	flushAcks := !now.Before(n.ackAt)
	if flushAcks {
		n.ackAt = n.jittered(now, AckInterval)
	}
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		n.checkSilence(now, id, p)
		if !p.connected {
			n.dial(now, p)
			continue
		}
		if flushAcks {
			n.flush(now, id)
		}
		n.sendDigest(now, id, p)
		n.sendHeartbeat(now, id, p)
	}
	n.fetchMissing(now)
}

func (n *Node) checkSilence(now time.Time, id domain.DaemonID, p *peer) {
	if now.Sub(p.heard) < SilenceLimit {
		return
	}
	if p.connected {
		n.emit(Disconnect{Peer: id})
		p.connected = false
		p.dialAt = now
		if n.yields(id) {
			p.dialAt = now.Add(dialYield)
		}
	}
	if p.neighbour && !p.silent {
		p.silent = true
		n.emit(PeerSilent{Peer: id, Incarnation: p.member.Incarnation, Since: p.heard})
	}
	if !p.neighbour {
		delete(n.peers, id)
	}
}

func (n *Node) dial(now time.Time, p *peer) {
	if !p.neighbour || now.Before(p.dialAt) {
		return
	}
	p.dialAt = n.jittered(now, dialTimeout)
	n.emit(Connect{Peer: p.member})
}

// sendHeartbeat sends one if nothing else showed life in the last interval.
// Half a tick of slack keeps the rate at one per interval.
func (n *Node) sendHeartbeat(now time.Time, id domain.DaemonID, p *peer) {
	if now.Sub(p.sent) < HeartbeatInterval-TickInterval/2 {
		return
	}
	p.seq++
	n.send(now, id, ports.Frame{Heartbeat: &ports.Heartbeat{Seq: p.seq}})
}

func (n *Node) sendDigest(now time.Time, id domain.DaemonID, p *peer) {
	if now.Before(p.digestAt) {
		return
	}
	p.digestAt = n.jittered(now, DigestInterval)
	n.send(now, id, ports.Frame{Digest: &ports.Digest{Hash: n.state.Hash()}})
}

func (n *Node) onFrame(now time.Time, e FrameReceived) {
	p := n.peers[e.Peer]
	if p == nil || !p.connected {
		return
	}
	p.heard = now
	if p.silent {
		n.noteHeard(e.Peer, p)
	}
	if len(e.Frame.Changes) > 0 {
		n.onChanges(now, e.Peer, e.Frame.Changes)
	}
	if len(e.Frame.Facts) > 0 {
		n.mergeFacts(now, e.Peer, e.Frame.Facts)
	}
	if e.Frame.Digest != nil {
		n.onDigest(now, e.Peer, *e.Frame.Digest)
	}
	if e.Frame.Fetch != nil {
		n.onFetch(now, e.Peer, *e.Frame.Fetch)
	}
}

// mergeFacts joins facts, passes on what is new and hands it up unless it is
// local. Acknowledgements wait for the next flush; everything else goes at
// once, because new work stops only when it arrives.
func (n *Node) mergeFacts(now time.Time, from domain.DaemonID, facts []ports.Fact) {
	var fresh []ports.Fact
	urgent := false
	for _, f := range facts {
		r, ok := registerOf(&f)
		if !ok {
			continue
		}
		n.noteRevision(from, &f)
		if !n.state.Merge(f) {
			n.cancelDuplicate(from, r, &f)
			continue
		}
		fresh = append(fresh, f)
		if r.class == classRevision {
			// A peer takes the announcement of a revision for an offer, so it is
			// passed on together with the change.
			continue
		}
		urgent = urgent || r.class != classAck
		n.enqueue(from, r)
	}
	if len(fresh) > 0 && from != "" {
		n.emit(DeliverFacts{Facts: fresh})
	}
	if urgent {
		n.flushAll(now)
	}
	n.fetchMissing(now)
}

// cancelDuplicate drops a fact from a peer's outbox if the peer has it.
func (n *Node) cancelDuplicate(from domain.DaemonID, r register, f *ports.Fact) {
	p := n.peers[from]
	held, ok := n.state.facts[r]
	if p != nil && ok && compareFacts(f, &held) == 0 {
		delete(p.outbox, r)
	}
}

func (n *Node) enqueue(from domain.DaemonID, r register) {
	for id, p := range n.peers {
		if !p.connected {
			continue
		}
		if id == from {
			delete(p.outbox, r)
			continue
		}
		p.outbox[r] = struct{}{}
	}
}

func (n *Node) flushAll(now time.Time) {
	for _, id := range n.peerIDs() {
		n.flush(now, id)
	}
}

func (n *Node) flush(now time.Time, id domain.DaemonID) {
	p := n.peers[id]
	if !p.connected || len(p.outbox) == 0 {
		return
	}
	keys := make([]register, 0, len(p.outbox))
	for r := range p.outbox {
		keys = append(keys, r)
	}
	slices.SortFunc(keys, compareRegisters)
	facts := make([]ports.Fact, 0, len(keys))
	for _, r := range keys {
		if f, ok := n.state.facts[r]; ok {
			facts = append(facts, f)
		}
	}
	clear(p.outbox)
	n.sendFacts(now, id, facts)
}

func (n *Node) sendFacts(now time.Time, id domain.DaemonID, facts []ports.Fact) {
	for chunk := range slices.Chunk(facts, maxFactsPerFrame) {
		n.send(now, id, ports.Frame{Facts: chunk})
	}
}

// onDigest answers a differing hash with bucket digests and bucket digests
// with the facts of differing buckets, in both directions.
func (n *Node) onDigest(now time.Time, from domain.DaemonID, d ports.Digest) {
	if d.Hash == n.state.Hash() {
		return
	}
	if len(d.Buckets) == 0 {
		n.send(now, from, ports.Frame{Digest: &ports.Digest{Hash: n.state.Hash(), Buckets: n.state.Buckets()}})
		return
	}
	facts := n.state.Differing(d.Buckets)
	if !d.Answer {
		n.send(now, from, ports.Frame{Digest: &ports.Digest{Hash: n.state.Hash(), Buckets: n.state.Buckets(), Answer: true}})
	}
	n.sendFacts(now, from, facts)
}

// noteRevision remembers which peers have which revision, for fetching.
func (n *Node) noteRevision(from domain.DaemonID, f *ports.Fact) {
	if p := n.peers[from]; p != nil && f.Kind == ports.FactRevision {
		p.revision = max(p.revision, f.Revision)
	}
}
