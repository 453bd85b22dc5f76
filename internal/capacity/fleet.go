package capacity

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/adapters/peerws"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/mesh"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	// zoneDelay and regionDelay are the one-way delays of links within and
	// between regions that the simulated mesh assumes.
	zoneDelay   = time.Millisecond
	regionDelay = 40 * time.Millisecond
	// webSocketBytes and tcpBytes are what a WebSocket with masking and
	// TCP/IP add to one small frame; the acknowledgement is not included.
	webSocketBytes = 6
	tcpBytes       = 52
	// deltaBytes is the size of a pushed configuration change.
	deltaBytes = 1024
)

// meshEvent is one event of a simulated mesh. Frames travel encoded.
type meshEvent struct {
	at    time.Time
	seq   int
	to    int
	from  int
	frame []byte
	event mesh.Event
}

type meshQueue []meshEvent

func (q meshQueue) Len() int { return len(q) }
func (q meshQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q meshQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *meshQueue) Push(x any)   { *q = append(*q, x.(meshEvent)) }
func (q *meshQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// meshFleet runs mesh nodes in virtual time.
type meshFleet struct {
	now      time.Time
	members  []ports.Member
	nodes    []*mesh.Node
	index    map[domain.DaemonID]int
	queue    meshQueue
	seq      int
	frames   float64
	bytes    float64
	sent     []float64 // bytes sent by daemon
	received []map[domain.Revision]time.Time
	err      error
}

func newMeshFleet(n int) *meshFleet {
	f := &meshFleet{
		now: time.Unix(1_700_000_000, 0), members: roster(n), index: map[domain.DaemonID]int{},
		sent: make([]float64, n), received: make([]map[domain.Revision]time.Time, n),
	}
	for i, m := range f.members {
		f.index[m.Daemon] = i
		f.nodes = append(f.nodes, mesh.NewNode(mesh.Config{Self: m.Daemon, Rand: rand.New(rand.NewPCG(1, uint64(i)))}))
		f.received[i] = map[domain.Revision]time.Time{}
		f.handle(i, mesh.RosterChanged{Members: f.members})
		f.schedule(time.Duration(i)*mesh.TickInterval/time.Duration(n), meshEvent{to: i, event: mesh.Tick{}})
	}
	return f
}

func (f *meshFleet) schedule(after time.Duration, e meshEvent) {
	f.seq++
	e.at, e.seq = f.now.Add(after), f.seq
	heap.Push(&f.queue, e)
}

func (f *meshFleet) delay(from, to int) time.Duration {
	if f.members[from].Region == f.members[to].Region {
		return zoneDelay
	}
	return regionDelay
}

// run lets virtual time pass.
func (f *meshFleet) run(d time.Duration) {
	until := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(until) {
		e := heap.Pop(&f.queue).(meshEvent)
		f.now = e.at
		if e.frame != nil {
			frame, err := peerws.Decode(e.frame)
			if err != nil {
				f.err = err
				continue
			}
			e.event = mesh.FrameReceived{Peer: f.members[e.from].Daemon, Frame: frame}
		}
		f.handle(e.to, e.event)
		if _, ok := e.event.(mesh.Tick); ok {
			f.schedule(mesh.TickInterval, e)
		}
	}
	f.now = until
}

func (f *meshFleet) handle(i int, event mesh.Event) {
	for _, action := range f.nodes[i].Handle(f.now, event) {
		switch a := action.(type) {
		case mesh.Connect:
			f.connect(i, f.index[a.Peer.Daemon])
		case mesh.Send:
			f.send(i, f.index[a.Peer], a.Frame)
		case mesh.DeliverChange:
			f.received[i][a.Change.Revision] = f.now
		}
	}
}

func (f *meshFleet) connect(i, j int) {
	after := f.delay(i, j)
	f.schedule(2*after, meshEvent{to: i, event: mesh.PeerConnected{Peer: f.members[j].Daemon, Hello: ports.Hello{Member: f.members[j]}}})
	f.schedule(after, meshEvent{to: j, event: mesh.PeerConnected{Peer: f.members[i].Daemon, Hello: ports.Hello{Member: f.members[i]}}})
}

func (f *meshFleet) send(i, j int, frame ports.Frame) {
	data, err := peerws.Encode(&frame)
	if err != nil {
		f.err = err
		return
	}
	size := float64(len(data) + webSocketBytes + tcpBytes)
	f.frames++
	f.bytes += size
	f.sent[i] += size
	f.schedule(f.delay(i, j), meshEvent{to: j, from: i, frame: data})
}

// change announces a revision at one daemon and returns how long it took to
// reach the last one.
func (f *meshFleet) change(at int, r domain.Revision, wait time.Duration) (time.Duration, error) {
	start := f.now
	f.received[at][r] = start
	f.handle(at, mesh.LocalChange{Change: ports.Change{Revision: r, Base: r - 1, Digest: uint64(r), Document: make([]byte, deltaBytes)}})
	f.run(wait)
	var longest time.Duration
	for i := range f.nodes {
		got, ok := f.received[i][r]
		if !ok {
			return 0, fmt.Errorf("revision %d did not reach %s within %v", r, f.members[i].Daemon, wait)
		}
		longest = max(longest, got.Sub(start))
	}
	return longest, nil
}

// hops returns the largest number of links between two daemons.
func (f *meshFleet) hops() int {
	neighbours := make([][]int, len(f.nodes))
	for i, m := range f.members {
		for _, p := range mesh.Graph(f.members, m.Daemon) {
			neighbours[i] = append(neighbours[i], f.index[p.Daemon])
		}
	}
	longest := 0
	for i := range f.nodes {
		longest = max(longest, eccentricity(neighbours, i))
	}
	return longest
}

func eccentricity(neighbours [][]int, from int) int {
	distance := make([]int, len(neighbours))
	for i := range distance {
		distance[i] = -1
	}
	distance[from] = 0
	for queue := []int{from}; len(queue) > 0; queue = queue[1:] {
		for _, n := range neighbours[queue[0]] {
			if distance[n] < 0 {
				distance[n] = distance[queue[0]] + 1
				queue = append(queue, n)
			}
		}
	}
	return slices.Max(distance)
}

// measureMesh drives fleets of several sizes in virtual time.
func measureMesh(ctx context.Context, r *recorder) error {
	idle, changes, facts := 30*time.Second, 6, 100
	if r.options.Quick {
		idle, changes, facts = 5*time.Second, 2, 20
	}
	sizes := []int{8, 32, 128, 330}
	if r.options.smoke {
		sizes = sizes[:1]
	}
	for _, n := range sizes {
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := measureMeshAt(r, n, idle, changes, facts); err != nil {
			return err
		}
	}
	return nil
}

func measureMeshAt(r *recorder, n int, idle time.Duration, changes, facts int) error {
	daemons := float64(n)
	before := heldBytes()
	f := newMeshFleet(n)
	f.run(5 * time.Second)
	joined := make([]ports.Fact, 0, n)
	for i := range f.members {
		joined = append(joined, ports.Fact{Kind: ports.FactDaemonJoined, Member: &f.members[i], Stamp: mesh.StampAt(f.now)})
	}
	f.handle(0, mesh.LocalFacts{Facts: joined})
	f.run(5 * time.Second)
	r.add("mesh/memory", daemons, (heldBytes()-before)/daemons)

	frames, bytes := f.frames, f.bytes
	clear(f.sent)
	used := readUsage()
	f.run(idle)
	cost := readUsage().since(used)
	r.add("mesh/idle-messages", daemons, (f.frames-frames)/daemons/idle.Seconds())
	r.add("mesh/idle-bytes", daemons, 2*(f.bytes-bytes)/daemons/idle.Seconds())
	r.add("mesh/idle-bytes-max", daemons, 2*slices.Max(f.sent)/idle.Seconds())
	r.add("mesh/idle-cpu", daemons, 100*cost.cpu.Seconds()/daemons/idle.Seconds())

	idleRate := (f.bytes - bytes) / idle.Seconds()
	bytes = f.bytes
	const wait = 3 * time.Second
	var longest time.Duration
	for k := range changes {
		took, err := f.change(k*7919%n, domain.Revision(k+1), wait)
		if err != nil {
			return err
		}
		longest = max(longest, took)
	}
	extra := f.bytes - bytes - idleRate*wait.Seconds()*float64(changes)
	r.add("mesh/change-bytes", daemons, 2*extra/daemons/float64(changes))
	r.add("mesh/change-time", daemons, float64(longest)/float64(time.Millisecond))
	r.add("mesh/hops", daemons, float64(f.hops()))

	bytes = f.bytes
	for k := range facts {
		fact := ports.Fact{Kind: ports.FactUpstreamLeaving, Upstream: upstreamID(k), Incarnation: 1, Epoch: 1, Stamp: mesh.StampAt(f.now)}
		f.handle(k*7919%n, mesh.LocalFacts{Facts: []ports.Fact{fact}})
		f.run(100 * time.Millisecond)
	}
	extra = f.bytes - bytes - idleRate*0.1*float64(facts)
	r.add("mesh/fact-bytes", daemons, 2*extra/daemons/float64(facts))
	return f.err
}
