package drain

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/membership"
	"github.com/auburndyke/auburndyke/internal/mesh"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	// FenceRetry is the time between attempts to tell an upstream.
	FenceRetry = 500 * time.Millisecond
	// VanishDelay is how long a VM must be missing from the list, which lags,
	// before its upstream counts as vanished.
	VanishDelay = 10 * time.Second
	// RecordRetry is the time between attempts to write a record.
	RecordRetry = 2 * time.Second
	// RefenceInterval is the time between repeated orders to a draining
	// upstream, which forgets the order when its process restarts.
	RefenceInterval = 10 * time.Second
	// fenceTimeout is how long a Fence may take. A call without a result is
	// repeated, because its connection may have gone silent.
	fenceTimeout = time.Second
	// fencers is the number of daemons, chosen by hash, that tell an upstream
	// besides the one that took the order. Several cover daemons that cannot
	// reach it; all 330 would flood it.
	fencers = 3
	// probeInterval is the time between questions whether the process of a
	// daemon has ended. A question to a silent machine takes 3 s.
	probeInterval = 4 * time.Second
	refreshAfter  = mesh.RefreshHours * time.Hour
)

// Config configures a Controller.
type Config struct {
	Self domain.DaemonID
	// Reaches tells whether a daemon may send work to an upstream, and so must
	// acknowledge its drain. Nil means that every daemon must.
	Reaches func(daemon ports.Member, upstream domain.UpstreamID) bool
}

// Controller decides about drains on one daemon. Every daemon runs one and
// knows every drain; the one that took the order, and the holder of the drain
// lease, also tell the upstream. It is not safe for concurrent use.
type Controller struct {
	cfg       Config
	upstreams map[domain.UpstreamID]Upstream
	drains    map[domain.UpstreamID]*drain
	vms       map[string]*listedVM
	down      map[domain.UpstreamID]bool
	// stopped holds the last incarnation of daemons that said that they have
	// stopped, or whose process has ended.
	stopped map[domain.DaemonID]domain.Incarnation
	// probedAt is when each silent daemon was last probed.
	probedAt map[domain.DaemonID]time.Time
	view     *membership.View
	holder   bool
	actions  []Action
}

// listedVM is what the VM list says about one VM.
type listedVM struct {
	leaving  bool
	deadline time.Time
	missing  time.Time // zero while listed
}

// NewController returns a controller without upstreams.
func NewController(cfg Config) *Controller {
	return &Controller{
		cfg: cfg, upstreams: map[domain.UpstreamID]Upstream{}, drains: map[domain.UpstreamID]*drain{},
		vms: map[string]*listedVM{}, down: map[domain.UpstreamID]bool{}, stopped: map[domain.DaemonID]domain.Incarnation{},
		probedAt: map[domain.DaemonID]time.Time{},
	}
}

// Handle processes one event and returns what to do, in order.
func (c *Controller) Handle(now time.Time, event Event) []Action {
	c.actions = nil
	switch e := event.(type) {
	case LeaveRequested:
		c.onLeave(now, e)
	case UndrainRequested:
		c.onUndrain(now, e.Upstream)
	case UpstreamsChanged:
		c.onUpstreams(e.Upstreams)
	case VMsListed:
		c.onVMs(now, e.VMs)
	case Unreachable:
		c.down[e.Upstream] = !e.Reachable
	case FactsReceived:
		c.onFacts(now, e.Facts)
		return c.actions
	case ViewChanged:
		c.view = e.View
	case FenceResult:
		c.onFenced(now, e)
	case ProbeResult:
		c.onProbed(now, e)
	case Running:
		c.onRunning(e)
	case RecordsRead:
		c.onRecords(now, e.Rows)
	case CommitResult:
		c.onCommit(now, e)
	case Role:
		c.holder = e.Holder
	}
	c.checkVanished(now)
	for _, id := range sortedKeys(c.drains) {
		c.drive(now, c.drains[id])
	}
	return c.actions
}

// onFacts moves only the drains that the facts are about: acknowledgements of
// many daemons arrive in many frames.
func (c *Controller) onFacts(now time.Time, facts []ports.Fact) {
	touched := map[domain.UpstreamID]*drain{}
	for _, f := range facts {
		c.noteStop(&f)
		if c.onFact(now, f, FromFact) {
			if d := c.drains[f.Upstream]; d != nil {
				touched[f.Upstream] = d
			}
		}
	}
	for _, id := range sortedKeys(touched) {
		c.drive(now, touched[id])
	}
}

// noteStop remembers a daemon that has stopped, by its own word or by that of a
// daemon whose connection its machine refused.
func (c *Controller) noteStop(f *ports.Fact) {
	if f.Kind == ports.FactDaemonGone && f.Seq > 0 && f.Member != nil {
		c.stopped[f.Member.Daemon] = max(c.stopped[f.Member.Daemon], f.Member.Incarnation)
	}
}

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Controller) onUpstreams(list []Upstream) {
	clear(c.upstreams)
	for _, u := range list {
		c.upstreams[u.ID] = u
	}
	for id := range c.drains {
		if _, ok := c.upstreams[id]; !ok {
			delete(c.drains, id)
		}
	}
}

func (c *Controller) onLeave(now time.Time, e LeaveRequested) {
	up, ok := c.upstreams[e.Upstream]
	if !ok {
		c.emit(Refused{Upstream: e.Upstream, Err: &UnknownUpstreamError{Upstream: e.Upstream}})
		return
	}
	if err := c.lastOf(up); err != nil {
		if !e.Force {
			c.emit(Refused{Upstream: up.ID, Err: err})
			return
		}
		c.emit(Warning{Upstream: up.ID, Err: err})
	}
	c.startLeave(now, up.ID, e.Deadline, FromOperator)
}

// lastOf returns an error if classes would be left without a serving upstream.
func (c *Controller) lastOf(up Upstream) error {
	if c.leaving(up.ID) {
		return nil
	}
	served := map[domain.ClassID]bool{}
	for id, other := range c.upstreams {
		if id == up.ID || c.leaving(id) {
			continue
		}
		for _, class := range other.Classes {
			served[class] = true
		}
	}
	var last []domain.ClassID
	for _, class := range up.Classes {
		if !served[class] {
			last = append(last, class)
		}
	}
	if len(last) == 0 {
		return nil
	}
	return &LastUpstreamError{Upstream: up.ID, Classes: last}
}

func (c *Controller) leaving(id domain.UpstreamID) bool {
	d := c.drains[id]
	return d != nil && d.fact.Kind != ports.FactUpstreamServing
}

// startLeave publishes the next epoch, or a deadline that became known.
func (c *Controller) startLeave(now time.Time, id domain.UpstreamID, deadline time.Time, source Source) {
	f := ports.Fact{Kind: ports.FactUpstreamLeaving, Upstream: id, Epoch: 1, Stamp: mesh.StampAt(now)}
	if !deadline.IsZero() {
		f.Deadline = deadline.Unix()
	}
	if d := c.drains[id]; d != nil {
		f.Incarnation = d.fact.Incarnation
		f.Epoch = d.fact.Epoch
		if d.fact.Kind == ports.FactUpstreamServing {
			f.Epoch++
		}
		d.owned = d.owned || source != FromFact
		if d.accepted && source == FromOperator && c.leaving(id) {
			c.emit(Accepted{Upstream: id, Epoch: d.fact.Epoch})
		}
	}
	c.publish(now, f, source)
}

// publish takes over a fact and spreads it if it is news.
func (c *Controller) publish(now time.Time, f ports.Fact, source Source) {
	if c.onFact(now, f, source) {
		c.emit(Publish{Facts: []ports.Fact{f}})
	}
}

func (c *Controller) onUndrain(now time.Time, id domain.UpstreamID) {
	up, ok := c.upstreams[id]
	d := c.drains[id]
	if !ok || d == nil {
		c.emit(Refused{Upstream: id, Err: &UnknownUpstreamError{Upstream: id}})
		return
	}
	if vm := c.vms[up.VM]; vm != nil && vm.leaving {
		c.emit(Refused{Upstream: id, Err: &VMLeavingError{Upstream: id}})
		return
	}
	f := ports.Fact{
		Kind: ports.FactUpstreamServing, Upstream: id, Stamp: mesh.StampAt(now),
		Incarnation: d.fact.Incarnation, Epoch: d.fact.Epoch + 1,
	}
	if d.fact.Kind == ports.FactUpstreamGone {
		f.Incarnation++
	}
	c.publish(now, f, FromOperator)
}

// onVMs takes leaves from the list. The VM goes in any case, so a last
// upstream is only warned about.
func (c *Controller) onVMs(now time.Time, vms []domain.VM) {
	listed := map[string]bool{}
	returned := map[string]bool{}
	for _, vm := range vms {
		old := c.vms[vm.Name]
		listed[vm.Name] = true
		returned[vm.Name] = !vm.Leaving && old != nil && !old.missing.IsZero()
		c.vms[vm.Name] = &listedVM{leaving: vm.Leaving, deadline: vm.Deadline}
	}
	for name, vm := range c.vms {
		if !listed[name] && vm.missing.IsZero() {
			vm.missing = now
		}
	}
	for _, id := range sortedKeys(c.upstreams) {
		up := c.upstreams[id]
		vm := c.vms[up.VM]
		if d := c.drains[id]; returned[up.VM] && d != nil && d.phase == Gone {
			// The upstream was rented again under its old name.
			c.onUndrain(now, id)
		}
		if vm == nil || !vm.leaving || !vm.missing.IsZero() {
			continue
		}
		if err := c.lastOf(up); err != nil {
			c.emit(Warning{Upstream: id, Err: err})
		}
		c.startLeave(now, id, vm.deadline, FromVMList)
	}
}

// checkVanished ends upstreams whose VM was listed once, is missing for
// VanishDelay and whose probes fail. One sign alone may be lag or a broken link.
func (c *Controller) checkVanished(now time.Time) {
	for _, id := range sortedKeys(c.upstreams) {
		vm := c.vms[c.upstreams[id].VM]
		if vm == nil || vm.missing.IsZero() || now.Sub(vm.missing) < VanishDelay || !c.down[id] {
			continue
		}
		f := ports.Fact{Kind: ports.FactUpstreamGone, Upstream: id, Stamp: mesh.StampAt(now)}
		if d := c.drains[id]; d != nil {
			f.Incarnation, f.Epoch, f.Deadline = d.fact.Incarnation, d.fact.Epoch, d.fact.Deadline
		}
		c.publish(now, f, FromVMList)
	}
}
