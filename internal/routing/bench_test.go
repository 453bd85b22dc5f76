package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/auburndyke/auburndyke/internal/ports"
)

// benchRouter returns a router with n upstreams, each with some load and
// observations.
func benchRouter(n int) (*Router, *Request) {
	r, q := testRouter(n, 1<<20)
	rng := newRNG()
	for _, u := range r.Table().Members() {
		u.State.Report(start, ports.LoadReport{ActiveTokens: rng.IntN(20_000)}, 4)
		for i := range 20 {
			slot := u.State.Acquire(start, 1<<20, 100, float64(i)*100)
			slot.ObserveFirstToken(start.Add(time.Duration(100+rng.IntN(100)) * time.Millisecond))
			slot.Release(start.Add(time.Second), ResultOK)
		}
	}
	prompt := make([]byte, 8*PrefixBlockBytes)
	q.Prefix = PrefixHashes(nil, prompt)
	return r, q
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{8, 32, 128, 512, 2500} {
		b.Run(fmt.Sprint("candidates=", n), func(b *testing.B) {
			r, q := benchRouter(n)
			rng := newRNG()
			now := start.Add(2 * time.Second)
			b.ReportAllocs()
			for b.Loop() {
				c, _ := r.Pick(now, q, rng)
				c.Slot.Release(now, ResultCancelled)
			}
		})
	}
}

// A route can contain the whole fleet, of which a daemon uses a subset.
func BenchmarkPickSubset32Of2500(b *testing.B) {
	p, route := testPolicy(2500, 64)
	site := Site{Region: "a"}
	for i := range 32 {
		site.Subset = append(site.Subset, p.Upstreams[i*78].ID)
	}
	r := NewRouter(NewTable(start, nil, p, site))
	q := &Request{Route: route, Model: "m", PromptTokens: 500, OutputTokens: 300}
	rng := newRNG()
	b.ReportAllocs()
	for b.Loop() {
		c, _ := r.Pick(start, q, rng)
		c.Slot.Release(start, ResultCancelled)
	}
}

// Run with -cpu 1,2,4,8,10. In "shared", all goroutines pick among the same 32
// equal upstreams. In "separate", each goroutine has its own, which is the upper
// bound on this machine. The ratio is the cost of shared state.
func BenchmarkPickParallel(b *testing.B) {
	now := start.Add(2 * time.Second)
	run := func(b *testing.B, router func() (*Router, *Request)) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			r, q := router()
			rng := rand.New(rand.NewPCG(1, rand.Uint64()))
			for pb.Next() {
				c, _ := r.Pick(now, q, rng)
				c.Slot.Release(now, ResultCancelled)
			}
		})
	}
	shared, q := testRouter(32, 1<<20)
	b.Run("shared", func(b *testing.B) {
		run(b, func() (*Router, *Request) { return shared, q })
	})
	b.Run("separate", func(b *testing.B) {
		run(b, func() (*Router, *Request) { return testRouter(32, 1<<20) })
	})
}

func BenchmarkPickBaselines(b *testing.B) {
	for name, picker := range map[string]Picker{"round_robin": &RoundRobin{}, "least_requests": LeastRequests{}} {
		b.Run(name, func(b *testing.B) {
			r, q := benchRouter(32)
			r.Scorers, r.Picker = nil, picker
			rng := newRNG()
			for b.Loop() {
				c, _ := r.Pick(start, q, rng)
				c.Slot.Release(start, ResultCancelled)
			}
		})
	}
}

func BenchmarkSubsets(b *testing.B) {
	for _, n := range []struct{ d, u, size int }{{110, 140, 32}, {330, 2500, 32}} {
		d, u := testIDs(n.d, n.u)
		b.Run(fmt.Sprintf("%dx%d", n.d, n.u), func(b *testing.B) {
			for b.Loop() {
				Subset(d, u, d[0], n.size)
			}
		})
	}
}

func BenchmarkNewTable(b *testing.B) {
	p, _ := testPolicy(2500, 64)
	var previous *Table
	for b.Loop() {
		previous = NewTable(start, previous, p, Site{Region: "a"})
	}
}
