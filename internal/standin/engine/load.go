package engine

import (
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// sampleDivisor is the number of load samples kept per LoadLag.
const sampleDivisor = 50

// kvTokensPerSlot is the KV cache capacity per slot in tokens.
const kvTokensPerSlot = 4096

type loadSample struct {
	at           time.Time
	running      int
	queued       int
	activeTokens int
}

// loadHistory keeps enough samples to answer as of LoadLag ago.
type loadHistory struct {
	samples []loadSample
}

func (h *loadHistory) add(s loadSample, lag time.Duration) {
	h.samples = append(h.samples, s)
	first := 0
	for first+1 < len(h.samples) && s.at.Sub(h.samples[first+1].at) >= lag {
		first++
	}
	h.samples = slices.Delete(h.samples, 0, first)
}

// at returns the last sample at or before t.
func (h *loadHistory) at(t time.Time) loadSample {
	found := loadSample{}
	for _, s := range h.samples {
		if s.at.After(t) {
			break
		}
		found = s
	}
	return found
}

func (e *Engine) sampleLocked(now time.Time, always bool) {
	if n := len(e.load.samples); n > 0 && !always {
		if now.Sub(e.load.samples[n-1].at) < e.cfg.LoadLag/sampleDivisor {
			return
		}
	}
	s := loadSample{at: now, running: len(e.running), queued: len(e.queue)}
	for _, a := range e.running {
		s.activeTokens += a.promptTokens + a.skip + a.produced
	}
	e.load.add(s, e.cfg.LoadLag)
}

// report returns the load report and whether it is lost on the way.
func (e *Engine) report() (ports.LoadReport, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	lost := e.cfg.LoadLoss > 0 && e.rng.Float64() < e.cfg.LoadLoss
	taken := time.Now().Add(-e.cfg.LoadLag)
	s := e.load.at(taken)
	if e.Faults().FalseIdle {
		s = loadSample{}
	}
	c := e.content
	return ports.LoadReport{
		Upstream:       e.cfg.ID,
		Incarnation:    e.incarnation,
		Taken:          taken,
		Age:            e.cfg.LoadLag,
		Running:        s.running,
		Queued:         s.queued,
		ActiveTokens:   s.activeTokens,
		Slots:          e.cfg.Slots,
		KVUsed:         min(1, float64(s.activeTokens)/float64(e.cfg.Slots*kvTokensPerSlot)),
		Models:         slices.Clone(c.models),
		Adapters:       slices.Clone(c.adapters),
		Role:           c.role,
		AppliedOrder:   c.applied,
		HighestFencing: uint64(c.fencing),
	}, lost
}

// content is what orders put into the engine.
type content struct {
	models   []string
	adapters []string
	role     domain.Role
	applied  string
	fencing  domain.FencingToken
	received int
}

// holds reports whether a model or adapter can be served.
func (c *content) holds(model string) bool {
	if len(c.models) == 0 {
		return true
	}
	return slices.Contains(c.models, model) || slices.Contains(c.adapters, model)
}

// order applies an order and reports false when its token is stale.
func (e *Engine) order(o ports.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := e.cfg.ChecksFencing && o.Fencing < e.content.fencing
	e.ledger.orders = append(e.ledger.orders, OrderEntry{
		Order: o, Received: time.Now(), Incarnation: e.incarnation, Applied: !stale,
	})
	if stale {
		return false
	}
	e.content.fencing = max(e.content.fencing, o.Fencing)
	e.content.received++
	if e.cfg.OrderDelay == 0 {
		e.content.apply(o)
		return true
	}
	incarnation, number := e.incarnation, e.content.received
	time.AfterFunc(e.scale(e.cfg.OrderDelay), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		// A later order replaces one that is still being carried out.
		if e.incarnation == incarnation && e.content.received == number {
			e.content.apply(o)
		}
	})
	return true
}

func (c *content) apply(o ports.Order) {
	c.models = slices.Clone(o.Models)
	c.adapters = slices.Clone(o.Adapters)
	c.applied = o.ID
	if o.Role != "" {
		c.role = o.Role
	}
}
