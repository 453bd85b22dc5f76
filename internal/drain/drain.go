package drain

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/membership"
	"github.com/auburndyke/auburndyke/internal/mesh"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// participant is one daemon incarnation that a drain waits for.
type participant struct {
	member ports.Member
	acked  bool
	seq    uint64
	count  int
	// ended means that its lease has ended by the table's word.
	ended bool
}

// idle tells whether the daemon is known to have no request in progress. An
// acknowledged zero stays true, because no new work follows it.
func (p *participant) idle() bool { return p.acked && p.count == 0 }

// drain is what a controller knows about one upstream.
type drain struct {
	fact   ports.Fact
	source Source
	since  time.Time
	// owned means that the order or the listing came to this daemon.
	owned        bool
	accepted     bool
	phase        Phase
	participants map[domain.DaemonID]*participant
	// seen is the view that participants were last compared with.
	seen *membership.View

	fenced    bool
	fencedAt  time.Time
	fenceAt   time.Time
	runs      int // the upstream's own report; -1 means none since new work ended
	quietAt   time.Time
	version   ports.Version
	written   Record
	writing   bool
	writeAt   time.Time
	refreshAt time.Time
}

// Status is the operator's view of one drain.
type Status struct {
	Upstream domain.UpstreamID `json:"upstream"`
	Epoch    uint64            `json:"epoch"`
	Phase    Phase             `json:"phase"`
	Source   Source            `json:"source"`
	Since    time.Time         `json:"since"`
	Deadline time.Time         `json:"deadline,omitzero"`
	Accepted bool              `json:"accepted"`
	// Fenced tells that the upstream confirmed to refuse new work.
	Fenced bool `json:"fenced"`
	// Waiting are daemons that have not acknowledged and still hold a lease.
	Waiting []domain.DaemonID `json:"waiting,omitempty"`
	// InProgress counts requests by daemon.
	InProgress map[domain.DaemonID]int `json:"in_progress,omitempty"`
	// Unknown are daemons whose lease ended before they reported zero.
	Unknown []domain.DaemonID `json:"unknown,omitempty"`
}

// Statuses returns all drains, sorted by upstream.
func (c *Controller) Statuses() []Status {
	var out []Status
	for _, id := range sortedKeys(c.drains) {
		if d := c.drains[id]; d.phase != Serving {
			out = append(out, d.status())
		}
	}
	return out
}

func (d *drain) status() Status {
	s := Status{
		Upstream: d.fact.Upstream, Epoch: d.fact.Epoch, Phase: d.phase, Source: d.source, Since: d.since,
		Accepted: d.accepted, Fenced: d.fenced, InProgress: map[domain.DaemonID]int{},
	}
	if d.fact.Deadline != 0 {
		s.Deadline = time.Unix(d.fact.Deadline, 0)
	}
	for _, id := range sortedKeys(d.participants) {
		switch p := d.participants[id]; {
		case p.idle():
		case p.ended:
			s.Unknown = append(s.Unknown, id)
		case !p.acked:
			s.Waiting = append(s.Waiting, id)
		default:
			s.InProgress[id] = p.count
		}
	}
	return s
}

// onFact takes over a fact and reports whether it was news.
func (c *Controller) onFact(now time.Time, f ports.Fact, source Source) bool {
	if f.Kind == ports.FactDrainAck && f.Member != nil {
		c.onAck(f)
		return true
	}
	if !isUpstreamFact(&f) {
		return false
	}
	d := c.drains[f.Upstream]
	if d == nil {
		d = &drain{phase: Serving}
		c.drains[f.Upstream] = d
	} else if !mesh.Supersedes(f, d.fact) {
		return false
	}
	if sameDrain(&d.fact, &f) {
		d.fact = f
		return true
	}
	d.restart(now, f, source)
	c.emit(PhaseChanged{Upstream: f.Upstream, Epoch: f.Epoch, Phase: d.phase})
	return true
}

// restart begins a new epoch. What is known about the record stays.
func (d *drain) restart(now time.Time, f ports.Fact, source Source) {
	*d = drain{
		fact: f, source: source, since: now, owned: source != FromFact,
		participants: map[domain.DaemonID]*participant{}, runs: -1,
		version: d.version, written: d.written, writing: d.writing, writeAt: now,
	}
	switch f.Kind {
	case ports.FactUpstreamServing:
		d.phase = Serving
	case ports.FactUpstreamGone:
		d.phase = Gone
	default:
		d.phase = Draining
	}
}

func (c *Controller) onAck(f ports.Fact) {
	d := c.drains[f.Upstream]
	if d == nil || d.fact.Epoch != f.Epoch || d.fact.Incarnation != f.Incarnation {
		return
	}
	p := d.participants[f.Member.Daemon]
	if p == nil || p.member.Incarnation < f.Member.Incarnation {
		p = &participant{member: *f.Member}
		d.seen = nil
		d.participants[f.Member.Daemon] = p
	}
	if p.member.Incarnation != f.Member.Incarnation || f.Seq < p.seq {
		return
	}
	p.acked, p.seq, p.count = true, f.Seq, f.InProgress
}

func (c *Controller) onRunning(e Running) {
	d := c.drains[e.Upstream]
	if d == nil {
		return
	}
	afterFence := d.fenced && e.Measured.After(d.fencedAt)
	// An upstream that does not fence gets no new work once every daemon has
	// acknowledged or lost its lease.
	afterQuiet := !c.upstreams[e.Upstream].Fences && !d.quietAt.IsZero() && e.Measured.After(d.quietAt)
	if afterFence || afterQuiet {
		d.runs = e.Requests
	}
}

// drive moves one drain forward.
func (c *Controller) drive(now time.Time, d *drain) {
	if d.phase != Gone {
		c.driveFence(now, d)
	}
	if d.fact.Kind == ports.FactUpstreamLeaving {
		c.updateParticipants(d)
		c.advance(now, d)
		c.refresh(now, d)
	}
	c.driveRecord(now, d)
}

// updateParticipants adds daemons of the roster and marks those that left it.
// A suspect still counts: it may hold requests until its lease ends.
func (c *Controller) updateParticipants(d *drain) {
	if c.view == nil || d.seen == c.view {
		return
	}
	d.seen = c.view
	for _, m := range c.view.Members() {
		p := d.participants[m.Daemon]
		known := p != nil && p.member.Incarnation >= m.Incarnation
		if known || (c.cfg.Reaches != nil && !c.cfg.Reaches(m, d.fact.Upstream)) {
			continue
		}
		d.participants[m.Daemon] = &participant{member: m}
	}
	for id, p := range d.participants {
		e, ok := c.view.Find(id)
		p.ended = !ok || e.Incarnation > p.member.Incarnation
	}
}

// advance computes the phase. It only rises within one epoch, except that a
// daemon that joins later has to acknowledge too.
func (c *Controller) advance(now time.Time, d *drain) {
	fences := c.upstreams[d.fact.Upstream].Fences
	stopped, idle := c.view != nil, true
	silentStopped := !fences && c.view != nil && c.silentStopped(d)
	for _, p := range d.participants {
		stopped = stopped && (p.acked || (p.ended && (d.fenced || (!fences && silentStopped))))
		idle = idle && (p.idle() || (p.ended && d.runs == 0))
	}
	if !stopped && !fences {
		c.probeSilent(now, d)
	}
	if !d.accepted && (d.fenced || stopped) {
		d.accepted = true
		if d.owned {
			c.emit(Accepted{Upstream: d.fact.Upstream, Epoch: d.fact.Epoch})
		}
	}
	phase := Draining
	if stopped {
		phase = Quiet
		if d.quietAt.IsZero() {
			d.quietAt = now
		}
	}
	if stopped && idle {
		phase = Releasable
	}
	if phase != d.phase {
		d.phase = phase
		c.emit(PhaseChanged{Upstream: d.fact.Upstream, Epoch: d.fact.Epoch, Phase: phase})
	}
}

// silentStopped tells whether the daemons whose lease ended before they
// acknowledged are known to send no new work to an upstream that does not
// fence. The end of a lease alone proves nothing, because a region that is cut
// off from the platform goes on serving. One such daemon hears nobody, so that
// Gate stops it, or hears one that has acknowledged and told it. Several may
// hear each other; Gate stops them unless they are at least half of a region.
func (c *Controller) silentStopped(d *drain) bool {
	silent, total := map[domain.Region]int{}, map[domain.Region]int{}
	count := 0
	for _, p := range d.participants {
		total[p.member.Region]++
		if !p.acked && p.ended && !c.replaced(p) {
			silent[p.member.Region]++
			count++
		}
	}
	if count <= 1 {
		return true
	}
	for region, n := range silent {
		if 2*n >= total[region] {
			return false
		}
	}
	return true
}

// replaced tells whether a daemon has stopped by its own word or by a probe, its
// VM has gone from the list, or a later run of it is in the roster.
func (c *Controller) replaced(p *participant) bool {
	if c.stopped[p.member.Daemon] >= p.member.Incarnation {
		return true
	}
	if vm := c.vms[string(p.member.Daemon)]; vm != nil && !vm.missing.IsZero() {
		return true
	}
	e, ok := c.view.Find(p.member.Daemon)
	return ok && e.Incarnation > p.member.Incarnation
}

// driveFence tells the upstream until it confirms, and now and then after.
func (c *Controller) driveFence(now time.Time, d *drain) {
	up, ok := c.upstreams[d.fact.Upstream]
	if !ok || !up.Fences || now.Before(d.fenceAt) {
		return
	}
	open := d.fact.Kind == ports.FactUpstreamServing
	if open && d.fenced {
		return
	}
	if d.source != FromOperator && !c.holder && !c.elected(up.ID) {
		d.fenceAt = now.Add(FenceRetry)
		return
	}
	d.fenceAt = now.Add(fenceTimeout)
	c.emit(Fence{Upstream: up.ID, Epoch: d.fact.Epoch, Open: open})
}

// elected tells whether this daemon is among the fencers of an upstream.
// Without a roster it is, because fences are idempotent.
func (c *Controller) elected(id domain.UpstreamID) bool {
	if c.view == nil {
		return true
	}
	own := xxhash.Sum64String(string(id) + "\x00" + string(c.cfg.Self))
	higher := 0
	for _, e := range c.view.Entries() {
		if e.Status == membership.Live && xxhash.Sum64String(string(id)+"\x00"+string(e.Daemon)) > own {
			higher++
		}
	}
	return higher < fencers
}

func (c *Controller) onFenced(now time.Time, e FenceResult) {
	d := c.drains[e.Fence.Upstream]
	if d == nil || d.fact.Epoch != e.Fence.Epoch || e.Fence.Open != (d.fact.Kind == ports.FactUpstreamServing) {
		return
	}
	if e.Err != nil {
		d.fenceAt = now.Add(FenceRetry)
		return
	}
	d.fenceAt = now.Add(RefenceInterval)
	if !d.fenced {
		d.fenced = true
		d.fencedAt = now
	}
}

// refresh confirms a drain that lasts long, so that the mesh keeps it.
func (c *Controller) refresh(now time.Time, d *drain) {
	if d.refreshAt.IsZero() {
		d.refreshAt = now.Add(refreshAfter)
	}
	if !c.holder || now.Before(d.refreshAt) {
		return
	}
	d.refreshAt = now.Add(refreshAfter)
	d.fact.Stamp = mesh.StampAt(now)
	c.emit(Publish{Facts: []ports.Fact{d.fact}})
}

// driveRecord writes the durable record if this daemon holds the drain lease.
func (c *Controller) driveRecord(now time.Time, d *drain) {
	rec := Record{
		Upstream: d.fact.Upstream, Incarnation: d.fact.Incarnation, Epoch: d.fact.Epoch,
		Phase: d.phase, Deadline: d.fact.Deadline,
	}
	if !c.holder || d.writing || rec == d.written || now.Before(d.writeAt) {
		return
	}
	d.writing = true
	c.emit(Commit{Upstream: rec.Upstream, Record: rec, Write: rec.write(d.version)})
}

// onCommit waits for the next read of the rows after a failure: it brings the
// version and shows whether a write of unknown outcome took effect.
func (c *Controller) onCommit(now time.Time, e CommitResult) {
	d := c.drains[e.Upstream]
	if d == nil {
		return
	}
	d.writing = false
	d.writeAt = now.Add(RecordRetry)
	if e.Err == nil && e.Version > d.version {
		d.version = e.Version
		d.written = e.Record
		d.writeAt = now
	}
}

func (c *Controller) onRecords(now time.Time, rows []ports.Row) {
	for _, r := range rows {
		rec, err := ParseRecord(r)
		if err != nil {
			continue
		}
		// The record is published too: a daemon that hears only the mesh
		// depends on it.
		c.publish(now, rec.fact(now), FromFact)
		if d := c.drains[rec.Upstream]; d != nil && r.Version > d.version {
			d.version = r.Version
			d.written = rec
		}
	}
}

// Holders returns the daemons that still hold requests of an upstream, with
// the largest count first.
func (s Status) Holders() []domain.DaemonID {
	ids := sortedKeys(s.InProgress)
	slices.SortStableFunc(ids, func(a, b domain.DaemonID) int {
		return cmp.Compare(s.InProgress[b], s.InProgress[a])
	})
	return ids
}
