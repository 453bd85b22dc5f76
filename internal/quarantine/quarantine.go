package quarantine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndyke/auburndyke/internal/domain"
)

const (
	// blockScore is the score from which a part is blocked. Two crashes right after a
	// response's header reach it.
	blockScore = 1.0
	// soundBlockScore applies instead to a part that was sound within soundTTL before
	// the first crash: several crashes by chance are likelier than a part that has
	// become harmful.
	soundBlockScore = 2.0
	// relapseScore applies instead to a part whose block has expired less than
	// relapseTime ago.
	relapseScore = 0.5
	relapseTime  = 10 * time.Minute

	// soundTTL is how long a part counts as sound after a response got past it.
	soundTTL = time.Minute

	// begunHold and otherHold are the shortest first blocks: a trial that fails
	// costs an engine with all its streams. otherHold applies without any response
	// that had begun, since sound parts are then likelier.
	begunHold = time.Minute
	otherHold = 10 * time.Second
	maxHold   = 15 * time.Minute

	// Limits on what is kept. Beyond them the oldest suspect and crashes go, and a
	// quarter of the sound parts, which then only count as unknown.
	maxSuspects = 512
	maxCrashes  = 16
	maxSound    = 4096
)

// Part identifies a part of a prompt, or a whole request.
type Part uint64

// wholeBit tells a whole request from a part of a prompt.
const wholeBit Part = 1 << 63

// SharedPart returns the Part with the given id.
func SharedPart(id uint64) Part { return Part(id) &^ wholeBit }

// WholeRequest returns the Part that stands for all requests whose contents have the
// given hash, whoever sends them.
func WholeRequest(hash uint64) Part { return Part(hash) | wholeBit }

// Whole reports whether the part is a whole request.
func (p Part) Whole() bool { return p&wholeBit != 0 }

// Change says that a part is blocked, or no longer blocked.
type Change struct {
	Part    Part
	Blocked bool
	// Until is when the block ends; zero if it has ended.
	Until time.Time
	// Score is the score of the evidence, Crashes the number of crashes in it and
	// Own how many of them this daemon has seen itself.
	Score   float64
	Crashes int
	Own     int
	// Refused is the number of requests that the block has refused.
	Refused int64
	// Sound is set if the block has ended because the part is sound.
	Sound bool
}

// Tracker collects evidence and decides which parts are blocked. It is safe for
// concurrent use; Blocked takes no lock.
type Tracker struct {
	onChange func(Change)

	mu       sync.Mutex
	rand     *rand.Rand
	suspects map[Part]*suspect
	sound    map[Part]soundness
	updated  chan struct{}
	loss     loss
	// wholeSuspects is the number of suspects that are whole requests. It is changed with
	// the lock held.
	wholeSuspects atomic.Int64

	blocked atomic.Pointer[map[Part]*block]
}

type soundness struct {
	at time.Time
	// reportedAt is when this daemon last learned that its peers need the fact. Zero
	// means that they don't.
	reportedAt time.Time
}

// block is what a request needs to know of a blocked part.
type block struct {
	until time.Time
	// with are the other parts with the same evidence, which a request must have as
	// well to be refused.
	with    []Part
	refused *atomic.Int64
}

// New returns a Tracker without evidence. onChange is called for each change; it must
// not block, and may be nil.
func New(r *rand.Rand, onChange func(Change)) *Tracker {
	if onChange == nil {
		onChange = func(Change) {}
	}
	t := &Tracker{
		onChange: onChange, rand: r,
		suspects: make(map[Part]*suspect), sound: make(map[Part]soundness), updated: make(chan struct{}, 1),
	}
	t.blocked.Store(&map[Part]*block{})
	return t
}

// Blocked returns until when requests with these parts are refused, and counts the
// request. It returns false if they are not.
func (t *Tracker) Blocked(now time.Time, parts []Part) (until time.Time, ok bool) {
	blocked := *t.blocked.Load()
	if len(blocked) == 0 {
		return time.Time{}, false
	}
	for _, part := range parts {
		b := blocked[part]
		if b == nil || !now.Before(b.until) || slices.ContainsFunc(b.with, func(p Part) bool { return !slices.Contains(parts, p) }) {
			continue
		}
		b.refused.Add(1)
		return b.until, true
	}
	return time.Time{}, false
}

// Unknown reports whether any of the parts is not known to be sound.
func (t *Tracker) Unknown(now time.Time, parts []Part) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(parts, func(p Part) bool { return !t.knownSound(now, p) })
}

// Suspected reports whether there is strong evidence against a whole request, and when the
// last crash in it was. It takes no lock while there is none against any.
func (t *Tracker) Suspected(whole Part) (lastCrash time.Time, ok bool) {
	if t.wholeSuspects.Load() == 0 {
		return time.Time{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[whole]
	if s == nil || !s.strong() {
		return time.Time{}, false
	}
	return s.lastCrash(), true
}

// knownSound reports whether a response got past the part lately. The caller holds mu.
func (t *Tracker) knownSound(now time.Time, part Part) bool {
	return now.Sub(t.sound[part].at) < soundTTL
}

// Sound records that a response got past these parts. Of whole requests it concerns only
// suspects, so that it takes no lock without one.
func (t *Tracker) Sound(now time.Time, parts []Part) {
	if t.wholeSuspects.Load() == 0 && !slices.ContainsFunc(parts, func(p Part) bool { return !p.Whole() }) {
		return
	}
	t.update(now, func() (changed bool) {
		for _, part := range parts {
			changed = t.markSound(now, part, now) || changed
		}
		return changed
	})
}

// Crash records that an upstream crashed while it had a request with these parts, which
// was sent to it at the given time.
func (t *Tracker) Crash(now time.Time, upstream domain.UpstreamID, sent time.Time, stage Stage, parts []Part) {
	c := crash{upstream: uint32(xxhash.Sum64String(string(upstream))), stage: stage, sent: sent, at: now, own: true, learned: now}
	t.update(now, func() (added bool) {
		added = t.loss.add(c)
		for _, part := range parts {
			added = t.addCrash(now, part, c) || added
		}
		return added
	})
}

// update calls f with the lock held, and reports the changes if f says that the blocks
// may have changed.
func (t *Tracker) update(now time.Time, f func() (changed bool)) {
	t.mu.Lock()
	var changes []Change
	if f() {
		changes = t.publish(now)
	}
	t.mu.Unlock()
	for _, c := range changes {
		t.onChange(c)
	}
}

// markSound records that a part was sound at a time, which clears the evidence of
// earlier crashes and weakens that of later ones. It reports whether a block has ended.
func (t *Tracker) markSound(now time.Time, part Part, at time.Time) bool {
	known := t.sound[part]
	if !at.After(known.at) {
		return false
	}
	s := t.suspects[part]
	if s == nil && part.Whole() {
		return false
	}
	if s == nil {
		known.at = at
		t.setSound(now, part, known)
		return false
	}
	needed, matters, urgent := t.neededScore(now, part, s), false, s.strong()
	known.at = at
	t.setSound(now, part, known)
	for i := range s.crashes {
		if c := &s.crashes[i]; !c.cleared && !c.at.After(at) {
			c.cleared, matters = true, true
		}
	}
	if matters || t.neededScore(now, part, s) > needed {
		t.reportSound(now, part, urgent)
	}
	if !s.blocked() || t.score(now, part, s) >= t.neededScore(now, part, s) {
		return false
	}
	s.refused, s.blocks, s.until = nil, 0, time.Time{}
	return true
}

// setSound stores when a part was sound.
func (t *Tracker) setSound(now time.Time, part Part, known soundness) {
	t.sound[part] = known
	if len(t.sound) <= maxSound {
		return
	}
	t.pruneSound(now)
	for other := range t.sound {
		if len(t.sound) <= maxSound*3/4 {
			return
		}
		if other != part {
			delete(t.sound, other)
		}
	}
}

// addCrash adds a crash to the evidence against a part. It reports whether the crash
// or its stage was new.
func (t *Tracker) addCrash(now time.Time, part Part, c crash) bool {
	if !c.at.After(t.sound[part].at) || now.Sub(c.at) >= crashTTL {
		return false
	}
	s := t.suspects[part]
	if s == nil {
		t.evictSuspect()
		s = &suspect{}
		t.suspects[part] = s
		if part.Whole() {
			t.wholeSuspects.Add(1)
		}
	}
	known := slices.IndexFunc(s.crashes, c.same)
	switch {
	case known < 0:
		s.crashes = append(s.crashes, c)
		slices.SortStableFunc(s.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
		s.crashes = s.crashes[max(len(s.crashes)-maxCrashes, 0):]
	case c.stage > s.crashes[known].stage:
		s.crashes[known].stage, s.crashes[known].learned = c.stage, now
	default:
		s.crashes[known].own = s.crashes[known].own || c.own
		return false
	}
	if s.strong() {
		t.notify()
	}
	t.judge(now, part, s)
	return true
}

// judge blocks a part if the evidence against it is enough, and extends its block with
// each further crash.
func (t *Tracker) judge(now time.Time, part Part, s *suspect) {
	if t.score(now, part, s) < t.neededScore(now, part, s) {
		return
	}
	if !s.blocked() {
		s.blocks++
		s.refused = new(atomic.Int64)
	}
	if until := now.Add(t.hold(s)); until.After(s.until) {
		s.until = until
	}
}

// score returns the weight of the evidence against a part.
func (t *Tracker) score(now time.Time, part Part, s *suspect) float64 {
	if part.Whole() {
		return s.score(now, t.loss)
	}
	return s.score(now, nil)
}

// neededScore returns the score from which a part is blocked.
func (t *Tracker) neededScore(now time.Time, part Part, s *suspect) float64 {
	evidence := s.evidence()
	switch soundAt := t.sound[part].at; {
	case len(evidence) > 0 && evidence[0].at.Sub(soundAt) < soundTTL:
		return soundBlockScore
	case s.blocks > 0 && !s.blocked() && now.Sub(s.until) < relapseTime:
		return relapseScore
	default:
		return blockScore
	}
}

// hold returns the length of a part's block. Each daemon draws its own, so that not all
// try the part again at the same time.
func (t *Tracker) hold(s *suspect) time.Duration {
	hold := otherHold
	if slices.ContainsFunc(s.evidence(), func(c crash) bool { return c.stage == Begun }) {
		hold = begunHold
	}
	for range s.blocks - 1 {
		hold = min(2*hold, maxHold)
	}
	return hold + time.Duration(t.rand.Float64()*float64(hold))
}

// evictSuspect makes room for another suspect: the one goes whose last crash is the
// longest ago, before all blocked ones.
func (t *Tracker) evictSuspect() {
	if len(t.suspects) < maxSuspects {
		return
	}
	var oldest Part
	var found *suspect
	for part, s := range t.suspects {
		switch {
		case found == nil, found.blocked() && !s.blocked():
		case !found.blocked() && s.blocked(), !s.lastCrash().Before(found.lastCrash()):
			continue
		}
		oldest, found = part, s
	}
	t.deleteSuspect(oldest)
}

func (t *Tracker) deleteSuspect(part Part) {
	delete(t.suspects, part)
	if part.Whole() {
		t.wholeSuspects.Add(-1)
	}
}

// Expire ends blocks whose time is over and forgets old evidence.
func (t *Tracker) Expire(now time.Time) {
	t.update(now, func() (changed bool) {
		for part, s := range t.suspects {
			if s.blocked() && !now.Before(s.until) {
				s.refused, changed = nil, true
			}
			if !s.blocked() { // the evidence of a block lasts as long as the block
				s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return now.Sub(c.at) >= crashTTL })
			}
			if !s.blocked() && len(s.crashes) == 0 && now.Sub(s.until) >= relapseTime {
				t.deleteSuspect(part)
			}
		}
		t.pruneSound(now)
		return changed
	})
}

func (t *Tracker) pruneSound(now time.Time) {
	for part, s := range t.sound {
		if now.Sub(s.at) >= soundTTL+crashTTL {
			delete(t.sound, part)
		}
	}
}

// publish makes the blocked parts visible to Blocked and returns what has changed. The
// caller holds mu.
func (t *Tracker) publish(now time.Time) (changes []Change) {
	previous, next := *t.blocked.Load(), make(map[Part]*block)
	for part, s := range t.suspects {
		b := t.effectiveBlock(part, s)
		if b == nil {
			continue
		}
		next[part] = b
		if old := previous[part]; old == nil || !old.until.Equal(b.until) {
			changes = append(changes, t.blockedChange(now, part, s))
		}
	}
	for part, b := range previous {
		if next[part] == nil {
			s := t.suspects[part]
			changes = append(changes, Change{
				Part: part, Refused: b.refused.Load(), Sound: now.Before(b.until) && s != nil && !s.blocked(),
			})
		}
	}
	t.blocked.Store(&next)
	return changes
}

func (t *Tracker) blockedChange(now time.Time, part Part, s *suspect) Change {
	c := Change{Part: part, Blocked: true, Until: s.until, Score: t.score(now, part, s), Crashes: len(s.evidence()), Refused: s.refused.Load()}
	for _, k := range s.evidence() {
		if k.own {
			c.Own++
		}
	}
	return c
}

// effectiveBlock returns the block of a part, or nil if it has none or if something else
// explains all crashes that are evidence against it: another blocked part that explains
// more, or a loss of upstreams that the only request with the part has met.
func (t *Tracker) effectiveBlock(part Part, s *suspect) *block {
	if !s.blocked() || part.Whole() && t.loss.explainsBlock(s.evidence()) {
		return nil
	}
	b := &block{until: s.until, refused: s.refused}
	for other, o := range t.suspects {
		if other == part || !covers(o.evidence(), s.evidence()) {
			continue
		}
		switch same := covers(s.evidence(), o.evidence()); {
		case other.Whole() && !part.Whole() && t.loss.explainsBlock(o.evidence()):
			return nil
		case !o.blocked():
		case !same:
			return nil
		case other.Whole() && !part.Whole():
			// The part is not known to be sound, so that other requests with it are
			// refused as well, until one that is at an upstream gets past it.
		default:
			b.with = append(b.with, other)
		}
	}
	return b
}

// BlockedParts returns the number of parts that are blocked.
func (t *Tracker) BlockedParts() int { return len(*t.blocked.Load()) }

// Updated receives a value when there is news for peers.
func (t *Tracker) Updated() <-chan struct{} { return t.updated }

// notify wakes the receiver of Updated.
func (t *Tracker) notify() {
	select {
	case t.updated <- struct{}{}:
	default:
	}
}
