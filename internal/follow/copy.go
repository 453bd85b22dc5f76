package follow

import (
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
}

// Behind reports whether a copy lacks a change that another one has.
func (v Versions) Behind(other Versions) bool { return other.Changed > v.AsOf }

// Snapshot is a copy of a table.
type Snapshot struct {
	Versions
	rows map[string]ports.Row
}

// NewSnapshot returns a copy with the given rows.
func NewSnapshot(rows []ports.Row, versions Versions) Snapshot {
	s := Snapshot{Versions: versions, rows: make(map[string]ports.Row, len(rows))}
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
		} else {
			s.rows[r.Key] = r
		}
	}
}

// replace takes a complete table. The caller holds mu.
func (f *Follower) replace(rows []ports.Row, version ports.Version) {
	changed := f.copy.Changed
	f.copy = NewSnapshot(nil, Versions{AsOf: version, Changed: changed})
	f.copy.apply(rows)
	f.sink.Replace(time.Now(), rows, version)
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

// Offer takes the copy of another daemon if it has a change that this one
// lacks. It reports whether it did. Changes behind it are asked for as usual.
func (f *Follower) Offer(s Snapshot) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.copy.Behind(s.Versions) || s.AsOf < f.copy.AsOf {
		return false
	}
	f.replace(s.Rows(), s.AsOf)
	f.copy.Changed = s.Changed
	return true
}
