package daemon

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/drain"
	"github.com/auburndyke/auburndyke/internal/membership"
	"github.com/auburndyke/auburndyke/internal/mesh"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// errNoFence answers orders to refuse new work: the upstream protocol has no
// such order, so acceptance rests on the daemons' acknowledgements.
var errNoFence = errors.New("upstream takes no order to refuse new work")

// Drain starts the drain of an upstream and waits until its leave is accepted
// or refused. A zero deadline means that nothing is moved. It fails with the
// typed errors of package drain.
func (d *Daemon) Drain(ctx context.Context, upstream domain.UpstreamID, deadline time.Time, force bool) error {
	return d.cluster.order(ctx, upstream, drain.LeaveRequested{Upstream: upstream, Deadline: deadline, Force: force})
}

// Undrain ends a drain.
func (d *Daemon) Undrain(ctx context.Context, upstream domain.UpstreamID) error {
	answer := make(chan error, 1)
	d.cluster.mailbox.post(func() {
		d.cluster.waiting[upstream] = append(d.cluster.waiting[upstream], answer)
		d.cluster.drive(d.cluster.controller.Handle(time.Now(), drain.UndrainRequested{Upstream: upstream}))
		d.cluster.answer(upstream, nil)
	})
	return await(ctx, answer)
}

// Drains returns the drains that this daemon knows.
func (d *Daemon) Drains() []drain.Status { return *d.cluster.drains.Load() }

func (c *cluster) order(ctx context.Context, upstream domain.UpstreamID, event drain.Event) error {
	answer := make(chan error, 1)
	c.mailbox.post(func() {
		c.waiting[upstream] = append(c.waiting[upstream], answer)
		c.drive(c.controller.Handle(time.Now(), event))
	})
	return await(ctx, answer)
}

func await(ctx context.Context, answer <-chan error) error {
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (c *cluster) answer(upstream domain.UpstreamID, err error) {
	c.publishDrains()
	for _, waiting := range c.waiting[upstream] {
		waiting <- err
	}
	delete(c.waiting, upstream)
}

// publishDrains makes the drains' state visible to Drains.
func (c *cluster) publishDrains() {
	statuses := c.controller.Statuses()
	c.drains.Store(&statuses)
}

// shareWithDrains gives facts to the drain cores.
func (c *cluster) shareWithDrains(now time.Time, facts []ports.Fact) {
	c.drive(c.controller.Handle(now, drain.FactsReceived{Facts: facts}))
	c.drive(c.holder.Handle(now, drain.FactsReceived{Facts: facts}))
}

// drive carries out what the drain cores ask for.
func (c *cluster) drive(actions []drain.Action) {
	log := c.daemon.cfg.Log
	for _, action := range actions {
		switch a := action.(type) {
		case drain.Publish:
			c.submit(mesh.LocalFacts{Facts: a.Facts})
			c.shareWithDrains(time.Now(), a.Facts)
		case drain.Fence:
			c.mailbox.post(func() {
				c.drive(c.controller.Handle(time.Now(), drain.FenceResult{Fence: a, Err: errNoFence}))
			})
		case drain.Probe:
			c.probe(a)
		case drain.Commit:
			c.writeRecord(a)
		case drain.Accepted:
			log.Event(telemetry.DrainStep).Str("upstream", string(a.Upstream)).Uint64("epoch", a.Epoch).Str("phase", "accepted").Msg("")
			c.answer(a.Upstream, nil)
		case drain.Refused:
			log.Event(telemetry.DrainWarning).Str("upstream", string(a.Upstream)).Err(a.Err).Msg("")
			c.answer(a.Upstream, a.Err)
		case drain.PhaseChanged:
			log.Event(telemetry.DrainStep).Str("upstream", string(a.Upstream)).Uint64("epoch", a.Epoch).Str("phase", string(a.Phase)).Msg("")
		case drain.Warning:
			log.Event(telemetry.DrainWarning).Str("upstream", string(a.Upstream)).Err(a.Err).Msg("")
		case drain.StopNew:
			c.stopNew(a)
		case drain.ResumeNew:
			c.resumeNew(a.Upstream)
		case drain.MoveStreams:
			c.daemon.gateway.Leaving(a.Upstream, true, a.Deadline)
		}
	}
}

// probe asks whether the process of a daemon has ended.
func (c *cluster) probe(a drain.Probe) {
	go func() {
		result := drain.ProbeResult{Member: a.Member, Refused: c.transport.Refuses(c.ctx, a.Member)}
		if result.Refused {
			c.daemon.cfg.Log.Event(telemetry.MemberChanged).Str("member", string(a.Member.Daemon)).
				Uint64("incarnation", uint64(a.Member.Incarnation)).Str("change", "ended").Str("cause", "connection refused").Msg("")
		}
		c.mailbox.post(func() { c.drive(c.controller.Handle(time.Now(), result)) })
	}()
}

// stopNew excludes an upstream and counts what is still in progress. A request
// that was placed before sees the exclusion and is placed again, or is counted.
func (c *cluster) stopNew(a drain.StopNew) {
	c.epochs[a.Upstream] = a.Epoch
	c.setLeft(a.Upstream, true)
	c.daemon.gateway.Leaving(a.Upstream, true, time.Time{})
	c.counts[a.Upstream] = c.daemon.gateway.Running(a.Upstream)
	c.reportCount(a.Upstream)
}

func (c *cluster) resumeNew(upstream domain.UpstreamID) {
	delete(c.epochs, upstream)
	delete(c.counts, upstream)
	c.setLeft(upstream, false)
	c.daemon.gateway.Leaving(upstream, false, time.Time{})
	c.daemon.requestRebuild()
}

// setLeft publishes the set that routing tables are built with.
func (c *cluster) setLeft(upstream domain.UpstreamID, left bool) {
	if left {
		c.left[upstream] = true
	} else {
		delete(c.left, upstream)
	}
	shared := maps.Clone(c.left)
	c.leftShared.Store(&shared)
}

// count reports changed numbers of requests in progress at draining upstreams.
func (c *cluster) count() {
	for upstream := range c.epochs {
		if n := c.daemon.gateway.Running(upstream); n != c.counts[upstream] {
			c.counts[upstream] = n
			c.reportCount(upstream)
		}
	}
}

func (c *cluster) reportCount(upstream domain.UpstreamID) {
	c.drive(c.holder.Handle(time.Now(), drain.Counted{Upstream: upstream, Epoch: c.epochs[upstream], InProgress: c.counts[upstream]}))
}

// reported gives the load report of a draining upstream to the drain
// controller. Daemons whose lease ended cannot report zero any more, so that
// the upstream's own word is needed for its release.
func (c *cluster) reported(upstream domain.UpstreamID, report ports.LoadReport, began time.Time) {
	if !(*c.leftShared.Load())[upstream] {
		return
	}
	running := drain.Running{Upstream: upstream, Requests: report.Running + report.Queued, Measured: began.Add(-report.Age)}
	c.mailbox.post(func() { c.drive(c.controller.Handle(time.Now(), running)) })
}

// askQuiet asks quiet upstreams that wait only for daemons whose lease has
// ended. The holder of the drain lease does so, because its routing table may
// not have the upstream.
func (c *cluster) askQuiet(now time.Time) {
	p := c.daemon.policy.Load()
	if p == nil || !c.lease.Held(now) {
		return
	}
	for _, s := range *c.drains.Load() {
		if s.Phase != drain.Quiet || len(s.Unknown) == 0 || len(s.InProgress) > 0 {
			continue
		}
		for i := range p.Upstreams {
			if u := &p.Upstreams[i]; u.ID == s.Upstream {
				go c.askLoad(u.ID, u.Address)
			}
		}
	}
}

func (c *cluster) askLoad(upstream domain.UpstreamID, address string) {
	client, err := c.daemon.backends.get(address)
	if err != nil {
		return
	}
	began := time.Now()
	if report, err := client.Load(c.ctx); err == nil {
		c.reported(upstream, report, began)
	}
}

func (c *cluster) writeRecord(a drain.Commit) {
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, tableTimeout)
		defer cancel()
		version, err := c.daemon.cfg.Platform.Commit(ctx, a.Write)
		c.mailbox.post(func() {
			c.drive(c.controller.Handle(time.Now(), drain.CommitResult{Upstream: a.Upstream, Record: a.Record, Version: version, Err: err}))
		})
	}()
}

// readShared reads changed drain records and, on a few daemons, the VM list.
func (c *cluster) readShared() {
	now := time.Now()
	// Leaves also travel as facts, so that the table is asked less often while
	// peers are heard.
	if !c.evidence.hearsPeers(now) || now.Sub(c.askedRecords) >= recordInterval {
		c.askedRecords = now
		go c.readRecords(c.recordsFrom)
	}
	if c.readsVMs() {
		go c.readVMs()
	}
}

func (c *cluster) readRecords(since ports.Version) {
	ctx, cancel := context.WithTimeout(c.ctx, tableTimeout)
	defer cancel()
	began := time.Now()
	rows, err := scanAll(ctx, c.daemon.cfg.Platform, drain.RecordPrefix, since)
	if err == nil {
		c.mailbox.post(func() { c.recordsRead(began, rows) })
	}
}

func (c *cluster) readVMs() {
	ctx, cancel := context.WithTimeout(c.ctx, tableTimeout)
	defer cancel()
	if vms, err := c.daemon.cfg.Platform.VMs(ctx); err == nil {
		c.mailbox.post(func() { c.vmsListed(vms) })
	}
}

// readsVMs reports whether this daemon is among the few that read the VM list;
// the others hear of leaves by facts and records.
func (c *cluster) readsVMs() bool {
	lower := 0
	own := xxhash.Sum64String(string(c.self.Daemon))
	for _, e := range c.view.Load().Entries() {
		if e.Status == membership.Live && xxhash.Sum64String(string(e.Daemon)) < own {
			lower++
		}
	}
	return lower < vmReaders
}

func (c *cluster) recordsRead(began time.Time, rows []ports.Row) {
	c.evidence.platformRead(began)
	// Rows written while later pages were read may be missing; the first page
	// bounds what the next scan skips.
	for _, r := range rows[:min(len(rows), scanPage)] {
		c.recordsFrom = max(c.recordsFrom, r.Version)
	}
	if len(rows) > 0 {
		c.drive(c.controller.Handle(time.Now(), drain.RecordsRead{Rows: rows}))
	}
}

func (c *cluster) vmsListed(vms []domain.VM) {
	now := time.Now()
	c.follow(c.members.Handle(now, membership.VMsListed{VMs: vms}))
	c.drive(c.controller.Handle(now, drain.VMsListed{VMs: vms}))
}

// upstreamsChanged tells the drain controller which upstreams a policy has.
func (c *cluster) upstreamsChanged(p *policy.Policy) {
	list := make([]drain.Upstream, len(p.Upstreams))
	classes := p.ClassesByUpstream()
	for i := range p.Upstreams {
		u := &p.Upstreams[i]
		list[i] = drain.Upstream{ID: u.ID, VM: string(u.ID), Classes: classes[i]}
	}
	c.mailbox.post(func() {
		c.drive(c.controller.Handle(time.Now(), drain.UpstreamsChanged{Upstreams: list}))
	})
}
