package follow

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/auburndyke/auburndyke/internal/ports"
)

// Versions tell how far a copy of a table reaches.
type Versions struct {
	// AsOf is the version of the platform as of which the copy is complete.
	AsOf ports.Version
	// Changed is the version of the newest change in the copy.
	Changed ports.Version
	// From is the earliest version behind which the copy knows all changes.
	From ports.Version
}

// Behind reports whether a copy lacks a change that another one has.
func (v Versions) Behind(other Versions) bool { return other.Changed > v.AsOf }

// maxRemoved bounds the removed rows that a copy remembers.
const maxRemoved = 1000

// Snapshot is a copy of a table.
type Snapshot struct {
	Versions
	rows map[string]ports.Row
	// removed holds the versions of rows that were removed behind From.
	removed map[string]ports.Version
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

// Rows returns the rows by key.
func (s *Snapshot) Rows() []ports.Row {
	out := make([]ports.Row, 0, len(s.rows))
	for _, r := range s.rows {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b ports.Row) int { return strings.Compare(a.Key, b.Key) })
	return out
}

func (s *Snapshot) apply(rows []ports.Row) {
	if s.rows == nil {
		s.rows = make(map[string]ports.Row)
	}
	for _, r := range rows {
		s.Changed = max(s.Changed, r.Version)
		if r.Deleted {
			delete(s.rows, r.Key)
			s.remove(r)
		} else {
			s.rows[r.Key] = r
			delete(s.removed, r.Key)
		}
	}
}

func (s *Snapshot) remove(r ports.Row) {
	if s.removed == nil {
		s.removed = make(map[string]ports.Version)
	}
	s.removed[r.Key] = r.Version
	if len(s.removed) > maxRemoved {
		// Later changes are told against the full copy.
		s.removed, s.From = nil, s.Changed
	}
}

// Since returns the rows that changed after a version. It reports false if it
// does not know all of them.
func (s *Snapshot) Since(after ports.Version) ([]ports.Row, bool) {
	if after < s.From {
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

// replace takes a complete table. The caller holds mu.
func (f *Follower) replace(rows []ports.Row, version ports.Version) {
	f.copy.replace(rows, version)
	f.sink.Replace(time.Now(), rows, version)
}

// replace takes a complete table. Rows that it lacks were removed at an unknown
// version, which is told as the latest possible one, so that the copy can still
// tell what changed since earlier versions.
func (s *Snapshot) replace(rows []ports.Row, version ports.Version) {
	if s.rows == nil {
		s.From = version
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

// Versions returns how far the copy reaches.
func (f *Follower) Versions() Versions {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.Versions
}

// Snapshot returns the copy.
func (f *Follower) Snapshot() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return NewSnapshot(f.copy.Rows(), f.copy.Versions)
}

// Since returns the rows that changed after a version, and how far the copy
// reaches. It reports false if it does not know all of them.
func (f *Follower) Since(after ports.Version) ([]ports.Row, Versions, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows, ok := f.copy.Since(after)
	return rows, f.copy.Versions, ok
}

// OfferChanges takes the rows that another daemon's copy has changed after a
// version that this copy had reached. It reports whether it did.
func (f *Follower) OfferChanges(after ports.Version, rows []ports.Row, v Versions) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if after > f.copy.AsOf || v.AsOf <= f.copy.AsOf {
		return false
	}
	if len(rows) > 0 {
		f.copy.apply(rows)
		f.sink.Apply(time.Now(), rows, v.AsOf)
	}
	f.copy.AsOf = v.AsOf
	return true
}

// ReadsPlatform reports whether the last call to the platform succeeded and the next one
// has not gone on for longer than it may.
func (f *Follower) ReadsPlatform(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known && now.Sub(f.contactAt) < f.callWait+answerTime
}

// Offer takes the copy of another daemon if it has a change that this one
// lacks. It reports whether it did. Changes behind it are asked for as usual.
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
