package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/internal/adapters/upstreamhttp"
	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/httproute"
	"github.com/auburndyke/auburndyke/internal/memlimit"
	"github.com/auburndyke/auburndyke/internal/quarantine"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// defaultTimeout applies to requests whose caller states no timeout. A shorter
	// timeout of the route takes precedence.
	defaultTimeout = 60 * time.Second
	// defaultMaxBodyBytes bounds request bodies if the configuration states no
	// limit.
	defaultMaxBodyBytes = 4 << 20
	// bodyTimeout bounds the reading of a request body.
	bodyTimeout = 10 * time.Second
	// writeSlack is how long after the deadline a caller may still read the rest
	// of a response.
	writeSlack = time.Second
	// returnMargin is subtracted from the time that an upstream is given, so that
	// its response reaches the caller before the deadline.
	returnMargin = 20 * time.Millisecond
)

// Options configures a Handler. All fields but OnListOutdated, Quarantine, Origins and
// CountUsage are required.
type Options struct {
	Protocol Protocol
	Balancer *balancer.Balancer
	Pool     *upstreamhttp.Pool
	Retries  *RetryBudgets
	Log      *telemetry.Log
	Metrics  *Metrics
	// OnListOutdated is called when a response shows that the list of upstreams is
	// outdated. It must not block. It may be nil.
	OnListOutdated func()
	// Quarantine says which parts of prompts crash upstreams. Nil means that the
	// handler decides by its own requests. The tracker must pass its changes to
	// Handler.PartChanged.
	Quarantine *quarantine.Tracker
	// Origins says at which software version streams began. Nil means that streams can be
	// taken up while one version is listed.
	Origins Origins
	// CountUsage counts a request of a customer that began to run. Nil means that nothing is
	// counted.
	CountUsage func(domain.CustomerID)
}

// Handler is the HTTP handler for callers.
type Handler struct {
	Options
	table atomic.Pointer[httproute.Table]
	// disableKeepAlives makes responses close their connections.
	disableKeepAlives atomic.Bool
	// shutdownDeadline is when the daemon stops. Nil means that it does not stop.
	shutdownDeadline atomic.Pointer[time.Time]
	active           atomic.Int64
	bodies           bodyMemory
	responses        bodyMemory
	unsized          unsizedRate
	open             openAttempts
	invalidLoads     loadLog
}

// New returns a Handler that refuses requests until SetTable is called.
func New(o Options) *Handler {
	h := &Handler{Options: o, bodies: bodyMemory{&memlimit.Limit{}}, responses: bodyMemory{o.Pool.Memory()}}
	if h.Quarantine == nil {
		h.Quarantine = quarantine.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), h.PartChanged)
	}
	if h.Origins == nil {
		h.Origins = listedVersions{o.Balancer}
	}
	return h
}

// SetTable replaces the configuration.
func (h *Handler) SetTable(t *httproute.Table) { h.table.Store(t) }

// Table returns the current configuration, or nil.
func (h *Handler) Table() *httproute.Table { return h.table.Load() }

// DisableKeepAlives makes every later response close its connection.
func (h *Handler) DisableKeepAlives() { h.disableKeepAlives.Store(true) }

// ErrStopping is the cause with which the server cancels its requests' contexts at the
// end of a graceful shutdown. A request whose response has not begun is then answered by
// the daemon; any other cause means that the caller is gone.
var ErrStopping = errors.New("the daemon stops")

// SetShutdownDeadline makes the handler refuse new requests whose deadlines are
// later.
func (h *Handler) SetShutdownDeadline(deadline time.Time) { h.shutdownDeadline.Store(&deadline) }

// SetBodyMemoryLimit bounds the total size of the request bodies in memory. Zero
// means no limit.
func (h *Handler) SetBodyMemoryLimit(bytes int64) { h.bodies.Set(bytes) }

// SetResponseMemoryLimit bounds the total size of what is kept of responses: those that
// are read in full before they are relayed, and unfinished events and headers that are
// longer than usual. Beyond it, responses are relayed as they arrive, and such events and
// headers break their attempts off. Zero means no limit.
func (h *Handler) SetResponseMemoryLimit(bytes int64) { h.responses.Set(bytes) }

// ResponseMemory returns the bytes that are reserved for responses.
func (h *Handler) ResponseMemory() int64 { return h.responses.Used() }

// Active returns the number of requests in progress.
func (h *Handler) Active() int { return int(h.active.Load()) }

// request is one request in progress.
type request struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	info     RequestInfo
	table    *httproute.Table
	route    *httproute.Route
	service  string
	engine   bool
	customer domain.CustomerID
	rank     httproute.Rank
	body     []byte
	// bodyReserved is the number of bytes that are reserved for the body.
	bodyReserved int64
	prompt       balancer.Prompt
	// parts are the parts of the prompt that other requests may have as well, and behind
	// them the whole request.
	parts    []quarantine.Part
	arrived  time.Time
	deadline time.Time
	ctx      context.Context

	// startDeadline is when a response that has not begun counts as lost.
	startDeadline time.Time
	tried         []domain.UpstreamID
	// sends counts the upstreams that the request was sent to.
	sends int
	// pinned is set once the stream may go on only at upstreams of softwareVersion.
	pinned          bool
	softwareVersion string
	// mayHaveRun is set once an upstream may have run the request.
	mayHaveRun bool
	outcome    outcome
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	q := &request{h: h, w: w, r: r, arrived: time.Now(), info: h.Protocol.ParseRequest(r.Header)}
	defer q.finish()
	if q.admit() {
		q.run()
	}
}

// setWriteDeadline prevents a caller that does not read from occupying an
// upstream. The zero time clears the deadline, which otherwise applies to the
// connection's next request as well.
func (q *request) setWriteDeadline(deadline time.Time) {
	// Only writers in tests do not support deadlines.
	_ = http.NewResponseController(q.w).SetWriteDeadline(deadline)
}

// admit finds the route and the customer and reads the body. If it reports false,
// it has written the response.
func (q *request) admit() bool {
	q.table = q.h.table.Load()
	if q.table == nil {
		return q.refuse(http.StatusServiceUnavailable, reasonNoConfiguration, startupRetryAfter)
	}
	if limit := q.table.Limits.HeaderBytes; limit > 0 && headerBytes(q.r) > limit {
		return q.reject(http.StatusRequestHeaderFieldsTooLarge, reasonHeaderTooLarge)
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	q.route = q.table.Lookup(q.r.Host, path)
	if q.route == nil {
		return q.reject(http.StatusNotFound, reasonNoRoute)
	}
	if !q.authenticate() {
		return q.reject(http.StatusUnauthorized, reasonUnknownKey)
	}
	q.service = q.route.Pick(rand.Float64())
	if s := q.table.Service(q.service); s != nil {
		q.engine = s.Engine != nil
	}
	if !q.readBody() {
		return false
	}
	q.h.Retries.Deposit(q.arrived, q.service)
	return true
}

// authenticate finds the customer and the rank of a request. It reports false for
// an unknown API key.
func (q *request) authenticate() bool {
	q.rank = q.table.Rank(q.route, nil)
	if q.route.Public || !q.table.Authenticated() {
		return true
	}
	customer := q.table.Customer(q.info.APIKey)
	if customer == nil {
		return false
	}
	q.customer = customer.Name
	q.rank = q.table.Rank(q.route, customer)
	return true
}

// readBody sets the request's deadline and reads the body. If it reports false,
// it has written the response.
func (q *request) readBody() bool {
	timeout := q.info.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if q.route.Timeout > 0 {
		timeout = min(timeout, q.route.Timeout)
	}
	q.deadline = q.arrived.Add(timeout)
	if q.outlastsShutdown() {
		return q.refuse(http.StatusServiceUnavailable, reasonStopping, stoppingRetryAfter)
	}
	limit := q.table.Limits.BodyBytes
	if limit == 0 {
		limit = defaultMaxBodyBytes
	}
	if q.r.ContentLength == 0 {
		return true
	}
	if q.r.ContentLength > limit {
		return q.reject(http.StatusRequestEntityTooLarge, reasonBodyTooLarge)
	}
	control := http.NewResponseController(q.w)
	// Only connections in tests do not support deadlines.
	_ = control.SetReadDeadline(q.arrived.Add(bodyTimeout))
	var err error
	q.body, q.bodyReserved, err = q.h.bodies.read(q.r.Body, q.r.ContentLength, limit)
	_ = control.SetReadDeadline(time.Time{})
	q.r.Trailer = nil // not used, and bounded by nothing but its request's end
	switch {
	case errors.Is(err, errTooLarge):
		return q.reject(http.StatusRequestEntityTooLarge, reasonBodyTooLarge)
	case errors.Is(err, errNoMemory):
		return q.refuse(http.StatusServiceUnavailable, reasonNoMemory, upstreamRetryAfter)
	case err != nil:
		return q.reject(http.StatusBadRequest, reasonBodyBroken)
	case q.outlastsShutdown(): // the shutdown may have started meanwhile
		return q.refuse(http.StatusServiceUnavailable, reasonStopping, stoppingRetryAfter)
	}
	return true
}

// outlastsShutdown reports whether the request's deadline is after the end of a
// shutdown that has started.
func (q *request) outlastsShutdown() bool {
	shutdown := q.h.shutdownDeadline.Load()
	return shutdown != nil && q.deadline.After(*shutdown)
}

// headerBytes returns the approximate size of the request line and header.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// countUsage counts that an upstream began to run the request.
func (q *request) countUsage() {
	if q.h.CountUsage != nil && q.customer != "" {
		q.h.CountUsage(q.customer)
	}
}

// remaining returns the time until the request's deadline.
func (q *request) remaining() time.Duration { return time.Until(q.deadline) }
