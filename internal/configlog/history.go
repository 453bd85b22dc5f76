package configlog

import (
	"context"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// compactBatch is the number of rows changed by one transaction.
const compactBatch = 100

// Retention says how long rows of the log are kept. The object of a revision
// is never removed.
type Retention struct {
	// Deltas is how many of the newest revisions keep their delta. Zero
	// removes all deltas.
	Deltas int
	// History is how old a record becomes before it is removed. Proposals
	// repeated after that are not recognised. Zero keeps all records.
	History time.Duration
}

// History returns up to limit records that end with revision last, newest
// first. A last of zero means the newest revision.
func History(ctx context.Context, table ports.Table, last domain.Revision, limit int) ([]Record, error) {
	if last == 0 {
		read := pollHead(ctx, table)
		if read.Err != nil || read.Head == nil {
			return nil, read.Err
		}
		last = read.Head.Revision
	}
	first := domain.Revision(1)
	if last > domain.Revision(limit) {
		first = last - domain.Revision(limit) + 1
	}
	rows, err := table.Scan(ctx, revisionPrefix, revisionKey(first-1), int(last-first)+1, 0)
	if err != nil {
		return nil, err
	}
	records := make([]Record, len(rows))
	for i, row := range rows {
		record, err := decodeRow[Record](row)
		if err != nil {
			return nil, err
		}
		records[len(rows)-1-i] = record
	}
	return records, nil
}

// compaction returns the writes that compact the given rows.
func compaction(now time.Time, head domain.Revision, keep Retention, rows []ports.Row) ([]ports.Write, error) {
	var writes []ports.Write
	for _, row := range rows {
		record, err := decodeRow[Record](row)
		if err != nil {
			return nil, err
		}
		switch {
		case keep.History > 0 && now.Sub(record.Time) > keep.History && record.Revision < head:
			writes = append(writes,
				ports.Write{Key: row.Key, Delete: true, Expect: row.Version},
				ports.Write{Key: changeKey(record.ChangeID), Delete: true, Unconditional: true})
		case record.Delta != nil && record.Revision+domain.Revision(keep.Deltas) <= head:
			record.Delta = nil
			writes = append(writes, ports.Write{Key: row.Key, Value: encodeRow(record), Expect: row.Version})
		}
	}
	return writes, nil
}

// Compact removes old deltas and records. One daemon at a time should run it,
// but several may: each row is written on condition of its version. It stops
// at the first error; a later call continues.
func Compact(ctx context.Context, table ports.Table, keep Retention) error {
	polled := pollHead(ctx, table)
	if polled.Err != nil || polled.Head == nil {
		return polled.Err
	}
	after := ""
	for {
		rows, err := table.Scan(ctx, revisionPrefix, after, compactBatch, 0)
		if err != nil || len(rows) == 0 {
			return err
		}
		writes, err := compaction(time.Now(), polled.Head.Revision, keep, rows)
		if err != nil {
			return err
		}
		if len(writes) > 0 {
			if _, err := table.Commit(ctx, writes...); err != nil {
				return err
			}
		}
		after = rows[len(rows)-1].Key
	}
}
