package membership

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/mesh"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	// Lease is how long an incarnation lasts without renewal.
	Lease = 30 * time.Second
	// RenewInterval is the mean time between renewals.
	RenewInterval = 10 * time.Second
	// ClockMargin covers clocks that run at different rates: the holder stops
	// that much before the lease ends and observers wait that much longer.
	ClockMargin = 3 * time.Second
	// ScanInterval is the mean time between reads of changed roster rows.
	ScanInterval = 5 * time.Second
	// SweepInterval is the mean time between reads of all lease rows, which
	// finds daemons that have no neighbour left to suspect them.
	SweepInterval = 2 * time.Minute
	// ObserveInterval is the time between reads of a suspect's lease row.
	ObserveInterval = 5 * time.Second
	// GoneRetention is how long the row of an ended incarnation stays.
	GoneRetention = time.Hour

	// pauseLimit is the gap between two events that counts as a pause of the
	// process; Tick comes every second.
	pauseLimit   = 5 * time.Second
	minRetry     = 500 * time.Millisecond
	maxRetry     = 10 * time.Second
	refreshAfter = mesh.RefreshHours * time.Hour
)

// Config configures a Core.
type Config struct {
	// Self is the daemon without incarnation.
	Self ports.Member
	// Boot is unique to this run of the process.
	Boot string
	// Rand spreads periodic work.
	Rand *rand.Rand
}

// member is what is known about one daemon.
type member struct {
	ports.Member
	status Status
	since  time.Time
	// version is that of the roster row. Zero means known from facts only.
	version ports.Version
	// silent means that this daemon itself, as a neighbour, does not hear it.
	silent bool
	// heard means that this daemon hears it as a neighbour.
	heard bool
	// suspicion is the Seq of the last suspicion fact.
	suspicion uint64
	// watch observes the lease row.
	watch     watch
	purgeSent bool
}

// watch is the observation of one lease row.
type watch struct {
	active  bool
	version ports.Version
	// since is when the first read that returned version began.
	since  time.Time
	readAt time.Time
	busy   bool
}

// Core is the membership logic of one daemon. It is not safe for concurrent
// use.
type Core struct {
	cfg     Config
	members map[domain.DaemonID]*member
	own     ownLease
	scan    poll
	sweep   poll
	since   ports.Version
	asOf    time.Time
	// sweptVersions are the lease rows of the last sweep.
	sweptVersions map[domain.DaemonID]ports.Version
	last          time.Time
	view          *View
	number        uint64
	changed       bool
	actions       []Action
}

// poll is one periodic read.
type poll struct {
	at    time.Time
	busy  bool
	retry time.Duration
}

// NewCore returns a core that joins at its first event.
func NewCore(cfg Config) *Core {
	return &Core{cfg: cfg, members: map[domain.DaemonID]*member{}, view: newView(0, time.Time{}, nil)}
}

// View returns the current snapshot.
func (c *Core) View() *View { return c.view }

// Incarnation returns the incarnation that the daemon may act as, or zero.
func (c *Core) Incarnation() domain.Incarnation {
	if c.own.ended {
		return 0
	}
	return c.own.incarnation
}

// HoldsLease tells whether the daemon may act on its lease at a time.
func (c *Core) HoldsLease(now time.Time) bool {
	return c.own.incarnation != 0 && !c.own.ended && now.Before(c.own.until)
}

// Handle processes one event and returns what to do, in order.
func (c *Core) Handle(now time.Time, event Event) []Action {
	c.actions = nil
	c.checkLease(now)
	switch e := event.(type) {
	case ReadResult:
		c.onRead(now, e)
	case CommitResult:
		c.onCommit(now, e)
	case ScanResult:
		c.onScan(now, e)
	case PeerSilent:
		c.onSilent(now, e)
	case PeerHeard:
		c.onHeard(now, e)
	case FactsReceived:
		c.onFacts(now, e.Facts)
	case VMsListed:
		c.onVMs(now, e.VMs)
	case Tick:
	}
	c.drive(now)
	c.last = now
	c.publishView()
	return c.actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// drive starts whatever is due.
func (c *Core) drive(now time.Time) {
	c.driveOwn(now)
	if c.scan.due(now) {
		c.emit(Scan{Prefix: RosterPrefix, Since: c.since})
	}
	if c.sweep.at.IsZero() {
		c.sweep.at = c.jittered(now, SweepInterval)
	}
	if c.sweep.due(now) {
		c.emit(Scan{Prefix: LeasePrefix})
	}
	c.observe(now)
	c.purge(now)
}

func (p *poll) due(now time.Time) bool {
	if p.busy || now.Before(p.at) {
		return false
	}
	p.busy = true
	return true
}

// jittered returns a time between 0.75 and 1.25 intervals from now.
func (c *Core) jittered(now time.Time, interval time.Duration) time.Time {
	return now.Add(time.Duration(float64(interval) * (0.75 + c.cfg.Rand.Float64()/2)))
}

// finish plans the next read after success, or a retry with exponential
// backoff after failure.
func (c *Core) finish(now time.Time, p *poll, interval time.Duration, err error) {
	p.busy = false
	if err == nil {
		p.retry = 0
		p.at = c.jittered(now, interval)
		return
	}
	p.retry = min(max(2*p.retry, minRetry), maxRetry)
	p.at = c.jittered(now, p.retry)
}

func (c *Core) onRead(now time.Time, e ReadResult) {
	if e.Read.Purpose == PurposeJoin {
		c.onOwnRows(now, e)
		return
	}
	c.onLeaseRows(now, e)
}

func (c *Core) onScan(now time.Time, e ScanResult) {
	if e.Scan.Prefix == LeasePrefix {
		c.finish(now, &c.sweep, SweepInterval, e.Err)
		c.onSweep(now, e)
		return
	}
	c.finish(now, &c.scan, ScanInterval, e.Err)
	if e.Err != nil {
		return
	}
	c.asOf = e.At
	for _, r := range e.Rows {
		c.since = max(c.since, r.Version)
		if row, err := ParseRow(r); err == nil {
			c.learn(now, row.Member, row.Gone, r.Version)
		}
	}
}

// learn takes over a later incarnation or the end of the known one. What
// comes from facts has version zero.
func (c *Core) learn(now time.Time, m ports.Member, gone bool, version ports.Version) {
	known := c.members[m.Daemon]
	if known == nil {
		known = &member{}
		c.members[m.Daemon] = known
	}
	if m.Incarnation < known.Incarnation || (m.Incarnation == known.Incarnation && known.status == Gone) {
		known.version = max(known.version, version)
		return
	}
	known.version = max(known.version, version)
	if m.Incarnation > known.Incarnation {
		silent := known.silent
		*known = member{Member: m, status: Live, since: now, version: known.version, heard: known.heard}
		known.silent = silent && !gone
		c.changed = true
	}
	if gone {
		known.status = Gone
		known.since = now
		known.watch = watch{}
		c.changed = true
	}
}

func (c *Core) onFacts(now time.Time, facts []ports.Fact) {
	for _, f := range facts {
		if f.Member == nil {
			continue
		}
		switch f.Kind {
		case ports.FactDaemonJoined:
			c.learn(now, *f.Member, false, 0)
		case ports.FactDaemonGone:
			c.learn(now, *f.Member, true, 0)
		case ports.FactDaemonSuspect, ports.FactDaemonTrusted:
			c.onSuspicion(now, &f)
		}
	}
}

func (c *Core) publishFact(now time.Time, f ports.Fact) {
	f.Stamp = mesh.StampAt(now)
	c.emit(Publish{Facts: []ports.Fact{f}})
}

// publishView hands out a snapshot if the roster changed.
func (c *Core) publishView() {
	if !c.changed {
		return
	}
	c.changed = false
	c.number++
	entries := make([]Entry, 0, len(c.members))
	for _, m := range c.members {
		if m.status != Gone && m.Incarnation != 0 {
			entries = append(entries, Entry{Member: m.Member, Status: m.status, Since: m.since})
		}
	}
	c.view = newView(c.number, c.asOf, entries)
	c.emit(ViewChanged{View: c.view})
}

// sortedIDs gives loops a fixed order, so that equal inputs give equal outputs.
func (c *Core) sortedIDs() []domain.DaemonID {
	ids := make([]domain.DaemonID, 0, len(c.members))
	for id := range c.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func isConflict(err error) bool {
	var conflict *ports.ConflictError
	return errors.As(err, &conflict)
}
