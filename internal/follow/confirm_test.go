package follow_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/platform/standin"
)

// delegated is a reader that never announces anything.
func delegated(time.Time) time.Duration { return time.Minute }

// Guards against a copy that counts as complete because nothing has been heard of changes,
// while the daemon that should pass them on is silent.
func TestConfirmReadsWhatNobodyPassedOn(t *testing.T) {
	store := standin.NewStore()
	store.Put("servers", "a", []byte("1"))
	sink, f := followStore(t, store, follow.Options{Delegated: delegated})
	sink.waitFor(t, "a", "1", changeBound)
	store.Put("servers", "b", []byte("1"))
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, sink.get("b"), "")
	assert.NilError(t, f.Confirm(t.Context(), time.Now()))
	assert.Equal(t, sink.get("b"), "1")

	calls := store.Calls("/rows-feed")
	assert.NilError(t, f.Confirm(t.Context(), time.Now().Add(-time.Second)))
	assert.Equal(t, store.Calls("/rows-feed"), calls, "a copy that is confirmed already is confirmed again")
	store.Put("servers", "a", []byte("2"))
	assert.NilError(t, f.Confirm(t.Context(), time.Now()))
	assert.Equal(t, sink.get("a"), "2")
}

// Guards against a copy that is confirmed without an answer of the platform, or by one
// that has lost changes of it.
func TestConfirmNeedsThePlatform(t *testing.T) {
	store := standin.NewStore()
	store.Put("servers", "a", []byte("1"))
	copied := store.Version()
	store.Put("servers", "b", []byte("1"))
	sink, f := followStore(t, store, follow.Options{Delegated: delegated})
	sink.waitFor(t, "b", "1", changeBound)
	for _, fault := range []standin.Fault{standin.Busy, standin.Throttled, standin.Reset, standin.Silent} {
		store.SetFault(fault)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		assert.Assert(t, errors.Is(f.Confirm(ctx, time.Now()), follow.ErrNotConfirmed), "fault %d", fault)
		cancel()
	}
	store.Restore(copied)
	store.SetFault(standin.Healthy)
	assert.Assert(t, errors.Is(f.Confirm(t.Context(), time.Now()), follow.ErrNotConfirmed), "confirmed by an answer of a later era")
}

// Guards against calls for a change that return while Confirm has read it, and are taken
// for news again or lost.
func TestConfirmBesideCallsForChanges(t *testing.T) {
	store, sink, f := startFollower(t, follow.Options{Wait: 200 * time.Millisecond})
	store.Put("servers", "a", []byte("0"))
	sink.waitFor(t, "a", "0", changeBound)
	for n := range 50 {
		value := string(rune('A' + n%26))
		store.Put("servers", "a", []byte(value))
		assert.NilError(t, f.Confirm(t.Context(), time.Now()))
		assert.Equal(t, sink.get("a"), value)
	}
	store.Put("servers", "a", []byte("last"))
	sink.waitFor(t, "a", "last", changeBound)
}

// Guards against rows that come and go between two readings and that nobody is told of.
func TestGapsAreReported(t *testing.T) {
	row := func(key string, v ports.Version) ports.Row { return ports.Row{Key: key, Version: v} }
	removed := func(key string, v ports.Version) ports.Row { return ports.Row{Key: key, Version: v, Deleted: true} }
	later, err := ports.NewVersion(1, 2)
	assert.NilError(t, err)
	for name, c := range map[string]struct {
		next func(f *follow.Follower) bool
		gap  bool
	}{
		"a change": {func(f *follow.Follower) bool {
			return f.OfferChanges(5, []ports.Row{row("b", 6)}, follow.Versions{AsOf: 7})
		}, false},
		"a removal": {func(f *follow.Follower) bool {
			return f.OfferChanges(5, []ports.Row{removed("a", 6)}, follow.Versions{AsOf: 7})
		}, false},
		"a row that comes and goes": {func(f *follow.Follower) bool {
			return f.OfferChanges(5, []ports.Row{row("b", 6), removed("b", 7)}, follow.Versions{AsOf: 7})
		}, false},
		"the removal of a new row": {func(f *follow.Follower) bool {
			return f.OfferChanges(5, []ports.Row{removed("b", 7)}, follow.Versions{AsOf: 7})
		}, true},
		"a removal that is known": {func(f *follow.Follower) bool {
			return f.OfferChanges(3, []ports.Row{removed("c", 4)}, follow.Versions{AsOf: 7})
		}, false},
		"a reading of the whole table": {func(f *follow.Follower) bool {
			return f.Offer(follow.NewSnapshot([]ports.Row{row("a", 2), row("b", 8)}, follow.Versions{AsOf: 9, Changed: 8}))
		}, true},
		"a later era": {func(f *follow.Follower) bool {
			return f.Offer(follow.NewSnapshot([]ports.Row{row("a", later)}, follow.Versions{AsOf: later, Changed: later}))
		}, true},
	} {
		var gaps atomic.Int32
		f := follow.New(nil, &recordingSink{}, follow.Options{OnGap: func() { gaps.Add(1) }})
		assert.Assert(t, f.Offer(follow.NewSnapshot([]ports.Row{row("a", 2)}, follow.Versions{AsOf: 5, Changed: 2})))
		assert.Equal(t, gaps.Load(), int32(0), "the first table counts as a gap")
		assert.Assert(t, c.next(f), name)
		assert.Equal(t, gaps.Load() > 0, c.gap, name)
	}
}
