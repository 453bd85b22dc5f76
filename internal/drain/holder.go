package drain

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/mesh"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	// CountInterval is the least time between two acknowledgements of falling
	// counts. Zero is acknowledged at once.
	CountInterval = 5 * time.Second
	// MoveMargin is how long before a VM's deadline its remaining streams move
	// to other upstreams.
	MoveMargin = 20 * time.Second
)

// HolderEvent is an input of Holder: one of FactsReceived, Counted, Acting
// and Tick.
type HolderEvent interface{ holderEvent() }

// Counted reports the requests in progress at an upstream, counted after new
// work was stopped for Epoch. Send it as the answer to StopNew and on changes.
type Counted struct {
	Upstream   domain.UpstreamID
	Epoch      uint64
	InProgress int
}

// Acting sets the incarnation under which the daemon acknowledges. Zero
// suspends acknowledgements.
type Acting struct{ Incarnation domain.Incarnation }

// StopNew asks the request path to send no new work to an upstream, to wait
// for requests that passed the check before, and then to report Counted.
type StopNew struct {
	Upstream domain.UpstreamID
	Epoch    uint64
}

// ResumeNew lets new work through again.
type ResumeNew struct{ Upstream domain.UpstreamID }

// MoveStreams asks for the remaining streams to be resumed on other upstreams
// before Deadline.
type MoveStreams struct {
	Upstream domain.UpstreamID
	Deadline time.Time
}

func (FactsReceived) holderEvent() {}
func (Counted) holderEvent()       {}
func (Acting) holderEvent()        {}
func (Tick) holderEvent()          {}

// held is one drain as the holder of requests sees it.
type held struct {
	fact    ports.Fact
	counted bool
	count   int
	acked   int
	seq     uint64
	ackedAt time.Time
	pending bool
	moved   bool
}

// Holder acknowledges drains on behalf of one daemon and stops its new work.
// It is not safe for concurrent use.
type Holder struct {
	self    domain.DaemonID
	run     domain.Incarnation
	drains  map[domain.UpstreamID]*held
	actions []Action
}

// NewHolder returns a holder that acknowledges nothing until Acting.
func NewHolder(self domain.DaemonID) *Holder {
	return &Holder{self: self, drains: map[domain.UpstreamID]*held{}}
}

// Leaving tells whether an upstream must get no new work.
func (h *Holder) Leaving(id domain.UpstreamID) bool {
	d := h.drains[id]
	return d != nil && d.fact.Kind != ports.FactUpstreamServing
}

// Handle processes one event and returns what to do, in order.
func (h *Holder) Handle(now time.Time, event HolderEvent) []Action {
	h.actions = nil
	switch e := event.(type) {
	case FactsReceived:
		for _, f := range e.Facts {
			h.onFact(f)
		}
	case Counted:
		h.onCounted(e)
	case Acting:
		h.onActing(e.Incarnation)
	}
	for _, id := range sortedKeys(h.drains) {
		h.acknowledge(now, h.drains[id])
		h.move(now, id, h.drains[id])
	}
	return h.actions
}

func (h *Holder) emit(a Action) { h.actions = append(h.actions, a) }

func (h *Holder) onFact(f ports.Fact) {
	if !isUpstreamFact(&f) {
		return
	}
	old := h.drains[f.Upstream]
	if old != nil && !mesh.Supersedes(f, old.fact) {
		return
	}
	if f.Kind == ports.FactUpstreamServing {
		h.drains[f.Upstream] = &held{fact: f}
		if old != nil {
			h.emit(ResumeNew{Upstream: f.Upstream})
		}
		return
	}
	if old != nil && sameDrain(&old.fact, &f) {
		// Only the deadline changed.
		old.fact = f
		return
	}
	h.drains[f.Upstream] = &held{fact: f}
	h.emit(StopNew{Upstream: f.Upstream, Epoch: f.Epoch})
}

func (h *Holder) onCounted(e Counted) {
	d := h.drains[e.Upstream]
	if d == nil || d.fact.Epoch != e.Epoch || d.fact.Kind == ports.FactUpstreamServing {
		return
	}
	d.pending = d.pending || !d.counted || e.InProgress != d.acked
	d.counted = true
	d.count = e.InProgress
}

// onActing acknowledges everything again under a new incarnation, because the
// acknowledgements of the old one end with it.
func (h *Holder) onActing(run domain.Incarnation) {
	if run == h.run {
		return
	}
	h.run = run
	for _, d := range h.drains {
		d.pending = d.counted
		d.ackedAt = time.Time{}
	}
}

func (h *Holder) acknowledge(now time.Time, d *held) {
	if h.run == 0 || !d.pending || d.fact.Kind != ports.FactUpstreamLeaving {
		return
	}
	if d.count != 0 && !d.ackedAt.IsZero() && now.Sub(d.ackedAt) < CountInterval {
		return
	}
	d.pending = false
	d.acked = d.count
	d.ackedAt = now
	d.seq++
	h.emit(Publish{Facts: []ports.Fact{{
		Kind: ports.FactDrainAck, Upstream: d.fact.Upstream, Incarnation: d.fact.Incarnation,
		Epoch: d.fact.Epoch, Seq: d.seq, InProgress: d.count, Stamp: mesh.StampAt(now),
		Member: &ports.Member{Daemon: h.self, Incarnation: h.run},
	}}})
}

func (h *Holder) move(now time.Time, id domain.UpstreamID, d *held) {
	if d.moved || d.count == 0 || d.fact.Deadline == 0 || d.fact.Kind != ports.FactUpstreamLeaving {
		return
	}
	deadline := time.Unix(d.fact.Deadline, 0)
	if deadline.Sub(now) > MoveMargin {
		return
	}
	d.moved = true
	h.emit(MoveStreams{Upstream: id, Deadline: deadline})
}

func isUpstreamFact(f *ports.Fact) bool {
	return f.Kind == ports.FactUpstreamServing || f.Kind == ports.FactUpstreamLeaving || f.Kind == ports.FactUpstreamGone
}

func sameDrain(a, b *ports.Fact) bool {
	return a.Kind == b.Kind && a.Incarnation == b.Incarnation && a.Epoch == b.Epoch
}

// sortedKeys gives loops a fixed order, so that equal inputs give equal outputs.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
