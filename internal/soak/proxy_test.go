package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// proxyMode is what a proxy does to bytes.
type proxyMode int32

const (
	passing  proxyMode = iota
	delayed            // each read waits proxyDelay
	deafUp             // bytes towards the server vanish
	deafDown           // bytes towards the client vanish
	silent             // both
)

const proxyDelay = 80 * time.Millisecond

// proxy forwards connections from one address to another.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32
	refusing atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func startProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	t.Cleanup(func() {
		_ = l.Close() // the run is over
		p.reset()
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m proxyMode) { p.mode.Store(int32(m)) }

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		if p.refusing.Load() {
			abort(client)
			continue
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			abort(client)
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = true, true
		p.mu.Unlock()
		go p.copy(server, client, deafUp)
		go p.copy(client, server, deafDown)
	}
}

// copy forwards one direction until an end closes.
func (p *proxy) copy(dst, src net.Conn, deaf proxyMode) {
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		mode := proxyMode(p.mode.Load())
		if mode == delayed {
			time.Sleep(proxyDelay)
		}
		if n > 0 && mode != deaf && mode != silent {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			p.end(dst, src)
			return
		}
	}
}

func (p *proxy) end(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close() // the other direction ends by it
	}
}

// reset aborts all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
	clear(p.conns)
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a failure leaves a regular close
	}
	_ = c.Close()
}
