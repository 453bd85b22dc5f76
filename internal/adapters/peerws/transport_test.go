package peerws

import (
	"bytes"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

func startTransport(t *testing.T, id domain.DaemonID, queue int) (*Transport, ports.Member) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	self := ports.Member{Daemon: id, Incarnation: 1, Address: l.Addr().String()}
	tr := New(Config{Self: self, Listener: l, SendQueue: queue})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- tr.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return tr, self
}

func nextEvent(t *testing.T, tr *Transport) ports.PeerEvent {
	t.Helper()
	select {
	case e := <-tr.Events():
		return e
	case <-time.After(10 * time.Second):
		t.Fatal("no event within 10 s")
		return ports.PeerEvent{}
	}
}

// Guards against frames that are lost, reordered or misattributed on a working
// connection, and against goroutines that outlive the transport.
func TestExchange(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("frames", func(t *testing.T) {
		a, _ := startTransport(t, "a", 0)
		b, memberB := startTransport(t, "b", 0)
		b.SetRevision(7)
		a.Connect(memberB)
		hello := nextEvent(t, a)
		assert.Equal(t, hello.Hello.Revision, domain.Revision(7))
		assert.Equal(t, nextEvent(t, b).Peer, domain.DaemonID("a"))
		for i := range 100 {
			assert.NilError(t, a.Send("b", ports.Frame{Heartbeat: &ports.Heartbeat{Seq: uint64(i)}}))
		}
		for i := range 100 {
			assert.Equal(t, nextEvent(t, b).Frame.Heartbeat.Seq, uint64(i))
		}
		assert.NilError(t, b.Send("a", ports.Frame{Changes: []ports.Change{{Revision: 8, Document: make([]byte, 1<<20)}}}))
		assert.Equal(t, len(nextEvent(t, a).Frame.Changes[0].Document), 1<<20)
		assert.Equal(t, a.Stats().BytesSent, b.Stats().BytesReceived)
	})
}

// nextHello skips the end of the connection that is being replaced, which
// one side may see before the new connection is complete.
func nextHello(t *testing.T, tr *Transport) {
	t.Helper()
	for {
		e := nextEvent(t, tr)
		assert.Assert(t, e.Frame == nil)
		if e.Hello != nil {
			return
		}
	}
}

// Guards against two live connections to one peer: the later one replaces the
// first without a report of loss behind the new hello.
func TestReplacement(t *testing.T) {
	a, _ := startTransport(t, "a", 0)
	b, memberB := startTransport(t, "b", 0)
	for range 20 {
		a.Connect(memberB)
		nextHello(t, a)
		nextHello(t, b)
	}
	assert.Equal(t, len(a.Events()), 0)
	assert.NilError(t, a.Send("b", ports.Frame{Heartbeat: &ports.Heartbeat{Seq: 5}}))
	e := nextEvent(t, b)
	assert.Assert(t, e.Frame != nil, "got %+v", e)
	a.Disconnect("b")
	assert.Assert(t, nextEvent(t, a).Lost != nil)
	assert.Assert(t, nextEvent(t, b).Lost != nil)
}

// Guards against a daemon that talks to whoever reuses another one's address.
func TestWrongDaemon(t *testing.T) {
	a, _ := startTransport(t, "a", 0)
	_, memberB := startTransport(t, "b", 0)
	memberB.Daemon = "c"
	a.Connect(memberB)
	assert.Assert(t, errors.Is(nextEvent(t, a).Lost, ErrProtocol))
}

// Guards against a slow peer that blocks its sender: a full queue ends the
// connection.
func TestFullQueue(t *testing.T) {
	a, _ := startTransport(t, "a", 4)
	b, memberB := startTransport(t, "b", 4)
	a.Connect(memberB)
	assert.Assert(t, nextEvent(t, a).Hello != nil)
	document := make([]byte, 4<<20)
	var err error
	for i := 0; i < 1000 && err == nil; i++ {
		// b's events are not read, so its queue of events and the socket fill up.
		err = a.Send("b", ports.Frame{Changes: []ports.Change{{Revision: 1, Document: document}}})
	}
	assert.Assert(t, err != nil)
	assert.Equal(t, a.Stats().Dropped, uint64(1))
	assert.Assert(t, errors.Is(nextEvent(t, a).Lost, errQueue))
	assert.Assert(t, nextEvent(t, b).Hello != nil)
}

// Guards against decoders that crash, allocate without bound or accept a frame
// that encodes to something else.
func FuzzFrame(f *testing.F) {
	seeds := []ports.Frame{
		{Hello: &ports.Hello{Protocol: Protocol, Member: ports.Member{Daemon: "a", Region: "r", Zone: "z"}}},
		{Heartbeat: &ports.Heartbeat{Seq: 3}},
		{Facts: []ports.Fact{{Kind: ports.FactUpstreamLeaving, Upstream: "u", Epoch: 2, Stamp: 9}}},
		{Facts: []ports.Fact{
			{Kind: ports.FactDrainAck, Upstream: "u", Epoch: 2, Seq: 1, InProgress: 4, Member: &ports.Member{Daemon: "a", Incarnation: 3}},
			{Kind: ports.FactDrainAck, Upstream: "u", Epoch: 2, Seq: 2, Member: &ports.Member{Daemon: "b", Incarnation: 3}},
			{Kind: ports.FactDrainAck, Upstream: "u", Member: &ports.Member{Daemon: "c", Region: "r"}},
		}},
		{Changes: []ports.Change{{Revision: 2, Base: 1, Digest: 3, Document: []byte("x")}}},
		{Digest: &ports.Digest{Hash: 1, Buckets: []byte{1, 2}}, Fetch: &ports.Fetch{Have: 4}},
	}
	for _, s := range seeds {
		data, err := Encode(&s)
		assert.NilError(f, err)
		decoded, err := Decode(data)
		assert.NilError(f, err)
		assert.Equal(f, len(decoded.Facts), len(s.Facts))
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := Decode(data)
		if err != nil {
			return
		}
		first, err := Encode(&frame)
		assert.NilError(t, err)
		again, err := Decode(first)
		assert.NilError(t, err)
		second, err := Encode(&again)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(first, second))
	})
}

// Guards against a process that counts as ended although it runs or is frozen,
// and against one that ended and is not noticed.
func TestRefuses(t *testing.T) {
	tr, self := startTransport(t, "a", 0)
	_, running := startTransport(t, "b", 0)
	assert.Assert(t, !tr.Refuses(t.Context(), running))
	// Nobody accepts here, as in a frozen process.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	frozen := ports.Member{Daemon: "c", Address: l.Addr().String()}
	assert.Assert(t, !tr.Refuses(t.Context(), frozen))
	assert.NilError(t, l.Close())
	assert.Assert(t, tr.Refuses(t.Context(), frozen))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, !tr.Refuses(ctx, self))
}
