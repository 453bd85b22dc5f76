package duty

import (
	"context"
	"sync"
	"time"

	"github.com/auburndyke/auburndyke/internal/ports"
)

// RestorationTable is a table that records when the daemon first heard that it had been
// restored from an older copy. It is safe for concurrent use.
type RestorationTable struct {
	ports.Table
	clock func() time.Duration

	mu      sync.Mutex
	era     uint64
	heardAt time.Duration
}

// NewRestorationTable returns a RestorationTable with times of a clock.
func NewRestorationTable(table ports.Table, clock func() time.Duration) *RestorationTable {
	return &RestorationTable{Table: table, clock: clock}
}

// Restored returns when the daemon first heard of the latest restoration, which was not
// later. ok is false if the table has never been restored.
func (t *RestorationTable) Restored() (heardAt time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heardAt, t.era > 0
}

func (t *RestorationTable) note(version ports.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version.Era() > t.era {
		t.era, t.heardAt = version.Era(), t.clock()
	}
}

// Get implements ports.Table.
func (t *RestorationTable) Get(ctx context.Context, keys ...string) ([]ports.Row, error) {
	rows, err := t.Table.Get(ctx, keys...)
	for _, row := range rows {
		t.note(row.Version)
	}
	return rows, err
}

// Commit implements ports.Table.
func (t *RestorationTable) Commit(ctx context.Context, writes ...ports.Write) (ports.Version, error) {
	version, err := t.Table.Commit(ctx, writes...)
	if err == nil {
		t.note(version)
	}
	return version, err
}
