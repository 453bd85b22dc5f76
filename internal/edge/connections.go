package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// limitMargin multiplies the limits of the configuration, so that callers which
// keep to them never cross the daemon's close.
const limitMargin = 1.25

// connectionLimits are how long callers' connections may stay in a state. Zero
// means no limit.
type connectionLimits struct {
	idle time.Duration
	// header bounds the time from a request's first byte to its last header.
	header time.Duration
}

// callerListener accepts connections that close when they stay in a state for
// longer than the configuration in force allows. The server's own timeouts are
// fixed at its start.
type callerListener struct {
	net.Listener
	limits func() connectionLimits
}

func (l callerListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: inner, limits: l.limits}, nil
}

// callerConn is the connection of one caller.
type callerConn struct {
	net.Conn
	limits func() connectionLimits
	// serving is set from a request's first byte until the connection is idle.
	serving atomic.Bool

	mu    sync.Mutex
	timer *time.Timer
	// bounds counts the limits that were set. A timer of an earlier one that has
	// fired already does nothing.
	bounds int
}

// Read starts the limit on a request's header with its first byte.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.serving.Swap(true) {
		c.bound(c.limits().header)
	}
	return n, err
}

// bound closes the connection after a time, unless bound is called again before.
// Zero only ends the earlier limit.
func (c *callerConn) bound(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	c.bounds++
	if limit > 0 {
		which := c.bounds
		c.timer = time.AfterFunc(time.Duration(float64(limit)*limitMargin), func() { c.expire(which) })
	}
}

func (c *callerConn) expire(which int) {
	c.mu.Lock()
	still := c.bounds == which
	c.mu.Unlock()
	if still {
		_ = c.Conn.Close() // nobody waits for an answer
	}
}

// observeState is the server's ConnState hook.
func observeState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.bound(c.limits().idle)
		c.serving.Store(false)
	case http.StateClosed, http.StateHijacked:
		c.bound(0)
	}
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// rememberConnection is the server's ConnContext hook.
func rememberConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// endHeaderLimit ends the limit on a request's header when its handler begins.
func endHeaderLimit(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connectionKey{}).(*callerConn); ok {
			c.bound(0)
		}
		inner.ServeHTTP(w, r)
	})
}
