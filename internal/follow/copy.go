package follow

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/auburndyke/auburndyke/internal/ports"
)

// Versions are the versions that a copy of a table covers.
type Versions struct {
	// AsOf is the platform's version as of which the copy is complete.
	AsOf ports.Version
	// Changed is the version of the newest change in the copy.
	Changed ports.Version
	// From is the earliest version after which the copy knows all changes.
	From ports.Version
}

// Behind reports whether a copy at v lacks a change that a copy at other has.
func (v Versions) Behind(other Versions) bool { return other.Changed > v.AsOf }

const (
	// maxRemoved bounds the removed rows whose versions a copy keeps.
	maxRemoved = 1000
	// maxGaps bounds the gaps that a copy keeps.
	maxGaps = 16
)

// gap is a range of versions, without its ends, that a reading of the whole table has
// skipped. Rows that came and went within it are not known, so that a copy as of such a
// version can't be brought up to date by changes.
type gap struct{ from, to ports.Version }

// Snapshot is a copy of a table.
type Snapshot struct {
	Versions
	rows map[string]ports.Row
	// removed holds the versions at which rows were removed after From.
	removed map[string]ports.Version
	gaps    []gap
}

// NewSnapshot returns a copy with the given rows.
func NewSnapshot(rows []ports.Row, versions Versions) Snapshot {
	s := Snapshot{Versions: versions, rows: make(map[string]ports.Row, len(rows))}
	s.From = versions.AsOf
	for _, r := range rows {
		s.rows[r.Key] = r
	}
	return s
}

// Rows returns the rows in the order of their keys.
func (s *Snapshot) Rows() []ports.Row {
	out := make([]ports.Row, 0, len(s.rows))
	for _, r := range s.rows {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b ports.Row) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// misses reports whether changes after the copy's version remove a row that the copy does
// not have: it came and went since.
func (s *Snapshot) misses(changes []ports.Row) bool {
	added := make(map[string]bool)
	for _, r := range changes {
		_, known := s.rows[r.Key]
		if r.Deleted && !known && !added[r.Key] && r.Version > s.AsOf {
			return true
		}
		added[r.Key] = true
	}
	return false
}

func (s *Snapshot) apply(rows []ports.Row) {
	if s.rows == nil {
		s.rows = make(map[string]ports.Row)
	}
	for _, r := range rows {
		s.Changed = max(s.Changed, r.Version)
		if r.Deleted {
			delete(s.rows, r.Key)
			s.recordRemoval(r)
		} else {
			s.rows[r.Key] = r
			delete(s.removed, r.Key)
		}
	}
}

func (s *Snapshot) recordRemoval(r ports.Row) {
	if s.removed == nil {
		s.removed = make(map[string]ports.Version)
	}
	s.removed[r.Key] = r.Version
	if len(s.removed) > maxRemoved {
		// Copies that are behind From must then take the whole copy.
		s.removed, s.From = nil, s.Changed
	}
}

// Since returns the rows that changed after a version, in the order of their
// versions. It returns false if the copy does not know all of them.
func (s *Snapshot) Since(after ports.Version) ([]ports.Row, bool) {
	if after < s.From || slices.ContainsFunc(s.gaps, func(g gap) bool { return g.from < after && after < g.to }) {
		return nil, false
	}
	var out []ports.Row
	for _, r := range s.rows {
		if r.Version > after {
			out = append(out, r)
		}
	}
	for key, version := range s.removed {
		if version > after {
			out = append(out, ports.Row{Key: key, Version: version, Deleted: true})
		}
	}
	slices.SortFunc(out, func(a, b ports.Row) int { return cmp.Compare(a.Version, b.Version) })
	return out, true
}

// replace replaces the copy and the sink's table by a complete table. The caller
// holds mu.
func (f *Follower) replace(rows []ports.Row, version ports.Version) {
	if f.copy.AsOf > 0 && version > f.copy.AsOf {
		f.onGap()
	}
	f.copy.replace(rows, version)
	f.sink.Replace(time.Now(), rows, version)
}

// replace replaces the rows by a complete table. Rows that the table lacks were
// removed at an unknown version; the latest possible one is recorded for them, so
// that Since can still return the changes after earlier versions.
//
// A table of a later era lacks changes that copies of the earlier one have, so that
// nothing leads from those to this one.
func (s *Snapshot) replace(rows []ports.Row, version ports.Version) {
	if version.Era() > s.AsOf.Era() {
		s.rows, s.removed, s.gaps = nil, nil, nil
	}
	if s.rows == nil {
		s.From = version
	} else {
		s.addGap(gap{s.AsOf, version})
	}
	listed := make(map[string]bool, len(rows))
	for _, r := range rows {
		listed[r.Key] = true
	}
	changes := slices.Clone(rows)
	for key := range s.rows {
		if !listed[key] {
			changes = append(changes, ports.Row{Key: key, Version: version, Deleted: true})
		}
	}
	s.apply(changes)
	s.AsOf = version
}

func (s *Snapshot) addGap(g gap) {
	if g.to <= g.from {
		return
	}
	s.gaps = append(s.gaps, g)
	if len(s.gaps) > maxGaps {
		s.From = max(s.From, s.gaps[0].to)
		s.gaps = slices.Delete(s.gaps, 0, 1)
	}
}

// Versions returns the versions that the copy covers.
func (f *Follower) Versions() Versions {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.Versions
}

// Snapshot returns a copy of the table that later changes don't affect.
func (f *Follower) Snapshot() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return NewSnapshot(f.copy.Rows(), f.copy.Versions)
}

// Since returns the rows that changed after a version, and the versions that the
// copy covers. It returns false if the copy does not know all of the changes.
func (f *Follower) Since(after ports.Version) ([]ports.Row, Versions, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows, ok := f.copy.Since(after)
	return rows, f.copy.Versions, ok
}

// OfferChanges applies the rows that changed in another daemon's copy after the
// given version. It reports whether it did: it refuses if this copy has not
// reached that version, which would leave a gap, is already as new as v, or is of
// another era.
func (f *Follower) OfferChanges(after ports.Version, rows []ports.Row, v Versions) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if after > f.copy.AsOf || v.AsOf <= f.copy.AsOf || v.AsOf.Era() != f.copy.AsOf.Era() {
		return false
	}
	f.applyChanges(rows, v.AsOf)
	return true
}

// applyChanges applies the changes that lead to a version. The caller holds mu.
func (f *Follower) applyChanges(rows []ports.Row, version ports.Version) {
	if f.copy.misses(rows) {
		f.onGap()
	}
	if len(rows) > 0 {
		f.copy.apply(rows)
		f.sink.Apply(time.Now(), rows, version)
	}
	f.copy.AsOf = max(f.copy.AsOf, version)
}

// ReadsPlatform reports whether the last call to the platform succeeded and the current
// one has not exceeded its timeout.
func (f *Follower) ReadsPlatform(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.incremental && !f.failing && now.Sub(f.lastSuccessAt) < f.callWait+responseMargin
}

// Offer replaces the copy by another daemon's if that one has a change that this
// one lacks. It reports whether it did. Later changes are read from the platform
// as usual.
func (f *Follower) Offer(s Snapshot) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.copy.Behind(s.Versions) || s.AsOf < f.copy.AsOf {
		return false
	}
	f.replace(s.Rows(), s.AsOf)
	f.copy.Changed = max(f.copy.Changed, s.Changed)
	return true
}
