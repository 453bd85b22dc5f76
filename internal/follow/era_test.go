package follow_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/platform/standin"
)

// restorationBound is the tightest time that the users state for a configuration.
const restorationBound = 2500 * time.Millisecond

// Guards against rows that outlive the platform's loss of them, and against changes that
// are missed because their versions were given out before.
func TestRestoredPlatformReplacesCopy(t *testing.T) {
	for _, writes := range []int{0, 5, 50} { // the versions stay below, and pass, those of the copy
		t.Run(fmt.Sprint(writes), func(t *testing.T) {
			store, sink := start(t, follow.Options{Wait: 200 * time.Millisecond})
			store.Put("servers", "kept", []byte("1"))
			copied := store.Version()
			for range 20 {
				store.Put("servers", "lost", []byte("1"))
			}
			store.Put("servers", "kept", []byte("2"))
			sink.waitFor(t, "kept", "2", changeBound)

			store.SetFault(standin.Silent)
			store.Restore(copied)
			for range writes {
				store.Put("other", "x", []byte("1"))
			}
			store.Put("servers", "new", []byte("1"))
			store.SetFault(standin.Healthy)
			sink.waitFor(t, "new", "1", restorationBound)
			sink.waitFor(t, "kept", "1", changeBound)
			assert.Equal(t, sink.get("lost"), "")
			store.Put("servers", "kept", []byte("3"))
			sink.waitFor(t, "kept", "3", changeBound)
		})
	}
}

// Guards against a copy of an earlier era that replaces one of a later era because its
// versions are greater, and against a daemon that is told only the changes since a
// version that the platform no longer has.
func TestCopiesOfUnlikeEras(t *testing.T) {
	version := func(era, number uint64) ports.Version {
		v, err := ports.NewVersion(era, number)
		assert.NilError(t, err)
		return v
	}
	row := func(key string, v ports.Version) ports.Row { return ports.Row{Key: key, Version: v} }
	f := follow.New(nil, &recordingSink{}, follow.Options{})
	old := follow.NewSnapshot([]ports.Row{row("a", version(1, 90)), row("b", version(1, 95))}, follow.Versions{AsOf: version(1, 100), Changed: version(1, 95)})
	restored := follow.NewSnapshot([]ports.Row{row("a", version(2, 30))}, follow.Versions{AsOf: version(2, 40), Changed: version(2, 30)})
	assert.Assert(t, f.Offer(old))
	assert.Assert(t, !f.OfferChanges(version(1, 100), nil, follow.Versions{AsOf: version(2, 40)}), "changes of another era were taken")
	assert.Assert(t, f.Offer(restored))
	assert.Assert(t, !f.Offer(old), "a copy of an earlier era was taken")
	assert.Assert(t, !f.OfferChanges(version(1, 100), nil, follow.Versions{AsOf: version(1, 200)}))

	_, _, ok := f.Since(version(1, 100))
	assert.Assert(t, !ok, "changes lead from an earlier era to this one")
	rows, versions, ok := f.Since(version(2, 40))
	assert.Assert(t, ok)
	assert.Equal(t, len(rows), 0)
	assert.Equal(t, versions.From, version(2, 40))
}
