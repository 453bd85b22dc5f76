package edge

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/internal/connlimit"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// Groups of connections: one for each listener.
const (
	groupCallers = iota
	groupReadiness
	groupInternal
	groupControl
	groups
)

const (
	// headerMemoryShare is the share of the VM's memory for the headers of all callers, in
	// decoded form. A single header of the largest size is always admitted.
	headerMemoryShare = 0.1
	// connectionMemoryShare is the share of the VM's memory for what connections hold at
	// least, on all listeners together.
	connectionMemoryShare = 0.2
	// minCallerConnections is the number of callers' connections that is allowed on the
	// smallest VM.
	minCallerConnections = 64
	// readinessConnections bounds connections for readiness probes. The load balancer has
	// one at a time.
	readinessConnections = 16
	// peerConnections bounds connections to the internal and to the control address. A
	// daemon asks one peer at a time, and a peer that is refused asks another one.
	peerConnections = 64
	// headerSlop is how much more than MaxHeaderBytes net/http reads of a header.
	headerSlop = 4096
	// connLogInterval bounds the log lines on closed connections: one for each reason.
	connLogInterval = 10 * time.Second
)

// connLimits returns the limits of connections and of the memory of their headers.
func connLimits(s *Settings) connlimit.Limits {
	l := connlimit.Limits{Connections: make([]int, groups)}
	l.Connections[groupReadiness] = readinessConnections
	l.Connections[groupInternal], l.Connections[groupControl] = peerConnections, peerConnections
	if s.FileDescriptors > 0 {
		l.Connections[groupCallers] = max(int(callerDescriptorShare*float64(s.FileDescriptors)), 1)
	}
	if s.MemoryBytes > 0 {
		l.HeaderBytes = max(int64(headerMemoryShare*float64(s.MemoryBytes)), connlimit.MaxCost(maxHeaderBytes+headerSlop))
		all := int(connectionMemoryShare * float64(s.MemoryBytes) / connlimit.ConnectionCost)
		callers := max(all-readinessConnections-2*peerConnections, minCallerConnections)
		if l.Connections[groupCallers] == 0 || callers < l.Connections[groupCallers] {
			l.Connections[groupCallers] = callers
		}
	}
	return l
}

// closeReason says why a connection was closed.
type closeReason int

const (
	reasonHeaderMemory closeReason = iota // headers use all their memory
	reasonConnections                     // the listener has no more connections
	reasonHeaderTime                      // a header took too long
	closeReasons
)

func (r closeReason) String() string {
	return [closeReasons]string{"header_memory", "connections", "header_time"}[r]
}

// connGuard closes connections as its account decides.
type connGuard struct {
	log     *telemetry.Log
	metrics *telemetry.Metrics
	// logged is when the last line was written for each reason, in Unix nanoseconds.
	logged [closeReasons]atomic.Int64

	mu      sync.Mutex
	account *connlimit.Account
	conns   map[connlimit.ID]net.Conn
	// changed is signalled when a connection may have become available.
	changed *sync.Cond
}

func newConnGuard(l connlimit.Limits, log *telemetry.Log, metrics *telemetry.Metrics) *connGuard {
	g := &connGuard{account: connlimit.NewAccount(l), conns: make(map[connlimit.ID]net.Conn), log: log, metrics: metrics}
	g.changed = sync.NewCond(&g.mu)
	return g
}

func (g *connGuard) setLimits(l connlimit.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.SetLimits(l)
	g.changed.Broadcast()
}

// open adds a connection. While all connections of its group have requests in progress,
// it waits, until the listener closes.
func (g *connGuard) open(group int, conn net.Conn, closed func() bool) (connlimit.ID, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		if closed() {
			return 0, false
		}
		if id, evicted, ok := g.account.Open(group, time.Now()); ok {
			g.evict(evicted, group, reasonConnections)
			g.conns[id] = conn
			return id, true
		}
		g.changed.Wait()
	}
}

// charge records the cost of a header. It waits for memory that connections hold which
// are being closed, and reports false if the connection itself must be closed.
func (g *connGuard) charge(id connlimit.ID, group int, cost int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		closed, verdict := g.account.Charge(id, cost)
		g.evict(closed, group, reasonHeaderMemory)
		if verdict != connlimit.Wait {
			return verdict == connlimit.Granted
		}
		g.changed.Wait()
	}
}

// evict closes connections, and wakes those of them that wait. The caller holds mu.
func (g *connGuard) evict(ids []connlimit.ID, group int, reason closeReason) {
	for _, id := range ids {
		_ = g.conns[id].Close() // no response has begun
		g.record(group, reason)
	}
	if len(ids) > 0 {
		g.changed.Broadcast()
	}
}

// record counts a closed connection, and logs some of them.
func (g *connGuard) record(group int, reason closeReason) {
	counter := g.metrics.Counter("auburndyke_connections_closed_total", "reason", reason.String())
	counter.Inc(1)
	now := time.Now().UnixNano()
	last := g.logged[reason].Load()
	if now-last >= int64(connLogInterval) && g.logged[reason].CompareAndSwap(last, now) {
		g.log.Event(telemetry.ConnectionClosed).Str("reason", reason.String()).
			Str("listener", [groups]string{"callers", "readiness", "internal", "control"}[group]).
			Int64("total", counter.Count()).Send()
	}
}

func (g *connGuard) read(id connlimit.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Read(id, time.Now())
}

// serve reports whether the request of a connection may run.
func (g *connGuard) serve(id connlimit.ID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.account.Serve(id, time.Now())
}

func (g *connGuard) idle(id connlimit.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Idle(id, time.Now())
	g.changed.Broadcast()
}

func (g *connGuard) close(id connlimit.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Close(id)
	delete(g.conns, id)
	g.changed.Broadcast()
}

// updateMetrics sets the gauges of the account.
func (g *connGuard) updateMetrics() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.metrics.Gauge("auburndyke_header_memory_bytes").Update(float64(g.account.Reserved()))
	g.metrics.Gauge("auburndyke_caller_connections").Update(float64(g.account.Connections(groupCallers)))
}

// guardedListener is a listener whose connections count towards the guard's limits.
type guardedListener struct {
	net.Listener
	guard  *connGuard
	group  int
	closed *atomic.Bool
}

func (g *connGuard) listener(l net.Listener, group int) guardedListener {
	return guardedListener{l, g, group, &atomic.Bool{}}
}

// Close wakes an Accept that waits for a connection to become available.
func (l guardedListener) Close() error {
	l.closed.Store(true)
	l.guard.mu.Lock()
	l.guard.changed.Broadcast()
	l.guard.mu.Unlock()
	return l.Listener.Close()
}

var errHeaderMemory = errors.New("headers use all the memory reserved for headers")

// accept returns the next connection with its number.
func (l guardedListener) accept() (net.Conn, connlimit.ID, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, 0, err
	}
	id, ok := l.guard.open(l.group, conn, l.closed.Load)
	if !ok {
		_ = conn.Close() // never served
		return nil, 0, net.ErrClosed
	}
	return conn, id, nil
}
