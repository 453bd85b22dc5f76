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
