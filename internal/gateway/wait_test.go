package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/examples"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/routing"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// Guards against a data race, seen under -race, between a request that has
// begun to wait and a change of the configuration that gives it a new route:
// a policy and a route of different revisions make indexes point elsewhere.
func TestChangeWhileRequestWaits(t *testing.T) {
	sources, err := examples.Sources("maraval-bay")
	assert.NilError(t, err)
	_, before, _ := policy.Load(1, sources...)
	_, after, _ := policy.Load(2, sources...)
	site := routing.Site{Daemon: "d1", Region: "north-coast", Leaving: map[domain.UpstreamID]bool{}}
	for i := range before.Upstreams {
		site.Leaving[before.Upstreams[i].ID] = true
	}
	g := New(Options{Log: telemetry.NopLog(), Metrics: telemetry.NewMetrics()})
	g.Apply(time.Now(), before, site, 1)
	j, failure := g.newJob("r1", "maraval-surf-school", "guest-question")
	assert.Assert(t, failure == nil)
	failure = j.generation(&Generation{Endpoint: ports.EndpointCompletion, Model: "lesson", Prompt: []byte(`"Is the swell up?"`)})
	assert.Assert(t, failure == nil)
	j.enqueue("lesson")
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = j.pool.admit(ctx, j.waiter)
	}()
	for j.pool.waiting.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	// Only a wait without synchronisation lets the detector see the race.
	time.Sleep(50 * time.Millisecond)
	g.Apply(time.Now(), after, site, 1)
	cancel()
	<-ended
	assert.Equal(t, j.policy, after)
}
