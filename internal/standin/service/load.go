package service

import (
	"net/http"
	"time"

	"github.com/auburndyke/auburndyke/internal/ports"
)

type loadSample struct {
	at      time.Time
	running int
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
