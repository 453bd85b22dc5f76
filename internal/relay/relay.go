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
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// defaultWait bounds requests whose caller and route state no time.
	defaultWait = 60 * time.Second
	// defaultBodyBytes bounds bodies while the configuration states no limit.
	defaultBodyBytes = 4 << 20
	// bodyTimeout bounds the reading of a request body.
	bodyTimeout = 10 * time.Second
	// writeSlack is how long a caller may take for the rest of an answer after
	// the request's deadline.
	writeSlack = time.Second
	// returnMargin is taken off the time that an upstream gets, so that its
	// answer still reaches the caller in time.
	returnMargin = 20 * time.Millisecond
)

// Options sets up a Handler. All fields but ListOutdated are required.
type Options struct {
	Protocol Protocol
	Balancer *balancer.Balancer
	Pool     *upstreamhttp.Pool
	Retries  *RetryBudgets
	Log      *telemetry.Log
	Metrics  *Metrics
	// OnListOutdated is told when an answer shows that the list of upstreams is
	// out of date. It must not block. Nil means that nobody wants to know.
	OnListOutdated func()
}

// Handler is the HTTP handler towards callers.
type Handler struct {
	Options
	table atomic.Pointer[httproute.Table]
	// closing tells that kept connections end with their next answer.
	closing atomic.Bool
	// end is when the daemon ends, once it refuses requests that could last
	// longer.
	end    atomic.Pointer[time.Time]
	active atomic.Int64
	bodies bodyMemory
}

// New returns a Handler that refuses requests until SetTable is called.
func New(o Options) *Handler { return &Handler{Options: o} }

// SetTable puts a configuration in force.
func (h *Handler) SetTable(t *httproute.Table) { h.table.Store(t) }

// Table returns the configuration in force, or nil.
func (h *Handler) Table() *httproute.Table { return h.table.Load() }

// DisableKeepAlives makes every further answer end its connection.
func (h *Handler) DisableKeepAlives() { h.closing.Store(true) }

// SetShutdownDeadline makes the handler refuse new requests that could last longer than to
// the given time.
func (h *Handler) SetShutdownDeadline(end time.Time) { h.end.Store(&end) }

// SetBodyMemoryLimit bounds the bytes of the request bodies that are held at one time.
// Zero means no bound.
func (h *Handler) SetBodyMemoryLimit(bytes int64) { h.bodies.limit.Store(bytes) }

// Active returns the number of requests in progress.
func (h *Handler) Active() int { return int(h.active.Load()) }

// request is one request in progress.
type request struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	caller   RequestInfo
	table    *httproute.Table
	route    *httproute.Route
	service  string
	engine   bool
	customer domain.CustomerID
	rank     httproute.Rank
	body     []byte
	// bodyReserved is the memory that is reserved for the body.
	bodyReserved int64
	prompt       balancer.Prompt
	arrived      time.Time
	deadline     time.Time
	ctx          context.Context

	// silentAt is when an answer that has not begun counts as lost.
	silentAt time.Time
	tried    []domain.UpstreamID
	// sends counts the upstreams that the request was sent to.
	sends int
	// mayHaveRun is set once an upstream may have run the request.
	mayHaveRun bool
	outcome    outcome
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	if h.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &request{h: h, w: w, r: r, arrived: time.Now(), caller: h.Protocol.ParseRequest(r.Header)}
	defer q.finish()
	if q.admit() {
		q.run()
	}
}

// boundWrites keeps a caller that reads nothing from holding an upstream. The
// zero time ends the bound, since a connection keeps it over requests.
func (q *request) boundWrites(at time.Time) {
	// Writers without deadlines are those of tests.
	_ = http.NewResponseController(q.w).SetWriteDeadline(at)
}

// admit finds route and customer and reads the body. It answers the request
// itself when it reports false.
func (q *request) admit() bool {
	q.table = q.h.table.Load()
	if q.table == nil {
		return q.refuse(http.StatusServiceUnavailable, reasonNoConfiguration, startupRetry)
	}
	if limit := q.table.Limits.HeaderBytes; limit > 0 && headerBytes(q.r) > limit {
		return q.reject(http.StatusRequestHeaderFieldsTooLarge, reasonHeaderTooLarge)
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	q.route = q.table.Lookup(q.r.Host, path)
	if q.route == nil {
		return q.reject(http.StatusNotFound, reasonNoRoute)
	}
	if !q.authorize() {
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

// authorize finds the customer of the request's key.
func (q *request) authorize() bool {
	q.rank = q.table.Rank(q.route, nil)
	if q.route.Public || !q.table.Authenticated() {
		return true
	}
	customer := q.table.Customer(q.caller.APIKey)
	if customer == nil {
		return false
	}
	q.customer = customer.Name
	q.rank = q.table.Rank(q.route, customer)
	return true
}

// readBody sets the deadline and reads the body.
func (q *request) readBody() bool {
	wait := q.caller.Timeout
	if wait <= 0 {
		wait = defaultWait
	}
	if q.route.Timeout > 0 {
		wait = min(wait, q.route.Timeout)
	}
	q.deadline = q.arrived.Add(wait)
	if end := q.h.end.Load(); end != nil && q.deadline.After(*end) {
		return q.refuse(http.StatusServiceUnavailable, reasonStopping, stoppingRetry)
	}
	limit := q.table.Limits.BodyBytes
	if limit == 0 {
		limit = defaultBodyBytes
	}
	if q.r.ContentLength == 0 {
		return true
	}
	if q.r.ContentLength > limit {
		return q.reject(http.StatusRequestEntityTooLarge, reasonBodyTooLarge)
	}
	control := http.NewResponseController(q.w)
	// Connections that do not support deadlines are those of tests.
	_ = control.SetReadDeadline(q.arrived.Add(bodyTimeout))
	var err error
	q.body, q.bodyReserved, err = q.h.bodies.read(q.r.Body, q.r.ContentLength, limit)
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case errors.Is(err, errTooLarge):
		return q.reject(http.StatusRequestEntityTooLarge, reasonBodyTooLarge)
	case errors.Is(err, errNoMemory):
		return q.refuse(http.StatusServiceUnavailable, reasonNoMemory, upstreamRetry)
	case err != nil:
		return q.reject(http.StatusBadRequest, reasonBodyBroken)
	}
	return true
}

// headerBytes is the size of a request's line and header, about as it came.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// remaining is the time until the request's deadline.
func (q *request) remaining() time.Duration { return time.Until(q.deadline) }
