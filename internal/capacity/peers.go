package capacity

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/auburndyke/auburndyke/internal/adapters/peerws"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// peerTimeout bounds the waits for connections and frames.
const peerTimeout = 20 * time.Second

// measurePeers measures connections between daemons over loopback: one daemon
// accepts the others and sends heartbeats to them.
func measurePeers(ctx context.Context, r *recorder) error {
	for _, peers := range []int{4, 8, 16} {
		if err := measurePeersAt(ctx, r, peers); err != nil {
			return err
		}
	}
	return nil
}

func measurePeersAt(ctx context.Context, r *recorder, peers int) error {
	ctx, cancel := context.WithCancel(ctx)
	var work sync.WaitGroup
	defer work.Wait()
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	members := roster(peers + 1)
	members[0].Address = listener.Addr().String()
	start := func(cfg peerws.Config) *peerws.Transport {
		t := peerws.New(cfg)
		work.Go(func() { _ = t.Run(ctx) })
		return t
	}
	hub := start(peerws.Config{Self: members[0], Listener: listener})
	dialers := make([]*peerws.Transport, peers)
	for i := range dialers {
		dialers[i] = start(peerws.Config{Self: members[i+1]})
	}
	before := heldBytes()
	for _, d := range dialers {
		d.Connect(members[0])
	}
	for range dialers {
		if _, err := nextEvent(hub); err != nil {
			return err
		}
	}
	for _, d := range dialers {
		if _, err := nextEvent(d); err != nil {
			return err
		}
	}
	r.add("mesh/connection-memory", float64(peers), heldBytes()-before)

	const frames = 200
	used := readUsage()
	for k := range frames {
		for i, d := range dialers {
			if err := hub.Send(members[i+1].Daemon, ports.Frame{Heartbeat: &ports.Heartbeat{Seq: uint64(k + 1)}}); err != nil {
				return err
			}
			// One frame at a time, as heartbeats come, not in a burst.
			if _, err := nextEvent(d); err != nil {
				return err
			}
		}
	}
	r.add("mesh/frame-cpu", float64(frames*peers), millis(readUsage().since(used).cpu))
	return nil
}

func nextEvent(t *peerws.Transport) (ports.PeerEvent, error) {
	select {
	case e := <-t.Events():
		if e.Lost != nil {
			return e, e.Lost
		}
		return e, nil
	case <-time.After(peerTimeout):
		return ports.PeerEvent{}, fmt.Errorf("no event of a peer within %v", peerTimeout)
	}
}
