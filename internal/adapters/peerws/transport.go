package peerws

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/coder/websocket"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	// Protocol is the version that Hello frames carry.
	Protocol = 1
	// Path is where the peer listener accepts connections.
	Path = "/mesh/v1"

	handshakeTimeout = 3 * time.Second
	writeTimeout     = 3 * time.Second
	shutdownTimeout  = time.Second
	idleTimeout      = 10 * time.Second
	eventQueue       = 1024
	// DefaultSendQueue is the number of frames that may wait for one peer.
	DefaultSendQueue = 256
)

var (
	// ErrProtocol means that a peer speaks another version or is not the
	// daemon that was dialled.
	ErrProtocol = errors.New("peer protocol violation")
	errReplaced = errors.New("connection was replaced")
	errQueue    = errors.New("send queue is full")
	errClosed   = errors.New("connection was closed locally")
)

// Config configures a Transport.
type Config struct {
	Self ports.Member
	// Listener accepts peers. Nil means that the daemon only dials or that
	// Handler is mounted elsewhere.
	Listener net.Listener
	// ServerTLS and ClientTLS enable TLS. For mutual TLS, ServerTLS requires
	// client certificates and ClientTLS holds one. Nil means plain TCP.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// VerifyPeer checks that a certificate belongs to the daemon that Hello
	// names. Nil accepts every peer that passed the TLS handshake.
	VerifyPeer func(state *tls.ConnectionState, hello *ports.Hello) error
	// SendQueue is the number of frames that may wait for one peer. Zero
	// means DefaultSendQueue.
	SendQueue int
	// Dial opens connections to peers. Nil means a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Stats counts frames and their bytes, WebSocket headers included and TCP and
// IP headers excluded.
type Stats struct {
	BytesSent, BytesReceived   uint64
	FramesSent, FramesReceived uint64
	// Dropped counts connections closed because their send queue was full.
	Dropped uint64
}

// Transport implements ports.PeerTransport.
type Transport struct {
	cfg         Config
	client      *http.Client
	events      chan ports.PeerEvent
	ctx         context.Context
	cancel      context.CancelFunc
	work        sync.WaitGroup
	revision    atomic.Uint64
	incarnation atomic.Uint64

	routes map[string]http.Handler

	mu      sync.Mutex
	closed  bool
	conns   map[domain.DaemonID]*conn
	dialing map[domain.DaemonID]bool

	bytesSent, bytesReceived   atomic.Uint64
	framesSent, framesReceived atomic.Uint64
	dropped                    atomic.Uint64
}

var _ ports.PeerTransport = (*Transport)(nil)

// New returns a transport. Run starts it; Connect and Send work before.
func New(cfg Config) *Transport {
	if cfg.SendQueue == 0 {
		cfg.SendQueue = DefaultSendQueue
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		cfg:     cfg,
		events:  make(chan ports.PeerEvent, eventQueue),
		ctx:     ctx,
		cancel:  cancel,
		conns:   map[domain.DaemonID]*conn{},
		dialing: map[domain.DaemonID]bool{},
		routes:  map[string]http.Handler{},
	}
	t.incarnation.Store(uint64(cfg.Self.Incarnation))
	t.client = &http.Client{Transport: &http.Transport{
		DialContext:         cfg.Dial,
		TLSClientConfig:     cfg.ClientTLS,
		TLSHandshakeTimeout: handshakeTimeout,
		DisableKeepAlives:   true,
	}}
	return t
}

// Events implements ports.PeerTransport.
func (t *Transport) Events() <-chan ports.PeerEvent { return t.events }

// SetRevision implements ports.PeerTransport.
func (t *Transport) SetRevision(r domain.Revision) {
	for {
		old := t.revision.Load()
		if uint64(r) <= old || t.revision.CompareAndSwap(old, uint64(r)) {
			return
		}
	}
}

// SetIncarnation implements ports.PeerTransport.
func (t *Transport) SetIncarnation(i domain.Incarnation) { t.incarnation.Store(uint64(i)) }

// Stats returns the counters since New.
func (t *Transport) Stats() Stats {
	return Stats{
		BytesSent: t.bytesSent.Load(), BytesReceived: t.bytesReceived.Load(),
		FramesSent: t.framesSent.Load(), FramesReceived: t.framesReceived.Load(),
		Dropped: t.dropped.Load(),
	}
}

// Run implements ports.PeerTransport.
func (t *Transport) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, t.cancel)
	defer stop()
	err := t.serve()
	t.shutdown()
	return err
}

func (t *Transport) serve() error {
	if t.cfg.Listener == nil {
		<-t.ctx.Done()
		return nil
	}
	server := &http.Server{
		Handler: t.Handler(), TLSConfig: t.cfg.ServerTLS,
		ReadHeaderTimeout: handshakeTimeout, IdleTimeout: idleTimeout,
	}
	failed := make(chan error, 1)
	go func() {
		if t.cfg.ServerTLS != nil {
			failed <- server.ServeTLS(t.cfg.Listener, "", "")
			return
		}
		failed <- server.Serve(t.cfg.Listener)
	}()
	select {
	case <-t.ctx.Done():
		_ = server.Close()
		<-failed
		return nil
	case err := <-failed:
		return fmt.Errorf("peer listener: %w", err)
	}
}

// shutdown ends all connections and then the event stream.
func (t *Transport) shutdown() {
	t.cancel()
	t.mu.Lock()
	t.closed = true
	for _, c := range t.conns {
		c.close(errClosed)
	}
	t.mu.Unlock()
	t.work.Wait()
	t.client.CloseIdleConnections()
	close(t.events)
}

// start runs f unless the transport has ended.
func (t *Transport) start(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.work.Go(f)
	return true
}

// Handle adds a handler to the peer listener. Call it before Run.
func (t *Transport) Handle(pattern string, h http.Handler) { t.routes[pattern] = h }

// Handler accepts peer connections at Path and serves the handlers that were
// added with Handle.
func (t *Transport) Handler() http.Handler {
	mux := http.NewServeMux()
	for pattern, h := range t.routes {
		mux.Handle(pattern, h)
	}
	mux.HandleFunc(Path, func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
		if err != nil {
			return
		}
		done := make(chan struct{})
		started := t.start(func() {
			defer close(done)
			t.accepted(ws, r.TLS)
		})
		if !started {
			_ = ws.CloseNow()
			return
		}
		<-done
	})
	return mux
}

// accepted reads the peer's Hello before it sends its own, so that a daemon
// shows nothing to a peer that it rejects.
func (t *Transport) accepted(ws *websocket.Conn, state *tls.ConnectionState) {
	c := newConn(t, ws, false)
	hello, err := c.readHello()
	if err == nil {
		err = t.check(state, hello, "")
	}
	if err == nil {
		err = c.writeFrame(t.hello())
	}
	if err != nil {
		_ = ws.CloseNow()
		return
	}
	t.adopt(c, hello)
}

// Connect implements ports.PeerTransport.
func (t *Transport) Connect(peer ports.Member) {
	t.mu.Lock()
	busy := t.dialing[peer.Daemon]
	t.dialing[peer.Daemon] = true
	t.mu.Unlock()
	if busy {
		return
	}
	t.start(func() {
		c, hello, err := t.dial(peer)
		t.mu.Lock()
		delete(t.dialing, peer.Daemon)
		t.mu.Unlock()
		if err != nil {
			t.report(ports.PeerEvent{Peer: peer.Daemon, Lost: err, DialFailed: true})
			return
		}
		t.adopt(c, hello)
	})
}

func (t *Transport) dial(peer ports.Member) (*conn, *ports.Hello, error) {
	ctx, cancel := context.WithTimeout(t.ctx, handshakeTimeout)
	defer cancel()
	scheme := "ws://"
	if t.cfg.ClientTLS != nil {
		scheme = "wss://"
	}
	ws, resp, err := websocket.Dial(ctx, scheme+peer.Address+Path, &websocket.DialOptions{
		HTTPClient: t.client, CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, nil, fmt.Errorf("dial %s at %s: %w", peer.Daemon, peer.Address, err)
	}
	c := newConn(t, ws, true)
	hello, err := c.handshake(t.hello())
	if err == nil {
		err = t.check(resp.TLS, hello, peer.Daemon)
	}
	if err != nil {
		_ = ws.CloseNow()
		return nil, nil, fmt.Errorf("handshake with %s at %s: %w", peer.Daemon, peer.Address, err)
	}
	return c, hello, nil
}

// Refuses implements ports.PeerTransport.
func (t *Transport) Refuses(ctx context.Context, peer ports.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	dial := t.cfg.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	c, err := dial(ctx, "tcp", peer.Address)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (t *Transport) hello() *ports.Frame {
	self := t.cfg.Self
	self.Incarnation = domain.Incarnation(t.incarnation.Load())
	return &ports.Frame{Hello: &ports.Hello{
		Protocol: Protocol, Member: self, Revision: domain.Revision(t.revision.Load()),
	}}
}

func (t *Transport) check(state *tls.ConnectionState, hello *ports.Hello, want domain.DaemonID) error {
	switch id := hello.Member.Daemon; {
	case hello.Protocol != Protocol:
		return fmt.Errorf("%w: version %d, want %d", ErrProtocol, hello.Protocol, Protocol)
	case id == "" || id == t.cfg.Self.Daemon:
		return fmt.Errorf("%w: daemon id %q", ErrProtocol, id)
	case want != "" && id != want:
		return fmt.Errorf("%w: daemon %q answered, want %q", ErrProtocol, id, want)
	}
	if t.cfg.VerifyPeer == nil {
		return nil
	}
	return t.cfg.VerifyPeer(state, hello)
}

// adopt makes c the current connection to its peer and serves it until it ends.
func (t *Transport) adopt(c *conn, hello *ports.Hello) {
	id := hello.Member.Daemon
	c.peer = id
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		_ = c.ws.CloseNow()
		return
	}
	old := t.conns[id]
	t.conns[id] = c
	t.mu.Unlock()
	if old != nil {
		old.close(errReplaced)
		<-old.ended
	}
	t.report(ports.PeerEvent{Peer: id, Hello: hello})
	err := c.serve()
	t.lost(c, err)
	close(c.ended)
}

// lost reports the end of the current connection. c stays current until the
// report is made, so that a new connection waits for it and its Hello comes
// behind.
func (t *Transport) lost(c *conn, err error) {
	if t.current(c.peer) != c {
		return
	}
	t.report(ports.PeerEvent{Peer: c.peer, Lost: err})
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[c.peer] == c {
		delete(t.conns, c.peer)
	}
}

func (t *Transport) report(e ports.PeerEvent) {
	e.At = time.Now()
	select {
	case t.events <- e:
	case <-t.ctx.Done():
	}
}

func (t *Transport) current(peer domain.DaemonID) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conns[peer]
}

// Disconnect implements ports.PeerTransport.
func (t *Transport) Disconnect(peer domain.DaemonID) {
	if c := t.current(peer); c != nil {
		c.close(errClosed)
	}
}

// Send implements ports.PeerTransport.
func (t *Transport) Send(peer domain.DaemonID, frame ports.Frame) error {
	c := t.current(peer)
	if c == nil {
		return ports.ErrPeerNotConnected
	}
	select {
	case c.queue <- frame:
		return nil
	default:
		t.dropped.Add(1)
		c.close(errQueue)
		return fmt.Errorf("send to %s: %w", peer, errQueue)
	}
}
