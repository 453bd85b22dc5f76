package peers

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/contain"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// panickingState panics when it gets reports.
type panickingState struct{ idleState }

func (panickingState) MergeReports(map[uint32]balancer.LoadReport) { panic("planted") }

// Guards against one datagram that ends the process, or that leaves a lock held so that
// the node handles no further one.
func TestDatagramThatPanicsIsDropped(t *testing.T) {
	n := New(Config{Daemon: "a", Address: "a:1", Local: panickingState{}, Rand: rand.New(rand.NewPCG(1, 2)), Log: telemetry.NopLog()})
	data, err := encode(&Message{Sender: "b:1"})
	assert.NilError(t, err)
	for range 3 {
		err := contain.Do(n.Log, "a peer message", func() error { return n.receive(t.Context(), data) })
		assert.ErrorIs(t, err, contain.ErrPanic)
	}
	assert.DeepEqual(t, n.knownPeers(), []string{"a:1", "b:1"})
	n.contained("planted", func() { panic("planted") })
}
