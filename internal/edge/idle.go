package edge

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleMargin multiplies the idle limit of the configuration, so that callers
// which keep to it never cross the daemon's close.
const idleMargin = 1.25

// idleCloser closes connections of callers that idle for longer than the
// configuration in force allows. The server's own timeout is fixed at its
// start.
type idleCloser struct {
	// limit returns the idle limit, zero for none.
	limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleCloser(limit func() time.Duration) *idleCloser {
	return &idleCloser{limit: limit, timers: make(map[net.Conn]*time.Timer)}
}

// observe follows a connection's state; it is the server's ConnState hook.
func (c *idleCloser) observe(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timer := c.timers[conn]; timer != nil {
		timer.Stop()
		delete(c.timers, conn)
	}
	limit := c.limit()
	if state != http.StateIdle || limit <= 0 {
		return
	}
	c.timers[conn] = time.AfterFunc(time.Duration(float64(limit)*idleMargin), func() { c.close(conn) })
}

// close ends a connection that is still idle.
func (c *idleCloser) close(conn net.Conn) {
	c.mu.Lock()
	_, idle := c.timers[conn]
	delete(c.timers, conn)
	c.mu.Unlock()
	if idle {
		_ = conn.Close() // nobody waits for an answer
	}
}
