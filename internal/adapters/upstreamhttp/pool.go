package upstreamhttp

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/auburndyke/auburndyke/internal/memlimit"
)

const (
	// defaultDialTimeout covers a lost opening packet within a region.
	defaultDialTimeout = 700 * time.Millisecond
	// defaultIdleTimeout is used for upstreams that state no Keep-Alive time.
	defaultIdleTimeout = 5 * time.Second
	// keepAliveMargin is taken off the stated Keep-Alive time, so that a
	// request does not cross the upstream's close.
	keepAliveMargin = 500 * time.Millisecond
	// defaultMaxIdle bounds the idle connections to one upstream.
	defaultMaxIdle = 32
	// userTimeout ends a connection whose sent bytes stay unacknowledged.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval end a silent connection to a machine
	// that is gone after about three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2

	bufferBytes = 4096
)

// Options sets up a Pool. Zero values take the defaults of the package.
type Options struct {
	DialTimeout time.Duration
	MaxIdle     int
	// Memory bounds the memory of long headers, and of what else its owner counts.
	// Nil means no limit.
	Memory *memlimit.Limit
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	dialer  net.Dialer
	maxIdle int
	memory  *memlimit.Limit

	mu     sync.Mutex
	idle   map[string][]*conn // oldest first
	opened uint64
	reused uint64
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	return &Pool{
		dialer: net.Dialer{
			Timeout: cmp.Or(o.DialTimeout, defaultDialTimeout),
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
			Control: setUserTimeout,
		},
		maxIdle: cmp.Or(o.MaxIdle, defaultMaxIdle),
		memory:  cmp.Or(o.Memory, &memlimit.Limit{}),
		idle:    make(map[string][]*conn),
	}
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

// conn is one connection; one request uses it at a time.
type conn struct {
	net.Conn
	address string
	// bounded is what reader reads from.
	bounded   *boundedReader
	reader    *bufio.Reader
	idleSince time.Time
	// expires is when the upstream may close the idle connection.
	expires time.Time
}

// get returns an idle connection that was used at most maxIdleAge ago, or
// opens one. fresh tells that it was opened for this request.
func (p *Pool) get(ctx context.Context, address string, maxIdleAge time.Duration) (c *conn, fresh bool, err error) {
	now := time.Now()
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if now.Before(c.expires) && now.Sub(c.idleSince) <= maxIdleAge && c.quiet() {
			p.mu.Lock()
			p.reused++
			p.mu.Unlock()
			return c, false, nil
		}
		_ = c.Close() // an idle connection holds no request
	}
	inner, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, false, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	bounded := &boundedReader{inner: inner, memory: p.memory}
	return &conn{Conn: inner, address: address, bounded: bounded, reader: bufio.NewReaderSize(bounded, bufferBytes)}, true, nil
}

// Refuses reports whether an address refuses connections, as it does after its process
// has ended. A connection that it accepts is closed without a request.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close() // nothing was sent
	return false
}

func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *conn, keepAlive time.Duration) {
	now := time.Now()
	keepAlive = cmp.Or(keepAlive, defaultIdleTimeout)
	c.idleSince = now
	c.expires = now.Add(keepAlive - keepAliveMargin)
	if err := c.SetDeadline(time.Time{}); err != nil || keepAlive <= keepAliveMargin {
		_ = c.Close() // the connection cannot be used again
		return
	}
	var evicted *conn
	p.mu.Lock()
	list := p.idle[c.address]
	if len(list) >= p.maxIdle {
		evicted = list[0]
		list = list[1:]
	}
	p.idle[c.address] = append(list, c)
	p.mu.Unlock()
	if evicted != nil {
		_ = evicted.Close()
	}
}

// Sweep closes connections that have expired.
func (p *Pool) Sweep(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// Memory returns the limit on the memory of long headers.
func (p *Pool) Memory() *memlimit.Limit { return p.memory }

// Stats returns the connections opened and the requests that reused one.
func (p *Pool) Stats() (opened, reused uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened, p.reused
}

// quiet reports whether an idle connection is open and has no bytes to read.
// Bytes that arrive without a request belong to no answer.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// keepAliveTime reads the timeout of a Keep-Alive header. Zero means none.
func keepAliveTime(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
