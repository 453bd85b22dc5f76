package mesh

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// BenchmarkSecond shows the cost of one idle second of a node (ticks and
// heartbeats of all neighbours) and how it grows with the fleet.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{8, 32, 128, 330} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			members := roster(n)
			now := time.Unix(1_800_000_000, 0)
			node := NewNode(Config{Self: members[0].Daemon, Rand: rand.New(rand.NewPCG(1, 1))})
			node.Handle(now, RosterChanged{Members: members})
			peers := Graph(members, members[0].Daemon)
			for _, p := range peers {
				node.Handle(now, PeerConnected{Peer: p.Daemon, Hello: ports.Hello{Member: p}})
			}
			for i := range 3000 {
				fact := ports.Fact{Kind: ports.FactUpstreamLeaving, Upstream: domain.UpstreamID(fmt.Sprint(i)), Epoch: 1, Stamp: StampAt(now)}
				node.Handle(now, LocalFacts{Facts: []ports.Fact{fact}})
			}
			for b.Loop() {
				for range time.Second / TickInterval {
					now = now.Add(TickInterval)
					node.Handle(now, Tick{})
				}
				for _, p := range peers {
					node.Handle(now, FrameReceived{Peer: p.Daemon, Frame: ports.Frame{Heartbeat: &ports.Heartbeat{}}})
				}
			}
		})
	}
}

// BenchmarkGraph shows the cost of a roster change.
func BenchmarkGraph(b *testing.B) {
	for _, n := range []int{8, 32, 128, 330} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			members := roster(n)
			for b.Loop() {
				Graph(members, members[0].Daemon)
			}
		})
	}
}
