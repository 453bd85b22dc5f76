package drain

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/mesh"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// probeSilent asks about daemons whose lease ended before they acknowledged.
// Silence may be a partition behind which they go on serving; a machine that
// refuses connections to a daemon shows that its process has ended. The daemon
// that took the order asks, and the holder of the drain lease.
func (c *Controller) probeSilent(now time.Time, d *drain) {
	if !d.owned && !c.holder {
		return
	}
	for _, id := range sortedKeys(d.participants) {
		p := d.participants[id]
		if p.acked || !p.ended || p.member.Address == "" || c.replaced(p) {
			continue
		}
		if at, ok := c.probedAt[id]; ok && now.Sub(at) < probeInterval {
			continue
		}
		c.probedAt[id] = now
		c.emit(Probe{Member: p.member})
	}
}

// onProbed tells all daemons about a process that has ended. A later run of the
// daemon has a higher incarnation, which the fact does not touch.
func (c *Controller) onProbed(now time.Time, e ProbeResult) {
	if !e.Refused {
		return
	}
	delete(c.probedAt, e.Member.Daemon)
	member := e.Member
	fact := ports.Fact{Kind: ports.FactDaemonGone, Seq: 1, Stamp: mesh.StampAt(now), Member: &member}
	c.noteStop(&fact)
	c.emit(Publish{Facts: []ports.Fact{fact}})
}
