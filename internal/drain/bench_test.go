package drain

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/membership"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// BenchmarkTick shows how the cost of a tick grows with running drains at 330
// daemons.
func BenchmarkTick(b *testing.B) {
	for _, drains := range []int{1, 10, 50} {
		b.Run(fmt.Sprintf("drains=%d", drains), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			var facts []ports.Fact
			for i := range 330 {
				facts = append(facts, ports.Fact{Kind: ports.FactDaemonJoined, Member: &ports.Member{
					Daemon: domain.DaemonID(fmt.Sprintf("d%03d", i)), Incarnation: 1,
				}})
			}
			roster := membership.NewCore(membership.Config{Rand: rand.New(rand.NewPCG(1, 1))})
			roster.Handle(now, membership.FactsReceived{Facts: facts})
			c := NewController(Config{Self: "d000"})
			var list []Upstream
			for i := range drains + 1 {
				list = append(list, Upstream{ID: domain.UpstreamID(fmt.Sprintf("u%d", i)), Fences: true})
			}
			c.Handle(now, UpstreamsChanged{Upstreams: list})
			c.Handle(now, ViewChanged{View: roster.View()})
			for _, u := range list[:drains] {
				c.Handle(now, LeaveRequested{Upstream: u.ID})
			}
			for b.Loop() {
				c.Handle(now, Tick{})
			}
		})
	}
}
