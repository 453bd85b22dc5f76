package drain

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/membership"
	"github.com/auburndyke/auburndyke/internal/mesh"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const step = 50 * time.Millisecond

// target is an upstream stand-in with a ledger of what it ran.
type target struct {
	up     Upstream
	closed bool
	epoch  uint64
	// accepted is when the leave was accepted; zero while serving.
	accepted time.Time
	running  []*request
	late     int // requests started more than 3 s after acceptance
	started  int
}

type request struct {
	daemon *node
	target *target
	ends   time.Time
}

// node is one daemon: both cores and a load generator.
type node struct {
	id      domain.DaemonID
	region  domain.Region
	ctl     *Controller
	holder  *Holder
	facts   *mesh.State
	stopped map[domain.UpstreamID]uint64
	// cut separates the node from peers and platform, but not from upstreams.
	cut      bool
	cutSince time.Time
	// ended means that the process has ended: the node does nothing, and its
	// machine refuses connections to it.
	ended    bool
	moved    []domain.UpstreamID
	warnings int
	refused  error
	phases   map[domain.UpstreamID]Phase
}

type world struct {
	t       *testing.T
	now     time.Time
	rng     *rand.Rand
	nodes   []*node
	targets map[domain.UpstreamID]*target
	order   []domain.UpstreamID
	fleet   *mesh.State
	// serveStale removes the protection against a stale view.
	serveStale bool
	// cutUpstreams cannot be reached by the controllers.
	cutUpstreams bool
}

func newWorld(t *testing.T, daemons, upstreams int, fences bool) *world {
	w := &world{
		t: t, now: time.Unix(1_800_000_000, 0), rng: rand.New(rand.NewPCG(5, 5)),
		targets: map[domain.UpstreamID]*target{}, fleet: mesh.NewState(),
	}
	var list []Upstream
	for i := range upstreams {
		up := Upstream{
			ID: domain.UpstreamID(fmt.Sprintf("u%02d", i)), VM: fmt.Sprintf("vm%02d", i),
			Classes: []domain.ClassID{"guest"}, Fences: fences,
		}
		list = append(list, up)
		w.order = append(w.order, up.ID)
		w.targets[up.ID] = &target{up: up}
	}
	for i := range daemons {
		id := domain.DaemonID(fmt.Sprintf("d%02d", i))
		n := &node{
			id: id, ctl: NewController(Config{Self: id}), holder: NewHolder(id), facts: mesh.NewState(),
			stopped: map[domain.UpstreamID]uint64{}, phases: map[domain.UpstreamID]Phase{},
		}
		w.nodes = append(w.nodes, n)
		w.act(n, n.ctl.Handle(w.now, UpstreamsChanged{Upstreams: list}))
		w.act(n, n.holder.Handle(w.now, Acting{Incarnation: 1}))
	}
	w.roster(w.nodes)
	return w
}

// roster gives every node the view that only these nodes are left.
func (w *world) roster(left []*node) {
	core := membership.NewCore(membership.Config{Rand: w.rng})
	var facts []ports.Fact
	for _, n := range left {
		facts = append(facts, ports.Fact{Kind: ports.FactDaemonJoined, Member: &ports.Member{Daemon: n.id, Incarnation: 1, Region: n.region, Address: string(n.id)}})
	}
	core.Handle(w.now, membership.FactsReceived{Facts: facts})
	for _, n := range w.nodes {
		if !n.cut {
			w.act(n, n.ctl.Handle(w.now, ViewChanged{View: core.View()}))
		}
	}
}

func (w *world) act(n *node, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Publish:
			w.learn(n, a.Facts)
		case Fence:
			w.fence(n, a)
		case Probe:
			w.probe(n, a)
		case Accepted:
			if target := w.targets[a.Upstream]; target.accepted.IsZero() {
				target.accepted = w.now
			}
		case PhaseChanged:
			n.phases[a.Upstream] = a.Phase
		case StopNew:
			n.stopped[a.Upstream] = a.Epoch
			w.count(n, a.Upstream)
		case ResumeNew:
			delete(n.stopped, a.Upstream)
		case MoveStreams:
			n.moved = append(n.moved, a.Upstream)
			w.finish(n, a.Upstream)
		case Warning:
			n.warnings++
		case Refused:
			n.refused = a.Err
		}
	}
}

func (w *world) learn(n *node, facts []ports.Fact) {
	for _, f := range facts {
		if !n.facts.Merge(f) {
			continue
		}
		w.act(n, n.holder.Handle(w.now, FactsReceived{Facts: []ports.Fact{f}}))
		w.act(n, n.ctl.Handle(w.now, FactsReceived{Facts: []ports.Fact{f}}))
	}
}

func (w *world) fence(n *node, a Fence) {
	target := w.targets[a.Upstream]
	if w.cutUpstreams {
		w.act(n, n.ctl.Handle(w.now, FenceResult{Fence: a, Err: errors.New("no route")}))
		return
	}
	if a.Epoch >= target.epoch {
		target.epoch = a.Epoch
		target.closed = !a.Open
	}
	w.act(n, n.ctl.Handle(w.now, FenceResult{Fence: a}))
}

func (w *world) probe(n *node, a Probe) {
	for _, other := range w.nodes {
		if string(other.id) == a.Member.Address {
			w.act(n, n.ctl.Handle(w.now, ProbeResult{Member: a.Member, Refused: other.ended}))
		}
	}
}

func (w *world) count(n *node, id domain.UpstreamID) {
	running := 0
	for _, r := range w.targets[id].running {
		if r.daemon == n {
			running++
		}
	}
	w.act(n, n.holder.Handle(w.now, Counted{Upstream: id, Epoch: n.stopped[id], InProgress: running}))
}

// finish ends a node's requests at an upstream, as moving them does.
func (w *world) finish(n *node, id domain.UpstreamID) {
	for _, r := range w.targets[id].running {
		if r.daemon == n {
			r.ends = w.now
		}
	}
}

// run lets time pass under load.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		w.gossip()
		for _, n := range w.nodes {
			if n.ended {
				continue
			}
			w.act(n, n.ctl.Handle(w.now, Tick{}))
			w.act(n, n.holder.Handle(w.now, Tick{}))
			w.load(n)
		}
		for _, id := range w.order {
			w.expire(w.targets[id])
		}
	}
}

// gossip lets connected nodes share facts; each step is one hop.
func (w *world) gossip() {
	for _, n := range w.nodes {
		if !n.cut {
			for _, f := range n.facts.Facts() {
				w.fleet.Merge(f)
			}
		}
	}
	for _, n := range w.nodes {
		if !n.cut && n.facts.Hash() != w.fleet.Hash() {
			w.learn(n, w.fleet.Facts())
		}
	}
}

// load tries to start one request at each upstream now and then.
func (w *world) load(n *node) {
	evidence := Evidence{PlatformRead: w.now, PeerHeard: w.now, Quorum: true}
	if n.cut {
		evidence = Evidence{PlatformRead: n.cutSince, PeerHeard: n.cutSince, Quorum: true}
	}
	for _, id := range w.order {
		target := w.targets[id]
		_, stopped := n.stopped[id]
		verdict := Gate(w.now, stopped, target.up.Fences, w.serveStale, evidence)
		if w.rng.IntN(10) != 0 || verdict != Allow || target.closed {
			continue
		}
		target.started++
		if !target.accepted.IsZero() && w.now.Sub(target.accepted) > 3*time.Second {
			target.late++
		}
		length := time.Duration(200+w.rng.IntN(2000)) * time.Millisecond
		target.running = append(target.running, &request{daemon: n, target: target, ends: w.now.Add(length)})
	}
}

func (w *world) expire(target *target) {
	left := target.running[:0]
	var ended []*request
	for _, r := range target.running {
		if r.ends.After(w.now) {
			left = append(left, r)
		} else {
			ended = append(ended, r)
		}
	}
	target.running = left
	for _, r := range ended {
		if _, ok := r.daemon.stopped[target.up.ID]; ok {
			w.count(r.daemon, target.up.ID)
		}
	}
}

func (w *world) leave(n *node, id domain.UpstreamID) {
	w.act(n, n.ctl.Handle(w.now, LeaveRequested{Upstream: id}))
}

func (w *world) isolate(n *node) {
	n.cut = true
	n.cutSince = w.now
}

// status returns what a node's operator sees of one upstream.
func (n *node) status(t *testing.T, id domain.UpstreamID) Status {
	t.Helper()
	for _, s := range n.ctl.Statuses() {
		if s.Upstream == id {
			return s
		}
	}
	t.Fatalf("no status of %s", id)
	return Status{}
}

// Guards against new work more than 3 s after a leave was accepted, and
// against a release that interrupts a request (I6, I7), 100 times under load.
func TestHundredDrains(t *testing.T) {
	w := newWorld(t, 8, 12, true)
	for i := range 100 {
		by := w.nodes[w.rng.IntN(len(w.nodes))]
		id := w.order[i%len(w.order)]
		target := w.targets[id]
		w.run(time.Second)
		w.leave(by, id)
		for deadline := w.now.Add(time.Minute); by.phases[id] != Releasable; {
			w.run(step)
			assert.Assert(t, w.now.Before(deadline), "drain %d: %+v", i, by.status(t, id))
		}
		assert.Equal(t, len(target.running), 0, "drain %d released with requests in progress", i)
		w.run(4 * time.Second)
		assert.Equal(t, target.late, 0, "drain %d", i)
		w.act(by, by.ctl.Handle(w.now, UndrainRequested{Upstream: id}))
		target.accepted = time.Time{}
		before := target.started
		w.run(2 * time.Second)
		assert.Assert(t, target.started > before, "no work after the drain of %s ended", id)
	}
}

// Guards against new work from a daemon that was cut off from peers and
// platform before the leave. The third case shows that the test sees it when
// the protection is off.
func TestCutOffDaemonSendsNothingLate(t *testing.T) {
	for _, c := range []struct {
		name               string
		fences, serveStale bool
		late               bool
	}{
		{name: "upstream refuses", fences: true},
		{name: "daemon stops by itself"},
		{name: "no protection", serveStale: true, late: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 8, 2, c.fences)
			w.serveStale = c.serveStale
			w.run(2 * time.Second)
			w.isolate(w.nodes[7])
			w.leave(w.nodes[0], "u00")
			w.run(5 * time.Second)
			if !c.fences {
				assert.Assert(t, w.targets["u00"].accepted.IsZero(), "accepted without the word of the cut-off daemon")
				assert.DeepEqual(t, w.nodes[0].status(t, "u00").Waiting, []domain.DaemonID{"d07"})
				w.roster(w.nodes[:7])
			}
			w.run(10 * time.Second)
			assert.Assert(t, !w.targets["u00"].accepted.IsZero())
			assert.Equal(t, w.targets["u00"].late > 0, c.late)
		})
	}
}

// Guards against a release while a daemon whose lease ended may still hold
// requests: only the upstream's own report clears it.
func TestUnknownHolderBlocksRelease(t *testing.T) {
	w := newWorld(t, 4, 2, true)
	w.run(2 * time.Second)
	w.isolate(w.nodes[3])
	w.leave(w.nodes[0], "u00")
	w.run(2 * time.Second)
	w.roster(w.nodes[:3])
	w.run(10 * time.Second)
	n := w.nodes[0]
	assert.Equal(t, n.phases["u00"], Quiet)
	assert.DeepEqual(t, n.status(t, "u00").Unknown, []domain.DaemonID{"d03"})
	w.act(n, n.ctl.Handle(w.now, Running{Upstream: "u00", Requests: 1, Measured: w.now}))
	assert.Equal(t, n.phases["u00"], Quiet)
	w.act(n, n.ctl.Handle(w.now, Running{Upstream: "u00", Requests: 0, Measured: w.now}))
	assert.Equal(t, n.phases["u00"], Releasable)
}

// Guards against an accepted leave that neither the upstream nor every daemon
// confirmed.
func TestNotAcceptedWithoutConfirmation(t *testing.T) {
	w := newWorld(t, 4, 2, true)
	w.cutUpstreams = true
	w.isolate(w.nodes[3])
	w.leave(w.nodes[0], "u00")
	w.run(5 * time.Second)
	w.roster(w.nodes[:3])
	w.run(5 * time.Second)
	assert.Assert(t, w.targets["u00"].accepted.IsZero())
	w.cutUpstreams = false
	w.run(2 * time.Second)
	assert.Assert(t, !w.targets["u00"].accepted.IsZero())
}

// Guards against a leave that is accepted over the head of a region that is cut
// off and goes on serving, and against one that a single dead daemon blocks.
func TestEndedLeasesOfCutOffRegion(t *testing.T) {
	for _, c := range []struct {
		name     string
		cut      []int
		accepted bool
	}{
		{"whole region cut off", []int{1, 2, 3}, false},
		{"two of three cut off", []int{1, 2}, false},
		{"one of three cut off", []int{3}, true},
		{"one of another region and one of three cut off", []int{0, 3}, false},
	} {
		w := newWorld(t, 4, 2, false)
		for _, n := range w.nodes[1:] {
			n.region = "b"
		}
		w.roster(w.nodes)
		w.run(2 * time.Second)
		left := w.nodes
		for _, i := range c.cut {
			w.isolate(w.nodes[i])
		}
		left = slices.DeleteFunc(slices.Clone(left), func(n *node) bool { return n.cut })
		w.leave(left[0], "u00")
		w.run(2 * time.Second)
		w.roster(left)
		w.run(5 * time.Second)
		assert.Equal(t, !w.targets["u00"].accepted.IsZero(), c.accepted, c.name)
	}
}

// Guards against the silent loss of a class's last upstream.
func TestLastUpstreamNeedsForce(t *testing.T) {
	w := newWorld(t, 1, 2, true)
	n := w.nodes[0]
	w.leave(n, "u00")
	assert.NilError(t, n.refused)
	w.leave(n, "u01")
	var last *LastUpstreamError
	assert.Assert(t, errors.As(n.refused, &last))
	assert.DeepEqual(t, last.Classes, []domain.ClassID{"guest"})
	assert.Assert(t, !n.holder.Leaving("u01"))
	w.act(n, n.ctl.Handle(w.now, LeaveRequested{Upstream: "u01", Force: true}))
	assert.Equal(t, n.warnings, 1)
	assert.Assert(t, n.holder.Leaving("u01"))
}

// Guards against leaves that only the VM list shows, streams that are not
// moved before the deadline, and upstreams that vanish without a leave.
func TestVMList(t *testing.T) {
	w := newWorld(t, 4, 3, true)
	deadline := w.now.Add(2 * time.Minute).Truncate(time.Second)
	list := []domain.VM{{Name: "vm00", Leaving: true, Deadline: deadline}, {Name: "vm01"}, {Name: "vm02"}}
	slow := &request{daemon: w.nodes[2], target: w.targets["u00"], ends: deadline.Add(time.Hour)}
	w.targets["u00"].running = append(w.targets["u00"].running, slow)
	reader := w.nodes[1]
	w.act(reader, reader.ctl.Handle(w.now, VMsListed{VMs: list}))
	w.targets["u00"].accepted = w.now
	w.run(30 * time.Second)
	assert.Equal(t, w.targets["u00"].late, 0)
	assert.DeepEqual(t, reader.status(t, "u00").Holders(), []domain.DaemonID{"d02"})
	w.run(deadline.Sub(w.now) - MoveMargin/2)
	assert.DeepEqual(t, w.nodes[2].moved, []domain.UpstreamID{"u00"})
	assert.Equal(t, reader.phases["u00"], Releasable)

	w.act(reader, reader.ctl.Handle(w.now, UndrainRequested{Upstream: "u00"}))
	var leaving *VMLeavingError
	assert.Assert(t, errors.As(reader.refused, &leaving))

	w.act(reader, reader.ctl.Handle(w.now, VMsListed{VMs: list[:2]}))
	w.run(VanishDelay + time.Second)
	assert.Assert(t, !w.nodes[0].holder.Leaving("u02"), "one missing row of a list that lags is no end")
	w.act(reader, reader.ctl.Handle(w.now, Unreachable{Upstream: "u02"}))
	w.run(time.Second)
	assert.Equal(t, w.nodes[0].phases["u02"], Gone)
	w.act(reader, reader.ctl.Handle(w.now, VMsListed{VMs: list}))
	w.run(time.Second)
	assert.Assert(t, !w.nodes[0].holder.Leaving("u02"), "rented again")
}

// Guards against a drain that a restart of all daemons forgets, and against a
// record that goes back after a write of unknown outcome.
func TestRecords(t *testing.T) {
	w := newWorld(t, 1, 2, true)
	n := w.nodes[0]
	n.ctl.Handle(w.now, Role{Holder: true})
	var commits []Commit
	actions := n.ctl.Handle(w.now, LeaveRequested{Upstream: "u00"})
	for _, a := range actions {
		if commit, ok := a.(Commit); ok {
			commits = append(commits, commit)
		}
	}
	assert.Equal(t, len(commits), 1)
	row := ports.Row{Key: commits[0].Write.Key, Value: commits[0].Write.Value, Version: 9}
	n.ctl.Handle(w.now, CommitResult{Upstream: "u00", Record: commits[0].Record, Err: ports.ErrUnknownOutcome})
	n.ctl.Handle(w.now, RecordsRead{Rows: []ports.Row{row}})
	for _, a := range n.ctl.Handle(w.now.Add(RecordRetry), Tick{}) {
		if commit, ok := a.(Commit); ok {
			assert.Equal(t, commit.Write.Expect, ports.Version(9))
		}
	}
	restarted := newWorld(t, 2, 2, true)
	fresh := restarted.nodes[0]
	restarted.act(fresh, fresh.ctl.Handle(restarted.now, RecordsRead{Rows: []ports.Row{row}}))
	restarted.run(time.Second)
	assert.Assert(t, restarted.nodes[1].holder.Leaving("u00"))
}

// Guards against a leave that only the VM list shows and that a cut-off daemon
// never hears of: the chosen daemons must tell the upstream.
func TestListedLeaveStopsCutOffDaemon(t *testing.T) {
	w := newWorld(t, 8, 6, true)
	w.run(time.Second)
	w.isolate(w.nodes[7])
	list := []domain.VM{{Name: "vm05"}}
	for i := range 5 {
		list = append(list, domain.VM{Name: fmt.Sprintf("vm%02d", i), Leaving: true})
	}
	reader := w.nodes[0]
	w.act(reader, reader.ctl.Handle(w.now, VMsListed{VMs: list}))
	for _, id := range w.order[:5] {
		w.targets[id].accepted = w.now
	}
	w.run(8 * time.Second)
	for _, id := range w.order[:5] {
		assert.Equal(t, w.targets[id].late, 0, "%s", id)
	}
}

// acks returns the acknowledgements among actions.
func acks(actions []Action) []ports.Fact {
	var out []ports.Fact
	for _, a := range actions {
		if p, ok := a.(Publish); ok {
			out = append(out, p.Facts...)
		}
	}
	return out
}

// Guards against an acknowledgement that rests on a count of an earlier drain,
// or that a daemon's new incarnation does not repeat.
func TestHolderAcknowledges(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	h := NewHolder("d")
	h.Handle(now, Acting{Incarnation: 1})
	leave := ports.Fact{Kind: ports.FactUpstreamLeaving, Upstream: "u", Epoch: 3}
	assert.DeepEqual(t, h.Handle(now, FactsReceived{Facts: []ports.Fact{leave}}), []Action{StopNew{Upstream: "u", Epoch: 3}})
	assert.Equal(t, len(acks(h.Handle(now, Counted{Upstream: "u", Epoch: 1}))), 0)
	assert.Equal(t, acks(h.Handle(now, Counted{Upstream: "u", Epoch: 3, InProgress: 2}))[0].InProgress, 2)
	h.Handle(now, Acting{})
	assert.Equal(t, len(acks(h.Handle(now, Counted{Upstream: "u", Epoch: 3, InProgress: 1}))), 0, "acknowledged without incarnation")
	again := acks(h.Handle(now, Acting{Incarnation: 2}))
	assert.Equal(t, again[0].Member.Incarnation, domain.Incarnation(2))
	assert.Equal(t, again[0].InProgress, 1)
	assert.Equal(t, len(acks(h.Handle(now, Acting{Incarnation: 3}))), 1, "nothing changed but the incarnation")
}

// Guards against an outage that stops serving, and against a stale view that
// sends work to upstreams that cannot refuse it.
func TestGate(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	hour := now.Add(-time.Hour)
	for _, c := range []struct {
		name                   string
		leaving, fences, stale bool
		platform, peer         time.Time
		quorum                 bool
		want                   Verdict
	}{
		{name: "leaving", leaving: true, fences: true, platform: now, want: RefuseLeaving},
		{name: "outage, upstream refuses", fences: true, platform: hour, peer: hour, want: Allow},
		{name: "outage, with peers and quorum", platform: hour, peer: now, quorum: true, want: Allow},
		{name: "outage, with peers of a minority", platform: hour, peer: now, want: RefuseStale},
		{name: "cut off", platform: hour, peer: hour, quorum: true, want: RefuseStale},
		{name: "cut off, availability preferred", stale: true, platform: hour, peer: hour, want: Allow},
		{name: "platform only", platform: now.Add(-ViewLimit), peer: hour, want: Allow},
	} {
		e := Evidence{PlatformRead: c.platform, PeerHeard: c.peer, Quorum: c.quorum}
		assert.Equal(t, Gate(now, c.leaving, c.fences, c.stale, e), c.want, c.name)
	}
}
