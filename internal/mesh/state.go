package mesh

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	// bucketCount is the number of groups that a digest distinguishes. With
	// 3,000 facts a bucket holds about 12 of them.
	bucketCount = 256
	bucketBytes = 4

	// RetentionHours is how long a fact stays after its last confirmation.
	RetentionHours = 48
	// RefreshHours is how often the owner of a live fact confirms it.
	RefreshHours = 12
)

// StampAt returns the Stamp for facts confirmed at a time.
func StampAt(now time.Time) uint32 {
	return uint32(now.Unix() / 3600)
}

// State is a join-semilattice of facts. The zero value is not usable; use
// NewState. It is not safe for concurrent use.
type State struct {
	facts   map[register]ports.Fact
	acks    map[domain.UpstreamID]map[register]struct{}
	buckets [bucketCount]uint64
	horizon uint32
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		facts: map[register]ports.Fact{},
		acks:  map[domain.UpstreamID]map[register]struct{}{},
	}
}

// Len returns the number of facts held.
func (s *State) Len() int { return len(s.facts) }

// Merge joins one fact and reports whether the state changed. It is
// idempotent, commutative and associative.
func (s *State) Merge(f ports.Fact) bool {
	r, ok := registerOf(&f)
	if !ok || s.expired(r, &f) || s.obsoleteAck(r, &f) {
		return false
	}
	old, known := s.facts[r]
	if !known {
		s.store(r, f)
		return true
	}
	order := compareFacts(&f, &old)
	if order < 0 || (order == 0 && f.Stamp <= old.Stamp) {
		return false
	}
	s.drop(r)
	s.store(r, f)
	return true
}

// Collect sets the current hour and removes facts that nobody confirmed
// within RetentionHours. A fact can only be confirmed by a daemon that has
// just read the same state from the table, so an old fact below a collected
// one is past the horizon as well and Merge ignores it.
func (s *State) Collect(now time.Time) {
	hour := StampAt(now)
	if hour < RetentionHours || hour-RetentionHours <= s.horizon {
		return
	}
	s.horizon = hour - RetentionHours
	for r, f := range s.facts {
		if s.expired(r, &f) {
			s.drop(r)
		}
	}
}

// expired exempts the revision, of which there is only one.
func (s *State) expired(r register, f *ports.Fact) bool {
	return r.class != classRevision && f.Stamp < s.horizon
}

// obsoleteAck tells whether the upstream or the daemon has moved past the
// drain that the acknowledgement belongs to.
func (s *State) obsoleteAck(r register, f *ports.Fact) bool {
	if r.class != classAck {
		return false
	}
	if up, ok := s.facts[register{class: classUpstream, upstream: r.upstream}]; ok && ackBehind(f, &up) {
		return true
	}
	d, ok := s.facts[register{class: classDaemon, daemon: r.daemon}]
	return ok && daemonPast(f, &d)
}

func ackBehind(ack, up *ports.Fact) bool {
	if c := cmp.Compare(ack.Incarnation, up.Incarnation); c != 0 {
		return c < 0
	}
	return up.Kind == ports.FactUpstreamGone || ack.Epoch < up.Epoch
}

func daemonPast(ack, d *ports.Fact) bool {
	if c := cmp.Compare(ack.Member.Incarnation, d.Member.Incarnation); c != 0 {
		return c < 0
	}
	return d.Kind == ports.FactDaemonGone
}

func (s *State) store(r register, f ports.Fact) {
	s.facts[r] = f
	s.buckets[bucketOf(r)] ^= hashFact(r, &f)
	switch r.class {
	case classAck:
		s.indexAck(r)
	case classUpstream:
		s.dropObsolete(r.upstream)
	case classDaemon:
		for _, acks := range s.acks {
			for ack := range acks {
				if ack.daemon == r.daemon {
					s.dropIfObsolete(ack)
				}
			}
		}
	}
}

func (s *State) indexAck(r register) {
	acks := s.acks[r.upstream]
	if acks == nil {
		acks = map[register]struct{}{}
		s.acks[r.upstream] = acks
	}
	acks[r] = struct{}{}
}

func (s *State) dropObsolete(upstream domain.UpstreamID) {
	for ack := range s.acks[upstream] {
		s.dropIfObsolete(ack)
	}
}

func (s *State) dropIfObsolete(r register) {
	f := s.facts[r]
	if s.obsoleteAck(r, &f) {
		s.drop(r)
	}
}

func (s *State) drop(r register) {
	f := s.facts[r]
	s.buckets[bucketOf(r)] ^= hashFact(r, &f)
	delete(s.facts, r)
	if r.class != classAck {
		return
	}
	delete(s.acks[r.upstream], r)
	if len(s.acks[r.upstream]) == 0 {
		delete(s.acks, r.upstream)
	}
}

// Revision returns the highest configuration revision known and its digest.
func (s *State) Revision() (domain.Revision, uint64) {
	f := s.facts[register{class: classRevision}]
	return f.Revision, f.Digest
}

// Upstream returns the current fact about an upstream. No fact means that
// nobody ever drained it.
func (s *State) Upstream(id domain.UpstreamID) (ports.Fact, bool) {
	f, ok := s.facts[register{class: classUpstream, upstream: id}]
	return f, ok
}

// Daemon returns the current fact about a daemon.
func (s *State) Daemon(id domain.DaemonID) (ports.Fact, bool) {
	f, ok := s.facts[register{class: classDaemon, daemon: id}]
	return f, ok
}

// Acks returns the acknowledgements of an upstream's drain and of drains that
// the upstream's own fact does not name yet, by daemon.
func (s *State) Acks(id domain.UpstreamID) []ports.Fact {
	keys := slices.SortedFunc(maps.Keys(s.acks[id]), compareRegisters)
	out := make([]ports.Fact, len(keys))
	for i, r := range keys {
		out[i] = s.facts[r]
	}
	return out
}

// Facts returns all facts in a fixed order.
func (s *State) Facts() []ports.Fact {
	return s.selectFacts(func(int) bool { return true })
}

func (s *State) selectFacts(wanted func(bucket int) bool) []ports.Fact {
	var keys []register
	for r := range s.facts {
		if wanted(bucketOf(r)) {
			keys = append(keys, r)
		}
	}
	slices.SortFunc(keys, compareRegisters)
	out := make([]ports.Fact, len(keys))
	for i, r := range keys {
		out[i] = s.facts[r]
	}
	return out
}

func compareRegisters(a, b register) int {
	return cmp.Or(
		cmp.Compare(a.class, b.class),
		cmp.Compare(a.upstream, b.upstream),
		cmp.Compare(a.daemon, b.daemon),
		cmp.Compare(a.drain.incarnation, b.drain.incarnation),
		cmp.Compare(a.drain.epoch, b.drain.epoch),
		cmp.Compare(a.drain.run, b.drain.run),
	)
}

func bucketOf(r register) int {
	return int(hashRegister(r) % bucketCount)
}

// Hash summarises all facts, independent of the order of arrival.
func (s *State) Hash() uint64 {
	var h uint64
	for i, b := range s.buckets {
		h = h*0x9e3779b97f4a7c15 + b + uint64(i)
	}
	return h
}

// Buckets returns a short digest of each bucket.
func (s *State) Buckets() []byte {
	out := make([]byte, bucketCount*bucketBytes)
	for i, b := range s.buckets {
		binary.LittleEndian.PutUint32(out[bucketBytes*i:], uint32(b))
	}
	return out
}

// Differing returns the facts in buckets that differ from a peer's.
func (s *State) Differing(peer []byte) []ports.Fact {
	if len(peer) != bucketCount*bucketBytes {
		return s.Facts()
	}
	return s.selectFacts(func(bucket int) bool {
		return binary.LittleEndian.Uint32(peer[bucketBytes*bucket:]) != uint32(s.buckets[bucket])
	})
}
