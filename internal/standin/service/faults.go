package service

import (
	"encoding/json"
	"net/http"
	"time"
)

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
