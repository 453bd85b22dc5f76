package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// ageUnit is the unit of ages in reports.
	ageUnit = 50 * time.Millisecond
	// reportTime is how long a fact is reported after this daemon has learned it.
	reportTime = 3 * time.Second
	// maxReported bounds the crashes and the sound parts in a report, and those that
	// are taken from one.
	maxReported = 16
)

// Report is what daemons tell each other. Ages are used instead of times, so that their
// clocks need not agree.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Crashes []CrashReport
	Sound   []SoundReport
}

// CrashReport is a crash that is evidence against a part.
type CrashReport struct {
	_        struct{} `cbor:",toarray"`
	Part     Part
	Upstream uint32 // hash of the upstream's id
	Stage    Stage
	// Age is the time since the crash, and SentAge that since the request was sent to
	// the upstream, in units of ageUnit.
	Age, SentAge uint16
}

// SoundReport says that a response got past a part.
type SoundReport struct {
	_    struct{} `cbor:",toarray"`
	Part Part
	Age  uint16 // in units of ageUnit
}

func toAge(now, at time.Time) uint16 {
	return uint16(min(max(now.Sub(at), 0)/ageUnit, math.MaxUint16))
}

func fromAge(now time.Time, age uint16) time.Time { return now.Add(-time.Duration(age) * ageUnit) }

// Report returns the newest facts that peers may not know yet, those of this daemon and
// those of others. It returns nil if there are none.
func (t *Tracker) Report(now time.Time) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	type datedCrash struct {
		CrashReport
		learned time.Time
	}
	type datedSound struct {
		SoundReport
		learned time.Time
	}
	var crashes []datedCrash
	var sound []datedSound
	for part, s := range t.suspects {
		reportable := s.reportable(part, t.knownSound(now, part))
		for _, c := range s.evidence() {
			if reportable && now.Sub(c.learned) < reportTime {
				crashes = append(crashes, datedCrash{CrashReport{Part: part, Upstream: c.upstream, Stage: c.stage, Age: toAge(now, c.at), SentAge: toAge(now, c.sent)}, c.learned})
			}
		}
	}
	for part, s := range t.sound {
		if now.Sub(s.reportedAt) < reportTime {
			sound = append(sound, datedSound{SoundReport{Part: part, Age: toAge(now, s.at)}, s.reportedAt})
		}
	}
	if len(crashes) == 0 && len(sound) == 0 {
		return nil
	}
	// Responses that had begun are stronger evidence than any number of others.
	slices.SortFunc(crashes, func(a, b datedCrash) int {
		return cmp.Or(cmp.Compare(b.Stage, a.Stage), b.learned.Compare(a.learned), cmp.Compare(a.Part, b.Part), cmp.Compare(a.Upstream, b.Upstream))
	})
	slices.SortFunc(sound, func(a, b datedSound) int {
		return cmp.Or(b.learned.Compare(a.learned), cmp.Compare(a.Part, b.Part))
	})
	r := &Report{}
	for _, c := range crashes[:min(len(crashes), maxReported)] {
		r.Crashes = append(r.Crashes, c.CrashReport)
	}
	for _, s := range sound[:min(len(sound), maxReported)] {
		r.Sound = append(r.Sound, s.SoundReport)
	}
	return r
}

// Merge takes over a peer's report. What this daemon knows to be sound is reported in
// turn.
func (t *Tracker) Merge(now time.Time, r *Report) {
	t.update(now, func() (changed bool) {
		for _, s := range r.Sound[:min(len(r.Sound), maxReported)] {
			changed = t.markSound(now, s.Part, fromAge(now, s.Age)) || changed
		}
		for _, c := range r.Crashes[:min(len(r.Crashes), maxReported)] {
			at := fromAge(now, c.Age)
			reported := crash{upstream: c.Upstream, stage: min(c.Stage, Begun), sent: fromAge(now, c.SentAge), at: at, learned: now}
			changed = t.loss.add(reported) || changed
			added := t.addCrash(now, c.Part, reported)
			if added || at.Before(t.sound[c.Part].at) {
				t.reportSound(now, c.Part, c.Stage >= Begun)
			}
			changed = changed || added
		}
		return changed
	})
}

// reportSound tells peers that a suspected part is sound, if this daemon knows it and
// no report of that is under way. It is urgent if the peers may block the part soon.
func (t *Tracker) reportSound(now time.Time, part Part, urgent bool) {
	known := t.sound[part]
	if !t.knownSound(now, part) || now.Sub(known.reportedAt) < reportTime {
		return
	}
	known.reportedAt = now
	t.sound[part] = known
	if urgent {
		t.notify()
	}
}
