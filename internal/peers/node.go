package peers

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// interval is the time between two rounds of messages, and fanOut the number
	// of peers that get one: 2.8 KB/s at full messages.
	interval = 500 * time.Millisecond
	fanOut   = 2
)

// LocalState takes what the peers tell and gives what they are told.
type LocalState interface {
	// WorkByService returns the daemon's own work by service.
	WorkByService(now time.Time) map[string]balancer.Work
	// SetTotal takes the work of all daemons for a service, and the number of
	// daemons: those heard or those of the directory, whichever is more, so that
	// a daemon that hears nobody does not take itself for the only one.
	SetTotal(service string, total balancer.Work, daemons int)
	// TakeReports returns the load reports that this daemon got since the last call,
	// by Hash of the upstream.
	TakeReports() map[uint32]balancer.LoadReport
	// MergeReports takes the load reports that peers got.
	MergeReports(map[uint32]balancer.LoadReport)
}

// Config sets up a Node. All fields but Seeds are required.
type Config struct {
	Daemon    string
	Address   string // IP:port to receive at
	Directory Directory
	Local     LocalState
	// Zone is where the daemon runs. Daemons of one zone form groups.
	Zone string
	// Seeds are addresses of daemons that may know the tables while the platform
	// is away, for the first copies of a daemon that starts. They may be down.
	Seeds []string
	// Tables are the copies that daemons help each other to keep, by name.
	Tables map[string]Table
	Rand   *rand.Rand
	Log    *telemetry.Log
}

// Node exchanges messages with peers.
type Node struct {
	Config
	mu    sync.Mutex
	state *State
	lags  map[string]lag
	group group
	// listed is the number of daemons in the directory when it was read last.
	listed int
	// seen holds when the daemons of the directory were heard last, or listed
	// first, by address.
	seen map[string]time.Time
	// cover holds the daemon that reads a table for this one, by table.
	cover map[string]cover
	// changed wakes the sender when a copy has changed.
	changed chan struct{}
	// copies holds an entry for each whole copy that is being sent.
	copies chan struct{}
	// readRand spreads readings of the directory, bootRand questions to seeds.
	// Rand belongs to the sender.
	readRand, bootRand *rand.Rand
}

// New returns a Node that knows no peer.
func New(c Config) *Node {
	return &Node{
		Config: c, state: NewState(c.Daemon, c.Address, uuid.NewString()), lags: make(map[string]lag),
		cover: make(map[string]cover), changed: make(chan struct{}, 1),
		copies:   make(chan struct{}, maxCopies),
		readRand: rand.New(rand.NewPCG(c.Rand.Uint64(), c.Rand.Uint64())),
		bootRand: rand.New(rand.NewPCG(c.Rand.Uint64(), c.Rand.Uint64())),
	}
}

// Run exchanges messages until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp", n.Address)
	if err != nil {
		return eris.Wrap(err, "address for peers")
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return eris.Wrap(err, "listening for peers")
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	go n.keepDirectory(ctx)
	go n.bootstrap(ctx)
	go n.sendAll(ctx, socket)
	return n.receiveAll(ctx, socket)
}

func (n *Node) receiveAll(ctx context.Context, socket *net.UDPConn) error {
	buf := make([]byte, maxMessageBytes+1)
	for {
		size, _, err := socket.ReadFromUDP(buf)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return eris.Wrap(err, "receiving from peers")
		}
		if err != nil {
			continue // an earlier datagram found no receiver
		}
		m, err := decode(buf[:size])
		if err != nil {
			n.Log.Event(telemetry.PeerMessageRejected).Err(err).Send()
			continue
		}
		n.mu.Lock()
		fresh := n.state.Receive(time.Now(), m)
		if _, listed := n.seen[m.Sender]; listed {
			n.seen[m.Sender] = time.Now()
		}
		n.mu.Unlock()
		n.Local.MergeReports(fresh)
		for _, state := range m.Tables {
			n.noteReader(time.Now(), state, m.Sender)
		}
		n.compare(ctx, time.Now(), m)
	}
}

func (n *Node) sendAll(ctx context.Context, socket *net.UDPConn) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.send(now, socket)
			n.sendGroup(now, socket)
		case <-n.changed:
			n.sendGroup(time.Now(), socket)
		}
	}
}

// send exchanges values with the observer and sends one message.
func (n *Node) send(now time.Time, socket *net.UDPConn) {
	targets, data, err := n.compose(now)
	if err != nil {
		n.Log.Event(telemetry.PeerMessageRejected).Err(err).Send()
		return
	}
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
	// A datagram that is not sent is as good as a lost one.
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
		n.Local.SetTotal(service, total, max(daemons, n.listed))
	}
	targets = n.state.Targets(n.Rand, fanOut)
	if len(targets) == 0 {
		return nil, nil, nil
	}
	m := n.state.Compose(now, n.Rand)
	m.Tables = tables
	data, err = encode(m)
	return targets, data, err
}
