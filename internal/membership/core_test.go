package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const step = 500 * time.Millisecond

// table is an in-memory stand-in with an outage switch.
type table struct {
	rows    map[string]ports.Row
	version ports.Version
	down    bool
	// loseAnswers makes commits take effect and report an unknown outcome.
	loseAnswers bool
	reads       int
	scannedRows int
}

func (s *table) commit(writes []ports.Write) (ports.Version, error) {
	if s.down {
		return 0, ports.ErrUnavailable
	}
	var failed []string
	for _, w := range writes {
		if s.rows[w.Key].Version != w.Expect {
			failed = append(failed, w.Key)
		}
	}
	if failed != nil {
		return 0, &ports.ConflictError{Keys: failed}
	}
	s.version++
	for _, w := range writes {
		if w.Delete {
			delete(s.rows, w.Key)
			continue
		}
		s.rows[w.Key] = ports.Row{Key: w.Key, Value: w.Value, Version: s.version}
	}
	if s.loseAnswers {
		return 0, ports.ErrUnknownOutcome
	}
	return s.version, nil
}

func (s *table) scan(prefix string, since ports.Version) ([]ports.Row, error) {
	if s.down {
		return nil, ports.ErrUnavailable
	}
	s.reads++
	var out []ports.Row
	for k, r := range s.rows {
		if strings.HasPrefix(k, prefix) && r.Version > since {
			out = append(out, r)
			s.scannedRows++
		}
	}
	return out, nil
}

func (s *table) get(keys []string) ([]ports.Row, error) {
	if s.down {
		return nil, ports.ErrUnavailable
	}
	s.reads++
	var out []ports.Row
	for _, k := range keys {
		if r, ok := s.rows[k]; ok {
			out = append(out, r)
		}
	}
	return out, nil
}

// node is one daemon. A paused node handles nothing; a dead one never again.
type node struct {
	id     domain.DaemonID
	core   *Core
	paused bool
	// cut separates the node from the table.
	cut    bool
	inbox  []Event
	joined []domain.Incarnation
	ended  int
	lapsed int
}

type cluster struct {
	t     *testing.T
	now   time.Time
	table *table
	nodes []*node
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, now: time.Unix(1_800_000_000, 0), table: &table{rows: map[string]ports.Row{}}}
	for i := range n {
		c.start(i, "boot1")
	}
	c.run(20 * time.Second)
	for _, n := range c.nodes {
		assert.Equal(t, len(n.joined), 1)
	}
	return c
}

func (c *cluster) start(i int, boot string) *node {
	id := domain.DaemonID(fmt.Sprintf("d%02d", i))
	n := &node{id: id, core: NewCore(Config{
		Self: ports.Member{Daemon: id, Address: "127.0.0.1:1", Region: "r"}, Boot: boot + string(id),
		Rand: rand.New(rand.NewPCG(uint64(i), uint64(len(boot)))),
	})}
	c.nodes = append(c.nodes, n)
	return n
}

// run lets time pass. Each node is a mesh neighbour of the next two; silence
// shows 3 s after a neighbour paused.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(step) {
		for _, n := range c.nodes {
			if n.paused {
				continue
			}
			events := append(n.inbox, Tick{})
			n.inbox = nil
			for _, e := range events {
				c.act(n, n.core.Handle(c.now, e))
			}
		}
	}
}

func (c *cluster) act(n *node, actions []Action) {
	if n.cut && !c.table.down {
		c.table.down = true
		defer func() { c.table.down = false }()
	}
	for _, action := range actions {
		switch a := action.(type) {
		case Read:
			rows, err := c.table.get(a.Keys)
			n.inbox = append(n.inbox, ReadResult{Read: a, Rows: rows, Err: err, At: c.now})
		case Scan:
			rows, err := c.table.scan(a.Prefix, a.Since)
			n.inbox = append(n.inbox, ScanResult{Scan: a, Rows: rows, Err: err, At: c.now})
		case Commit:
			v, err := c.table.commit(a.Writes)
			n.inbox = append(n.inbox, CommitResult{Commit: a, Version: v, Err: err, At: c.now})
		case Publish:
			for _, other := range c.nodes {
				if other != n {
					other.inbox = append(other.inbox, FactsReceived(a))
				}
			}
		case Joined:
			n.joined = append(n.joined, a.Member.Incarnation)
		case LeaseLost:
			n.lapsed++
			if a.Ended {
				n.ended++
			}
		}
	}
}

// silence makes the two neighbours of a node report it.
func (c *cluster) silence(n *node) {
	i := slices.Index(c.nodes, n)
	for _, k := range []int{1, 2} {
		other := c.nodes[(i+k)%len(c.nodes)]
		other.inbox = append(other.inbox, PeerSilent{Daemon: n.id})
	}
}

func (c *cluster) status(of, by *node) Status {
	e, ok := by.core.View().Find(of.id)
	if !ok {
		return Gone
	}
	return e.Status
}

// Guards against a roster that misses daemons and against reads whose cost
// grows with renewals instead of with changes.
func TestJoinAndCheapReads(t *testing.T) {
	c := newCluster(t, 20)
	for _, n := range c.nodes {
		assert.Equal(t, len(n.core.View().Live("r")), 20)
	}
	c.table.scannedRows, c.table.reads = 0, 0
	c.run(100 * time.Second)
	t.Logf("20 daemons, 100 s without changes: %d reads, %d rows", c.table.reads, c.table.scannedRows)
	assert.Assert(t, c.table.scannedRows <= 20*20*2)
	for _, n := range c.nodes {
		assert.Assert(t, n.core.HoldsLease(c.now))
		assert.Equal(t, n.lapsed, 0)
	}
}

// Guards against a dead daemon that stays in the roster, and against one
// declared gone before its lease has lapsed.
func TestDeadDaemonIsGoneAfterItsLease(t *testing.T) {
	c := newCluster(t, 6)
	dead := c.nodes[2]
	dead.paused = true
	died := c.now
	c.run(3 * time.Second)
	c.silence(dead)
	c.run(2 * time.Second)
	for _, n := range c.nodes {
		assert.Assert(t, n == dead || c.status(dead, n) == Suspect, "%s", n.id)
	}
	for c.status(dead, c.nodes[0]) != Gone {
		c.run(step)
		assert.Assert(t, c.now.Sub(died) < 2*time.Minute)
	}
	took := c.now.Sub(died)
	t.Logf("gone after %v", took)
	assert.Assert(t, took >= Lease-RenewInterval*5/4)
	c.run(2 * time.Second)
	for _, n := range c.nodes {
		assert.Assert(t, n == dead || c.status(dead, n) == Gone)
	}
}

// Guards against a paused daemon that goes on under authority that others
// have ended.
func TestPausedDaemonTakesNewIncarnation(t *testing.T) {
	for _, pause := range []time.Duration{40 * time.Second, 10 * time.Minute} {
		c := newCluster(t, 6)
		n := c.nodes[1]
		old := n.core.Incarnation()
		n.paused = true
		c.run(4 * time.Second)
		c.silence(n)
		c.run(pause)
		n.paused = false
		actions := n.core.Handle(c.now, Tick{})
		assert.Equal(t, n.core.Incarnation(), domain.Incarnation(0), "acts after the pause")
		assert.Assert(t, !n.core.HoldsLease(c.now))
		c.act(n, actions)
		assert.Equal(t, n.ended, 1)
		c.run(5 * time.Second)
		assert.Assert(t, n.core.Incarnation() > old)
		for _, other := range c.nodes {
			e, ok := other.core.View().Find(n.id)
			assert.Assert(t, ok, "%s", other.id)
			assert.Equal(t, e.Incarnation, n.core.Incarnation())
		}
	}
}

// Guards against a daemon that was cut off from the table, was ended by others
// and does not notice.
func TestCutFromTableThenEnded(t *testing.T) {
	c := newCluster(t, 6)
	n := c.nodes[1]
	old := n.core.Incarnation()
	n.cut = true
	c.silence(n)
	c.run(Lease - RenewInterval*5/4)
	assert.Equal(t, n.lapsed, 0)
	var stopped time.Time
	for limit := c.now.Add(time.Minute); c.status(n, c.nodes[0]) != Gone; {
		c.run(step)
		assert.Assert(t, c.now.Before(limit))
		if stopped.IsZero() && !n.core.HoldsLease(c.now) {
			stopped = c.now
		}
	}
	assert.Assert(t, !stopped.IsZero() && c.now.Sub(stopped) >= 2*ClockMargin-step, "stopped only %v before its end", c.now.Sub(stopped))
	assert.Equal(t, n.lapsed, 1)
	n.cut = false
	c.run(30 * time.Second)
	assert.Assert(t, n.core.Incarnation() > old)
	assert.Assert(t, n.core.HoldsLease(c.now))
}

// Guards against an outage of the table that ends daemons, and against
// suspects that still get shared work during it.
func TestTableOutage(t *testing.T) {
	c := newCluster(t, 6)
	before := c.nodes[0].core.Incarnation()
	suspect := c.nodes[3]
	c.silence(suspect)
	suspect.paused = true
	c.run(8 * time.Second)
	c.table.down = true
	c.run(time.Hour)
	for _, n := range c.nodes {
		if n == suspect {
			continue
		}
		assert.Equal(t, c.status(suspect, n), Suspect)
		assert.Equal(t, len(n.core.View().Live("r")), 5)
		assert.Assert(t, !n.core.HoldsLease(c.now))
		assert.Assert(t, n.core.Incarnation() != 0)
	}
	c.table.down = false
	c.run(20 * time.Second)
	assert.Equal(t, c.status(suspect, c.nodes[0]), Suspect, "gone without a whole lease with the table up")
	assert.Equal(t, c.nodes[0].core.Incarnation(), before)
	assert.Assert(t, c.nodes[0].core.HoldsLease(c.now))
	c.run(time.Minute)
	assert.Equal(t, c.status(suspect, c.nodes[0]), Gone)
}

// Guards against a link failure that excludes a daemon others hear.
func TestNeighbourObjectsToSuspicion(t *testing.T) {
	c := newCluster(t, 4)
	suspect, hears, deaf := c.nodes[0], c.nodes[1], c.nodes[2]
	hears.inbox = append(hears.inbox, PeerHeard{Daemon: suspect.id, Incarnation: suspect.core.Incarnation()})
	deaf.inbox = append(deaf.inbox, PeerSilent{Daemon: suspect.id})
	c.run(3 * time.Second)
	for _, n := range c.nodes {
		assert.Equal(t, c.status(suspect, n), Live, "%s", n.id)
	}
}

// Guards against daemons that nobody is left to suspect: a zone whose
// neighbours died too, and rows of an earlier fleet.
func TestZoneRestartsAtOnce(t *testing.T) {
	c := newCluster(t, 9)
	old := map[domain.DaemonID]domain.Incarnation{}
	for _, n := range c.nodes[3:6] {
		n.paused = true
		old[n.id] = n.core.Incarnation()
	}
	lost := c.nodes[8]
	lost.paused = true
	c.run(10 * time.Second)
	for i := 3; i < 6; i++ {
		c.start(i, "boot2")
	}
	c.run(6 * time.Minute)
	for _, n := range c.nodes[9:] {
		e, ok := c.nodes[0].core.View().Find(n.id)
		assert.Assert(t, ok)
		assert.Assert(t, e.Incarnation > old[n.id])
		assert.Equal(t, e.Status, Live)
	}
	assert.Equal(t, c.status(lost, c.nodes[0]), Gone)
}

// Guards against a join or renewal that is lost or doubled when its answer
// is lost.
func TestLostAnswers(t *testing.T) {
	c := newCluster(t, 3)
	n := c.start(3, "boot1")
	c.table.loseAnswers = true
	c.run(8 * time.Second)
	c.table.loseAnswers = false
	c.run(30 * time.Second)
	assert.Equal(t, len(slices.Compact(n.joined)), 1)
	assert.Equal(t, n.ended, 0)
	assert.Assert(t, n.core.HoldsLease(c.now))
	assert.Equal(t, len(c.nodes[0].core.View().Live("r")), 4)
	for _, old := range c.nodes[:3] {
		assert.Assert(t, old.core.HoldsLease(c.now))
	}
}

// Guards against roster rows that pile up and an old fact that brings a
// purged daemon back.
func TestPurge(t *testing.T) {
	c := newCluster(t, 4)
	dead := c.nodes[3]
	c.nodes = c.nodes[:3]
	c.silence(c.nodes[0])
	c.nodes[0].inbox = append(c.nodes[0].inbox, PeerSilent{Daemon: dead.id})
	c.run(GoneRetention + 20*time.Minute)
	_, left := c.table.rows[RosterKey(dead.id)]
	assert.Assert(t, !left)
	assert.Equal(t, len(c.nodes[0].core.members), 3)
}

// Guards against a lease that the holder counts from the end of a slow write,
// or without the margin for clocks that run at different rates.
func TestLeaseCountsFromStartOfWrite(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	core := NewCore(Config{Self: ports.Member{Daemon: "d"}, Boot: "b", Rand: rand.New(rand.NewPCG(1, 1))})
	core.Handle(start, Tick{})
	read := ReadResult{Read: Read{Purpose: PurposeJoin}, At: start}
	core.Handle(start, read)
	join := CommitResult{Commit: Commit{Purpose: PurposeJoin, Daemon: "d"}, Version: 7, At: start}
	core.Handle(start.Add(4*time.Second), join)
	assert.Equal(t, core.Incarnation(), domain.Incarnation(7))
	end := start.Add(Lease - ClockMargin)
	assert.Assert(t, core.HoldsLease(end.Add(-1)))
	assert.Assert(t, !core.HoldsLease(end))
}
