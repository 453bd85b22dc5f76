package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/drain"
	"github.com/auburndyke/auburndyke/internal/mesh"
)

// evidence is what this daemon's view of leaves rests on. A daemon that hears
// neither the platform nor any peer cannot learn of a leave and therefore
// starts no new work, since the upstreams do not refuse it themselves.
type evidence struct {
	platform atomic.Int64 // start of the last successful read, Unix ns
	peers    atomic.Int64 // when any neighbour was last heard, Unix ns
	alone    atomic.Bool  // no other daemon is known
}

func (e *evidence) platformRead(at time.Time) { e.platform.Store(at.UnixNano()) }

// fresh reports whether new work may start now.
func (e *evidence) fresh(now time.Time) bool {
	limit := now.Add(-drain.ViewLimit).UnixNano()
	if e.platform.Load() >= limit || e.peers.Load() >= limit {
		return true
	}
	// Without peers, only this daemon or the platform can accept a leave, and
	// the platform is down or cut off. The operators of a single daemon prefer
	// that it goes on.
	return e.alone.Load()
}

// observeMesh asks the mesh when a neighbour was last heard.
func (c *cluster) observeMesh() {
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, controlTick)
		defer cancel()
		_ = c.mesh.Inspect(ctx, func(n *mesh.Node) {
			if heard := n.LastHeard(); !heard.IsZero() {
				c.evidence.peers.Store(heard.UnixNano())
			}
			peers := peerStatuses(n)
			c.peers.Store(&peers)
		})
	}()
	c.evidence.alone.Store(len(c.view.Load().Members()) <= 1)
}

func peerStatuses(n *mesh.Node) []administration.PeerStatus {
	neighbours := n.Connections()
	out := make([]administration.PeerStatus, len(neighbours))
	for i, p := range neighbours {
		out[i] = administration.PeerStatus{Daemon: p.Daemon, Connected: p.Connected}
	}
	return out
}
