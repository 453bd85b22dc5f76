package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/internal/adapters/peerws"
	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/claims"
	"github.com/auburndyke/auburndyke/internal/configlog"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/drain"
	"github.com/auburndyke/auburndyke/internal/lease"
	"github.com/auburndyke/auburndyke/internal/membership"
	"github.com/auburndyke/auburndyke/internal/mesh"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// controlTick drives drains and counts; membership gets every fourth one.
	controlTick  = 250 * time.Millisecond
	ticksPerBeat = 4
	drainLease   = "drain"
	// recordInterval is how often drain records are read while peers are heard.
	recordInterval = 4 * time.Second
	// vmReaders is the number of daemons, chosen by hash, that read the VM
	// list. It names every VM, so that reading it on each of 330 daemons would
	// exceed their control traffic; three cover the loss of two at once.
	vmReaders = 3
	// leaveLinger lets the last facts leave before the connections close.
	leaveLinger = 300 * time.Millisecond
	// tableTimeout bounds one call to the table.
	tableTimeout = 2 * time.Second
	scanPage     = 1000
)

// cluster is this daemon's part in what the daemons share: membership, mesh
// and drains. The cores are driven by one goroutine; everything else posts to
// its mailbox.
type cluster struct {
	daemon     *Daemon
	self       ports.Member
	transport  ports.PeerTransport
	mesh       *peerws.Runner
	mailbox    *mailbox
	members    *membership.Core
	controller *drain.Controller
	holder     *drain.Holder
	lease      *lease.Holder
	evidence   evidence

	// ctx covers background calls. It is set before the loops start.
	ctx         context.Context
	view        atomic.Pointer[membership.View]
	incarnation atomic.Uint64
	drains      atomic.Pointer[[]drain.Status]
	peers       atomic.Pointer[[]administration.PeerStatus]
	left        map[domain.UpstreamID]bool // leaving or gone
	leftShared  atomic.Pointer[map[domain.UpstreamID]bool]
	waiting     map[domain.UpstreamID][]chan error // callers of Drain
	epochs      map[domain.UpstreamID]uint64       // drains to count for
	counts      map[domain.UpstreamID]int
	recordsFrom ports.Version
	// joinedAt is when this run was entered in the roster, and heardSince since
	// when a neighbour has been heard; zero means not yet.
	joinedAt, heardSince time.Time
	// staleSince is since when new work is held back; zero means that it is not.
	staleSince time.Time
	// askedRecords is when the drain records were last asked for.
	askedRecords time.Time
	latest       configlog.Document
	ticks        int
}

func newCluster(d *Daemon, transport ports.PeerTransport) *cluster {
	c := &cluster{
		daemon: d,
		self: ports.Member{
			Daemon:  d.cfg.ID,
			Address: d.cfg.PeerAddress,
			Region:  d.cfg.Region,
			Zone:    d.cfg.Zone,
		},
		transport: transport,
		mailbox:   newMailbox(),
		holder:    drain.NewHolder(d.cfg.ID),
		left:      make(map[domain.UpstreamID]bool),
		waiting:   make(map[domain.UpstreamID][]chan error),
		epochs:    make(map[domain.UpstreamID]uint64),
		counts:    make(map[domain.UpstreamID]int),
	}
	c.members = membership.NewCore(membership.Config{Self: c.self, Boot: d.cfg.Boot, Rand: d.rng()})
	c.controller = drain.NewController(drain.Config{Self: d.cfg.ID})
	c.mesh = peerws.NewRunner(mesh.NewNode(mesh.Config{Self: d.cfg.ID, Rand: d.rng()}), transport, c.deliver)
	c.lease = lease.NewHolder(d.cfg.Platform, lease.Config{Name: drainLease, Owner: d.leaseOwner()}, d.rng(), c.leaseHooks())
	c.view.Store(c.members.View())
	c.drains.Store(&[]drain.Status{})
	c.peers.Store(&[]administration.PeerStatus{})
	c.leftShared.Store(&map[domain.UpstreamID]bool{})
	return c
}

func (c *cluster) leaseHooks() lease.Hooks {
	role := func(held bool) {
		c.mailbox.post(func() { c.drive(c.controller.Handle(time.Now(), drain.Role{Holder: held})) })
	}
	return lease.Hooks{
		Acquired: func(t domain.FencingToken) {
			c.daemon.logLease(drainLease, t, "acquired", "")
			role(true)
		},
		Lost: func(t domain.FencingToken, reason string) {
			c.daemon.logLease(drainLease, t, "lost", reason)
			role(false)
		},
	}
}

// loops lists the background work of the cluster.
func (c *cluster) loops() []func(context.Context) error {
	return []func(context.Context) error{c.run, c.transport.Run, c.mesh.Run, untilStopped(c.lease.Run)}
}

// run drives the cores until ctx ends.
func (c *cluster) run(ctx context.Context) error {
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	c.tick(time.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			c.tick(now)
		case <-c.mailbox.ready:
			for _, work := range c.mailbox.take() {
				work()
			}
		}
	}
}

func (c *cluster) tick(now time.Time) {
	if c.ticks%ticksPerBeat == 0 {
		c.follow(c.members.Handle(now, membership.Tick{}))
		c.readShared()
		c.observeMesh()
		c.askQuiet(now)
	}
	c.ticks++
	c.checkSync(now)
	c.count()
	c.drive(c.controller.Handle(now, drain.Tick{}))
	c.drive(c.holder.Handle(now, drain.Tick{}))
	c.publishDrains()
}

// deliver takes what the mesh hands up. It runs on the mesh's goroutine.
func (c *cluster) deliver(now time.Time, action mesh.Action) {
	switch a := action.(type) {
	case mesh.DeliverFacts:
		c.mailbox.post(func() {
			c.follow(c.members.Handle(now, membership.FactsReceived{Facts: a.Facts}))
			c.shareWithDrains(now, a.Facts)
		})
	case mesh.DeliverChange:
		c.mailbox.post(func() { c.receiveChange(a) })
	case mesh.PeerSilent:
		c.daemon.cfg.Log.Event(telemetry.PeerLost).Str("peer", string(a.Peer)).Time("silent_since", a.Since).Msg("")
		c.mailbox.post(func() {
			c.follow(c.members.Handle(now, membership.PeerSilent{Daemon: a.Peer, Incarnation: a.Incarnation}))
		})
	case mesh.PeerHeard:
		c.daemon.cfg.Log.Event(telemetry.PeerConnected).Str("peer", string(a.Peer)).Msg("")
		c.mailbox.post(func() {
			c.follow(c.members.Handle(now, membership.PeerHeard{Daemon: a.Peer, Incarnation: a.Incarnation}))
		})
	}
}

// submit hands an event to the mesh without blocking the control goroutine
// for longer than the mesh's queue needs to move.
func (c *cluster) submit(event mesh.Event) {
	_ = c.mesh.Submit(c.ctx, event) // fails only when the daemon stops
}

// follow carries out what membership asks for.
func (c *cluster) follow(actions []membership.Action) {
	table := c.daemon.cfg.Platform
	for _, action := range actions {
		switch a := action.(type) {
		case membership.Read:
			c.background(func(ctx context.Context, at time.Time) membership.Event {
				rows, err := table.Get(ctx, a.Keys...)
				return membership.ReadResult{Read: a, Rows: rows, Err: err, At: at}
			})
		case membership.Commit:
			c.background(func(ctx context.Context, at time.Time) membership.Event {
				version, err := table.Commit(ctx, a.Writes...)
				return membership.CommitResult{Commit: a, Version: version, Err: err, At: at}
			})
		case membership.Scan:
			c.background(func(ctx context.Context, at time.Time) membership.Event {
				rows, err := scanAll(ctx, table, a.Prefix, a.Since)
				return membership.ScanResult{Scan: a, Rows: rows, Err: err, At: at}
			})
		case membership.Publish:
			c.submit(mesh.LocalFacts{Facts: a.Facts})
			c.shareWithDrains(time.Now(), a.Facts)
		case membership.ViewChanged:
			c.viewChanged(a.View)
		case membership.Joined:
			c.joined(a.Member)
		case membership.LeaseLost:
			c.leaseLost(a)
		}
	}
}

// background runs a table call and posts its result to membership.
func (c *cluster) background(call func(ctx context.Context, at time.Time) membership.Event) {
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, tableTimeout)
		defer cancel()
		event := call(ctx, time.Now())
		c.mailbox.post(func() { c.follow(c.members.Handle(time.Now(), event)) })
	}()
}

// scanAll reads all pages of a scan. The rows of the first page bound what the
// next scan may skip, so they come first.
func scanAll(ctx context.Context, table ports.Table, prefix string, since ports.Version) ([]ports.Row, error) {
	var all []ports.Row
	after := ""
	for {
		rows, err := table.Scan(ctx, prefix, after, scanPage, since)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < scanPage {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (c *cluster) viewChanged(v *membership.View) {
	previous := c.view.Swap(v)
	logViewChange(c.daemon.cfg.Log, previous, v)
	members := v.Members()
	if _, ok := v.Find(c.self.Daemon); !ok {
		// A daemon that started during an outage has no row, but needs peers.
		members = append(members, c.member())
	}
	c.submit(mesh.RosterChanged{Members: members})
	c.drive(c.controller.Handle(time.Now(), drain.ViewChanged{View: v}))
	c.daemon.requestRebuild()
}

func (c *cluster) joined(m ports.Member) {
	c.incarnation.Store(uint64(m.Incarnation))
	c.joinedAt = time.Now()
	c.transport.SetIncarnation(m.Incarnation)
	c.drive(c.holder.Handle(time.Now(), drain.Acting{Incarnation: m.Incarnation}))
	c.daemon.cfg.Log.Event(telemetry.MemberChanged).Str("member", string(m.Daemon)).Uint64("incarnation", uint64(m.Incarnation)).Str("change", "joined").Msg("")
}

func (c *cluster) leaseLost(a membership.LeaseLost) {
	c.daemon.cfg.Log.Event(telemetry.RosterRenewal).Uint64("incarnation", uint64(a.Incarnation)).Bool("ended", a.Ended).Msg("")
	if a.Ended {
		c.drive(c.holder.Handle(time.Now(), drain.Acting{}))
	}
}

// logViewChange writes a line for each daemon whose status changed.
func logViewChange(log *telemetry.Log, before, after *membership.View) {
	for _, e := range after.Entries() {
		old, known := before.Find(e.Daemon)
		if known && old.Status == e.Status && old.Incarnation == e.Incarnation {
			continue
		}
		change := "live"
		if e.Status == membership.Suspect {
			change = "suspect"
		}
		log.Event(telemetry.MemberChanged).Str("member", string(e.Daemon)).Uint64("incarnation", uint64(e.Incarnation)).Str("change", change).Msg("")
	}
	for _, e := range before.Entries() {
		if _, ok := after.Find(e.Daemon); !ok {
			log.Event(telemetry.MemberChanged).Str("member", string(e.Daemon)).Uint64("incarnation", uint64(e.Incarnation)).Str("change", "gone").Msg("")
		}
	}
}

// leave tells the others that this daemon has stopped as planned, so that they
// need not wait for the end of its lease.
func (c *cluster) leave() {
	member := c.member()
	if member.Incarnation == 0 {
		return
	}
	c.submit(mesh.LocalFacts{Facts: []ports.Fact{{
		Kind: ports.FactDaemonGone, Seq: 1, Stamp: mesh.StampAt(time.Now()),
		Member: &ports.Member{Daemon: member.Daemon, Incarnation: member.Incarnation, Region: member.Region, Zone: member.Zone},
	}}})
	time.Sleep(leaveLinger)
}

// owner identifies this run of the daemon in claims.
func (c *cluster) owner() claims.Owner {
	return claims.Owner{Daemon: c.self.Daemon, Incarnation: domain.Incarnation(c.incarnation.Load())}
}

// gone reports whether a daemon's incarnation has ended by the table's word.
func (c *cluster) gone(id domain.DaemonID, incarnation domain.Incarnation) bool {
	v := c.view.Load()
	e, ok := v.Find(id)
	if ok {
		// Calls that a daemon claimed before it joined have incarnation zero.
		return incarnation != 0 && e.Incarnation > incarnation
	}
	// A roster that has never been read says nothing about absence.
	return !v.TableAsOf.IsZero()
}
