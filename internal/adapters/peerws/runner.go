package peerws

import (
	"context"
	"time"

	"github.com/auburndyke/auburndyke/internal/mesh"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// submitQueue is the number of local events that may wait.
const submitQueue = 256

// Runner drives a mesh.Node over a transport: it feeds connections, frames,
// local events and ticks, and carries out sends and connects.
type Runner struct {
	node      *mesh.Node
	transport ports.PeerTransport
	deliver   func(now time.Time, action mesh.Action)
	submitted chan mesh.Event
	queries   chan func(*mesh.Node)
}

// NewRunner returns a runner. deliver receives DeliverFacts, DeliverChange,
// PeerSilent and PeerHeard on the runner's goroutine. It must not block, and it
// must not call Submit or Inspect.
func NewRunner(node *mesh.Node, transport ports.PeerTransport, deliver func(now time.Time, action mesh.Action)) *Runner {
	return &Runner{
		node: node, transport: transport, deliver: deliver,
		submitted: make(chan mesh.Event, submitQueue),
		queries:   make(chan func(*mesh.Node)),
	}
}

// Submit hands a local event to the node. It waits while the queue is full and
// fails when ctx ends first.
func (r *Runner) Submit(ctx context.Context, event mesh.Event) error {
	select {
	case r.submitted <- event:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Inspect runs f with the node on the runner's goroutine and waits for it. f
// must not keep the node.
func (r *Runner) Inspect(ctx context.Context, f func(*mesh.Node)) error {
	done := make(chan struct{})
	query := func(n *mesh.Node) {
		defer close(done)
		f(n)
	}
	select {
	case r.queries <- query:
		<-done
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run drives the node until ctx ends or the transport ends. The transport's
// Run is called elsewhere.
func (r *Runner) Run(ctx context.Context) error {
	ticker := time.NewTicker(mesh.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.handle(mesh.Tick{})
		case e := <-r.submitted:
			r.handle(e)
		case f := <-r.queries:
			f(r.node)
		case e, open := <-r.transport.Events():
			if !open {
				return nil
			}
			r.handle(meshEvent(e))
		}
	}
}

func meshEvent(e ports.PeerEvent) mesh.Event {
	switch {
	case e.Hello != nil:
		return mesh.PeerConnected{Peer: e.Peer, Hello: *e.Hello}
	case e.Frame != nil:
		return mesh.FrameReceived{Peer: e.Peer, Frame: *e.Frame}
	default:
		return mesh.PeerLost{Peer: e.Peer, DialFailed: e.DialFailed}
	}
}

func (r *Runner) handle(event mesh.Event) {
	now := time.Now()
	for _, action := range r.node.Handle(now, event) {
		r.perform(now, action)
	}
	switch e := event.(type) {
	case mesh.LocalChange:
		r.transport.SetRevision(e.Change.Revision)
	case mesh.Snapshot:
		r.transport.SetRevision(e.Change.Revision)
	}
}

func (r *Runner) perform(now time.Time, action mesh.Action) {
	switch a := action.(type) {
	case mesh.Send:
		// A failed send needs no handling: the transport reports the lost
		// connection and digests repair the loss.
		_ = r.transport.Send(a.Peer, a.Frame)
	case mesh.Connect:
		r.transport.Connect(a.Peer)
	case mesh.Disconnect:
		r.transport.Disconnect(a.Peer)
	default:
		r.deliver(now, action)
	}
}
