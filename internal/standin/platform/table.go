package platform

import (
	"fmt"
	"slices"
	"strings"

	"github.com/auburndyke/auburndyke/internal/ports"
)

// maxScan bounds the rows of one scan.
const maxScan = 1000

// table is the transactional table. Platform.mu guards it. Deleted rows stay
// as tombstones, so that a scan from any version finds the deletions.
type table struct {
	version ports.Version
	rows    map[string]ports.Row
	keys    []string // sorted, with tombstones
}

func newTable() table {
	return table{rows: make(map[string]ports.Row)}
}

func (t *table) get(keys []string) []ports.Row {
	out := []ports.Row{}
	for _, key := range keys {
		if row, ok := t.rows[key]; ok && !row.Deleted {
			out = append(out, row)
		}
	}
	return out
}

func (t *table) scan(prefix, after string, limit int, since ports.Version) []ports.Row {
	if limit <= 0 || limit > maxScan {
		limit = maxScan
	}
	out := []ports.Row{}
	start, _ := slices.BinarySearch(t.keys, max(prefix, after))
	for _, key := range t.keys[start:] {
		if !strings.HasPrefix(key, prefix) || len(out) == limit {
			break
		}
		row := t.rows[key]
		visible := row.Version > since && (since > 0 || !row.Deleted)
		if visible && (key > after || after == "") {
			out = append(out, row)
		}
	}
	return out
}

// commit applies all writes or none.
func (t *table) commit(writes []ports.Write) (ports.Version, error) {
	var conflicts []string
	seen := make(map[string]struct{}, len(writes))
	for _, w := range writes {
		if _, twice := seen[w.Key]; twice || w.Key == "" {
			return 0, fmt.Errorf("%w: key %q is empty or written twice", errInvalid, w.Key)
		}
		seen[w.Key] = struct{}{}
		if !w.Unconditional && t.current(w.Key) != w.Expect {
			conflicts = append(conflicts, w.Key)
		}
	}
	if len(conflicts) > 0 {
		return 0, &ports.ConflictError{Keys: conflicts}
	}
	t.version++
	for _, w := range writes {
		t.apply(w)
	}
	return t.version, nil
}

// current returns the version of a row as conditions see it.
func (t *table) current(key string) ports.Version {
	row := t.rows[key]
	if row.Deleted {
		return 0
	}
	return row.Version
}

func (t *table) apply(w ports.Write) {
	if _, known := t.rows[w.Key]; !known {
		if w.Delete {
			return
		}
		at, _ := slices.BinarySearch(t.keys, w.Key)
		t.keys = slices.Insert(t.keys, at, w.Key)
	}
	row := ports.Row{Key: w.Key, Version: t.version, Deleted: w.Delete}
	if !w.Delete {
		row.Value = slices.Clone(w.Value)
	}
	t.rows[w.Key] = row
}
