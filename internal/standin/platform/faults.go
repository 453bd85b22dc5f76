package platform

import (
	"slices"
	"time"
)

// Service names one of the platform's services.
type Service string

const (
	ServiceTable   Service = "table"
	ServiceObjects Service = "objects"
	ServiceVMs     Service = "vms"
	ServiceWeights Service = "weights"
)

// Faults are the lasting fault switches. The zero value is a healthy platform.
type Faults struct {
	// Down lists services that refuse all calls without effect.
	Down []Service `json:"down"`
	// Slow is added to Config.Latency, for SlowServices or, if that is empty,
	// for all.
	Slow         time.Duration `json:"slow_ns"`
	SlowServices []Service     `json:"slow_services"`
	// LoseAnswers is the share of writes whose answer is lost after the write
	// took effect.
	LoseAnswers float64 `json:"lose_answers"`
	// LoseNext loses the answers of this number of coming writes.
	LoseNext int `json:"lose_next"`
	// Unreachable lists clients whose requests never arrive.
	Unreachable []string `json:"unreachable"`
	// ThrottleAll answers all calls with a rate limit error.
	ThrottleAll bool `json:"throttle_all"`
}

type faultCommand struct {
	Faults
	Silence bool `json:"silence"`
}

// Faults returns the switches in force.
func (p *Platform) Faults() Faults {
	return *p.faults.Load()
}

// SetFaults replaces the switches.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost = f.LoseNext
	p.faults.Store(&f)
}

// Silence makes all open connections silent for good; new ones work. It needs
// Start.
func (p *Platform) Silence() int {
	if l := p.listener.Load(); l != nil {
		return l.Silence()
	}
	return 0
}

func (f *Faults) slowness(s Service) time.Duration {
	if len(f.SlowServices) == 0 || slices.Contains(f.SlowServices, s) {
		return f.Slow
	}
	return 0
}

// loseAnswerLocked decides whether the answer of a write that took effect is
// lost.
func (p *Platform) loseAnswerLocked() bool {
	if p.lost > 0 {
		p.lost--
		p.counters.Lost++
		return true
	}
	if share := p.Faults().LoseAnswers; share > 0 && p.rng.Float64() < share {
		p.counters.Lost++
		return true
	}
	return false
}
