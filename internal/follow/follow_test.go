package follow_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/platform"
	"github.com/auburndyke/auburndyke/platform/standin"
)

// recordingSink is a Sink that holds the table and counts Lost and Regained.
type recordingSink struct {
	mu       sync.Mutex
	rows     map[string]string
	lost     int
	regained int
}

func (s *recordingSink) Replace(now time.Time, rows []ports.Row, version ports.Version) {
	s.mu.Lock()
	s.rows = make(map[string]string)
	s.mu.Unlock()
	s.Apply(now, rows, version)
}

func (s *recordingSink) Apply(_ time.Time, rows []ports.Row, _ ports.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		if r.Deleted {
			delete(s.rows, r.Key)
		} else {
			s.rows[r.Key] = string(r.Value)
		}
	}
}

func (s *recordingSink) Lost(error, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost++
}

func (s *recordingSink) Regained(time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.regained++
}

func (s *recordingSink) get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key]
}

func (s *recordingSink) waitFor(t *testing.T, key, value string, bound time.Duration) {
	t.Helper()
	for end := time.Now().Add(bound); s.get(key) != value; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%s is %q, not %q, after %s", key, s.get(key), value, bound)
	}
}

func start(t *testing.T, o follow.Options) (*standin.Store, *recordingSink) {
	t.Helper()
	store, sink, _ := startFollower(t, o)
	return store, sink
}

func startFollower(t *testing.T, o follow.Options) (*standin.Store, *recordingSink, *follow.Follower) {
	t.Helper()
	store := standin.NewStore()
	sink, f := followStore(t, store, o)
	return store, sink, f
}

// followStore starts a Follower of a store and stops it at the end of the test.
func followStore(t *testing.T, store *standin.Store, o follow.Options) (*recordingSink, *follow.Follower) {
	t.Helper()
	server := httptest.NewServer(store)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	sink := &recordingSink{}
	o.Rand = rand.New(rand.NewPCG(1, 2))
	f := follow.New(platform.NewStore(server.Listener.Addr().String()).Replicas(), sink, o)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
		server.CloseClientConnections()
		server.Close()
	})
	return sink, f
}

// changeBound is the time within which a change must arrive: a fifth of the
// tightest specified bound (2.5 s).
const changeBound = 500 * time.Millisecond

// Guards against changes and removals that arrive late or not at all, and
// against rows of another table in the copy.
func TestFollowsChanges(t *testing.T) {
	store, sink := start(t, follow.Options{})
	store.Put("servers", "a", []byte("1"))
	sink.waitFor(t, "a", "1", changeBound)
	store.Put("servers", "a", []byte("2"))
	store.Put("other", "x", []byte("9"))
	sink.waitFor(t, "a", "2", changeBound)
	store.Drop("servers", "a")
	sink.waitFor(t, "a", "", changeBound)
	assert.Equal(t, sink.get("x"), "")
}

// Guards against changes that are missed when the store discards its history
// before the follower has read them.
func TestReadsWholeTableWhenHistoryIsGone(t *testing.T) {
	store, sink := start(t, follow.Options{CoalesceDelay: 200 * time.Millisecond})
	store.Put("servers", "a", []byte("1"))
	sink.waitFor(t, "a", "1", changeBound)
	store.Put("servers", "b", []byte("1"))
	store.Drop("servers", "a")
	store.Forget()
	sink.waitFor(t, "b", "1", 2*changeBound)
	sink.waitFor(t, "a", "", 2*changeBound)
}

// Guards against a copy that an outage empties, and against one that is not
// brought up to date after the outage, for each way in which the store fails.
func TestCopySurvivesOutages(t *testing.T) {
	for name, fault := range map[string]standin.Fault{
		"busy": standin.Busy, "throttled": standin.Throttled, "reset": standin.Reset, "silent": standin.Silent,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store, sink := start(t, follow.Options{Wait: 300 * time.Millisecond})
			store.Put("servers", "a", []byte("1"))
			sink.waitFor(t, "a", "1", changeBound)
			store.SetFault(fault)
			time.Sleep(2 * time.Second)
			assert.Equal(t, sink.get("a"), "1")
			store.Put("servers", "a", []byte("2"))
			store.SetFault(standin.Healthy)
			// The tightest specified bound is 4 s after the store's recovery.
			sink.waitFor(t, "a", "2", 4*time.Second)
			sink.mu.Lock()
			defer sink.mu.Unlock()
			assert.Assert(t, sink.lost > 0)
			assert.Equal(t, sink.regained, sink.lost)
		})
	}
}

// Guards against a follower that polls continuously while the table doesn't
// change, instead of waiting for a change within each call.
func TestIdleTableIsPolledRarely(t *testing.T) {
	store, sink := start(t, follow.Options{Wait: time.Second})
	store.Put("servers", "a", []byte("1"))
	sink.waitFor(t, "a", "1", changeBound)
	before := store.Calls("/rows-feed")
	time.Sleep(2500 * time.Millisecond)
	assert.Assert(t, store.Calls("/rows-feed")-before <= 3)
}

// staleSource returns an earlier state from its second read on.
type staleSource struct {
	mu    sync.Mutex
	reads int
}

func (s *staleSource) ReadPage(context.Context, string) (follow.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.reads == 1 {
		return follow.Page{Rows: []ports.Row{{Key: "a", Value: []byte("new"), Version: 9}}, Version: 9}, nil
	}
	return follow.Page{Rows: []ports.Row{{Key: "a", Value: []byte("old"), Version: 3}}, Version: 3}, nil
}

func (s *staleSource) Changes(context.Context, ports.Version, time.Duration) ([]ports.Row, ports.Version, error) {
	return nil, 0, follow.ErrHistoryGone
}

// Guards against a read of an earlier state that reverts the copy.
func TestStaleReadIsDiscarded(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	sink, source := &recordingSink{}, &staleSource{}
	done := make(chan error, 1)
	go func() {
		done <- follow.New(source, sink, follow.Options{Rand: rand.New(rand.NewPCG(1, 2))}).Run(ctx)
	}()
	sink.waitFor(t, "a", "new", changeBound)
	for {
		source.mu.Lock()
		reads := source.reads
		source.mu.Unlock()
		if reads > 2 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, sink.get("a"), "new")
	cancel()
	assert.NilError(t, <-done)
}

// silentSource never responds.
type silentSource struct{}

func (silentSource) ReadPage(ctx context.Context, _ string) (follow.Page, error) {
	<-ctx.Done()
	return follow.Page{}, ctx.Err()
}

func (silentSource) Changes(ctx context.Context, _ ports.Version, _ time.Duration) ([]ports.Row, ports.Version, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Guards against a peer's older copy that reverts this one, and against a newer
// one that is refused.
func TestOfferTakesNewerCopyOnly(t *testing.T) {
	sink := &recordingSink{}
	f := follow.New(silentSource{}, sink, follow.Options{Rand: rand.New(rand.NewPCG(1, 2))})
	offer := func(value string, asOf, changed ports.Version) bool {
		rows := []ports.Row{{Key: "a", Value: []byte(value), Version: changed}}
		return f.Offer(follow.NewSnapshot(rows, follow.Versions{AsOf: asOf, Changed: changed}))
	}
	assert.Assert(t, offer("1", 5, 5))
	assert.Equal(t, sink.get("a"), "1")
	assert.Assert(t, !offer("0", 4, 4))
	assert.Assert(t, !offer("same", 9, 5))
	assert.Equal(t, sink.get("a"), "1")
	assert.Assert(t, offer("2", 8, 7))
	assert.Equal(t, sink.get("a"), "2")
	assert.Equal(t, f.Versions(), follow.Versions{AsOf: 8, Changed: 7, From: 5})
}

// Guards against changes from a peer that are lost, that revert newer ones, or
// that are given to a peer whose copy is too old for them, which would leave a gap.
func TestOfferChangesLeavesNoGap(t *testing.T) {
	row := func(key, value string, v ports.Version) ports.Row {
		return ports.Row{Key: key, Value: []byte(value), Version: v}
	}
	sink, ahead := &recordingSink{}, &recordingSink{}
	f := follow.New(silentSource{}, sink, follow.Options{Rand: rand.New(rand.NewPCG(1, 2))})
	g := follow.New(silentSource{}, ahead, follow.Options{Rand: rand.New(rand.NewPCG(1, 2))})
	first := []ports.Row{row("a", "1", 3), row("b", "1", 4), row("c", "1", 5)}
	for _, one := range []*follow.Follower{f, g} {
		assert.Assert(t, one.Offer(follow.NewSnapshot(first, follow.Versions{AsOf: 5, Changed: 5})))
	}
	changes := []ports.Row{row("a", "2", 7), {Key: "b", Version: 8, Deleted: true}}
	assert.Assert(t, g.OfferChanges(5, changes, follow.Versions{AsOf: 9, Changed: 8}))
	rows, v, ok := g.Since(f.Versions().AsOf)
	assert.Assert(t, ok)
	assert.Equal(t, len(rows), 2)
	assert.Assert(t, f.OfferChanges(5, rows, v))
	assert.Equal(t, sink.get("a"), "2")
	assert.Equal(t, sink.get("b"), "")
	assert.Equal(t, sink.get("c"), "1")
	assert.Equal(t, f.Versions(), follow.Versions{AsOf: 9, Changed: 8, From: 5})
	assert.Assert(t, !f.OfferChanges(5, first, follow.Versions{AsOf: 9, Changed: 8}), "an older state was taken")
	assert.Assert(t, !f.OfferChanges(10, nil, follow.Versions{AsOf: 11}), "changes after a gap were taken")
	assert.Assert(t, f.OfferChanges(9, nil, follow.Versions{AsOf: 11, Changed: 8}))
	assert.Equal(t, f.Versions().AsOf, ports.Version(11))
	_, _, ok = g.Since(4)
	assert.Assert(t, !ok, "a peer whose copy is older than the first read must take the whole table")
	for i := range ports.Version(1100) {
		gone := []ports.Row{{Key: fmt.Sprint(i), Version: 20 + i, Deleted: true}}
		assert.Assert(t, g.OfferChanges(g.Versions().AsOf, gone, follow.Versions{AsOf: 20 + i, Changed: 20 + i}))
	}
	_, _, ok = g.Since(9)
	assert.Assert(t, !ok, "the number of removed rows kept is unbounded")
}

// Guards against a copy that loses its history with each read of the whole table,
// so that every daemon with an older copy must take the whole table.
func TestFullReadKeepsHistory(t *testing.T) {
	f := follow.New(silentSource{}, &recordingSink{}, follow.Options{Rand: rand.New(rand.NewPCG(1, 2))})
	first := []ports.Row{{Key: "a", Version: 3}, {Key: "b", Version: 4}, {Key: "c", Version: 5}}
	assert.Assert(t, f.Offer(follow.NewSnapshot(first, follow.Versions{AsOf: 5, Changed: 5})))
	second := []ports.Row{{Key: "a", Version: 3}, {Key: "b", Version: 9}, {Key: "d", Version: 8}}
	assert.Assert(t, f.Offer(follow.NewSnapshot(second, follow.Versions{AsOf: 12, Changed: 9})))
	rows, v, ok := f.Since(5)
	assert.Assert(t, ok)
	assert.Equal(t, v.AsOf, ports.Version(12))
	assert.DeepEqual(t, rows, []ports.Row{{Key: "d", Version: 8}, {Key: "b", Version: 9}, {Key: "c", Version: 12, Deleted: true}})
	_, _, ok = f.Since(4)
	assert.Assert(t, !ok)
}

// Guards against a follower that calls the platform while another daemon reads the
// table for it, and against one that makes no calls after that delegation ends.
func TestDelegatedFollowerMakesNoCalls(t *testing.T) {
	var mu sync.Mutex
	var until time.Time
	store, sink := start(t, follow.Options{Wait: 300 * time.Millisecond, Delegated: func(now time.Time) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return until.Sub(now)
	}})
	store.Put("servers", "a", []byte("1"))
	sink.waitFor(t, "a", "1", changeBound)
	mu.Lock()
	until = time.Now().Add(2 * time.Second)
	mu.Unlock()
	time.Sleep(500 * time.Millisecond) // lets a call that began earlier end
	before := store.Calls("/rows-feed")
	store.Put("servers", "a", []byte("2"))
	time.Sleep(time.Second)
	assert.Equal(t, store.Calls("/rows-feed"), before)
	assert.Equal(t, sink.get("a"), "1")
	sink.waitFor(t, "a", "2", 500*time.Millisecond+changeBound)
}

// throttledReader throttles every second call.
type throttledReader struct{ calls, pages int }

func (r *throttledReader) ReadPage(_ context.Context, from string) (follow.Page, error) {
	r.calls++
	if r.calls%2 == 0 {
		return follow.Page{}, ports.ErrThrottled
	}
	r.pages++
	page := follow.Page{Rows: []ports.Row{{Key: from + "x"}}, Version: ports.Version(r.calls)}
	if r.pages < 6 {
		page.Next = from + "x"
	}
	return page, nil
}

// Guards against reads that start over whenever the platform throttles a page,
// which keeps hundreds of daemons from ever completing one.
func TestReadAllRetriesThrottledPages(t *testing.T) {
	r := &throttledReader{}
	rows, version, err := follow.ReadAll(t.Context(), r, rand.New(rand.NewPCG(1, 2)))
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 6)
	assert.Equal(t, version, ports.Version(1))
	assert.Equal(t, r.pages, 6)
}

// Guards against a copy that stays out of date for a whole pause, or for as long
// as its read is delegated, after an upstream has shown that it is out of date.
func TestRefreshEndsPauses(t *testing.T) {
	for name, o := range map[string]follow.Options{
		"pause after a change": {CoalesceDelay: time.Hour},
		"rest":                 {Delegated: func(time.Time) time.Duration { return time.Hour }},
	} {
		t.Run(name, func(t *testing.T) {
			store, sink, f := startFollower(t, o)
			store.Put("servers", "a", []byte("1"))
			for end := time.Now().Add(changeBound); sink.get("a") != "1"; time.Sleep(5 * time.Millisecond) {
				f.Refresh() // the first read may come before the row
				assert.Assert(t, time.Now().Before(end))
			}
			store.Put("servers", "a", []byte("2"))
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, sink.get("a"), "1")
			f.Refresh()
			sink.waitFor(t, "a", "2", changeBound+250*time.Millisecond)
		})
	}
}

// Guards against a call to the platform for every Refresh when many come in close
// succession.
func TestRefreshIsRateLimited(t *testing.T) {
	store, sink, f := startFollower(t, follow.Options{Delegated: func(time.Time) time.Duration { return time.Hour }})
	store.Put("servers", "a", []byte("1"))
	f.Refresh()
	sink.waitFor(t, "a", "1", changeBound)
	before := store.Calls("/rows-feed")
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		f.Refresh()
	}
	calls := store.Calls("/rows-feed") - before
	assert.Assert(t, calls >= 1 && calls <= 5, "%d calls in a second", calls)
}

// Guards against changes that wait for a whole pause although Refresh was called
// shortly before, as when several processes end together.
func TestPausesAreShortAfterRefresh(t *testing.T) {
	store, sink, f := startFollower(t, follow.Options{CoalesceDelay: time.Hour})
	time.Sleep(100 * time.Millisecond) // lets the first read end
	f.Refresh()
	time.Sleep(100 * time.Millisecond)
	for i := range 3 {
		key := fmt.Sprintf("a-%d", i)
		store.Put("servers", key, []byte("1"))
		sink.waitFor(t, key, "1", changeBound+250*time.Millisecond)
	}
}

// Guards against daemons that read from each other although the platform only
// throttles them, and against one that waits for an unavailable platform.
func TestUnavailablePlatform(t *testing.T) {
	for name, c := range map[string]struct {
		fault standin.Fault
		// Whether the platform counts as unavailable after 0.5 s and after 3 s.
		early, later bool
	}{
		"healthy":   {standin.Healthy, false, false},
		"busy":      {standin.Busy, true, true},
		"reset":     {standin.Reset, true, true},
		"throttled": {standin.Throttled, false, false},
		"silent":    {standin.Silent, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := standin.NewStore()
			store.Put("servers", "x", []byte("1"))
			store.SetFault(c.fault)
			_, f := followStore(t, store, follow.Options{})
			time.Sleep(500 * time.Millisecond)
			assert.Equal(t, f.Unavailable(time.Now()), c.early)
			time.Sleep(2500 * time.Millisecond)
			assert.Equal(t, f.Unavailable(time.Now()), c.later)
			store.SetFault(standin.Healthy)
		})
	}
}

// Guards against a daemon that begins to read for others and waits for seconds in a call
// that it began for itself alone.
func TestShorterWaitRepeatsCall(t *testing.T) {
	store, sink, f := startFollower(t, follow.Options{})
	store.Put("servers", "a", []byte("1"))
	sink.waitFor(t, "a", "1", changeBound)
	time.Sleep(100 * time.Millisecond) // until the next call waits
	before := store.Calls("/rows-feed")
	f.SetWait(follow.Wait{Call: 2 * time.Second})
	for end := time.Now().Add(changeBound); store.Calls("/rows-feed") == before; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the call was not repeated")
	}
	f.SetWait(follow.Wait{Call: 5 * time.Second})
	time.Sleep(100 * time.Millisecond)
	calls := store.Calls("/rows-feed")
	f.SetWait(follow.Wait{Call: 5 * time.Second})
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, store.Calls("/rows-feed"), calls, "a call was repeated although its wait has not become shorter")
}
