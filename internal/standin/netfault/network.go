package netfault

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Path tells how packets travel from one host to another.
type Path struct {
	// Cut holds packets back until the path is no longer cut, as repeated
	// transmission does. No connection is set up over a cut path.
	Cut bool
	// Delay is the travel time.
	Delay time.Duration
}

// Network is an in-memory network of named hosts. It uses only timers and
// condition variables, so that it works in virtual time. Connections are
// reliable and ordered; a path can be cut in one direction, connections can go
// silent for good and hosts can be killed.
type Network struct {
	mu        sync.Mutex
	path      func(from, to string) Path
	changed   chan struct{}
	listeners map[string]*netListener
	dead      map[string]bool
	conns     map[*memConn]struct{}
}

// NewNetwork returns a network without delays.
func NewNetwork() *Network {
	return &Network{
		path:      func(string, string) Path { return Path{} },
		changed:   make(chan struct{}),
		listeners: make(map[string]*netListener),
		dead:      make(map[string]bool),
		conns:     make(map[*memConn]struct{}),
	}
}

// SetPath replaces the rule for all paths. It applies to open connections too;
// f must not block.
func (n *Network) SetPath(f func(from, to string) Path) {
	n.mu.Lock()
	n.path = f
	close(n.changed)
	n.changed = make(chan struct{})
	open := n.openLocked(func(*memConn) bool { return true })
	n.mu.Unlock()
	for _, c := range open {
		c.in.wake()
	}
}

func (n *Network) openLocked(match func(*memConn) bool) []*memConn {
	var out []*memConn
	for c := range n.conns {
		if match(c) {
			out = append(out, c)
		}
	}
	return out
}

func (n *Network) pathOf(from, to string) Path {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.path(from, to)
}

// Kill resets all connections of a host and refuses new ones from and to it,
// as the end of its process does.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	n.dead[host] = true
	open := n.openLocked(func(c *memConn) bool { return c.in.to == host || c.in.from == host })
	n.mu.Unlock()
	for _, c := range open {
		c.reset()
	}
}

// Silence makes the open connections of a host silent for good; new ones work.
// It returns their number.
func (n *Network) Silence(host string) int {
	n.mu.Lock()
	open := n.openLocked(func(c *memConn) bool { return c.in.to == host || c.in.from == host })
	n.mu.Unlock()
	for _, c := range open {
		c.in.silence()
	}
	return len(open)
}

// Listen opens a listener of a host.
func (n *Network) Listen(host string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	index := len(n.listeners) + 1
	address := fmt.Sprintf("10.0.%d.%d:80", index/250, index%250+1)
	l := &netListener{network: n, host: host, address: address, accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial returns the dial function of a host. It fits
// http.Transport.DialContext.
func (n *Network) Dial(host string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.connect(ctx, host, address)
	}
}

func (n *Network) connect(ctx context.Context, from, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	if err := n.handshake(ctx, from, l.host); err != nil {
		return nil, err
	}
	client, server := n.pair(from, l.host, address)
	select {
	case l.accept <- server:
		return client, nil
	case <-l.closed:
		client.discard()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		client.discard()
		return nil, ctx.Err()
	}
}

// handshake waits for a round trip over uncut paths.
func (n *Network) handshake(ctx context.Context, from, to string) error {
	for {
		n.mu.Lock()
		there, back := n.path(from, to), n.path(to, from)
		changed := n.changed
		refused := n.dead[from] || n.dead[to]
		n.mu.Unlock()
		if !there.Cut && !back.Cut {
			if refused {
				return &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
			}
			return pause(ctx, there.Delay+back.Delay)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *Network) pair(from, to, address string) (client, server *memConn) {
	there, back := newHalf(n, from, to), newHalf(n, to, from)
	client = &memConn{network: n, in: back, out: there, local: memAddr(from), remote: memAddr(address)}
	server = &memConn{network: n, in: there, out: back, local: memAddr(address), remote: memAddr(from)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[client] = struct{}{}
	n.conns[server] = struct{}{}
	return client, server
}

type memAddr string

func (memAddr) Network() string  { return "tcp" }
func (a memAddr) String() string { return string(a) }

type netListener struct {
	network *Network
	host    string
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *netListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *netListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *netListener) Addr() net.Addr { return memAddr(l.address) }
