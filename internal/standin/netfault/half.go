package netfault

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// maxInFlight bounds the bytes on their way in one direction.
const maxInFlight = 1 << 20

// half carries the bytes of one direction of a connection.
type half struct {
	network  *Network
	from, to string

	mu     sync.Mutex
	cond   *sync.Cond
	parts  []part
	size   int
	silent bool
	err    error // of the reader
	werr   error // of the writer
	read   deadline
	write  deadline
}

// part is what one write sent, or the end of the stream.
type part struct {
	data []byte
	end  bool
	due  time.Time
}

type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

func newHalf(n *Network, from, to string) *half {
	h := &half{network: n, from: from, to: to}
	h.cond = sync.NewCond(&h.mu)
	return h
}

func (h *half) wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cond.Broadcast()
}

func (h *half) setDeadline(d *deadline, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
	}
	d.at, d.timer = at, nil
	if wait := time.Until(at); !at.IsZero() && wait > 0 {
		d.timer = time.AfterFunc(wait, h.wake)
	}
	h.cond.Broadcast()
}

// Read waits for the first part that has arrived.
func (h *half) Read(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		switch {
		case h.err != nil:
			return 0, h.err
		case h.read.passed():
			return 0, os.ErrDeadlineExceeded
		case h.arrived():
			return h.take(p)
		}
		h.cond.Wait()
	}
}

func (h *half) arrived() bool {
	if len(h.parts) == 0 || h.silent || time.Now().Before(h.parts[0].due) {
		return false
	}
	return !h.network.pathOf(h.from, h.to).Cut
}

func (h *half) take(p []byte) (int, error) {
	first := &h.parts[0]
	if first.end {
		return 0, io.EOF
	}
	n := copy(p, first.data)
	first.data = first.data[n:]
	h.size -= n
	if len(first.data) == 0 {
		h.parts = h.parts[1:]
	}
	h.cond.Broadcast()
	return n, nil
}

func (h *half) Write(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		switch {
		case h.werr != nil:
			return 0, h.werr
		case h.write.passed():
			return 0, os.ErrDeadlineExceeded
		case h.silent:
			return len(p), nil
		case h.size < maxInFlight:
			h.send(part{data: append([]byte(nil), p...)})
			h.size += len(p)
			return len(p), nil
		}
		h.cond.Wait()
	}
}

func (h *half) send(p part) {
	delay := h.network.pathOf(h.from, h.to).Delay
	p.due = time.Now().Add(delay)
	// A shorter delay than before must not reorder the stream.
	if last := len(h.parts) - 1; last >= 0 && h.parts[last].due.After(p.due) {
		p.due = h.parts[last].due
	}
	h.parts = append(h.parts, p)
	if wait := time.Until(p.due); wait > 0 {
		time.AfterFunc(wait, h.wake)
	}
	h.cond.Broadcast()
}

// finish ends the direction from the writer's side.
func (h *half) finish() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.werr != nil {
		return
	}
	h.werr = net.ErrClosed
	if !h.silent {
		h.send(part{end: true})
	}
	h.cond.Broadcast()
}

// fail ends the direction for both sides. What is on its way is lost.
func (h *half) fail(reader, writer error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err == nil {
		h.err = reader
	}
	if h.werr == nil && writer != nil {
		h.werr = writer
	}
	h.cond.Broadcast()
}

func (h *half) silence() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silent = true
	h.parts, h.size = nil, 0
	h.cond.Broadcast()
}

// memConn is one end of a connection.
type memConn struct {
	network       *Network
	in, out       *half
	local, remote net.Addr
}

func (c *memConn) Read(p []byte) (int, error)  { return c.in.Read(p) }
func (c *memConn) Write(p []byte) (int, error) { return c.out.Write(p) }

// Close ends both directions. A peer on an uncut path sees the end of the
// stream, and its later writes fail.
func (c *memConn) Close() error {
	c.forget()
	c.out.finish()
	unreachable := c.network.pathOf(c.out.from, c.out.to).Cut
	c.in.mu.Lock()
	silent := c.in.silent
	c.in.mu.Unlock()
	if silent || unreachable {
		c.in.fail(net.ErrClosed, nil)
		return nil
	}
	c.in.fail(net.ErrClosed, syscall.EPIPE)
	return nil
}

func (c *memConn) forget() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
}

// reset ends both directions at once for both sides.
func (c *memConn) reset() {
	c.forget()
	c.in.fail(syscall.ECONNRESET, syscall.ECONNRESET)
	c.out.fail(syscall.ECONNRESET, syscall.ECONNRESET)
}

// discard ends a connection that was never accepted.
func (c *memConn) discard() {
	c.network.mu.Lock()
	for other := range c.network.conns {
		if other.in == c.out {
			delete(c.network.conns, other)
		}
	}
	c.network.mu.Unlock()
	c.reset()
}

func (c *memConn) LocalAddr() net.Addr  { return c.local }
func (c *memConn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *memConn) SetDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.read, t)
	c.out.setDeadline(&c.out.write, t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *memConn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.read, t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *memConn) SetWriteDeadline(t time.Time) error {
	c.out.setDeadline(&c.out.write, t)
	return nil
}
