package follow

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/contain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// ErrNotConfirmed means that the platform has not confirmed that the copy is complete.
var ErrNotConfirmed = errors.New("copy of the table is not confirmed")

// Confirm brings the copy up to date as of a time by a call of its own, unless an earlier
// one has done so. Without it, a copy without changes may be that of a table that has none
// or of a platform that the daemon does not reach: neither a call that waits for a change
// nor a peer that reads the table tells them apart at once. It returns an error if the
// platform does not answer, or if the whole table has to be read first.
func (f *Follower) Confirm(ctx context.Context, asOf time.Time) error {
	select {
	case f.confirming <- struct{}{}:
		defer func() { <-f.confirming }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if !f.confirmedAt.Before(asOf) {
		return nil
	}
	if !f.isIncremental() {
		return ErrNotConfirmed
	}
	called, after := time.Now(), f.Versions().AsOf
	rows, version, err := f.source.Changes(ctx, after, 0)
	if err != nil {
		return eris.Wrap(errors.Join(ErrNotConfirmed, err), "reading the changes of a table")
	}
	err = contain.Do(f.log, "a table read", func() error { return f.applyConfirmed(called, after, rows, version) })
	if errors.Is(err, contain.ErrPanic) {
		// The sink may have taken over a part of the rows.
		f.setIncremental(false)
	}
	if err == nil {
		f.confirmedAt = called
	}
	return err
}

// applyConfirmed applies the changes after a version that Run or a peer's copy has not
// brought meanwhile.
func (f *Follower) applyConfirmed(called time.Time, after ports.Version, rows []ports.Row, version ports.Version) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.copy.AsOf.Era() != version.Era() || f.copy.AsOf < after {
		return ErrNotConfirmed // Run reads the table of the later era
	}
	if version > f.copy.AsOf {
		rows = slices.DeleteFunc(rows, func(r ports.Row) bool { return r.Version <= f.copy.AsOf })
		f.applyChanges(rows, version)
	}
	f.recordCurrent(called, version)
	return nil
}
