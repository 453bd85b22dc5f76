package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/exchange"
)

// activeSet holds the requests in progress and counts the attempts running at
// each upstream. An attempt is counted before its upstream is checked for
// leaving, so that a drain never misses one.
type activeSet struct {
	count    atomic.Int64
	requests sync.Map // domain.RequestID -> *exchange.Runner
	running  sync.Map // domain.UpstreamID -> *atomic.Int64
}

func (s *activeSet) begin() { s.count.Add(1) }

func (s *activeSet) end(id domain.RequestID) {
	s.requests.Delete(id)
	s.count.Add(-1)
}

func (s *activeSet) track(id domain.RequestID, r *exchange.Runner) { s.requests.Store(id, r) }

func (s *activeSet) len() int { return int(s.count.Load()) }

func (s *activeSet) counter(upstream domain.UpstreamID) *atomic.Int64 {
	if c, ok := s.running.Load(upstream); ok {
		return c.(*atomic.Int64)
	}
	c, _ := s.running.LoadOrStore(upstream, new(atomic.Int64))
	return c.(*atomic.Int64)
}

func (s *activeSet) at(upstream domain.UpstreamID) int { return int(s.counter(upstream).Load()) }

// drain tells every running request that an upstream leaves.
func (s *activeSet) drain(upstream domain.UpstreamID, deadline time.Time) {
	s.requests.Range(func(_, value any) bool {
		go value.(*exchange.Runner).Drain(upstream, deadline)
		return true
	})
}
