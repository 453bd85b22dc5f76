package faultmatrix

import (
	"sync"
	"sync/atomic"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// frameFaults are switches that all peer transports of a deployment share.
type frameFaults struct {
	duplicate atomic.Bool
	reorder   atomic.Bool
}

// peers sends frames twice, or each second frame before its predecessor, as a
// replaced connection can. Hello and heartbeats stay as they are.
type peers struct {
	ports.PeerTransport
	faults *frameFaults
	mu     sync.Mutex
	held   map[domain.DaemonID]*ports.Frame
}

func newPeers(inner ports.PeerTransport, faults *frameFaults) *peers {
	return &peers{PeerTransport: inner, faults: faults, held: make(map[domain.DaemonID]*ports.Frame)}
}

// Send implements ports.PeerTransport.
func (p *peers) Send(peer domain.DaemonID, frame ports.Frame) error {
	if p.faults.reorder.Load() && frame.Hello == nil && frame.Heartbeat == nil {
		return p.swap(peer, frame)
	}
	err := p.PeerTransport.Send(peer, frame)
	if held := p.take(peer); held != nil && err == nil {
		err = p.PeerTransport.Send(peer, *held)
	}
	if err == nil && p.faults.duplicate.Load() {
		err = p.PeerTransport.Send(peer, frame)
	}
	return err
}

// swap holds a frame back until the next frame, also a heartbeat, was sent.
func (p *peers) swap(peer domain.DaemonID, frame ports.Frame) error {
	p.mu.Lock()
	before := p.held[peer]
	if before == nil {
		p.held[peer] = &frame
	} else {
		delete(p.held, peer)
	}
	p.mu.Unlock()
	if before == nil {
		return nil
	}
	if err := p.PeerTransport.Send(peer, frame); err != nil {
		return err
	}
	return p.PeerTransport.Send(peer, *before)
}

func (p *peers) take(peer domain.DaemonID) *ports.Frame {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.held[peer]
	delete(p.held, peer)
	return held
}
