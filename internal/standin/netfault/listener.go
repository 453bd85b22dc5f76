package netfault

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Listener wraps a listener and keeps track of its open connections.
type Listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]struct{}
	down  atomic.Bool
}

// Wrap returns a Listener around inner.
func Wrap(inner net.Listener) *Listener {
	return &Listener{Listener: inner, conns: make(map[*conn]struct{})}
}

// Accept waits for the next connection. While the listener is down, it closes
// each new connection at once.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.down.Load() {
			_ = inner.Close()
			continue
		}
		c := &conn{Conn: inner, owner: l}
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		return c, nil
	}
}

// Silence makes all open connections silent for the rest of their life and
// returns their number.
func (l *Listener) Silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
	return len(l.conns)
}

// Drop closes all open connections and returns their number.
func (l *Listener) Drop() int {
	l.mu.Lock()
	open := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		c.abort()
	}
	return len(open)
}

// SetDown makes the listener close new connections at once, as a process that
// is not running would.
func (l *Listener) SetDown(down bool) {
	l.down.Store(down)
}

// Close stops the listener and ends silent connections that the server has
// closed. The server closes the others.
func (l *Listener) Close() error {
	l.mu.Lock()
	silent := []*conn{}
	for c := range l.conns {
		if c.silent.Load() {
			silent = append(silent, c)
		}
	}
	l.mu.Unlock()
	for _, c := range silent {
		_ = c.end()
	}
	return l.Listener.Close()
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

type conn struct {
	net.Conn
	owner   *Listener
	silent  atomic.Bool
	closing atomic.Bool
}

// Read discards what arrives while the connection is silent.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write pretends success while the connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close hides the end of a silent connection from the peer, which the network
// would not deliver either. The connection ends when the peer closes it, or
// with the listener.
func (c *conn) Close() error {
	if c.silent.Load() && !c.closing.Swap(true) {
		go func() {
			_, _ = io.Copy(io.Discard, c.Conn)
			_ = c.end()
		}()
		return nil
	}
	if c.closing.Load() {
		return net.ErrClosed
	}
	return c.end()
}

func (c *conn) end() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// abort closes the connection with a reset where the transport supports it.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.end()
}
