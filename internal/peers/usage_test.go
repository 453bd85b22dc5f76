package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/duty"
	"github.com/auburndyke/auburndyke/internal/quarantine"
	"github.com/auburndyke/auburndyke/internal/telemetry"
	"github.com/auburndyke/auburndyke/internal/usage"
)

func newTestMeter(address string, now func() time.Time) *usage.Meter {
	return usage.New(usage.Options{
		Daemon: address, Address: address, Window: time.Second, Due: 2 * time.Second,
		Wall: now, Boot: func() time.Duration { return time.Duration(now().UnixNano()) },
		Log: telemetry.NopLog(), Metrics: telemetry.NewMetrics(),
	})
}

// Guards against datagrams of one kind that are taken for another, in either direction.
func TestDatagramKindsAreDistinct(t *testing.T) {
	message, err := encode(&Message{Sender: "10.0.0.1:7000", Return: &PlatformReturn{}})
	assert.NilError(t, err)
	plain, err := encode(&Message{Sender: "10.0.0.1:7000"})
	assert.NilError(t, err)
	evidence, err := encodeEvidence(&quarantine.Report{})
	assert.NilError(t, err)
	candidates, err := encodeCandidates([]duty.Sighting{{Rank: 3}})
	assert.NilError(t, err)
	for _, data := range [][]byte{message, plain, evidence, candidates} {
		_, ok := decodeUsage(data)
		assert.Assert(t, !ok)
	}
	data, err := encodeUsage(&usage.Message{Kind: usage.KindQuery, Sender: "10.0.0.1:7000", Window: 7})
	assert.NilError(t, err)
	_, ok := decodeEvidence(data)
	assert.Assert(t, !ok)
	_, err = decode(data)
	assert.Assert(t, err != nil)
	_, ok = decodeCandidates(data)
	assert.Assert(t, !ok)
	decoded, ok := decodeUsage(data)
	assert.Assert(t, ok)
	assert.Equal(t, decoded.Window, int64(7))
}

// Guards against a daemon that answers messages on usage although it does not meter, and
// against one that ends because of them.
func TestDaemonWithoutMeteringIgnoresUsage(t *testing.T) {
	n := New(Config{Daemon: "a", Address: "10.0.0.1:7000", Local: idleState{}, Rand: rand.New(rand.NewPCG(1, 2)), Log: telemetry.NopLog()})
	data, err := encodeUsage(&usage.Message{Kind: usage.KindQuery, Sender: "10.0.0.2:7000", Window: 7})
	assert.NilError(t, err)
	assert.NilError(t, n.receive(t.Context(), data))
	n.updateUsagePeers()
	n.sendUsage(nil) // there is nothing to send, so that no socket is needed
}

// Guards against counts that never leave a daemon, because the node does not send them or
// does not know where to: another daemon must get copies by datagrams.
func TestCopiesReachPeers(t *testing.T) {
	d := &memoryDirectory{rows: make(map[string][]byte)}
	meters := make([]*usage.Meter, 2)
	for i := range meters {
		socket, err := net.ListenPacket("udp", "127.0.0.1:0")
		assert.NilError(t, err)
		address := socket.LocalAddr().String()
		assert.NilError(t, socket.Close())
		meters[i] = newTestMeter(address, time.Now)
		n := New(Config{
			Daemon: address, Address: address, Zone: "a", Directory: d, Local: idleState{}, Tables: map[string]Table{},
			Usage: meters[i], Rand: rand.New(rand.NewPCG(1, uint64(i))), Log: telemetry.NopLog(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 2)
		go func() { done <- n.Run(ctx) }()
		go func() { done <- meters[i].Run(ctx) }()
		t.Cleanup(func() { cancel(); assert.NilError(t, <-done); assert.NilError(t, <-done) })
	}
	for deadline := time.Now().Add(20 * time.Second); meters[1].CopiesHeld() == 0; time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "no copy has arrived")
		meters[0].Count("anna")
	}
}

// Guards against a datagram that ends the process, that makes the daemon send more than a
// datagram holds, or that it can't encode again.
func FuzzUsageDatagram(f *testing.F) {
	const window = 1_800_000_000 // the current one
	for _, m := range []usage.Message{
		{Kind: usage.KindCopy, Sender: "10.0.0.2:7000", Window: window, Origin: 5, Counts: []usage.CustomerCount{{Customer: "anna", Count: 3}}},
		{Kind: usage.KindHeld, Sender: "10.0.0.2:7000", Window: window, Origin: 5, Held: []usage.Held{{Origin: 5, Window: window, Total: 3}}},
		{Kind: usage.KindQuery, Sender: "10.0.0.2:7000", Window: window - 1, Wanted: []usage.Origin{5}},
		{Kind: usage.KindAnswer, Sender: "10.0.0.2:7000", Window: window - 1, Held: []usage.Held{{Origin: 5, Window: window - 1, Total: -3}}},
	} {
		data, err := encodeUsage(&m)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, ok := decodeUsage(data)
		if !ok {
			return
		}
		now := time.Unix(window-1, 0)
		meter := newTestMeter("10.0.0.1:7000", func() time.Time { return now })
		meter.Count("anna")
		now = now.Add(time.Second)
		meter.Receive(m)
		for _, d := range meter.Outgoing() {
			out, err := encodeUsage(d.Message)
			assert.NilError(t, err)
			again, ok := decodeUsage(out)
			assert.Assert(t, ok && again.Valid())
		}
	})
}
