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
	// borrowMaxAge is the max age of a load report on which slots are borrowed.
	borrowMaxAge = 3 * time.Second
	// slotReserve is the number of free slots per upstream that are not lent.
	slotReserve = 1
	// lowTierSlotReserve is slotReserve for tiers that do not preempt. It is
	// larger so that urgent requests of other daemons find a free slot instead of
	// preempting.
	lowTierSlotReserve = 3
	// refusalBackoff is how long an upstream gets no new requests after it
	// refused one.
	refusalBackoff = 250 * time.Millisecond
	// slowStartPeriod is how long the slot limit of a new or recovered upstream
	// takes to grow to its full value.
	slowStartPeriod = 10 * time.Second
)

// State is the live state of one upstream on this daemon. All methods are safe
// for concurrent use and never wait for a lock; Estimate drops an update that
// contends with another.
type State struct {
	// Estimate predicts the upstream's latency.
	Estimate *estimate.Upstream
	// Prefixes tracks the content of the upstream's prefix cache.
	Prefixes PrefixSet

	slots int
	// pairHash is a hash of the daemon's and the upstream's id. It gives each
	// daemon its own pseudo-random sequence in borrowLimitFrom.
	pairHash uint64
	// link is shared by all upstreams of a remote region; nil in the daemon's own.
	link *link

	inFlight      atomic.Int64
	leaving       atomic.Bool
	backoffUntil  atomic.Int64 // Unix ns
	slowStartedAt atomic.Int64 // Unix ns; 0 means no slow start
	borrowLimit   atomic.Int64 // this daemon's slots by the latest load report
	// lowTierBorrowLimit is borrowLimit for tiers that do not preempt.
	lowTierBorrowLimit atomic.Int64
	reportedAt         atomic.Int64 // Unix ns
	capabilities       atomic.Pointer[capabilities]
	incarnation        atomic.Uint64
	health             health
}

// capabilities are the models, adapters and role that an engine last reported.
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

// InFlight returns the number of this daemon's attempts in flight.
func (s *State) InFlight() int { return int(s.inFlight.Load()) }

// SetLeaving excludes the upstream from new requests, or includes it again.
func (s *State) SetLeaving(leaving bool) { s.leaving.Store(leaving) }

// Leaving reports whether SetLeaving excluded the upstream.
func (s *State) Leaving() bool { return s.leaving.Load() }

// BeginSlowStart makes the slot limit grow from one to its full value over
// slowStartPeriod.
func (s *State) BeginSlowStart(now time.Time) { s.slowStartedAt.Store(now.UnixNano()) }

// Report applies a load report that arrived now. This daemon borrows up to one
// part in divisor of the free slots. A new incarnation of the upstream clears
// the prefix cache and the estimate and begins a slow start.
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

// borrowLimitFrom returns the number of slots that this daemon may use until the
// next report if that exceeds its share. lendable is the number of free slots
// less a reserve for the daemons whose share they belong to. Each daemon gets
// the divisor-th part of it; a fraction of a slot is granted at random, so that
// all daemons together borrow about lendable slots and not one slot each. With
// no lendable slots the limit is 0, so a borrowed slot is not reused once its
// request ends.
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

// limit returns the number of slots that this daemon may use now: its share, or
// more if a recent load report shows free slots. A share of 0, which occurs with
// more daemons than slots, allows one slot unless a recent report shows none
// free.
func (s *State) limit(now time.Time, share int) int64 {
	return s.limitWith(now, share, &s.borrowLimit)
}

// limitWith is limit with either borrowLimit or lowTierBorrowLimit.
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

// slowStartFactor returns the fraction of the limit that slow start allows, from
// 0 to 1.
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

// Slot is one attempt in flight at an upstream.
type Slot struct {
	state          *State
	started        time.Time
	tokens         int
	load           float64
	probe          bool
	firstTokenSeen atomic.Bool
	released       atomic.Bool
}

// reserve adds one attempt in flight unless the limit is reached.
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

// Acquire takes a slot for an attempt of the given number of tokens. load is the
// predicted number of active tokens at the upstream. It returns nil if there is
// no free slot or the upstream's health does not allow an attempt.
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

// ObserveFirstToken records that the first token arrived. Later calls have no
// effect.
func (s *Slot) ObserveFirstToken(now time.Time) {
	if s.released.Load() || !s.firstTokenSeen.CompareAndSwap(false, true) {
		return
	}
	s.state.link.recordFirstToken()
	s.state.Estimate.ObserveFirstToken(now, s.started, s.load)
}

// ObserveInterTokenLatency records the attempt's mean inter-token latency so far.
func (s *Slot) ObserveInterTokenLatency(now time.Time, mean time.Duration) {
	s.state.Estimate.ObserveInterTokenLatency(now, mean)
}

// Started returns when the slot was taken.
func (s *Slot) Started() time.Time { return s.started }

// Result is how an attempt ended, as far as it concerns the upstream's health.
type Result uint8

const (
	// ResultOK means that the attempt ended normally.
	ResultOK Result = iota
	// ResultFailed means that the upstream failed: a connection or protocol
	// error, or no data for too long.
	ResultFailed
	// ResultRefused means that the upstream refused the attempt before it ran.
	ResultRefused
	// ResultCancelled means that this side ended the attempt, which says nothing
	// about the upstream.
	ResultCancelled
)

// Release frees the slot. It reports whether this was the first call; later
// calls have no effect.
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
