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

// copyOf is a sink that holds the table.
type copyOf struct {
	mu       sync.Mutex
	rows     map[string]string
	lost     int
	regained int
}

func (c *copyOf) Replace(now time.Time, rows []ports.Row, version ports.Version) {
	c.mu.Lock()
	c.rows = make(map[string]string)
	c.mu.Unlock()
	c.Apply(now, rows, version)
}

func (c *copyOf) Apply(_ time.Time, rows []ports.Row, _ ports.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range rows {
		if r.Deleted {
			delete(c.rows, r.Key)
		} else {
			c.rows[r.Key] = string(r.Value)
		}
	}
}

func (c *copyOf) Lost(error, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost++
}

func (c *copyOf) Regained(time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.regained++
}

func (c *copyOf) get(key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows[key]
}

func (c *copyOf) waitFor(t *testing.T, key, value string, bound time.Duration) {
	t.Helper()
	for end := time.Now().Add(bound); c.get(key) != value; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%s is %q, not %q, after %s", key, c.get(key), value, bound)
	}
}

func start(t *testing.T, o follow.Options) (*standin.Store, *copyOf) {
	t.Helper()
	store, sink, _ := startFollower(t, o)
	return store, sink
}

func startFollower(t *testing.T, o follow.Options) (*standin.Store, *copyOf, *follow.Follower) {
	t.Helper()
	store := standin.NewStore()
	sink, f := follows(t, store, o)
	return store, sink, f
}

// follows starts a follower of a store.
func follows(t *testing.T, store *standin.Store, o follow.Options) (*copyOf, *follow.Follower) {
	t.Helper()
	server := httptest.NewServer(store)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	sink := &copyOf{}
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

// inForce is the bound within which a change must arrive: a fifth of the
// tightest bound of the sheets (2.5 s).
const inForce = 500 * time.Millisecond

// Guards against changes that arrive late or not at all.
func TestFollowsChanges(t *testing.T) {
	store, sink := start(t, follow.Options{})
	store.Put("servers", "a", []byte("1"))
	sink.waitFor(t, "a", "1", inForce)
	store.Put("servers", "a", []byte("2"))
	store.Put("other", "x", []byte("9"))
	sink.waitFor(t, "a", "2", inForce)
	store.Drop("servers", "a")
	sink.waitFor(t, "a", "", inForce)
	assert.Equal(t, sink.get("x"), "")
}

// Guards against changes that are missed when the history is dropped.
func TestHistoryGone(t *testing.T) {
	store, sink := start(t, follow.Options{Settle: 200 * time.Millisecond})
	store.Put("servers", "a", []byte("1"))
	sink.waitFor(t, "a", "1", inForce)
	store.Put("servers", "b", []byte("1"))
	store.Drop("servers", "a")
	store.Forget()
	sink.waitFor(t, "b", "1", 2*inForce)
	sink.waitFor(t, "a", "", 2*inForce)
}

// Guards against a copy that is emptied by an outage, and against one that is
// not brought up to date after it, whatever way the store fails.
func TestOutages(t *testing.T) {
	for name, fault := range map[string]standin.Fault{
		"busy": standin.Busy, "throttled": standin.Throttled, "reset": standin.Reset, "silent": standin.Silent,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store, sink := start(t, follow.Options{Wait: 300 * time.Millisecond})
			store.Put("servers", "a", []byte("1"))
			sink.waitFor(t, "a", "1", inForce)
			store.SetFault(fault)
			time.Sleep(2 * time.Second)
			assert.Equal(t, sink.get("a"), "1")
			store.Put("servers", "a", []byte("2"))
			store.SetFault(standin.Healthy)
			// The tightest sheet leaves 4 s after the store's return.
			sink.waitFor(t, "a", "2", 4*time.Second)
			sink.mu.Lock()
			defer sink.mu.Unlock()
			assert.Assert(t, sink.lost > 0)
			assert.Equal(t, sink.regained, sink.lost)
		})
	}
}

// Guards against a calm table that is asked all the time.
func TestCalmTableIsAskedRarely(t *testing.T) {
	store, sink := start(t, follow.Options{Wait: time.Second})
	store.Put("servers", "a", []byte("1"))
	sink.waitFor(t, "a", "1", inForce)
	before := store.Calls("/rows-feed")
	time.Sleep(2500 * time.Millisecond)
	assert.Assert(t, store.Calls("/rows-feed")-before <= 3)
}

// staleSource answers with an earlier state from its second reading on.
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

// Guards against a stale reading that takes the copy back.
func TestStaleReadIsNotUsed(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	sink, source := &copyOf{}, &staleSource{}
	done := make(chan error, 1)
	go func() {
		done <- follow.New(source, sink, follow.Options{Rand: rand.New(rand.NewPCG(1, 2))}).Run(ctx)
	}()
	sink.waitFor(t, "a", "new", inForce)
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

// silentSource never answers.
type silentSource struct{}

func (silentSource) ReadPage(ctx context.Context, _ string) (follow.Page, error) {
	<-ctx.Done()
	return follow.Page{}, ctx.Err()
}

func (silentSource) Changes(ctx context.Context, _ ports.Version, _ time.Duration) ([]ports.Row, ports.Version, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Guards against a peer's copy that takes this one back, and against one that
// is refused although it is ahead.
func TestOffer(t *testing.T) {
	sink := &copyOf{}
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

// Guards against changes of a covered copy that are lost, applied twice against
// each other, or told to a peer whose copy is too old for them.
func TestOfferChanges(t *testing.T) {
	row := func(key, value string, v ports.Version) ports.Row {
		return ports.Row{Key: key, Value: []byte(value), Version: v}
	}
	sink, ahead := &copyOf{}, &copyOf{}
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
	assert.Assert(t, !f.OfferChanges(5, first, follow.Versions{AsOf: 9, Changed: 8}), "an older state is taken")
	assert.Assert(t, !f.OfferChanges(10, nil, follow.Versions{AsOf: 11}), "a gap is skipped")
	assert.Assert(t, f.OfferChanges(9, nil, follow.Versions{AsOf: 11, Changed: 8}))
	assert.Equal(t, f.Versions().AsOf, ports.Version(11))
	_, _, ok = g.Since(4)
	assert.Assert(t, !ok, "a peer whose copy is older than the first reading must take all of it")
	for i := range ports.Version(1100) {
		gone := []ports.Row{{Key: fmt.Sprint(i), Version: 20 + i, Deleted: true}}
		assert.Assert(t, g.OfferChanges(g.Versions().AsOf, gone, follow.Versions{AsOf: 20 + i, Changed: 20 + i}))
	}
	_, _, ok = g.Since(9)
	assert.Assert(t, !ok, "removed rows are remembered without a bound")
}

// Guards against a copy that forgets its history with each full reading, so that
// every daemon behind it must take the whole table.
func TestFullReadingKeepsHistory(t *testing.T) {
	f := follow.New(silentSource{}, &copyOf{}, follow.Options{Rand: rand.New(rand.NewPCG(1, 2))})
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

// Guards against a follower that calls the platform while another daemon covers
// it, and against one that stays at rest when the cover ends.
func TestCoveredFollowerRests(t *testing.T) {
	var mu sync.Mutex
	var until time.Time
	store, sink := start(t, follow.Options{Wait: 300 * time.Millisecond, Covered: func(now time.Time) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return until.Sub(now)
	}})
	store.Put("servers", "a", []byte("1"))
	sink.waitFor(t, "a", "1", inForce)
	mu.Lock()
	until = time.Now().Add(2 * time.Second)
	mu.Unlock()
	time.Sleep(500 * time.Millisecond) // a call that began before ends
	before := store.Calls("/rows-feed")
	store.Put("servers", "a", []byte("2"))
	time.Sleep(time.Second)
	assert.Equal(t, store.Calls("/rows-feed"), before)
	assert.Equal(t, sink.get("a"), "1")
	sink.waitFor(t, "a", "2", 500*time.Millisecond+inForce)
}

// limitedReader refuses every second page.
type limitedReader struct{ calls, pages int }

func (r *limitedReader) ReadPage(_ context.Context, from string) (follow.Page, error) {
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

// Guards against readings that start over whenever the platform's rate limit
// refuses a page, which keeps hundreds of daemons from ever ending one.
func TestReadGoesOnBehindRateLimit(t *testing.T) {
	r := &limitedReader{}
	rows, version, err := follow.ReadAll(t.Context(), r, rand.New(rand.NewPCG(1, 2)))
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 6)
	assert.Equal(t, version, ports.Version(1))
	assert.Equal(t, r.pages, 6)
}

// Guards against a copy that stays out of date for a whole pause, or for as long
// as another daemon covers it, after an upstream has shown that it is.
func TestHurryEndsPauses(t *testing.T) {
	for name, o := range map[string]follow.Options{
		"pause after a change": {Settle: time.Hour},
		"rest":                 {Covered: func(time.Time) time.Duration { return time.Hour }},
	} {
		t.Run(name, func(t *testing.T) {
			store, sink, f := startFollower(t, o)
			store.Put("servers", "a", []byte("1"))
			for end := time.Now().Add(inForce); sink.get("a") != "1"; time.Sleep(5 * time.Millisecond) {
				f.Hurry() // the first reading may come before the row
				assert.Assert(t, time.Now().Before(end))
			}
			store.Put("servers", "a", []byte("2"))
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, sink.get("a"), "1")
			f.Hurry()
			sink.waitFor(t, "a", "2", inForce+250*time.Millisecond)
		})
	}
}

// Guards against a call to the platform for each sign of an old copy.
func TestHurryIsBounded(t *testing.T) {
	store, sink, f := startFollower(t, follow.Options{Covered: func(time.Time) time.Duration { return time.Hour }})
	store.Put("servers", "a", []byte("1"))
	f.Hurry()
	sink.waitFor(t, "a", "1", inForce)
	before := store.Calls("/rows-feed")
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		f.Hurry()
	}
	calls := store.Calls("/rows-feed") - before
	assert.Assert(t, calls >= 1 && calls <= 5, "%d calls in a second", calls)
}

// Guards against later changes that wait for a whole pause although something
// showed that the copy is out of date shortly before the first one was read.
func TestPausesAreShortAfterHurry(t *testing.T) {
	store, sink, f := startFollower(t, follow.Options{Settle: time.Hour})
	time.Sleep(100 * time.Millisecond) // the first reading has ended
	f.Hurry()
	time.Sleep(100 * time.Millisecond)
	for i := range 3 {
		key := fmt.Sprintf("a-%d", i)
		store.Put("servers", key, []byte("1"))
		sink.waitFor(t, key, "1", inForce+250*time.Millisecond)
	}
}

// Guards against daemons that read from each other although the platform only
// asks them to wait, and against one that waits for a platform that is away.
func TestAway(t *testing.T) {
	for name, c := range map[string]struct {
		fault standin.Fault
		// soon and later are whether the platform counts as away after 0.5 s and
		// after 3 s.
		soon, later bool
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
			_, f := follows(t, store, follow.Options{})
			time.Sleep(500 * time.Millisecond)
			assert.Equal(t, f.Unavailable(time.Now()), c.soon)
			time.Sleep(2500 * time.Millisecond)
			assert.Equal(t, f.Unavailable(time.Now()), c.later)
			store.SetFault(standin.Healthy)
		})
	}
}
