package dev

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/auburndyke/auburndyke/internal/adapters/httpsend"
	"github.com/auburndyke/auburndyke/internal/domain"
)

var errCrashed = errors.New("host has crashed")

// crashNetwork is loopback with hosts that can be cut off at once, so that the
// others see a crash and not a planned stop.
type crashNetwork struct {
	loopback
	mu      sync.Mutex
	crashed map[string]bool
	open    map[string][]interface{ Close() error }
}

func newCrashNetwork() *crashNetwork {
	return &crashNetwork{crashed: make(map[string]bool), open: make(map[string][]interface{ Close() error })}
}

func (n *crashNetwork) crash(host domain.DaemonID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crashed[string(host)] = true
	for _, c := range n.open[string(host)] {
		_ = c.Close()
	}
}

// keep remembers a connection of a host and reports false if it has crashed.
func (n *crashNetwork) keep(host string, c interface{ Close() error }) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.crashed[host] {
		_ = c.Close()
		return false
	}
	n.open[host] = append(n.open[host], c)
	return true
}

func (n *crashNetwork) Listen(host string, region domain.Region, address string) (net.Listener, error) {
	l, err := n.loopback.Listen(host, region, address)
	if err != nil {
		return nil, err
	}
	return &crashListener{Listener: l, network: n, host: host}, nil
}

func (n *crashNetwork) Dial(host string) httpsend.DialFunc {
	dial := n.loopback.Dial(host)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err == nil && !n.keep(host, c) {
			err = errCrashed
		}
		return c, err
	}
}

type crashListener struct {
	net.Listener
	network *crashNetwork
	host    string
}

func (l *crashListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || l.network.keep(l.host, c) {
			return c, err
		}
	}
}
