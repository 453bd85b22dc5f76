package mesh

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// Guards against a dial that fails after the peer's own dial succeeded and
// makes the node drop the working connection.
func TestFailedDialKeepsConnection(t *testing.T) {
	members := roster(2)
	now := time.Unix(1_800_000_000, 0)
	node := NewNode(Config{Self: members[0].Daemon, Rand: rand.New(rand.NewPCG(1, 1))})
	node.Handle(now, RosterChanged{Members: members})
	id := members[1].Daemon
	node.Handle(now, PeerConnected{Peer: id, Hello: ports.Hello{Member: members[1]}})
	node.Handle(now, PeerLost{Peer: id, DialFailed: true})
	_, open := node.Neighbours()
	assert.Equal(t, open, 1)
	node.Handle(now, PeerLost{Peer: id})
	_, open = node.Neighbours()
	assert.Equal(t, open, 0)
}

// fetched returns the peer that a Fetch goes to, or nothing.
func fetched(actions []Action) domain.DaemonID {
	for _, a := range actions {
		if s, ok := a.(Send); ok && s.Frame.Fetch != nil && !s.Frame.Fetch.Answer {
			return s.Peer
		}
	}
	return ""
}

// Guards against a daemon that waits for ever for one neighbour's answer, and
// against one that asks a neighbour that has declined.
func TestFetchMovesOn(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	node := NewNode(Config{Self: "a", Rand: rand.New(rand.NewPCG(1, 1))})
	connect := func(id domain.DaemonID) []Action {
		hello := ports.Hello{Member: ports.Member{Daemon: id}, Revision: 5}
		return node.Handle(now, PeerConnected{Peer: id, Hello: hello})
	}
	assert.Equal(t, fetched(connect("b")), domain.DaemonID("b"))
	assert.Equal(t, fetched(connect("c")), domain.DaemonID(""))
	now = now.Add(fetchTimeout)
	assert.Equal(t, fetched(node.Handle(now, Tick{})), domain.DaemonID("c"))
	declined := ports.Frame{Fetch: &ports.Fetch{Have: 0, Answer: true}}
	assert.Equal(t, fetched(node.Handle(now, FrameReceived{Peer: "c", Frame: declined})), domain.DaemonID("b"))
	assert.Equal(t, fetched(node.Handle(now, FrameReceived{Peer: "b", Frame: declined})), domain.DaemonID(""))
}
