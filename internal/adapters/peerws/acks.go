package peerws

import (
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// wireFrame is the encoded form of a frame. Acknowledgements are grouped by
// drain, because one drain at 330 daemons produces as many of them and they
// repeat everything but the daemon and its count.
type wireFrame struct {
	Hello     *ports.Hello     `cbor:"1,keyasint,omitempty"`
	Heartbeat *ports.Heartbeat `cbor:"2,keyasint,omitempty"`
	Facts     []ports.Fact     `cbor:"3,keyasint,omitempty"`
	Changes   []ports.Change   `cbor:"4,keyasint,omitempty"`
	Digest    *ports.Digest    `cbor:"5,keyasint,omitempty"`
	Fetch     *ports.Fetch     `cbor:"6,keyasint,omitempty"`
	Acks      []ackGroup       `cbor:"7,keyasint,omitempty"`
}

type drainKey struct {
	upstream    domain.UpstreamID
	incarnation domain.Incarnation
	epoch       uint64
	stamp       uint32
}

// ackGroup holds the acknowledgements of one drain.
type ackGroup struct {
	_           struct{} `cbor:",toarray"`
	Upstream    domain.UpstreamID
	Incarnation domain.Incarnation
	Epoch       uint64
	Stamp       uint32
	Acks        []ack
}

type ack struct {
	_          struct{} `cbor:",toarray"`
	Daemon     domain.DaemonID
	Run        domain.Incarnation
	Seq        uint64
	InProgress int
}

// toWire groups plain acknowledgements, in order of first appearance.
func toWire(f *ports.Frame) *wireFrame {
	w := &wireFrame{Hello: f.Hello, Heartbeat: f.Heartbeat, Changes: f.Changes, Digest: f.Digest, Fetch: f.Fetch}
	index := map[drainKey]int{}
	for _, fact := range f.Facts {
		if !isPlainAck(&fact) {
			w.Facts = append(w.Facts, fact)
			continue
		}
		key := drainKey{upstream: fact.Upstream, incarnation: fact.Incarnation, epoch: fact.Epoch, stamp: fact.Stamp}
		i, ok := index[key]
		if !ok {
			i = len(w.Acks)
			index[key] = i
			w.Acks = append(w.Acks, ackGroup{Upstream: key.upstream, Incarnation: key.incarnation, Epoch: key.epoch, Stamp: key.stamp})
		}
		w.Acks[i].Acks = append(w.Acks[i].Acks, ack{
			Daemon: fact.Member.Daemon, Run: fact.Member.Incarnation, Seq: fact.Seq, InProgress: fact.InProgress,
		})
	}
	return w
}

// isPlainAck tells whether the grouped form holds all of a fact.
func isPlainAck(f *ports.Fact) bool {
	if f.Kind != ports.FactDrainAck || f.Member == nil {
		return false
	}
	plain := ports.Member{Daemon: f.Member.Daemon, Incarnation: f.Member.Incarnation}
	return *f.Member == plain && f.Deadline == 0 && f.Revision == 0 && f.Digest == 0
}

// fromWire lists acknowledgements behind the other facts, so that the leave
// that they belong to comes first.
func fromWire(w *wireFrame) ports.Frame {
	f := ports.Frame{Hello: w.Hello, Heartbeat: w.Heartbeat, Facts: w.Facts, Changes: w.Changes, Digest: w.Digest, Fetch: w.Fetch}
	for _, g := range w.Acks {
		for _, a := range g.Acks {
			f.Facts = append(f.Facts, ports.Fact{
				Kind: ports.FactDrainAck, Upstream: g.Upstream, Incarnation: g.Incarnation, Epoch: g.Epoch, Stamp: g.Stamp,
				Seq: a.Seq, InProgress: a.InProgress,
				Member: &ports.Member{Daemon: a.Daemon, Incarnation: a.Run},
			})
		}
	}
	return f
}
