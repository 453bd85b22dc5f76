package claims

import (
	"context"
	"time"

	"github.com/auburndyke/auburndyke/internal/ports"
)

// sweepPage is the number of rows read by one step of a Sweeper.
const sweepPage = 1000

// Sweeper removes expired claims and settles claims of owners that are gone.
// It only saves space: Begin settles what it meets.
type Sweeper struct {
	table  ports.Table
	gone   Gone
	limits Limits
	after  string
}

// NewSweeper returns a sweeper that starts at the first claim.
func NewSweeper(table ports.Table, gone Gone, limits Limits) *Sweeper {
	return &Sweeper{table: table, gone: gone, limits: limits.withDefaults()}
}

// Step reads one page of claims and writes what changes, in transactions of
// up to maxBatchWrites rows. It returns the number of rows changed and whether
// the page was the last one; the next step then starts over.
func (s *Sweeper) Step(ctx context.Context) (changed int, last bool, err error) {
	rows, err := s.table.Scan(ctx, keyPrefix, s.after, sweepPage, 0)
	if err != nil {
		return 0, false, err
	}
	writes, err := sweep(time.Now(), rows, s.gone, s.limits)
	if err != nil {
		return 0, false, err
	}
	for start := 0; start < len(writes); start += maxBatchWrites {
		part := writes[start:min(start+maxBatchWrites, len(writes))]
		// A conflict means that a row of the part has been used meanwhile; the
		// part is seen again in the next round.
		if _, err := s.table.Commit(ctx, part...); err == nil {
			changed += len(part)
		}
	}
	if len(rows) < sweepPage {
		s.after = ""
		return changed, true, nil
	}
	s.after = rows[len(rows)-1].Key
	return changed, false, nil
}

// sweep returns the writes that clean up the given rows.
func sweep(now time.Time, rows []ports.Row, gone Gone, limits Limits) ([]ports.Write, error) {
	var writes []ports.Write
	for _, row := range rows {
		record, err := decode(row)
		if err != nil {
			return nil, err
		}
		expired := now.After(record.Expires)
		switch {
		case record.State == StateClaimed && (expired || gone(record.Owner)):
			writes = append(writes, ports.Write{Key: row.Key, Value: encode(settledRecord(now, record, limits)), Expect: row.Version})
		case record.State != StateClaimed && expired:
			writes = append(writes, ports.Write{Key: row.Key, Delete: true, Expect: row.Version})
		}
	}
	return writes, nil
}
