package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// timeoutMargin multiplies the timeouts of the configuration, so that a caller that
// keeps to them never sends a request while the daemon closes the connection.
const timeoutMargin = 1.25

// connTimeouts bound how long a caller's connection may stay in a state. Zero
// means no timeout.
type connTimeouts struct {
	idle time.Duration
	// header bounds the time from a request's first byte to its last header.
	header time.Duration
}

// callerListener accepts connections that close when they stay in a state for
// longer than the current configuration allows. The timeouts of http.Server can't
// change after its start.
type callerListener struct {
	net.Listener
	timeouts func() connTimeouts
	conns    *callerConns
}

// callerConns counts the connections with a request: those being served, and those
// whose header is being read, of which the server tells nobody.
type callerConns struct {
	serving atomic.Int64
	// acceptedAt is when the last connection was accepted.
	acceptedAt atomic.Pointer[time.Time]
}

// busy reports whether a request is in progress or may be about to arrive on a
// connection that has just been accepted.
func (c *callerConns) busy() bool {
	accepted := c.acceptedAt.Load()
	return c.serving.Load() > 0 || accepted != nil && time.Since(*accepted) < drainPollInterval
}

func (l callerListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	l.conns.acceptedAt.Store(&now)
	return &callerConn{Conn: inner, timeouts: l.timeouts, conns: l.conns}, nil
}

// callerConn is the connection of one caller.
type callerConn struct {
	net.Conn
	timeouts func() connTimeouts
	conns    *callerConns
	// serving is set from a request's first byte until the connection is idle.
	serving atomic.Bool

	mu    sync.Mutex
	timer *time.Timer
	// timerGeneration counts the calls of setTimeout, so that an earlier timer which
	// has already fired has no effect.
	timerGeneration int
}

// Read starts the header timeout at the first byte of a request.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.serving.Swap(true) {
		c.conns.serving.Add(1)
		c.setTimeout(c.timeouts().header)
	}
	return n, err
}

// setTimeout closes the connection after a timeout, unless setTimeout is called
// again before. Zero only cancels the earlier timeout.
func (c *callerConn) setTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	c.timerGeneration++
	if timeout > 0 {
		generation := c.timerGeneration
		c.timer = time.AfterFunc(time.Duration(float64(timeout)*timeoutMargin), func() { c.expire(generation) })
	}
}

func (c *callerConn) expire(generation int) {
	c.mu.Lock()
	current := c.timerGeneration == generation
	c.mu.Unlock()
	if current {
		_ = c.Conn.Close() // no response is pending
	}
}

// onConnState is the server's ConnState hook.
func onConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.setTimeout(c.timeouts().idle)
		c.endRequest()
	case http.StateClosed, http.StateHijacked:
		c.setTimeout(0)
		c.endRequest()
	}
}

// endRequest records that the connection has no request.
func (c *callerConn) endRequest() {
	if c.serving.Swap(false) {
		c.conns.serving.Add(-1)
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// connContext is the server's ConnContext hook.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// stopHeaderTimeout cancels the header timeout when a request's handler begins.
func stopHeaderTimeout(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
			c.setTimeout(0)
		}
		inner.ServeHTTP(w, r)
	})
}
