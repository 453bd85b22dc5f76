package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/internal/connlimit"
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
	guardedListener
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
	inner, id, err := l.accept()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	l.conns.acceptedAt.Store(&now)
	return &callerConn{Conn: inner, timeouts: l.timeouts, conns: l.conns, guard: l.guard, group: l.group, id: id}, nil
}

// callerConn is the connection of one caller.
type callerConn struct {
	net.Conn
	timeouts func() connTimeouts
	conns    *callerConns
	guard    *connGuard
	group    int
	id       connlimit.ID
	// serving is set from a request's first byte until the connection is idle.
	serving atomic.Bool

	// meterMu protects the meter: the server reads ahead while a handler begins.
	meterMu sync.Mutex
	meter   connlimit.Meter
	// decoded is set while a handler has the request.
	decoded bool

	mu    sync.Mutex
	timer *time.Timer
	// timerGeneration counts the calls of setTimeout, so that an earlier timer which
	// has already fired has no effect.
	timerGeneration int
}

// Read starts the header timeout at the first byte of a request, and charges what has
// arrived of the header before the server decodes it.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.serving.Swap(true) {
		c.conns.serving.Add(1)
		c.guard.read(c.id)
		c.setTimeout(c.timeouts().header)
	}
	c.meterMu.Lock()
	defer c.meterMu.Unlock()
	c.meter.Add(p[:n])
	if !c.decoded && !c.charge() {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHeaderMemory} // the server sends no response
	}
	return n, err
}

// charge charges the header as far as it has arrived. The caller holds meterMu.
func (c *callerConn) charge() bool { return c.guard.charge(c.id, c.group, c.meter.Cost()) }

// beginRequest records that a handler has the request. It reports false if the request
// must not run, because its connection has been closed.
func (c *callerConn) beginRequest(bodyLength int64) bool {
	c.setTimeout(0)
	if !c.serving.Swap(true) { // the header arrived together with the request before
		c.conns.serving.Add(1)
	}
	c.meterMu.Lock()
	defer c.meterMu.Unlock()
	if !c.charge() || !c.guard.serve(c.id) {
		return false
	}
	c.decoded = true
	c.meter.Serve(bodyLength)
	return true
}

// awaitRequest records that the connection is idle.
func (c *callerConn) awaitRequest() {
	c.meterMu.Lock()
	defer c.meterMu.Unlock()
	c.decoded = false
	c.meter.Next()
	c.guard.idle(c.id)
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
		if c.serving.Load() {
			c.guard.record(c.group, reasonHeaderTime)
		}
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
		c.awaitRequest()
		c.endRequest()
	case http.StateClosed, http.StateHijacked:
		c.setTimeout(0)
		c.guard.close(c.id)
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

// onRequest cancels the header timeout when a request's handler begins. A request whose
// connection has just been closed does not run.
func onRequest(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*callerConn); ok && !c.beginRequest(r.ContentLength) {
			panic(http.ErrAbortHandler)
		}
		inner.ServeHTTP(w, r)
	})
}
