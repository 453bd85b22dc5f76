package membership

import (
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// onSilent suspects a neighbour, tells everyone and watches its lease row.
func (c *Core) onSilent(now time.Time, e PeerSilent) {
	m := c.members[e.Daemon]
	if m == nil || m.status == Gone || e.Daemon == c.cfg.Self.Daemon {
		return
	}
	m.silent = true
	m.heard = false
	c.startWatch(now, m)
	if m.status == Live {
		c.announce(now, m, ports.FactDaemonSuspect)
	}
}

func (c *Core) onHeard(now time.Time, e PeerHeard) {
	m := c.members[e.Daemon]
	if m == nil {
		return
	}
	if e.Incarnation >= m.Incarnation {
		m.heard = true
	}
	m.silent = false
	m.watch = watch{}
	if m.status == Suspect && m.heard {
		c.announce(now, m, ports.FactDaemonTrusted)
	}
}

// onSuspicion takes over a later suspicion. A daemon that hears the suspect
// objects, so that one broken link does not exclude a daemon.
func (c *Core) onSuspicion(now time.Time, f *ports.Fact) {
	m := c.members[f.Member.Daemon]
	if m == nil || f.Member.Incarnation != m.Incarnation || m.status == Gone || f.Seq < m.suspicion {
		return
	}
	m.suspicion = f.Seq
	c.setSuspicion(now, m, f.Kind == ports.FactDaemonSuspect)
	self := m.Daemon == c.cfg.Self.Daemon
	if m.status == Suspect && (m.heard || self) {
		c.announce(now, m, ports.FactDaemonTrusted)
	}
}

func (c *Core) announce(now time.Time, m *member, kind ports.FactKind) {
	m.suspicion++
	c.setSuspicion(now, m, kind == ports.FactDaemonSuspect)
	c.publishFact(now, ports.Fact{
		Kind: kind, Seq: m.suspicion,
		Member: &ports.Member{Daemon: m.Daemon, Incarnation: m.Incarnation},
	})
}

func (c *Core) setSuspicion(now time.Time, m *member, suspect bool) {
	status := Live
	if suspect {
		status = Suspect
	}
	if m.status == status {
		return
	}
	m.status = status
	m.since = now
	c.changed = true
}

func (c *Core) startWatch(now time.Time, m *member) {
	if !m.watch.active {
		m.watch = watch{active: true, readAt: now}
	}
}

// observe reads the lease rows of watched daemons that are due, in one call.
func (c *Core) observe(now time.Time) {
	var keys []string
	for _, id := range c.sortedIDs() {
		m := c.members[id]
		if !m.watch.active || m.watch.busy || now.Before(m.watch.readAt) {
			continue
		}
		m.watch.busy = true
		keys = append(keys, LeaseKey(id), RosterKey(id))
	}
	if len(keys) > 0 {
		c.emit(Read{Purpose: PurposeObserve, Keys: keys})
	}
}

func (c *Core) onLeaseRows(now time.Time, e ReadResult) {
	rows := map[string]ports.Row{}
	for _, r := range e.Rows {
		rows[r.Key] = r
	}
	for _, id := range c.sortedIDs() {
		m := c.members[id]
		if !m.watch.busy || !slices.Contains(e.Read.Keys, LeaseKey(id)) {
			continue
		}
		m.watch.busy = false
		m.watch.readAt = c.jittered(now, ObserveInterval)
		if e.Err != nil {
			// The daemon may have been unable to renew as well, so the
			// observation starts again.
			m.watch.version = 0
			continue
		}
		if r, ok := rows[RosterKey(id)]; ok {
			if row, err := ParseRow(r); err == nil {
				c.learnAndTell(now, row, r.Version)
			}
		}
		if lease, ok := rows[LeaseKey(id)]; ok && m.status != Gone {
			c.checkWatched(now, m, lease.Version, e.At)
		}
	}
}

// learnAndTell spreads the end of an incarnation that the table shows, so
// that daemons without access to the table learn it.
func (c *Core) learnAndTell(now time.Time, row Row, version ports.Version) {
	m := c.members[row.Daemon]
	news := row.Gone && (m == nil || m.Incarnation < row.Incarnation || m.status != Gone)
	c.learn(now, row.Member, row.Gone, version)
	if news {
		c.publishGone(now, row.Member)
	}
}

// checkWatched marks a daemon gone once a whole lease and the margin lie
// between the starts of two reads that returned the same version.
func (c *Core) checkWatched(now time.Time, m *member, lease ports.Version, at time.Time) {
	w := &m.watch
	if lease != w.version {
		w.version = lease
		w.since = at
		return
	}
	if at.Sub(w.since) < Lease+ClockMargin || m.version == 0 {
		return
	}
	ended := m.Member
	c.emit(Commit{Purpose: PurposeMarkGone, Daemon: m.Daemon, Writes: []ports.Write{
		{Key: RosterKey(m.Daemon), Value: encodeRow(Row{Member: ended, Gone: true}), Expect: m.version},
		{Key: LeaseKey(m.Daemon), Delete: true, Expect: lease},
	}})
	// The next attempt, if this one fails, starts a new observation.
	w.since = at
}

func (c *Core) onMarkedGone(now time.Time, e CommitResult) {
	if e.Err != nil {
		// A conflict means that the daemon renewed or that another observer was
		// first; the next read of the rows tells.
		return
	}
	row, err := ParseRow(ports.Row{Key: e.Commit.Writes[0].Key, Value: e.Commit.Writes[0].Value, Version: e.Version})
	if err != nil {
		return
	}
	c.learnAndTell(now, row, e.Version)
}

func (c *Core) publishGone(now time.Time, m ports.Member) {
	c.publishFact(now, ports.Fact{Kind: ports.FactDaemonGone, Member: &ports.Member{
		Daemon: m.Daemon, Incarnation: m.Incarnation,
	}})
}

// onSweep watches daemons without a lease row or whose row does not change
// between two sweeps.
func (c *Core) onSweep(now time.Time, e ScanResult) {
	if e.Err != nil {
		return
	}
	versions := map[domain.DaemonID]ports.Version{}
	for _, r := range e.Rows {
		versions[domain.DaemonID(r.Key[len(LeasePrefix):])] = r.Version
	}
	for _, id := range c.sortedIDs() {
		m := c.members[id]
		if m.status == Gone || id == c.cfg.Self.Daemon {
			continue
		}
		if c.sweptVersions[id] == versions[id] {
			c.startWatch(now, m)
		} else if !m.silent {
			m.watch = watch{}
		}
	}
	c.sweptVersions = versions
}

// onVMs uses the list as a hint only: a daemon whose VM is not listed, or is
// leaving, is looked at early.
func (c *Core) onVMs(now time.Time, vms []domain.VM) {
	listed := map[string]bool{}
	for _, vm := range vms {
		listed[vm.Name] = !vm.Leaving
	}
	for _, id := range c.sortedIDs() {
		m := c.members[id]
		if m.status != Gone && !m.heard && id != c.cfg.Self.Daemon && !listed[string(id)] {
			c.startWatch(now, m)
		}
	}
}

// purge deletes roster rows of incarnations that ended long ago. Each daemon
// tries at a random time; all but one find a conflict.
func (c *Core) purge(now time.Time) {
	for _, id := range c.sortedIDs() {
		m := c.members[id]
		if m.status != Gone || m.purgeSent || now.Sub(m.since) < GoneRetention {
			continue
		}
		if m.version == 0 || c.cfg.Rand.IntN(purgeOdds) != 0 {
			continue
		}
		m.purgeSent = true
		c.emit(Commit{Purpose: PurposePurge, Daemon: id, Writes: []ports.Write{
			{Key: RosterKey(id), Delete: true, Expect: m.version},
		}})
	}
}

// purgeOdds spreads the attempts over some minutes of ticks.
const purgeOdds = 300

// onPurged forgets the daemon. Joined facts of the ended incarnation cannot
// return, because the mesh keeps the end for longer.
func (c *Core) onPurged(e CommitResult) {
	m := c.members[e.Commit.Daemon]
	if m == nil || m.status != Gone {
		return
	}
	if e.Err == nil || isConflict(e.Err) {
		delete(c.members, e.Commit.Daemon)
		return
	}
	m.purgeSent = false
}
