package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/drain"
	"github.com/auburndyke/auburndyke/internal/membership"
	"github.com/auburndyke/auburndyke/internal/mesh"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// evidence is what this daemon's view of leaves rests on; see drain.Gate.
type evidence struct {
	platform atomic.Int64 // start of the last successful read, Unix ns
	peers    atomic.Int64 // when any neighbour was last heard, Unix ns
	quorum   atomic.Bool
	alone    atomic.Bool
	// synced means that leaves accepted before this daemon was known to the
	// others are known here. New work waits for it.
	synced atomic.Bool
	// stale means that new work has been held back for staleLimit.
	stale atomic.Bool
}

func (e *evidence) platformRead(at time.Time) { e.platform.Store(at.UnixNano()) }

// fresh reports whether new work may start now at upstreams that are not known
// to leave. No upstream fences, since the upstream protocol has no such order.
func (e *evidence) fresh(now time.Time) bool {
	if !e.synced.Load() {
		return false
	}
	verdict := drain.Gate(now, false, false, false, drain.Evidence{
		PlatformRead: time.Unix(0, e.platform.Load()),
		PeerHeard:    time.Unix(0, e.peers.Load()),
		Quorum:       e.quorum.Load(),
		Alone:        e.alone.Load(),
	})
	return verdict == drain.Allow
}

// hearsPeers reports whether a peer was heard lately in a region with a quorum,
// so that new work does not rest on the platform.
func (e *evidence) hearsPeers(now time.Time) bool {
	return e.quorum.Load() && now.Sub(time.Unix(0, e.peers.Load())) <= drain.ViewLimit
}

// observeRoster takes over what the roster says about the own region.
func (e *evidence) observeRoster(v *membership.View, self ports.Member) {
	total, live := 1, 1
	for _, m := range v.Entries() {
		if m.Region != self.Region || m.Daemon == self.Daemon {
			continue
		}
		total++
		if m.Status == membership.Live {
			live++
		}
	}
	e.quorum.Store(2*live >= total)
	// A roster that was never read says nothing about other daemons.
	e.alone.Store(len(v.Entries()) <= 1 && !v.TableAsOf.IsZero())
}

const (
	// syncAfterPeer is how long a neighbour is heard until its facts are here.
	syncAfterPeer = time.Second
	// syncAfterJoin is when every daemon that reads the roster knows this one,
	// so that a later leave waits for its acknowledgement: two scans.
	syncAfterJoin = 2 * membership.ScanInterval
)

// checkSync decides whether a daemon that has started may start new work. A
// leave can be accepted without a daemon that nobody knows yet, so the daemon
// first hears the facts of a neighbour that acknowledged, or is alone by the
// table's word, or has read the drain records after all others know it.
func (c *cluster) checkSync(now time.Time) {
	e := &c.evidence
	if e.synced.Load() {
		c.checkStale(now)
		return
	}
	if c.joinedAt.IsZero() && c.heardSince.IsZero() {
		return
	}
	joined := !c.joinedAt.IsZero()
	switch {
	case !c.heardSince.IsZero() && now.Sub(c.heardSince) >= syncAfterPeer:
	case joined && e.alone.Load() && c.view.Load().TableAsOf.After(c.joinedAt):
	case joined && time.Unix(0, e.platform.Load()).After(c.joinedAt.Add(syncAfterJoin)):
	default:
		return
	}
	e.synced.Store(true)
	c.daemon.updateReadiness()
}

// staleLimit is how long new work may be held back by a stale view before the
// daemon becomes unready, so that the load balancer sends callers elsewhere.
const staleLimit = 3 * time.Second

// checkStale makes the daemon unready while its view of leaves is stale.
func (c *cluster) checkStale(now time.Time) {
	e := &c.evidence
	if e.fresh(now) {
		c.staleSince = time.Time{}
	} else if c.staleSince.IsZero() {
		c.staleSince = now
	}
	stale := !c.staleSince.IsZero() && now.Sub(c.staleSince) >= staleLimit
	if stale != e.stale.Load() {
		e.stale.Store(stale)
		c.daemon.updateReadiness()
	}
}

// hear keeps since when a neighbour has been heard without a gap.
func (c *cluster) hear(now, heard time.Time) {
	switch {
	case heard.IsZero() || now.Sub(heard) > drain.ViewLimit:
		c.heardSince = time.Time{}
	case c.heardSince.IsZero():
		c.heardSince = heard
	}
}

// observeMesh asks the mesh when a neighbour was last heard.
func (c *cluster) observeMesh() {
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, controlTick)
		defer cancel()
		_ = c.mesh.Inspect(ctx, func(n *mesh.Node) {
			heard := n.LastHeard()
			if !heard.IsZero() {
				c.evidence.peers.Store(heard.UnixNano())
			}
			c.mailbox.post(func() { c.hear(time.Now(), heard) })
			peers := peerStatuses(n)
			c.peers.Store(&peers)
		})
	}()
	c.evidence.observeRoster(c.view.Load(), c.self)
}

func peerStatuses(n *mesh.Node) []administration.PeerStatus {
	neighbours := n.Connections()
	out := make([]administration.PeerStatus, len(neighbours))
	for i, p := range neighbours {
		out[i] = administration.PeerStatus{Daemon: p.Daemon, Connected: p.Connected}
	}
	return out
}
