package peers

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/contain"
	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/quarantine"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// gossipInterval is the time between two rounds of messages, and
	// gossipFanOut the number of peers that get one: 2.8 KB/s with full
	// messages.
	gossipInterval = 500 * time.Millisecond
	gossipFanOut   = 2
	// evidenceFanOut is the number of peers to which a daemon passes evidence on when
	// it learns of it. Those that it does not reach hear of it at the next rounds.
	evidenceFanOut = 3
)

// LocalState provides the daemon's own reports for its peers and receives the
// reports of peers.
type LocalState interface {
	// WorkByService returns the daemon's own work by service.
	WorkByService(now time.Time) map[string]balancer.Work
	// SetTotal receives the work of all daemons for a service, and the number of
	// daemons. That number is the larger of the daemons heard from and those in
	// the directory, so that a daemon that hears from none does not assume that
	// it is the only one.
	SetTotal(service string, total balancer.Work, daemons int)
	// TakeReports returns the load reports that this daemon received from
	// upstreams since the last call, by Hash of the upstream.
	TakeReports() map[uint32]balancer.LoadReport
	// MergeReports receives newer load reports from peers, by Hash of the
	// upstream.
	MergeReports(map[uint32]balancer.LoadReport)
}

// Evidence is what daemons tell each other of parts of prompts that crash upstreams.
type Evidence interface {
	// Report returns the news for peers, or nil.
	Report(now time.Time) *quarantine.Report
	// Merge takes over a peer's report.
	Merge(now time.Time, r *quarantine.Report)
	// Updated receives a value when there is news.
	Updated() <-chan struct{}
}

// Config sets up a Node. All fields but Seeds, FirstStart, Contact, Era, ChangeBound,
// Evidence, Usage, Streams, Duties and PlatformReadRate are required.
type Config struct {
	Daemon    string
	Address   string // IP:port at which the daemon receives datagrams
	Directory Directory
	Local     LocalState
	// Zone is the daemon's zone. Daemons of one zone form groups.
	Zone string
	// Seeds are addresses of daemons from which a starting daemon may get its
	// first copies of the tables during an outage. They may be down.
	Seeds []string
	// FirstStart means that all daemons start together for the first time. They then
	// register over a span of time, read the directory once, and wait for their
	// readers instead of polling the tables meanwhile.
	FirstStart bool
	// Contact records whether the platform responds. Nil means that peers are not
	// told of its return.
	Contact Contact
	// Era is the platform's latest era. Nil means that the platform is never restored.
	Era *follow.Era
	// PlatformReadRate is the number of reads a second that all daemons together
	// may make. Zero means unknown.
	PlatformReadRate float64
	// Tables are the copies that daemons help each other to keep current, by
	// table name.
	Tables map[string]Table
	// ChangeBound returns the time within which each daemon has to act on a change of a
	// table, from when the platform has accepted it. Nil means 4 s for all tables.
	ChangeBound func(table string) time.Duration
	// Evidence is exchanged with peers. Nil means that none is.
	Evidence Evidence
	// Usage is exchanged with peers. Nil means that none is.
	Usage Usage
	// Streams answers peers where streams began. Nil means that it is not known.
	Streams Streams
	// Duties learns which daemons may hold the duties. Nil means that the fleet has
	// none; no message about them is then sent.
	Duties Duties
	Rand   *rand.Rand
	Log    *telemetry.Log
}

// Node exchanges messages with peers.
type Node struct {
	Config
	mu    sync.Mutex
	state *State
	lags  map[string]lag
	// backlogs holds by table which changes the daemon knows that it lacks.
	backlogs map[string]backlog
	group    group
	// zonePeers are the addresses of the daemons of the zone in the directory.
	zonePeers []string
	// directorySize is the number of daemons in the directory at its last read.
	directorySize int
	// inDirectory is set if the daemon's own row was in the directory at its last read.
	inDirectory bool
	// directoryReadAt is when the directory was first read, and zero before that.
	directoryReadAt time.Time
	// lastHeard is when each daemon of the directory was last heard from, or
	// first listed, by address.
	lastHeard map[string]time.Time
	// delegations holds which daemon reads a table for this one, by table.
	delegations map[string]delegation
	// proofs holds by table what last showed that the daemon's copy had all changes.
	proofs map[string]*atomic.Pointer[proof]
	// awaitsReader is set while this daemon waits for a reader until startHoldEnds.
	awaitsReader  bool
	startHoldEnds time.Time
	// changed wakes the send loop when a copy has changed, and announced when a
	// reader has announced its tables.
	changed, announced chan struct{}
	// fullCopies is a semaphore with an entry for each full copy that is being
	// sent.
	fullCopies chan struct{}
	// directoryRand is used by maintainDirectory and bootstrapRand by bootstrap;
	// Rand is used by the send loop.
	directoryRand, bootstrapRand *rand.Rand
}

// New returns a Node without peers.
func New(c Config) *Node {
	if c.Contact == nil {
		c.Contact = follow.NewContact()
	}
	if c.Era == nil {
		c.Era = follow.NewEra()
	}
	return &Node{
		Config: c, state: NewState(c.Daemon, c.Address, uuid.NewString()), lags: make(map[string]lag), backlogs: make(map[string]backlog),
		delegations: make(map[string]delegation), changed: make(chan struct{}, 1),
		announced:     make(chan struct{}, 1),
		proofs:        newProofs(c.Tables),
		fullCopies:    make(chan struct{}, maxFullCopies),
		directoryRand: rand.New(rand.NewPCG(c.Rand.Uint64(), c.Rand.Uint64())),
		bootstrapRand: rand.New(rand.NewPCG(c.Rand.Uint64(), c.Rand.Uint64())),
	}
}

// Run exchanges messages with peers until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	n.holdAtStart(time.Now())
	address, err := net.ResolveUDPAddr("udp", n.Address)
	if err != nil {
		return eris.Wrap(err, "resolving the peer address")
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return eris.Wrap(err, "listening for peer messages")
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	go n.maintainDirectory(ctx)
	go n.bootstrap(ctx)
	go n.sendLoop(ctx, socket)
	return n.receiveLoop(ctx, socket)
}

func (n *Node) receiveLoop(ctx context.Context, socket *net.UDPConn) error {
	buf := make([]byte, maxMessageBytes+1)
	for {
		size, _, err := socket.ReadFromUDP(buf)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return eris.Wrap(err, "receiving peer messages")
		}
		if err != nil {
			continue // ICMP error: an earlier datagram had no receiver
		}
		err = contain.Do(n.Log, "a peer message", func() error { return n.receive(ctx, buf[:size]) })
		if err != nil {
			n.Log.Event(telemetry.PeerMessageRejected).Err(err).Send()
		}
	}
}

// receive handles one datagram.
func (n *Node) receive(ctx context.Context, data []byte) error {
	if report, ok := decodeEvidence(data); ok {
		if n.Evidence != nil {
			n.Evidence.Merge(time.Now(), report)
		}
		return nil
	}
	if message, ok := decodeUsage(data); ok {
		if n.Usage != nil {
			n.Usage.Receive(message)
		}
		return nil
	}
	if message, ok := decodeStreams(data); ok {
		if n.Streams != nil {
			n.Streams.Receive(message)
		}
		return nil
	}
	if sightings, ok := decodeCandidates(data); ok {
		if n.Duties != nil {
			n.Duties.Merge(time.Now(), sightings)
		}
		return nil
	}
	m, ok := decodeAnnouncement(data)
	if !ok {
		var err error
		if m, err = decode(data); err != nil {
			return err
		}
	}
	now := time.Now()
	fresh := n.mergeState(now, m)
	n.mergeReturn(now, m)
	n.Local.MergeReports(fresh)
	for _, state := range m.Tables {
		n.acceptReader(now, state, m.Sender)
	}
	n.compareTables(ctx, now, m)
	return nil
}

// mergeState takes over what a message says of the other daemons. It returns the load
// reports that are newer than the known ones.
func (n *Node) mergeState(now time.Time, m *Message) map[uint32]balancer.LoadReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, listed := n.lastHeard[m.Sender]; listed {
		n.lastHeard[m.Sender] = now
	}
	return n.state.Receive(now, m)
}

func (n *Node) sendLoop(ctx context.Context, socket *net.UDPConn) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	returned := n.Contact.Returned()
	var updated <-chan struct{}
	if n.Evidence != nil {
		updated = n.Evidence.Updated()
	}
	var usageUpdated <-chan struct{}
	if n.Usage != nil {
		usageUpdated = n.Usage.Updated()
	}
	var streamsUpdated <-chan struct{}
	if n.Streams != nil {
		streamsUpdated = n.Streams.Updated()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-returned:
			returned = n.Contact.Returned()
			n.announceReturn(time.Now(), socket)
		case now := <-ticker.C:
			n.contained("sending reports", func() { n.sendGossip(now, socket) })
			n.contained("announcing tables", func() { n.announceToGroup(now, socket) })
			n.contained("sending evidence", func() { n.sendEvidence(now, socket, gossipFanOut) })
			n.contained("updating the peers of usage", n.updateUsagePeers)
			n.contained("updating the peers of streams", n.updateStreamPeers)
			n.contained("sending candidates", func() { n.sendCandidates(now, socket) })
		case <-updated:
			n.contained("sending evidence", func() { n.sendEvidence(time.Now(), socket, evidenceFanOut) })
		case <-usageUpdated:
			n.contained("sending usage", func() { n.sendUsage(socket) })
		case <-streamsUpdated:
			n.contained("sending where streams began", func() { n.sendStreams(socket) })
		case <-n.changed:
			n.announceToGroup(time.Now(), socket)
			n.passOn(time.Now(), socket)
		case <-n.announced:
			n.passOn(time.Now(), socket)
		}
	}
}

// contained calls f, whose panic is logged. f is called again at the next interval.
func (n *Node) contained(place string, f func()) {
	// The error is logged where the panic is contained.
	_ = contain.Do(n.Log, place, func() error { f(); return nil })
}

// sendGossip exchanges reports with the local state and sends one message to
// random peers.
func (n *Node) sendGossip(now time.Time, socket *net.UDPConn) {
	targets, data, err := n.compose(now)
	if err != nil {
		n.Log.Event(telemetry.PeerMessageRejected).Err(err).Send()
		return
	}
	for _, target := range targets {
		n.sendTo(socket, target, data)
	}
}

// sendEvidence sends what is new about parts of prompts to random peers.
func (n *Node) sendEvidence(now time.Time, socket *net.UDPConn, fanOut int) {
	if n.Evidence == nil {
		return
	}
	report := n.Evidence.Report(now)
	if report == nil {
		return
	}
	data, err := encodeEvidence(report)
	if err != nil {
		n.Log.Event(telemetry.PeerMessageRejected).Err(err).Send()
		return
	}
	n.mu.Lock()
	targets := n.state.Targets(n.Rand, fanOut)
	n.mu.Unlock()
	for _, target := range targets {
		n.sendTo(socket, target, data)
	}
}

func (n *Node) sendTo(socket *net.UDPConn, target string, data []byte) {
	address, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		n.Log.Event(telemetry.PeerMessageRejected).Err(err).Send()
		return
	}
	// An error counts as a lost datagram, which the protocol tolerates.
	_, _ = socket.WriteToUDP(data, address)
}

func (n *Node) compose(now time.Time) (targets []string, data []byte, err error) {
	works := n.Local.WorkByService(now)
	loads := n.Local.TakeReports()
	tables := n.tableStates()
	n.mu.Lock()
	defer n.mu.Unlock()
	for service, w := range works {
		n.state.SetWork(now, Hash(service), w)
	}
	for id, r := range loads {
		n.state.SetLoadReport(id, r)
	}
	for service := range works {
		total, daemons := n.state.TotalWork(now, Hash(service))
		n.Local.SetTotal(service, total, max(daemons, n.directorySize))
	}
	targets = n.state.Targets(n.Rand, gossipFanOut)
	if len(targets) == 0 {
		return nil, nil, nil
	}
	m := n.state.Compose(now, n.Rand)
	m.Tables, m.Return = tables, n.platformReturn(now)
	data, err = encode(m)
	return targets, data, err
}
