package peers

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/origin"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/quarantine"
	"github.com/auburndyke/auburndyke/internal/telemetry"
	"github.com/auburndyke/auburndyke/internal/usage"
)

// streamMessages are the largest question and answer about streams.
func streamMessages() []*origin.Message {
	const sender = "255.255.255.255:65535"
	q, a := &origin.Question{Service: strings.Repeat("s", 40)}, &origin.Answer{Listed: true, Complete: true, Mixed: true}
	for i := range 8 {
		a.Versions = append(a.Versions, fmt.Sprintf("2026.12.07-release-%d", i))
	}
	for i := range uint64(64) {
		q.Streams = append(q.Streams, 1<<63+i)
		a.Streams = append(a.Streams, origin.KnownStream{Stream: 1<<63 + i, Version: 7})
	}
	return []*origin.Message{{Sender: sender, Round: 1 << 31, Question: q}, {Sender: sender, Round: 1 << 31, Answer: a}}
}

// Guards against questions and answers that exceed a datagram, and against datagrams of
// one kind that are taken for another.
func TestStreamMessagesAreTheirOwnKind(t *testing.T) {
	for _, m := range streamMessages() {
		data, err := encodeStreams(m)
		assert.NilError(t, err)
		t.Logf("%d bytes", len(data))
		got, ok := decodeStreams(data)
		assert.Assert(t, ok)
		assert.DeepEqual(t, got, m)
		_, ok = decodeEvidence(data)
		assert.Assert(t, !ok)
		_, ok = decodeUsage(data)
		assert.Assert(t, !ok)
		_, ok = decodeCandidates(data)
		assert.Assert(t, !ok)
		_, ok = decodeAnnouncement(data)
		assert.Assert(t, !ok)
		_, err = decode(data)
		assert.Assert(t, err != nil)
	}
	evidence, err := encodeEvidence(&quarantine.Report{})
	assert.NilError(t, err)
	counts, err := encodeUsage(&usage.Message{Kind: usage.KindCounts, Sender: "127.0.0.1:1"})
	assert.NilError(t, err)
	candidates, err := encodeCandidates(nil)
	assert.NilError(t, err)
	announced, err := encodeAnnouncement("127.0.0.1:1", nil)
	assert.NilError(t, err)
	plain, err := encode(&Message{Sender: "127.0.0.1:1"})
	assert.NilError(t, err)
	returned, err := encode(&Message{Sender: "127.0.0.1:1", Return: &PlatformReturn{}})
	assert.NilError(t, err)
	for i, data := range [][]byte{evidence, counts, candidates, announced, plain, returned} {
		_, ok := decodeStreams(data)
		assert.Assert(t, !ok, "datagram %d", i)
	}
}

// Guards against a fleet whose size is taken from a directory that its daemons have not
// entered yet, so that one daemon alone counts as most of them.
func TestSizeOfFleetIsUnknownBeforeRegistration(t *testing.T) {
	d := &memoryDirectory{rows: make(map[string][]byte)}
	n := New(Config{
		Daemon: "d-1", Address: "127.0.0.1:11", Directory: d, Local: idleState{}, Rand: rand.New(rand.NewPCG(1, 2)), Log: telemetry.NopLog(),
	})
	_, _, fleet := n.knownDaemons()
	assert.Equal(t, fleet, 0)
	_, err := n.syncDirectory(t.Context())
	assert.NilError(t, err)
	_, _, fleet = n.knownDaemons()
	assert.Equal(t, fleet, 0, "the daemon's own row was missing, and others' may have been")
	for i := range 3 {
		other := New(Config{
			Daemon: fmt.Sprint("d-", i+2), Address: fmt.Sprint("127.0.0.1:1", i+2), Directory: d, Local: idleState{},
			Rand: rand.New(rand.NewPCG(1, 2)), Log: telemetry.NopLog(),
		})
		_, err := other.syncDirectory(t.Context())
		assert.NilError(t, err)
	}
	_, err = n.syncDirectory(t.Context())
	assert.NilError(t, err)
	all, _, fleet := n.knownDaemons()
	assert.Equal(t, fleet, 4)
	assert.Equal(t, len(all), 3)
	n.state.Receive(time.Now(), &Message{Sender: "127.0.0.1:15"})
	_, _, fleet = n.knownDaemons()
	assert.Equal(t, fleet, 5, "a daemon that is heard from but not in the directory")
	n.applyDirectory(time.Now(), []ports.Row{})
	_, _, fleet = n.knownDaemons()
	assert.Equal(t, fleet, 0)
}
