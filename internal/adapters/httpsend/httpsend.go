// Package httpsend determines whether any byte of a failed HTTP request was
// written to its connection. A caller may be told that its request was not run
// only if none was, and an error from net/http does not prove that: it may be
// returned while the transport's write goroutine is about to write.
//
// Therefore each connection counts its write calls. When a request fails and its
// connection has had no write call since it was assigned to the request, the
// connection is sealed: it rejects all later writes.
package httpsend

import (
	"cmp"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// maxResponseHeaderBytes bounds the header of a response. The default of net/http is
// 10 MB, which a few upstreams in trouble would fill.
const maxResponseHeaderBytes = 32 << 10

var errSealed = eris.New("connection is closed for writing after a failed request")

// DialFunc opens connections.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a transport. A field's zero value selects the default
// given with the field.
type Options struct {
	// Dial defaults to the DialContext of a zero net.Dialer.
	Dial DialFunc
	// DialTimeout bounds Dial and, separately, the TLS handshake of a transport
	// with TLS set. Default 1 s.
	DialTimeout time.Duration
	// ResponseHeaderTimeout bounds the wait for response headers. Default 10 s.
	ResponseHeaderTimeout time.Duration
	// IdleConnTimeout is the time after which an idle pooled connection is
	// closed. Default 60 s.
	IdleConnTimeout time.Duration
	// MaxIdleConns bounds the idle connections in the pool. Default 64.
	MaxIdleConns int
	// MaxConns bounds the connections to the host. Zero means no bound.
	MaxConns int
	// TLS returns the configuration for a new TLS connection to a host. It is
	// called for each connection, so that replaced certificates take effect
	// without a restart. Nil means the defaults of net/http.
	TLS func(host string) *tls.Config
}

func (o Options) withDefaults() Options {
	if o.DialTimeout == 0 {
		o.DialTimeout = time.Second
	}
	if o.ResponseHeaderTimeout == 0 {
		o.ResponseHeaderTimeout = 10 * time.Second
	}
	if o.IdleConnTimeout == 0 {
		o.IdleConnTimeout = time.Minute
	}
	if o.MaxIdleConns == 0 {
		o.MaxIdleConns = 64
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	return o
}

// NewTransport returns a transport for one host. Track follows its requests.
func NewTransport(o Options) *http.Transport {
	o = o.withDefaults()
	transport := &http.Transport{
		DialContext:           o.dial,
		ResponseHeaderTimeout: o.ResponseHeaderTimeout,
		IdleConnTimeout:       o.IdleConnTimeout,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,

		MaxIdleConns:        o.MaxIdleConns,
		MaxIdleConnsPerHost: o.MaxIdleConns,
		MaxConnsPerHost:     o.MaxConns,
		DisableCompression:  true,
	}
	if o.TLS != nil {
		transport.DialTLSContext = o.dialTLS
	}
	return transport
}

func (o Options) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, o.DialTimeout)
	defer cancel()
	inner, err := o.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newConn(inner), nil
}

// dialTLS wraps the counting conn in a tls.Conn; Tracker unwraps it again.
func (o Options) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	inner, err := o.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, o.DialTimeout)
	defer cancel()
	encrypted := tls.Client(inner, o.TLS(host))
	if err := encrypted.HandshakeContext(ctx); err != nil {
		_ = inner.Close()
		return nil, err
	}
	return encrypted, nil
}

// Tracker records the connections that the transport assigns to one request.
type Tracker struct {
	mu   sync.Mutex
	uses []use
}

// use is one assignment of a connection to the request. conn is nil if the
// connection is not from NewTransport; callsBefore is the number of write calls
// at the assignment.
type use struct {
	conn        *conn
	callsBefore uint64
}

// Track returns a Tracker and the context of the request that it follows. Use
// the context for one request only.
func Track(ctx context.Context) (context.Context, *Tracker) {
	t := &Tracker{}
	trace := &httptrace.ClientTrace{GotConn: t.gotConn}
	return httptrace.WithClientTrace(ctx, trace), t
}

func (t *Tracker) gotConn(info httptrace.GotConnInfo) {
	u := use{}
	inner := info.Conn
	if encrypted, ok := inner.(*tls.Conn); ok {
		inner = encrypted.NetConn()
	}
	if c, ok := inner.(*conn); ok {
		u = use{conn: c, callsBefore: c.writeCalls()}
	}
	t.mu.Lock()
	t.uses = append(t.uses, u)
	t.mu.Unlock()
}

// NotSent reports whether no byte of the failed request was or will be
// written. It seals the connections that have had no write call for the request,
// so call it only after a failure.
func (t *Tracker) NotSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	unsent := true
	for _, u := range t.uses {
		if u.conn == nil || !u.conn.seal(u.callsBefore) {
			unsent = false
		}
	}
	return unsent
}

// conn counts write calls. The transport uses HTTP/1.1, which assigns a
// connection to one request at a time, so every write call after the assignment
// belongs to that request.
type conn struct {
	net.Conn
	mu     sync.Mutex
	calls  uint64
	sealed bool
	// writing is the number of write calls in progress, and written wakes those who wait
	// for their end.
	writing  int
	written  *sync.Cond
	writeErr error
}

func newConn(inner net.Conn) *conn {
	c := &conn{Conn: inner}
	c.written = sync.NewCond(&c.mu)
	return c
}

func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.calls++
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	c.writeErr = cmp.Or(c.writeErr, err)
	c.written.Broadcast()
	return n, err
}

// Read returns no io.EOF after a write has failed. A reset of the connection is reported
// once: if the write gets it, the read sees the end of the stream, which would complete a
// response without a length.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = cmp.Or(c.writeError(), err)
	}
	return n, err
}

// writeError waits for the write call in progress and returns the error of the first one
// that has failed.
func (c *conn) writeError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writing > 0 {
		c.written.Wait()
	}
	return c.writeErr
}

func (c *conn) writeCalls() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// seal makes the connection reject all later writes if its number of write calls
// is still callsBefore. It reports whether it did.
func (c *conn) seal(callsBefore uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls != callsBefore {
		return false
	}
	c.sealed = true
	return true
}
