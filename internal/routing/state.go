package routing

import (
	"encoding/binary"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/estimate"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	// borrowMaxAge is the age of a load report up to which slots are borrowed.
	borrowMaxAge = 3 * time.Second
	// slotReserve is the number of free slots per upstream that are not lent.
	slotReserve = 1
	// lowSlotReserve is the same for tiers that do not preempt, so that urgent
	// work of other daemons finds a free slot instead of preempting.
	lowSlotReserve = 3
	// refusalPause keeps new work away from an upstream that refused some.
	refusalPause = 250 * time.Millisecond
	// warmup is how long the limit of a new or returning upstream grows.
	warmup = 10 * time.Second
)

// State is the live state of one upstream on this daemon. All methods are
// safe for concurrent use and take no lock, except Estimate's dropped updates.
type State struct {
	// Estimate predicts the upstream's latency.
	Estimate *estimate.Upstream
	// Prefixes remembers what its prefix cache holds.
	Prefixes PrefixSet

	slots int
	// lot differs between daemons, so that they draw different lots.
	lot uint64
	// link is shared by the upstreams of another region; nil in the own one.
	link *link

	running      atomic.Int64
	leaving      atomic.Bool
	refusedUntil atomic.Int64 // Unix ns
	warmFrom     atomic.Int64 // Unix ns; 0 means fully warm
	allowance    atomic.Int64 // own running limit by the latest report
	// lowAllowance is the limit for tiers that do not preempt.
	lowAllowance atomic.Int64
	reportedAt   atomic.Int64 // Unix ns
	content      atomic.Pointer[content]
	incarnation  atomic.Uint64
	health       health
}

// content is what an engine reported to hold.
type content struct {
	models, adapters []string
	role             domain.Role
}

// NewState returns the state of an upstream without observations.
func NewState(now time.Time, u *policy.Upstream) *State {
	return &State{
		Estimate: estimate.NewUpstream(now),
		slots:    u.Slots,
	}
}

// InFlight returns the slots that this daemon holds.
func (s *State) InFlight() int { return int(s.running.Load()) }

// SetLeaving excludes the upstream from new work, or readmits it.
func (s *State) SetLeaving(leaving bool) { s.leaving.Store(leaving) }

// Leaving reports whether the upstream is excluded by SetLeaving.
func (s *State) Leaving() bool { return s.leaving.Load() }

// BeginSlowStart starts a slow start: the limit grows from one slot to the full share.
func (s *State) BeginSlowStart(now time.Time) { s.warmFrom.Store(now.UnixNano()) }

// Report applies a load report that arrived now, where sharers daemons borrow
// free slots of the upstream alike. A new incarnation forgets the prefix cache and starts slowly.
func (s *State) Report(now time.Time, r ports.LoadReport, sharers int) {
	if old := s.incarnation.Swap(uint64(r.Incarnation)); old != 0 && old != uint64(r.Incarnation) {
		s.Prefixes.Clear()
		s.Estimate.Forget()
		s.BeginSlowStart(now)
	}
	s.link.heard(now)
	s.Estimate.Report(now, r)
	slots := int64(r.Slots)
	if slots == 0 {
		slots = int64(s.slots)
	}
	room := slots - int64(r.Running) - int64(r.Queued)
	s.allowance.Store(s.allowed(&r, room-slotReserve, int64(max(sharers, 1))))
	s.lowAllowance.Store(s.allowed(&r, room-lowSlotReserve, int64(max(sharers, 1))))
	s.reportedAt.Store(now.UnixNano() - int64(max(r.Age, 0)))
	if len(r.Models) > 0 {
		s.content.Store(&content{models: r.Models, adapters: r.Adapters, role: r.Role})
	}
}

// allowed is the number of slots that this daemon may hold until the next
// report, if that is more than its share. The room, which is free slots without
// a reserve for their holders, is lent in equal parts; a fraction of a slot is
// granted by lot, so that all daemons together borrow about the room and not
// one slot each. While there is none, borrowed slots are not filled again.
func (s *State) allowed(r *ports.LoadReport, room, sharers int64) int64 {
	if room <= 0 {
		return 0
	}
	extra := room / sharers
	var taken [8]byte
	binary.LittleEndian.PutUint64(taken[:], uint64(r.Taken.UnixNano())^s.lot)
	if int64(xxhash.Sum64(taken[:])%uint64(sharers)) < room%sharers {
		extra++
	}
	return s.running.Load() + extra
}

// limit is the number of slots that this daemon may hold now: its share, or
// more while a recent report shows room. A share of 0, which more daemons than
// slots give, allows one slot while no recent report tells better.
func (s *State) limit(now time.Time, share int) int64 {
	return s.limitBy(now, share, &s.allowance)
}

// limitBy is the limit by one of the allowances.
func (s *State) limitBy(now time.Time, share int, allowance *atomic.Int64) int64 {
	if s.slots <= 0 {
		return int64(1) << 40
	}
	limit := int64(share)
	if now.UnixNano()-s.reportedAt.Load() < int64(borrowMaxAge) {
		limit = max(limit, min(allowance.Load(), int64(s.slots)))
		if limit == 0 {
			return 0
		}
	}
	return max(int64(float64(limit)*s.warmth(now)), 1)
}

// warmth is the part of the limit that the slow start allows, 0 to 1.
func (s *State) warmth(now time.Time) float64 {
	from := s.warmFrom.Load()
	if from == 0 {
		return 1
	}
	age := now.UnixNano() - from
	if age >= int64(warmup) {
		return 1
	}
	return float64(max(age, 0)) / float64(warmup)
}

// Slot is one running attempt at an upstream.
type Slot struct {
	state    *State
	started  time.Time
	tokens   int
	load     float64
	probe    bool
	answered atomic.Bool
	released atomic.Bool
}

// acquire counts one more running attempt unless the limit is reached.
func (s *State) acquire(now time.Time, share int) bool {
	for {
		n := s.running.Load()
		if n >= s.limit(now, share) {
			return false
		}
		if s.running.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Acquire takes a slot for an attempt of the given tokens, expected to run at
// load active tokens. It returns nil when no slot is free.
func (s *State) Acquire(now time.Time, share, tokens int, load float64) *Slot {
	probe, ok := s.health.admit(now, s.Estimate)
	if !ok {
		return nil
	}
	if !s.acquire(now, share) {
		s.health.cancel(probe)
		return nil
	}
	s.Estimate.Start(now, tokens)
	return &Slot{state: s, started: now, tokens: tokens, load: load, probe: probe}
}

// RecordFirstToken records the first token. Further calls have no effect.
func (s *Slot) RecordFirstToken(now time.Time) {
	if s.released.Load() || !s.answered.CompareAndSwap(false, true) {
		return
	}
	s.state.link.answered()
	s.state.Estimate.ObserveFirstToken(now, s.started, s.load)
}

// RecordInterTokenLatency records the mean interval between the attempt's tokens so far.
func (s *Slot) RecordInterTokenLatency(now time.Time, mean time.Duration) {
	s.state.Estimate.ObserveInterTokenLatency(now, mean)
}

// Started returns when the slot was taken.
func (s *Slot) Started() time.Time { return s.started }

// Result is how an attempt at an upstream ended, as far as the upstream is
// concerned.
type Result uint8

const (
	// ResultOK: the attempt ended as intended.
	ResultOK Result = iota
	// ResultFailed: the upstream failed (connection, protocol, silence).
	ResultFailed
	// ResultRefused: the upstream refused before running.
	ResultRefused
	// ResultCancelled: ended by this side; says nothing about the upstream.
	ResultCancelled
)

// Release returns the slot. Only the first call has an effect; it reports
// whether this was the first.
func (s *Slot) Release(now time.Time, result Result) bool {
	if !s.released.CompareAndSwap(false, true) {
		return false
	}
	st := s.state
	st.running.Add(-1)
	st.Estimate.End(now, s.started, s.tokens, s.answered.Load())
	if result == ResultFailed && !s.answered.Load() {
		st.link.failed(now, st.lot)
	}
	if result == ResultRefused {
		st.refusedUntil.Store(now.Add(refusalPause).UnixNano())
	}
	st.health.record(now, result, s.probe)
	return true
}
