package follow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/platform/standin"
)

// Guards against an upstream that stays listed after it has left, because the daemon that
// passes changes on read the whole table after the upstream had come and gone.
func TestWholeReadingHidesNoRemoval(t *testing.T) {
	row := func(key string, v ports.Version) ports.Row { return ports.Row{Key: key, Version: v} }
	reader := follow.New(nil, &recordingSink{}, follow.Options{})
	assert.Assert(t, reader.Offer(follow.NewSnapshot([]ports.Row{row("a", 2)}, follow.Versions{AsOf: 3, Changed: 2})))
	member := follow.New(nil, &recordingSink{}, follow.Options{})
	assert.Assert(t, member.Offer(follow.NewSnapshot([]ports.Row{row("a", 2), row("b", 5)}, follow.Versions{AsOf: 6, Changed: 5})))
	// b was removed at version 8; the reader has seen neither its row nor its removal.
	assert.Assert(t, reader.Offer(follow.NewSnapshot([]ports.Row{row("a", 2), row("c", 9)}, follow.Versions{AsOf: 10, Changed: 9})))

	_, versions, ok := reader.Since(6)
	assert.Assert(t, !ok, "changes since a version between the two readings are not known")
	assert.Assert(t, member.Versions().Behind(versions), "the member takes its copy for as new as the reader's")
	for _, after := range []ports.Version{3, 10} {
		_, _, ok = reader.Since(after)
		assert.Assert(t, ok, "since %d", after)
	}
}

// Guards against daemons that take their copies for as new as that of a reader which read
// the whole table after a row had come and gone.
func TestWholeReadingCountsAsChange(t *testing.T) {
	store, sink, f := startFollower(t, follow.Options{Wait: 200 * time.Millisecond})
	store.Put("servers", "a", []byte("1"))
	sink.waitFor(t, "a", "1", changeBound)
	store.SetFault(standin.Busy)
	time.Sleep(300 * time.Millisecond) // until no call waits for a change
	store.Put("servers", "b", []byte("1"))
	store.Drop("servers", "b")
	removed := ports.Version(store.Version())
	store.Forget()
	store.SetFault(standin.Healthy)
	for end := time.Now().Add(restorationBound); f.Versions().AsOf < removed; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the table is as of version %d, not %d", f.Versions().AsOf, removed)
	}
	assert.Assert(t, f.Versions().Changed >= removed, "the newest change is %d", f.Versions().Changed)
}
