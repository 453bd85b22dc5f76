package peers

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// Guards against daemons that learn of the platform's return only when their own
// calls time out, and against a return that is announced forever.
func TestReturnReachesPeers(t *testing.T) {
	contact := follow.NewContact()
	contact.Failed()
	n := New(Config{Daemon: "a", Address: "a:1", Local: idleState{}, Contact: contact, Rand: rand.New(rand.NewPCG(1, 2)), Log: telemetry.NopLog()})
	other := New(Config{Daemon: "b", Address: "b:1", Local: idleState{}, Rand: rand.New(rand.NewPCG(1, 2)), Log: telemetry.NopLog()})
	n.state.AddPeer("b:1", start)
	_, data, err := n.compose(start)
	assert.NilError(t, err)
	m, err := decode(data)
	assert.NilError(t, err)
	assert.Assert(t, m.Return == nil)

	contact.Responded(start)
	_, data, err = n.compose(start.Add(time.Second))
	assert.NilError(t, err)
	m, err = decode(data)
	assert.NilError(t, err)
	received := start.Add(1100 * time.Millisecond)
	other.mergeReturn(received, m)
	assert.Equal(t, other.Contact.ReturnedAt(), received.Add(-time.Second))

	assert.Assert(t, n.platformReturn(start.Add(returnAnnounceTime)) == nil)
}

// Guards against messages that daemons of an earlier version reject at all times: only
// those that carry a return may differ.
func TestMessagesWithoutReturnAreUnchanged(t *testing.T) {
	type earlierMessage struct {
		_        struct{} `cbor:",toarray"`
		Sender   string
		Peers    []string
		Services []ServiceWork
		Loads    []LoadReport
		Tables   []TableState
	}
	data, err := encode(&Message{Sender: "a:1", Tables: []TableState{{Name: "upstreams", Changed: 7}}})
	assert.NilError(t, err)
	var m earlierMessage
	assert.NilError(t, cbor.Unmarshal(data, &m))
	assert.Equal(t, m.Sender, "a:1")
	assert.Equal(t, m.Tables[0].Changed, uint64(7))
	data, err = cbor.Marshal(&m)
	assert.NilError(t, err)
	decoded, err := decode(data)
	assert.NilError(t, err)
	assert.Equal(t, decoded.Tables[0].Name, "upstreams")
}

// Guards against a fleet that calls the platform beyond its rate when it returns.
func TestReturnSpreadKeepsTheReadRate(t *testing.T) {
	n := New(Config{Rand: rand.New(rand.NewPCG(1, 2)), Log: telemetry.NopLog(), PlatformReadRate: 2000})
	n.directorySize = 330
	assert.Equal(t, n.ReturnSpread(), 990*time.Millisecond)
	n.PlatformReadRate = 0
	assert.Equal(t, n.ReturnSpread(), time.Duration(0))
}

// Guards against a daemon that relies on its reader after a pause in which the reader
// may have announced changes.
func TestPauseEndsDelegations(t *testing.T) {
	table := &fixedTable{copy: follow.NewSnapshot(nil, follow.Versions{AsOf: 5, Changed: 3})}
	n := New(Config{Daemon: "a", Address: "a:1", Local: idleState{}, Tables: map[string]Table{"upstreams": table}, Rand: rand.New(rand.NewPCG(1, 2)), Log: telemetry.NopLog()})
	n.group.readers = map[string]bool{"b:1": true}
	now := time.Now()
	n.acceptReader(now, TableState{Name: "upstreams", Changed: 3, AsOf: 6, From: 1}, "b:1")
	assert.Assert(t, n.DelegatedFor("upstreams", now) > 0)
	n.ForgetReaders()
	assert.Assert(t, n.DelegatedFor("upstreams", now) <= 0)
}

// Guards against a daemon that refuses its reader for seconds, and polls meanwhile,
// because it has asked the platform a moment later than the reader; and against one that
// accepts a reader which lacks a change.
func TestReaderMayHaveAskedEarlier(t *testing.T) {
	table := &fixedTable{copy: follow.NewSnapshot(nil, follow.Versions{AsOf: 9, Changed: 5})}
	n := New(Config{Daemon: "a", Address: "a:1", Local: idleState{}, Tables: map[string]Table{"upstreams": table}, Rand: rand.New(rand.NewPCG(1, 2)), Log: telemetry.NopLog()})
	n.group.readers = map[string]bool{"b:1": true}
	now := time.Now()
	n.acceptReader(now, TableState{Name: "upstreams", Changed: 4, AsOf: 4, From: 1}, "b:1")
	assert.Assert(t, n.DelegatedFor("upstreams", now) <= 0, "the reader lacks a change")
	n.acceptReader(now, TableState{Name: "upstreams", Changed: 5, AsOf: 7, From: 1}, "b:1")
	assert.Assert(t, n.DelegatedFor("upstreams", now) > 0)
}
