package peerws

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/mesh"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
)

// tcpBytes is what TCP and IP add to one small frame, acknowledgement excluded.
const tcpBytes = 52

// fault says what happens to one frame.
type fault struct {
	drop, twice bool
	delay       time.Duration
}

// memNet connects memTransports with latency and faults in virtual time.
type memNet struct {
	mu    sync.Mutex
	nodes map[domain.DaemonID]*memTransport
	// blocked cuts one direction for frames and new connections.
	blocked func(from, to ports.Member) bool
	faults  func(from, to ports.Member) fault
}

// link is one connection. Frames of a dead link vanish.
type link struct {
	dialer domain.DaemonID
	dead   bool
	silent bool
}

type memTransport struct {
	net    *memNet
	self   ports.Member
	events chan ports.PeerEvent
	links  map[domain.DaemonID]*link

	revision domain.Revision
	frames   int
	bytes    uint64
}

func (t *memTransport) Events() <-chan ports.PeerEvent { return t.events }
func (t *memTransport) Run(ctx context.Context) error  { <-ctx.Done(); return nil }
func (t *memTransport) SetRevision(r domain.Revision) {
	t.net.mu.Lock()
	defer t.net.mu.Unlock()
	t.revision = max(t.revision, r)
}
func (t *memTransport) Refuses(context.Context, ports.Member) bool { return false }

func (t *memTransport) SetIncarnation(domain.Incarnation) {}

func (n *memNet) latency(a, b ports.Member) time.Duration {
	switch {
	case a.Region != b.Region:
		return 20 * time.Millisecond
	case a.Zone != b.Zone:
		return 2 * time.Millisecond
	default:
		return time.Millisecond
	}
}

func (t *memTransport) Connect(peer ports.Member) {
	n := t.net
	n.mu.Lock()
	defer n.mu.Unlock()
	other := n.nodes[peer.Daemon]
	if other == nil || n.cut(t.self, peer) || n.cut(peer, t.self) {
		time.AfterFunc(handshakeTimeout, func() {
			t.events <- ports.PeerEvent{Peer: peer.Daemon, Lost: ports.ErrPeerNotConnected, DialFailed: true}
		})
		return
	}
	l := &link{dialer: t.self.Daemon}
	time.AfterFunc(2*n.latency(t.self, peer), func() { n.open(l, t, other) })
}

func (n *memNet) cut(a, b ports.Member) bool { return n.blocked != nil && n.blocked(a, b) }

func (n *memNet) open(l *link, a, b *memTransport) {
	n.mu.Lock()
	if old := a.links[b.self.Daemon]; old != nil {
		old.dead = true
	}
	a.links[b.self.Daemon], b.links[a.self.Daemon] = l, l
	toA := ports.PeerEvent{Peer: b.self.Daemon, Hello: &ports.Hello{Protocol: Protocol, Member: b.self, Revision: b.revision}}
	toB := ports.PeerEvent{Peer: a.self.Daemon, Hello: &ports.Hello{Protocol: Protocol, Member: a.self, Revision: a.revision}}
	n.mu.Unlock()
	a.events <- toA
	b.events <- toB
}

func (t *memTransport) Disconnect(peer domain.DaemonID) {
	n := t.net
	n.mu.Lock()
	defer n.mu.Unlock()
	l := t.links[peer]
	if l == nil {
		return
	}
	l.dead = true
	delete(t.links, peer)
	other := n.nodes[peer]
	if l.silent || n.cut(t.self, other.self) {
		return
	}
	time.AfterFunc(n.latency(t.self, other.self), func() {
		n.mu.Lock()
		current := other.links[t.self.Daemon] == l
		if current {
			delete(other.links, t.self.Daemon)
		}
		n.mu.Unlock()
		if current {
			other.events <- ports.PeerEvent{Peer: t.self.Daemon, Lost: errClosed}
		}
	})
}

func (t *memTransport) Send(peer domain.DaemonID, frame ports.Frame) error {
	data, err := Encode(&frame)
	if err != nil {
		return err
	}
	n := t.net
	n.mu.Lock()
	defer n.mu.Unlock()
	l := t.links[peer]
	if l == nil {
		return ports.ErrPeerNotConnected
	}
	t.frames++
	t.bytes += wireBytes(len(data), l.dialer == t.self.Daemon)
	other := n.nodes[peer]
	var f fault
	if n.faults != nil {
		f = n.faults(t.self, other.self)
	}
	if f.drop || l.silent || n.cut(t.self, other.self) {
		return nil
	}
	t.deliver(l, other, data, f.delay)
	if f.twice {
		t.deliver(l, other, data, 2*f.delay)
	}
	return nil
}

func (t *memTransport) deliver(l *link, other *memTransport, data []byte, extra time.Duration) {
	time.AfterFunc(t.net.latency(t.self, other.self)+extra, func() {
		frame, err := Decode(data)
		if err != nil {
			panic(err)
		}
		t.net.mu.Lock()
		dead := l.dead
		t.net.mu.Unlock()
		if !dead {
			other.events <- ports.PeerEvent{Peer: t.self.Daemon, Frame: &frame}
		}
	})
}

// daemon is one node of a fleet with what it delivered.
type daemon struct {
	member    ports.Member
	transport *memTransport
	runner    *Runner

	mu      sync.Mutex
	changes map[domain.Revision]time.Time
	facts   map[domain.UpstreamID]time.Time
	have    domain.Revision
	silent  map[domain.DaemonID]bool
	misfits int
}

type fleet struct {
	net     *memNet
	daemons []*daemon
	ctx     context.Context
}

func members(n int) []ports.Member {
	out := make([]ports.Member, n)
	for i := range out {
		zone := i % 7
		out[i] = ports.Member{
			Daemon:      domain.DaemonID(fmt.Sprintf("daemon-%03d", i)),
			Incarnation: 1, Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			Region: domain.Region(fmt.Sprintf("region-%d", zone%3)),
			Zone:   domain.AvailabilityZone(fmt.Sprintf("zone-%d", zone)),
		}
	}
	return out
}

// runFleet runs f in virtual time with n daemons that know each other.
func runFleet(t *testing.T, n int, f func(fl *fleet)) {
	t.Helper()
	body := func() {
		ctx, cancel := context.WithCancel(context.Background())
		fl := &fleet{net: &memNet{nodes: map[domain.DaemonID]*memTransport{}}, ctx: ctx}
		all := members(n)
		for i, m := range all {
			fl.add(m, uint64(i))
		}
		var done sync.WaitGroup
		for _, d := range fl.daemons {
			done.Go(func() { _ = d.runner.Run(ctx) })
			fl.submit(d, mesh.RosterChanged{Members: all})
		}
		// Deferred, so that a failed assertion ends the bubble cleanly as well.
		defer fl.drain()
		defer done.Wait()
		defer cancel()
		time.Sleep(15 * time.Second)
		f(fl)
	}
	virtualtime.Test(t, func(*testing.T) { body() })
}

// drain lets the timers of the network end; nobody reads the events any more.
func (fl *fleet) drain() {
	var done sync.WaitGroup
	for _, d := range fl.daemons {
		done.Go(func() {
			for {
				select {
				case <-d.transport.events:
				case <-time.After(time.Minute):
					return
				}
			}
		})
	}
	done.Wait()
}

func (fl *fleet) add(m ports.Member, seed uint64) {
	tr := &memTransport{net: fl.net, self: m, events: make(chan ports.PeerEvent, 8192), links: map[domain.DaemonID]*link{}}
	d := &daemon{
		member: m, transport: tr, changes: map[domain.Revision]time.Time{},
		facts: map[domain.UpstreamID]time.Time{}, silent: map[domain.DaemonID]bool{},
	}
	node := mesh.NewNode(mesh.Config{Self: m.Daemon, Rand: rand.New(rand.NewPCG(seed, 7))})
	d.runner = NewRunner(node, tr, d.deliver)
	fl.net.nodes[m.Daemon] = tr
	fl.daemons = append(fl.daemons, d)
}

func (d *daemon) deliver(now time.Time, action mesh.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch a := action.(type) {
	case mesh.DeliverChange:
		if a.Change.Revision <= d.have || (a.Change.Base != 0 && a.Change.Base != d.have) {
			d.misfits++
		}
		d.have = a.Change.Revision
		d.changes[a.Change.Revision] = now
		d.transport.SetRevision(a.Change.Revision)
	case mesh.DeliverFacts:
		for _, f := range a.Facts {
			if f.Upstream != "" {
				d.facts[f.Upstream] = now
			}
		}
	case mesh.PeerSilent:
		d.silent[a.Peer] = true
	case mesh.PeerHeard:
		delete(d.silent, a.Peer)
	}
}

func (fl *fleet) submit(d *daemon, e mesh.Event) {
	if err := d.runner.Submit(fl.ctx, e); err != nil {
		panic(err)
	}
}

// change announces a revision with a delta of the given size at one daemon.
func (fl *fleet) change(from *daemon, r domain.Revision, size int) {
	base := r - 1
	fl.submit(from, mesh.LocalChange{Change: ports.Change{Revision: r, Base: base, Digest: uint64(r), Document: make([]byte, size)}})
	from.mu.Lock()
	from.have = r
	from.changes[r] = time.Now()
	from.mu.Unlock()
}

// seen is what one daemon delivered so far.
type seen struct {
	have    domain.Revision
	misfits int
	silent  int
	told    bool
}

// seen reports about changes, silent neighbours and the fact about upstream u.
func (d *daemon) seen() seen {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, told := d.facts["u"]
	return seen{have: d.have, misfits: d.misfits, silent: len(d.silent), told: told}
}

// silences returns the neighbours that the daemon reported as silent.
func (d *daemon) silences() map[domain.DaemonID]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.silent)
}

// lags returns how long after start each daemon had the revision; missing
// counts the others.
func (fl *fleet) lags(r domain.Revision, start time.Time) (lags []time.Duration, missing int) {
	for _, d := range fl.daemons {
		d.mu.Lock()
		at, ok := d.changes[r]
		// A complete document skips revisions.
		if !ok && d.have > r {
			ok = true
			at = start
		}
		d.mu.Unlock()
		if !ok {
			missing++
			continue
		}
		lags = append(lags, at.Sub(start))
	}
	return lags, missing
}

func (fl *fleet) traffic() (frames int, bytes uint64) {
	fl.net.mu.Lock()
	defer fl.net.mu.Unlock()
	for _, d := range fl.daemons {
		frames += d.transport.frames
		bytes += d.transport.bytes
	}
	return frames, bytes
}
