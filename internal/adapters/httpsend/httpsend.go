// Package httpsend tells whether an HTTP request reached the wire. A caller
// may be told that its request was not run only if no byte of the request was
// written, and an error value from net/http does not prove that: the error may
// be returned while the transport's writer is about to write.
//
// The proof comes from the connection itself. Each connection counts its write
// calls. When a request fails and its connection has seen no write call since
// the request got it, the connection is sealed against later writes.
package httpsend

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

var errSealed = eris.New("connection is closed for writing after a failed request")

// DialFunc opens connections.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options sets up a transport. Zero values take the defaults given with each
// field.
type Options struct {
	// Dial defaults to a net.Dialer with DialTimeout.
	Dial DialFunc
	// DialTimeout bounds connection setup. Default 1 s.
	DialTimeout time.Duration
	// ResponseHeaderTimeout bounds the wait for response headers. Default 10 s.
	ResponseHeaderTimeout time.Duration
	// IdleConnTimeout closes pooled connections. Default 60 s.
	IdleConnTimeout time.Duration
	// MaxIdleConns is the size of the connection pool. Default 64.
	MaxIdleConns int
	// MaxConns bounds the connections to the host. Zero means no bound.
	MaxConns int
	// TLS returns the configuration for a new TLS connection to a host, so
	// that replaced certificates take effect without a restart. Nil means the
	// defaults of net/http.
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

// NewTransport returns a transport for one host whose requests can be tracked.
func NewTransport(o Options) *http.Transport {
	o = o.withDefaults()
	transport := &http.Transport{
		DialContext:           o.dial,
		ResponseHeaderTimeout: o.ResponseHeaderTimeout,
		IdleConnTimeout:       o.IdleConnTimeout,
		MaxIdleConns:          o.MaxIdleConns,
		MaxIdleConnsPerHost:   o.MaxIdleConns,
		MaxConnsPerHost:       o.MaxConns,
		DisableCompression:    true,
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
	return &conn{Conn: inner}, nil
}

// dialTLS leaves the counting connection below the encryption, where Tracker
// looks for it.
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

// Tracker follows the connections that one request is given.
type Tracker struct {
	mu   sync.Mutex
	uses []use
}

type use struct {
	conn *conn
	mark uint64
}

// Track returns a context whose request is followed by the Tracker. Use it for
// one request only.
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
		u = use{conn: c, mark: c.writeCalls()}
	}
	t.mu.Lock()
	t.uses = append(t.uses, u)
	t.mu.Unlock()
}

// NotSent reports whether no byte of the failed request was or will be
// written. It seals unwritten connections, so call it only after a failure.
func (t *Tracker) NotSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	unsent := true
	for _, u := range t.uses {
		if u.conn == nil || !u.conn.seal(u.mark) {
			unsent = false
		}
	}
	return unsent
}

// conn counts write calls. The transport gives a connection to one request at
// a time, so a call since mark belongs to that request.
type conn struct {
	net.Conn
	mu     sync.Mutex
	calls  uint64
	sealed bool
}

func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.calls++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *conn) writeCalls() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// seal rejects all later writes if there was none since mark.
func (c *conn) seal(mark uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls != mark {
		return false
	}
	c.sealed = true
	return true
}
