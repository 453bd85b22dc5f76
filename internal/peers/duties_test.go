package peers

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/duty"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/quarantine"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// recordedDuties records what peers say.
type recordedDuties struct {
	mu     sync.Mutex
	merged []duty.Sighting
}

func (r *recordedDuties) Sightings(time.Time) []duty.Sighting {
	return []duty.Sighting{{Rank: 7, Age: 3, Failing: true}}
}

func (r *recordedDuties) Merge(_ time.Time, s []duty.Sighting) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.merged = append(r.merged, s...)
}

// Guards against candidates that are lost on the way, that are taken for another kind of
// datagram, or the reverse, and against a daemon without duties that rejects them.
func TestCandidatesAreExchanged(t *testing.T) {
	duties := &recordedDuties{}
	n := New(Config{Daemon: "a", Address: "a:1", Local: idleState{}, Duties: duties, Rand: rand.New(rand.NewPCG(1, 2)), Log: telemetry.NopLog()})
	data, err := encodeCandidates(duties.Sightings(time.Now()))
	assert.NilError(t, err)
	assert.NilError(t, n.receive(t.Context(), data))
	assert.DeepEqual(t, duties.merged, duties.Sightings(time.Now()))
	_, ok := decodeEvidence(data)
	assert.Assert(t, !ok)

	message, err := encode(&Message{Sender: "b:1"})
	assert.NilError(t, err)
	evidence, err := encodeEvidence(&quarantine.Report{})
	assert.NilError(t, err)
	for _, other := range [][]byte{message, evidence} {
		_, ok := decodeCandidates(other)
		assert.Assert(t, !ok)
	}
	n.Duties = nil
	assert.NilError(t, n.receive(t.Context(), data))
	n.sendCandidates(time.Now(), nil)
	full := make([]duty.Sighting, 17)
	for i := range full {
		full[i] = duty.Sighting{Rank: 1<<32 - 1, Age: 1<<16 - 1, Failing: true}
	}
	data, err = encodeCandidates(full)
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 200, "%d bytes", len(data))
}

// Guards against a daemon that competes for the duties before it knows the fleet, and
// against a daemon alone that waits for others.
func TestKnowsFleetAfterTheDirectory(t *testing.T) {
	now := time.Unix(1000, 0)
	row := func(name string) ports.Row {
		return ports.Row{Key: name, Value: mustMarshal(t, directoryEntry{Address: name + ":1", Zone: "z"})}
	}
	newNode := func() *Node {
		return New(Config{Daemon: "a", Address: "a:1", Zone: "z", Local: idleState{}, Rand: rand.New(rand.NewPCG(1, 2)), Log: telemetry.NopLog()})
	}
	n := newNode()
	assert.Assert(t, !n.KnowsFleet(now))
	n.applyDirectory(now, []ports.Row{row("a"), row("b")})
	assert.Assert(t, !n.KnowsFleet(now.Add(candidateSettleTime-1)))
	assert.Assert(t, n.KnowsFleet(now.Add(candidateSettleTime)))
	assert.DeepEqual(t, n.KnownPeers(), []string{"b:1"})
	assert.Equal(t, len(n.RecentPeers(now)), 0)
	assert.NilError(t, n.receive(t.Context(), mustMarshal(t, &plainMessage{Sender: "b:1"})))
	assert.DeepEqual(t, n.RecentPeers(time.Now()), []string{"b:1"})

	alone := newNode()
	alone.applyDirectory(now, []ports.Row{row("a")})
	assert.Assert(t, alone.KnowsFleet(now))
	empty := newNode()
	empty.applyDirectory(now, nil)
	assert.Assert(t, !empty.KnowsFleet(now))
	assert.Assert(t, empty.KnowsFleet(now.Add(candidateSettleTime)))
}

func mustMarshal(t *testing.T, v any) []byte {
	t.Helper()
	data, err := cbor.Marshal(v)
	assert.NilError(t, err)
	return data
}
