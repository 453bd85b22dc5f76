package engine

import (
	"container/heap"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/standin/netfault"
)

var (
	errQueueFull = errors.New("queue is full")
	errDuplicate = errors.New("attempt id is already in use")
	errCancelled = errors.New("attempt was cancelled before it arrived")
	errModel     = errors.New("model is not loaded")
)

// Engine is one stand-in engine. It is an http.Handler; Start serves it on a
// listener.
type Engine struct {
	cfg      Config
	handler  http.Handler
	faults   atomic.Pointer[Faults]
	listener atomic.Pointer[netfault.Listener]
	server   *http.Server

	mu          sync.Mutex
	incarnation domain.Incarnation
	rng         *rand.Rand
	running     []*attempt
	queue       queue
	attempts    map[domain.AttemptID]*attempt
	ended       []domain.AttemptID
	cancelled   map[domain.AttemptID]struct{}
	imported    map[domain.AttemptID]int
	cache       *prefixCache
	load        loadHistory
	content     content
	arrivals    uint64
	looping     bool
	closed      bool
	ledger      ledger
	stop        chan struct{}
}

// New returns an idle engine with incarnation 1.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg:         cfg,
		incarnation: 1,
		rng:         rand.New(rand.NewPCG(cfg.Seed, 1)),
		stop:        make(chan struct{}),
	}
	e.faults.Store(&Faults{})
	e.handler = e.routes()
	e.resetLocked()
	e.server = &http.Server{Handler: e}
	return e
}

// resetLocked forgets everything that a process loses when it ends.
func (e *Engine) resetLocked() {
	e.running = nil
	e.queue = nil
	e.attempts = make(map[domain.AttemptID]*attempt)
	e.ended = nil
	e.cancelled = make(map[domain.AttemptID]struct{})
	e.imported = make(map[domain.AttemptID]int)
	e.cache = newPrefixCache(e.cfg.BlockBytes, e.cfg.CacheBlocks, e.loseCacheEvent)
	e.load = loadHistory{}
	e.content = content{models: e.cfg.Models, adapters: e.cfg.Adapters, role: e.cfg.Role}
}

func (e *Engine) loseCacheEvent() bool {
	return e.cfg.CacheLoss > 0 && e.rng.Float64() < e.cfg.CacheLoss
}

// Start serves the engine on a listener until Close.
func (e *Engine) Start(inner net.Listener) {
	l := netfault.Wrap(inner)
	e.listener.Store(l)
	e.setDown(e.Faults().Down)
	go func() { _ = e.server.Serve(l) }()
}

// Close drops all work and connections.
func (e *Engine) Close() error {
	e.mu.Lock()
	if !e.closed {
		e.closed = true
		close(e.stop)
	}
	for _, a := range e.attempts {
		e.endLocked(a, StateLost)
	}
	e.running = nil
	e.queue = nil
	e.mu.Unlock()
	return e.server.Close()
}

// ServeHTTP serves the upstream protocol, /faults and /ledger.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.handler.ServeHTTP(w, r)
}

// attempt is one attempt. Engine.mu guards it.
type attempt struct {
	id           domain.AttemptID
	endpoint     string
	model        string
	prompt       string
	hash         uint64
	skip         int
	want         int
	finish       string
	priority     int
	arrival      uint64
	promptTokens int
	cached       int
	readyAt      time.Time
	produced     int
	entry        *Entry
	watchers     map[chan struct{}]struct{}
	orphan       *time.Timer
}

func (a *attempt) over() bool {
	return a.entry.State != StateQueued && a.entry.State != StateRunning
}

func (a *attempt) notify() {
	for w := range a.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// submit queues a new attempt. The entry in the ledger tells what became of it.
func (e *Engine) submit(a *attempt, key string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	a.entry = &Entry{
		Attempt: a.id, Request: a.id.Request(), IdempotencyKey: key, Incarnation: e.incarnation,
		Model: a.model, Priority: a.priority, PromptTokens: a.promptTokens, Skipped: a.skip,
		Received: now, State: StateQueued,
	}
	a.watchers = make(map[chan struct{}]struct{})
	e.ledger.attempts = append(e.ledger.attempts, a.entry)
	if err := e.admissible(a); err != nil {
		a.entry.State = StateRefused
		a.entry.Ended = now
		return err
	}
	e.arrivals++
	a.arrival = e.arrivals
	e.attempts[a.id] = a
	heap.Push(&e.queue, a)
	e.admitLocked(now)
	e.sampleLocked(now, true)
	e.startOrphanTimerLocked(a)
	if !e.looping {
		e.looping = true
		go e.loop(e.incarnation)
	}
	return nil
}

func (e *Engine) admissible(a *attempt) error {
	if _, dup := e.attempts[a.id]; dup {
		return errDuplicate
	}
	if _, gone := e.cancelled[a.id]; gone {
		return errCancelled
	}
	if !e.content.holds(a.model) {
		return errModel
	}
	limit := max(e.cfg.QueueLimit, 0)
	if e.closed || len(e.running) >= e.cfg.Slots && len(e.queue) >= limit && !e.displaces(a) {
		return errQueueFull
	}
	return nil
}

// endLocked ends an attempt that is not over yet and keeps it for resumption.
func (e *Engine) endLocked(a *attempt, state State) {
	if a.over() {
		return
	}
	if a.entry.State == StateQueued {
		e.queue.remove(a)
	}
	for i, r := range e.running {
		if r == a {
			e.running = append(e.running[:i], e.running[i+1:]...)
			break
		}
	}
	a.entry.State = state
	a.entry.Ended = time.Now()
	a.notify()
	e.ended = append(e.ended, a.id)
	if len(e.ended) > e.cfg.Retain {
		delete(e.attempts, e.ended[0])
		e.ended = e.ended[1:]
	}
}

// cancel ends an attempt and reports whether it was known. An unknown attempt
// is remembered, so that it cannot start if its request is still on the way.
func (e *Engine) cancel(id domain.AttemptID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, known := e.attempts[id]
	if !known {
		e.cancelled[id] = struct{}{}
		return false
	}
	e.endLocked(a, StateCancelled)
	now := time.Now()
	e.admitLocked(now)
	e.sampleLocked(now, true)
	return true
}
