package membership

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	// RosterPrefix is the key prefix of roster rows. They change only when a
	// daemon joins or ends, so that reading changed rows costs almost nothing.
	RosterPrefix = "roster/"
	// LeasePrefix is the key prefix of lease rows, which every renewal
	// rewrites. They are apart from the roster because 330 renewals in 10 s
	// would otherwise send each daemon the whole roster every 10 s.
	LeasePrefix = "roster-lease/"
)

// Row is the value of one roster row.
type Row struct {
	ports.Member
	// Boot identifies the run that wrote the row, so that a write of unknown
	// outcome is recognised when read again.
	Boot string `json:"boot"`
	// Gone means that the incarnation has ended.
	Gone bool `json:"gone,omitempty"`
}

// RosterKey returns the key of a daemon's roster row.
func RosterKey(id domain.DaemonID) string { return RosterPrefix + string(id) }

// LeaseKey returns the key of a daemon's lease row.
func LeaseKey(id domain.DaemonID) string { return LeasePrefix + string(id) }

// ParseRow decodes a roster row. A row that starts an incarnation leaves it
// zero: it is the version of that write, which grows across all daemons, also
// after a row was purged.
func ParseRow(r ports.Row) (Row, error) {
	var row Row
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return Row{}, fmt.Errorf("roster row %s: %w", r.Key, err)
	}
	if strings.TrimPrefix(r.Key, RosterPrefix) != string(row.Daemon) {
		return Row{}, fmt.Errorf("roster row %s names daemon %q", r.Key, row.Daemon)
	}
	if row.Incarnation == 0 {
		row.Incarnation = domain.Incarnation(r.Version)
	}
	return row, nil
}

func encodeRow(row Row) []byte {
	data, err := json.Marshal(row)
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	return data
}
