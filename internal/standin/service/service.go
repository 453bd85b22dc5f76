package service

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/netfault"
)

const (
	headerRequestID   = "X-Request-Id"
	headerNotRun      = "X-Not-Run"
	headerIdempotency = "Idempotency-Key"
	maxBody           = 16 << 20
)

// Config sets up a Service.
type Config struct {
	ID domain.UpstreamID
	// Latency is the time of each execution. Default 0.
	Latency time.Duration
	// Slots is the number of calls that the load report shows as possible at
	// once. Default 16.
	Slots int
	// LoadLag is how old a load report is. Default 0.
	LoadLag time.Duration
}

// Faults are the lasting fault switches. The zero value is a healthy service.
type Faults struct {
	// Refuse answers calls with 503 and X-Not-Run before running them.
	Refuse bool `json:"refuse"`
	// LoseAnswers closes the connection after the execution.
	LoseAnswers bool `json:"lose_answers"`
	// CrashBefore ends the process before the execution of the next call,
	// CrashAfter behind it. The switch clears itself.
	CrashBefore bool `json:"crash_before"`
	CrashAfter  bool `json:"crash_after"`
	// StopAnswering accepts calls, runs nothing and never answers.
	StopAnswering bool `json:"stop_answering"`
	// Down closes all connections and accepts no new ones.
	Down bool `json:"down"`
	// Slow is added to Config.Latency.
	Slow time.Duration `json:"slow_ns"`
	// Deduplicate answers a repeated idempotency key from the first execution.
	Deduplicate bool `json:"deduplicate"`
	// FalseIdle makes load reports show an idle service.
	FalseIdle bool `json:"false_idle"`
}

// Execution is the ledger's record of one execution.
type Execution struct {
	Attempt        domain.AttemptID   `json:"attempt"`
	IdempotencyKey string             `json:"idempotency_key"`
	Incarnation    domain.Incarnation `json:"incarnation"`
	Method         string             `json:"method"`
	Path           string             `json:"path"`
	At             time.Time          `json:"at"`
	// Answered is false when a fault kept the answer back.
	Answered bool `json:"answered"`
}

// Ledger is everything that the service did, across its crashes.
type Ledger struct {
	Executions []Execution `json:"executions"`
	Received   int         `json:"received"`
	Refused    int         `json:"refused"`
	Replayed   int         `json:"replayed"`
}

// ByKey returns the number of executions of each idempotency key.
func (l Ledger) ByKey() map[string]int {
	out := make(map[string]int)
	for _, x := range l.Executions {
		out[x.IdempotencyKey]++
	}
	return out
}

// Answer is the body of a response.
type Answer struct {
	// Execution counts the executions from 1.
	Execution      int    `json:"execution"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Path           string `json:"path"`
	// Digest is the xxhash64 of the request body.
	Digest uint64 `json:"digest"`
}

// Service is one stand-in service. It is an http.Handler; Start serves it on a
// listener.
type Service struct {
	cfg      Config
	handler  http.Handler
	server   *http.Server
	faults   atomic.Pointer[Faults]
	listener atomic.Pointer[netfault.Listener]

	mu          sync.Mutex
	incarnation domain.Incarnation
	ledger      Ledger
	answers     map[string]Answer
	running     int
	samples     []loadSample
}

type loadSample struct {
	at      time.Time
	running int
}

// New returns an idle service with incarnation 1.
func New(cfg Config) *Service {
	if cfg.Slots == 0 {
		cfg.Slots = 16
	}
	s := &Service{cfg: cfg, incarnation: 1, answers: make(map[string]Answer)}
	s.faults.Store(&Faults{})
	s.handler = s.routes()
	s.server = &http.Server{Handler: s}
	return s
}

// Start serves the service on a listener until Close.
func (s *Service) Start(inner net.Listener) {
	l := netfault.Wrap(inner)
	s.listener.Store(l)
	l.SetDown(s.Faults().Down)
	go func() { _ = s.server.Serve(l) }()
}

// Close drops all connections.
func (s *Service) Close() error {
	return s.server.Close()
}

// ServeHTTP serves calls under any path, and /load, /health, /faults and
// /ledger.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

// Faults returns the switches in force.
func (s *Service) Faults() Faults {
	return *s.faults.Load()
}

// SetFaults replaces the switches.
func (s *Service) SetFaults(f Faults) {
	s.faults.Store(&f)
	if l := s.listener.Load(); l != nil {
		l.SetDown(f.Down)
		if f.Down {
			l.Drop()
		}
	}
}

// Silence makes all open connections silent for good; new ones work. It needs
// Start.
func (s *Service) Silence() int {
	if l := s.listener.Load(); l != nil {
		return l.Silence()
	}
	return 0
}

// Crash drops all connections and remembered answers, and starts a new
// incarnation. The ledger is kept.
func (s *Service) Crash() {
	s.mu.Lock()
	s.incarnation++
	s.answers = make(map[string]Answer)
	s.mu.Unlock()
	if l := s.listener.Load(); l != nil {
		l.Drop()
	}
}

// Ledger returns a copy of the ledger.
func (s *Service) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.ledger
	out.Executions = append([]Execution{}, s.ledger.Executions...)
	return out
}

func (s *Service) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", s.unlessStopped(s.handleLoad))
	mux.HandleFunc("GET /health", s.unlessStopped(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Ledger()) })
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Faults()) })
	mux.HandleFunc("POST /faults", s.handleFaults)
	mux.HandleFunc("/", s.unlessStopped(s.handleCall))
	return mux
}

// unlessStopped holds requests without an answer under StopAnswering.
func (s *Service) unlessStopped(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.Faults().StopAnswering {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		h(w, r)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Service) handleFaults(w http.ResponseWriter, r *http.Request) {
	cmd := struct {
		Faults
		Crash   bool `json:"crash"`
		Silence bool `json:"silence"`
	}{Faults: s.Faults()}
	if err := json.NewDecoder(r.Body).Decode(&cmd); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	_ = http.NewResponseController(w).Flush()
	s.SetFaults(cmd.Faults)
	if cmd.Silence {
		s.Silence()
	}
	if cmd.Crash {
		s.Crash()
	}
}

// handleCall runs a call even when its caller gives up, as a service that has
// begun its work would.
func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := s.Faults()
	if faults.Refuse {
		s.count(func(l *Ledger) { l.Received++; l.Refused++ })
		w.Header().Set(headerNotRun, "true")
		http.Error(w, "service refuses calls", http.StatusServiceUnavailable)
		return
	}
	s.count(func(l *Ledger) { l.Received++ })
	if s.takeSwitch(func(f *Faults) *bool { return &f.CrashBefore }) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	if answer, ok := s.remembered(r, faults); ok {
		writeJSON(w, http.StatusOK, answer)
		return
	}
	begun := s.currentIncarnation()
	s.track(1)
	time.Sleep(s.cfg.Latency + faults.Slow)
	s.track(-1)
	if s.currentIncarnation() != begun {
		panic(http.ErrAbortHandler)
	}
	crash := s.takeSwitch(func(f *Faults) *bool { return &f.CrashAfter })
	answer := s.execute(r, body, !crash && !faults.LoseAnswers)
	if crash {
		s.Crash()
	}
	if crash || faults.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, answer)
}

func (s *Service) currentIncarnation() domain.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

func (s *Service) count(f func(*Ledger)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.ledger)
}

// takeSwitch returns a self-clearing switch and clears it.
func (s *Service) takeSwitch(field func(*Faults) *bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.Faults()
	on := *field(&f)
	if on {
		*field(&f) = false
		s.faults.Store(&f)
	}
	return on
}

func (s *Service) remembered(r *http.Request, faults Faults) (Answer, bool) {
	key := r.Header.Get(headerIdempotency)
	s.mu.Lock()
	defer s.mu.Unlock()
	answer, ok := s.answers[key]
	if !ok || key == "" || !faults.Deduplicate {
		return Answer{}, false
	}
	s.ledger.Replayed++
	return answer, true
}

func (s *Service) execute(r *http.Request, body []byte, answered bool) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.Header.Get(headerIdempotency)
	s.ledger.Executions = append(s.ledger.Executions, Execution{
		Attempt: domain.AttemptID(r.Header.Get(headerRequestID)), IdempotencyKey: key,
		Incarnation: s.incarnation, Method: r.Method, Path: r.URL.Path, At: time.Now(), Answered: answered,
	})
	answer := Answer{
		Execution: len(s.ledger.Executions), IdempotencyKey: key, Path: r.URL.Path, Digest: xxhash.Sum64(body),
	}
	s.answers[key] = answer
	return answer
}

func (s *Service) track(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.running += change
	s.samples = append(s.samples, loadSample{now, s.running})
	for len(s.samples) > 1 && now.Sub(s.samples[1].at) >= s.cfg.LoadLag {
		s.samples = s.samples[1:]
	}
}

func (s *Service) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	taken := time.Now().Add(-s.cfg.LoadLag)
	running := 0
	for _, sample := range s.samples {
		if sample.at.After(taken) {
			break
		}
		running = sample.running
	}
	if s.Faults().FalseIdle {
		running = 0
	}
	report := ports.LoadReport{
		Upstream: s.cfg.ID, Incarnation: s.incarnation, Taken: taken, Age: s.cfg.LoadLag,
		Running: min(running, s.cfg.Slots), Queued: max(0, running-s.cfg.Slots), Slots: s.cfg.Slots,
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}
