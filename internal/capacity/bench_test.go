package capacity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// One op is a request of one token through a daemon; "direct" goes to the
// engine. Both include the load generator and the stand-in.
func BenchmarkRequest(b *testing.B) {
	for name, direct := range map[string]bool{"direct": true, "relayed": false} {
		b.Run(name, func(b *testing.B) {
			r, err := newRelay(8, 64, time.Millisecond, 20)
			assert.NilError(b, err)
			defer r.close()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				assert.NilError(b, r.stream(b.Context(), i, 1, direct, func() {}))
			}
		})
	}
}

// One op is an answer of 1,000 tokens that the engine produces at once.
func BenchmarkThousandEvents(b *testing.B) {
	for name, direct := range map[string]bool{"direct": true, "relayed": false} {
		b.Run(name, func(b *testing.B) {
			r, err := newRelay(1, 64, time.Millisecond, 1000)
			assert.NilError(b, err)
			defer r.close()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				assert.NilError(b, r.stream(b.Context(), i, 1000, direct, func() {}))
			}
		})
	}
}

func BenchmarkSiteSubsets(b *testing.B) {
	for b.Loop() {
		siteSubsets(Planned())
	}
}

// One op is a decision with its log line at 2,500 upstreams of which the
// daemon uses 108.
func BenchmarkRoutingLine(b *testing.B) {
	s := Planned()
	bench, err := newBench(s.Upstreams, s.Models, int(s.SubsetSize()))
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		bench.logged(0)
	}
}
