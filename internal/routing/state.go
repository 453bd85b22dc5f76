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
	// lowTierSlotReserve is the same for tiers that do not preempt, so that urgent
	// work of other daemons finds a free slot instead of preempting.
	lowTierSlotReserve = 3
	// refusalBackoff keeps new work away from an upstream that refused some.
	refusalBackoff = 250 * time.Millisecond
	// slowStartPeriod is how long the limit of a new or returning upstream grows.
	slowStartPeriod = 10 * time.Second
)

// State is the live state of one upstream on this daemon. All methods are
// safe for concurrent use and take no lock, except Estimate's dropped updates.
type State struct {
	// Estimate predicts the upstream's latency.
	Estimate *estimate.Upstream
	// Prefixes remembers what its prefix cache holds.
	Prefixes PrefixSet

	slots int
	// pairHash differs between daemons, so that they draw different lots.
	pairHash uint64
	// link is shared by the upstreams of another region; nil in the own one.
	link *link

	inFlight      atomic.Int64
	leaving       atomic.Bool
	backoffUntil  atomic.Int64 // Unix ns
	slowStartedAt atomic.Int64 // Unix ns; 0 means fully warm
	borrowLimit   atomic.Int64 // own running limit by the latest report
	// lowTierBorrowLimit is the limit for tiers that do not preempt.
	lowTierBorrowLimit atomic.Int64
	reportedAt         atomic.Int64 // Unix ns
	capabilities       atomic.Pointer[capabilities]
	incarnation        atomic.Uint64
	health             health
}

// capabilities is what an engine reported to hold.
type capabilities struct {
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
func (s *State) InFlight() int { return int(s.inFlight.Load()) }

// SetLeaving excludes the upstream from new work, or readmits it.
func (s *State) SetLeaving(leaving bool) { s.leaving.Store(leaving) }

// Leaving reports whether the upstream is excluded by SetLeaving.
func (s *State) Leaving() bool { return s.leaving.Load() }

// BeginSlowStart starts a slow start: the limit grows from one slot to the full share.
func (s *State) BeginSlowStart(now time.Time) { s.slowStartedAt.Store(now.UnixNano()) }

// Report applies a load report that arrived now, where sharers daemons borrow
// free slots of the upstream alike. A new incarnation forgets the prefix cache and starts slowly.
func (s *State) Report(now time.Time, r ports.LoadReport, divisor int) {
	if old := s.incarnation.Swap(uint64(r.Incarnation)); old != 0 && old != uint64(r.Incarnation) {
		s.Prefixes.Clear()
		s.Estimate.Forget()
		s.BeginSlowStart(now)
	}
	s.link.recordReport(now)
	s.Estimate.Report(now, r)
	slots := int64(r.Slots)
	if slots == 0 {
		slots = int64(s.slots)
	}
	free := slots - int64(r.Running) - int64(r.Queued)
	s.borrowLimit.Store(s.borrowLimitFrom(&r, free-slotReserve, int64(max(divisor, 1))))
	s.lowTierBorrowLimit.Store(s.borrowLimitFrom(&r, free-lowTierSlotReserve, int64(max(divisor, 1))))
	s.reportedAt.Store(now.UnixNano() - int64(max(r.Age, 0)))
	if len(r.Models) > 0 {
		s.capabilities.Store(&capabilities{models: r.Models, adapters: r.Adapters, role: r.Role})
	}
}

// borrowLimitFrom is the number of slots that this daemon may hold until the next
// report, if that is more than its share. The room, which is free slots without
// a reserve for their holders, is lent in equal parts; a fraction of a slot is
// granted by lot, so that all daemons together borrow about the room and not
// one slot each. While there is none, borrowed slots are not filled again.
func (s *State) borrowLimitFrom(r *ports.LoadReport, lendable, divisor int64) int64 {
	if lendable <= 0 {
		return 0
	}
	extra := lendable / divisor
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(r.Taken.UnixNano())^s.pairHash)
	if int64(xxhash.Sum64(seed[:])%uint64(divisor)) < lendable%divisor {
		extra++
	}
	return s.inFlight.Load() + extra
}

// limit is the number of slots that this daemon may hold now: its share, or
// more while a recent report shows room. A share of 0, which more daemons than
// slots give, allows one slot while no recent report tells better.
func (s *State) limit(now time.Time, share int) int64 {
	return s.limitWith(now, share, &s.borrowLimit)
}

// limitWith is the limit by one of the allowances.
func (s *State) limitWith(now time.Time, share int, borrowLimit *atomic.Int64) int64 {
	if s.slots <= 0 {
		return int64(1) << 40
	}
	limit := int64(share)
	if now.UnixNano()-s.reportedAt.Load() < int64(borrowMaxAge) {
		limit = max(limit, min(borrowLimit.Load(), int64(s.slots)))
		if limit == 0 {
			return 0
		}
	}
	return max(int64(float64(limit)*s.slowStartFactor(now)), 1)
}

// slowStartFactor is the part of the limit that the slow start allows, 0 to 1.
func (s *State) slowStartFactor(now time.Time) float64 {
	startedAt := s.slowStartedAt.Load()
	if startedAt == 0 {
		return 1
	}
	age := now.UnixNano() - startedAt
	if age >= int64(slowStartPeriod) {
		return 1
	}
	return float64(max(age, 0)) / float64(slowStartPeriod)
}

// Slot is one running attempt at an upstream.
type Slot struct {
	state          *State
	started        time.Time
	tokens         int
	load           float64
	probe          bool
	firstTokenSeen atomic.Bool
	released       atomic.Bool
}

// reserve counts one more running attempt unless the limit is reached.
func (s *State) reserve(now time.Time, share int) bool {
	for {
		n := s.inFlight.Load()
		if n >= s.limit(now, share) {
			return false
		}
		if s.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Acquire takes a slot for an attempt of the given tokens, expected to run at
// load active tokens. It returns nil when no slot is free.
func (s *State) Acquire(now time.Time, share, tokens int, load float64) *Slot {
	probe, ok := s.health.begin(now, s.Estimate)
	if !ok {
		return nil
	}
	if !s.reserve(now, share) {
		s.health.endProbe(probe)
		return nil
	}
	s.Estimate.Start(now, tokens)
	return &Slot{state: s, started: now, tokens: tokens, load: load, probe: probe}
}

// RecordFirstToken records the first token. Further calls have no effect.
func (s *Slot) RecordFirstToken(now time.Time) {
	if s.released.Load() || !s.firstTokenSeen.CompareAndSwap(false, true) {
		return
	}
	s.state.link.recordAnswer()
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
	st.inFlight.Add(-1)
	st.Estimate.End(now, s.started, s.tokens, s.firstTokenSeen.Load())
	if result == ResultFailed && !s.firstTokenSeen.Load() {
		st.link.recordFailure(now, st.pairHash)
	}
	if result == ResultRefused {
		st.backoffUntil.Store(now.Add(refusalBackoff).UnixNano())
	}
	st.health.record(now, result, s.probe)
	return true
}
