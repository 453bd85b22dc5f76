package membership

import (
	"errors"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// ownLease is the daemon's own place in the roster.
type ownLease struct {
	incarnation domain.Incarnation
	// ended means that a new incarnation is needed before acting.
	ended bool
	// lapsed means that LeaseLost was reported for the current incarnation.
	lapsed bool
	// until is when the daemon stops acting, by its own clock.
	until time.Time
	// leaseVersion is the version of the lease row; unsure means that a write
	// of unknown outcome may have replaced it.
	leaseVersion ports.Version
	unsure       bool
	refreshAt    time.Time
	call         poll
}

// checkLease runs before every event, because the first event after a pause
// may be any.
func (c *Core) checkLease(now time.Time) {
	o := &c.own
	if o.incarnation == 0 || o.ended || now.Before(o.until) {
		return
	}
	paused := !c.last.IsZero() && now.Sub(c.last) > pauseLimit
	if paused {
		o.ended = true
		o.call.at = now
		c.reportLost(true)
		return
	}
	if !o.lapsed {
		c.reportLost(false)
	}
}

func (c *Core) reportLost(ended bool) {
	c.own.lapsed = true
	c.emit(LeaseLost{Incarnation: c.own.incarnation, Ended: ended})
}

// driveOwn joins, or renews the lease.
func (c *Core) driveOwn(now time.Time) {
	o := &c.own
	if !o.call.due(now) {
		return
	}
	if o.incarnation == 0 || o.ended || o.unsure {
		c.emit(Read{Purpose: PurposeJoin, Keys: []string{RosterKey(c.cfg.Self.Daemon), LeaseKey(c.cfg.Self.Daemon)}})
		return
	}
	c.emit(Commit{Purpose: PurposeRenew, Daemon: c.cfg.Self.Daemon, Writes: []ports.Write{
		{Key: LeaseKey(c.cfg.Self.Daemon), Value: []byte(c.cfg.Boot), Expect: o.leaseVersion},
	}})
}

// onOwnRows continues with what the table holds: an incarnation of this run
// whose write had an unknown outcome, or nothing that this run may use.
func (c *Core) onOwnRows(now time.Time, e ReadResult) {
	o := &c.own
	if e.Err != nil {
		c.finish(now, &o.call, RenewInterval, e.Err)
		return
	}
	var roster, lease ports.Row
	for _, r := range e.Rows {
		switch r.Key {
		case RosterKey(c.cfg.Self.Daemon):
			roster = r
		case LeaseKey(c.cfg.Self.Daemon):
			lease = r
		}
	}
	row, err := ParseRow(roster)
	usable := err == nil && row.Boot == c.cfg.Boot && !row.Gone && lease.Version != 0
	retired := row.Incarnation == o.incarnation && o.ended
	o.unsure = false
	if usable && !retired {
		// The lease started no later than the read that found it began, but it
		// may be older, so the daemon renews before it acts.
		o.leaseVersion = lease.Version
		o.incarnation = row.Incarnation
		o.ended = false
		o.call = poll{at: now}
		return
	}
	c.join(roster.Version, lease.Version)
}

func (c *Core) join(roster, lease ports.Version) {
	self := c.cfg.Self
	self.Incarnation = 0
	c.emit(Commit{Purpose: PurposeJoin, Daemon: self.Daemon, Writes: []ports.Write{
		{Key: RosterKey(self.Daemon), Value: encodeRow(Row{Member: self, Boot: c.cfg.Boot}), Expect: roster},
		{Key: LeaseKey(self.Daemon), Value: []byte(c.cfg.Boot), Expect: lease},
	}})
}

func (c *Core) onCommit(now time.Time, e CommitResult) {
	switch e.Commit.Purpose {
	case PurposeJoin, PurposeRenew:
		c.onOwnCommit(now, e)
	case PurposeMarkGone:
		c.onMarkedGone(now, e)
	case PurposePurge:
		c.onPurged(e)
	}
}

func (c *Core) onOwnCommit(now time.Time, e CommitResult) {
	o := &c.own
	c.finish(now, &o.call, RenewInterval, e.Err)
	switch {
	case e.Err == nil && e.Commit.Purpose == PurposeJoin:
		o.incarnation = domain.Incarnation(e.Version)
		o.ended = false
		c.renewed(now, e)
	case e.Err == nil && !o.ended:
		c.renewed(now, e)
	case e.Err == nil:
		// A renewal that ends after a pause does not revive the incarnation.
		o.leaseVersion = e.Version
		o.call.at = now
	case isConflict(e.Err):
		c.onOwnConflict(now, e)
	case errors.Is(e.Err, ports.ErrUnknownOutcome):
		o.unsure = true
	}
}

// onOwnConflict reads the rows again. A lost renewal means that an observer
// ended the incarnation, or that an earlier write of unknown outcome worked.
func (c *Core) onOwnConflict(now time.Time, e CommitResult) {
	o := &c.own
	o.call.at = now
	o.unsure = true
	if e.Commit.Purpose == PurposeRenew && !o.ended {
		o.until = now
		if !o.lapsed {
			c.reportLost(false)
		}
	}
}

func (c *Core) renewed(now time.Time, e CommitResult) {
	o := &c.own
	o.leaseVersion = e.Version
	o.until = e.At.Add(Lease - ClockMargin)
	self := c.cfg.Self
	self.Incarnation = o.incarnation
	if now.Before(o.until) && (o.lapsed || e.Commit.Purpose == PurposeJoin || o.refreshAt.IsZero()) {
		o.lapsed = false
		o.refreshAt = time.Time{}
		c.learn(now, self, false, 0)
		c.emit(Joined{Member: self})
	}
	if now.Before(o.refreshAt) {
		return
	}
	o.refreshAt = now.Add(refreshAfter)
	c.publishFact(now, ports.Fact{Kind: ports.FactDaemonJoined, Member: &self})
}
