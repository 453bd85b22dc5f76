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
}

func (e *evidence) platformRead(at time.Time) { e.platform.Store(at.UnixNano()) }

// fresh reports whether new work may start now at upstreams that are not known
// to leave. No upstream fences, since the upstream protocol has no such order.
func (e *evidence) fresh(now time.Time) bool {
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
	e.alone.Store(len(v.Entries()) <= 1)
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
