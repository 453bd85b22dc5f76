package peers

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	restoredLatency = 4 * time.Millisecond
	restoredLink    = 10e6 / 8 // bytes a second of a daemon's link, the slowest of the users' sheets
	// configurationBound is the tightest time within which users want a change in force.
	configurationBound = 2500 * time.Millisecond
)

// restoredPlatform is a table with one row that changes, and others of a fleet of 328
// upstreams. It can be away, and come back from an older copy.
type restoredPlatform struct {
	mu          sync.Mutex
	era, number uint64
	// serials are the contents of the row by number: how many writes there were.
	serials       map[uint64]uint64
	writes        uint64
	away          bool
	changed       chan struct{}
	pages, waited atomic.Int64
}

func (p *restoredPlatform) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *restoredPlatform) write() {
	p.change(func() {
		p.number++
		p.writes++
		p.serials[p.number] = p.writes
	})
}

func (p *restoredPlatform) goAway() { p.change(func() { p.away = true }) }

// restore brings the platform back from a copy that lacks the latest writes.
func (p *restoredPlatform) restore(lost uint64) {
	p.change(func() {
		p.era++
		p.number -= lost
		p.away = false
	})
}

// row returns the row that changes.
func (p *restoredPlatform) row() (row ports.Row, away bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, err := ports.NewVersion(p.era, p.number)
	if err != nil {
		panic(err)
	}
	return ports.Row{Key: "a", Version: v, Value: strconv.AppendUint(nil, p.serials[p.number], 10)}, p.away, p.changed
}

// restoredSource is the platform as one daemon sees it.
type restoredSource struct {
	*restoredPlatform
	daemon *restoredDaemon
}

// silent reports whether no response reaches the daemon.
func (s restoredSource) silent() bool { return s.daemon.cut.Load() || s.daemon.platformCut.Load() }

func (s restoredSource) answer(ctx context.Context) (ports.Row, <-chan struct{}, error) {
	time.Sleep(restoredLatency)
	if s.silent() {
		<-ctx.Done()
		return ports.Row{}, nil, ctx.Err()
	}
	row, away, changed := s.row()
	if away {
		return ports.Row{}, nil, ports.ErrUnavailable
	}
	return row, changed, nil
}

func (s restoredSource) ReadPage(ctx context.Context, _ string) (follow.Page, error) {
	s.pages.Add(1)
	row, _, err := s.answer(ctx)
	rows := []ports.Row{row}
	for i := range 328 {
		rows = append(rows, ports.Row{Key: fmt.Sprintf("upstream-%03d", i), Version: row.Version, Value: make([]byte, 300)})
	}
	return follow.Page{Rows: rows, Version: row.Version}, err
}

func (s restoredSource) Changes(ctx context.Context, after ports.Version, wait time.Duration) ([]ports.Row, ports.Version, error) {
	s.waited.Add(1)
	s.daemon.asked.Store(true)
	timeout := time.After(wait)
	for {
		row, changed, err := s.answer(ctx)
		switch {
		case err != nil:
			return nil, 0, err
		case after.Number() > row.Version.Number():
			return nil, 0, follow.ErrHistoryGone
		case row.Version.Number() > after.Number():
			return []ports.Row{row}, row.Version, nil
		}
		select {
		case <-changed:
		case <-timeout:
			if !s.silent() {
				return nil, row.Version, nil
			}
			<-ctx.Done()
			return nil, 0, ctx.Err()
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// restoredDaemon is a daemon without sockets.
type restoredDaemon struct {
	fleet    *restoredFleet
	node     *Node
	follower *follow.Follower
	cut      atomic.Bool
	// platformCut takes the daemon off its path to the platform only.
	platformCut atomic.Bool
	// asked is set when the daemon asks the platform for changes.
	asked atomic.Bool
	mu    sync.Mutex
	has   ports.Row
	// returned is when the daemon was last cut off no more.
	returned time.Time
}

// cutFor takes the daemon off the network for a time.
func (d *restoredDaemon) cutFor(length time.Duration) {
	d.cut.Store(true)
	time.AfterFunc(length, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.returned = time.Now()
		d.cut.Store(false)
	})
}

func (d *restoredDaemon) Replace(now time.Time, rows []ports.Row, v ports.Version) {
	d.Apply(now, rows, v)
}

func (d *restoredDaemon) Apply(_ time.Time, rows []ports.Row, _ ports.Version) {
	d.mu.Lock()
	for _, r := range rows {
		if r.Key == "a" {
			assert.Check(d.fleet.t, r.Version >= d.has.Version, "%s went back from %x to %x", d.node.Address, d.has.Version, r.Version)
			d.has = r
		}
	}
	d.mu.Unlock()
	d.node.NotifyChange()
}

func (*restoredDaemon) Lost(error, time.Time)  {}
func (*restoredDaemon) Regained(time.Duration) {}

func (d *restoredDaemon) get() (cut bool, returned time.Time, serial string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cut.Load(), d.returned, string(d.has.Value)
}

// restoredFleet is a fleet in virtual time whose daemons exchange messages and copies.
type restoredFleet struct {
	t         *testing.T
	ctx       context.Context
	platform  *restoredPlatform
	daemons   []*restoredDaemon
	byAddress map[string]*restoredDaemon
	copies    atomic.Int64
	// bound is the time within which daemons have to act on a change. Zero means the
	// default.
	bound time.Duration
}

func newRestoredFleet(t *testing.T, ctx context.Context, size, zones int) *restoredFleet {
	f := &restoredFleet{
		t: t, ctx: ctx, byAddress: make(map[string]*restoredDaemon),
		platform: &restoredPlatform{serials: make(map[uint64]uint64), changed: make(chan struct{})},
	}
	byZone := make(map[string][]string)
	for i := range size {
		d := &restoredDaemon{fleet: f}
		address, zone := fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200), fmt.Sprint("zone-", i%zones)
		d.follower = follow.New(restoredSource{f.platform, d}, d, follow.Options{
			Delegated:     func(now time.Time) time.Duration { return d.node.DelegatedFor("t", now) },
			CoalesceDelay: 300 * time.Millisecond, Rand: rand.New(rand.NewPCG(uint64(i), 1)),
			OnAnswer: func(since time.Duration) { d.node.NotifyAnswer("t", since) },
		})
		d.node = New(Config{
			Daemon: address, Address: address, Zone: zone, Local: idleState{}, Tables: map[string]Table{"t": d.follower},
			ChangeBound: func(string) time.Duration { return cmp.Or(f.bound, defaultChangeBound) },
			Rand:        rand.New(rand.NewPCG(uint64(i), 2)), Log: telemetry.NopLog(),
		})
		byZone[zone] = append(byZone[zone], address)
		f.daemons, f.byAddress[address] = append(f.daemons, d), d
	}
	for _, d := range f.daemons {
		d.node.group = newGroup(d.node.Address, append([]string(nil), byZone[d.node.Zone]...))
		for _, other := range f.daemons {
			d.node.state.AddPeer(other.node.Address, time.Now())
		}
	}
	return f
}

// run starts the daemons and has them read each other's copies through the fleet. The
// returned function ends that once they have stopped.
func (f *restoredFleet) run() (wait func()) {
	transport := copyClient.Transport
	copyClient.Transport = f
	var running sync.WaitGroup
	for i, d := range f.daemons {
		running.Go(func() { assert.Check(f.t, d.follower.Run(f.ctx)) })
		running.Go(func() { d.exchange(time.Duration(i) * 7 * time.Millisecond % gossipInterval) })
	}
	return func() {
		running.Wait()
		copyClient.Transport = transport
	}
}

func (d *restoredDaemon) send(to string, data []byte) {
	receiver, copied := d.fleet.byAddress[to], bytes.Clone(data)
	if d.cut.Load() {
		return
	}
	time.AfterFunc(restoredLatency, func() {
		if !receiver.cut.Load() {
			assert.Check(d.fleet.t, receiver.node.receive(d.fleet.ctx, copied))
		}
	})
}

func (d *restoredDaemon) announce(tables []TableState, targets []string) {
	if len(tables) == 0 {
		return
	}
	data, err := encodeAnnouncement(d.node.Address, tables)
	assert.Check(d.fleet.t, err)
	for _, to := range targets {
		d.send(to, data)
	}
}

// exchange does what the node's loop does with a socket.
func (d *restoredDaemon) exchange(offset time.Duration) {
	if !backoff.Sleep(d.fleet.ctx, offset) {
		return
	}
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.fleet.ctx.Done():
			return
		case now := <-ticker.C:
			targets, data, err := d.node.compose(now)
			assert.Check(d.fleet.t, err)
			for _, to := range targets {
				d.send(to, data)
			}
			d.announce(d.node.tablesReadForGroup(now))
		case <-d.node.changed:
			d.announce(d.node.tablesReadForGroup(time.Now()))
			d.announce(d.node.tablesPassedOn(time.Now()))
		case <-d.node.announced:
			d.announce(d.node.tablesPassedOn(time.Now()))
		}
	}
}

// slowWriter takes the time of a daemon's link.
type slowWriter struct{ *httptest.ResponseRecorder }

func (w slowWriter) Write(b []byte) (int, error) {
	time.Sleep(time.Duration(float64(len(b)) / restoredLink * float64(time.Second)))
	return w.ResponseRecorder.Write(b)
}

// RoundTrip lets one daemon read a copy of another one.
func (f *restoredFleet) RoundTrip(r *http.Request) (*http.Response, error) {
	f.copies.Add(1)
	time.Sleep(restoredLatency)
	d, w := f.byAddress[r.URL.Host], httptest.NewRecorder()
	if d.cut.Load() {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	c := echo.New().NewContext(r, slowWriter{w})
	c.SetParamNames("name")
	c.SetParamValues("t")
	if err := d.node.ServeTable(c); err != nil {
		return nil, err
	}
	time.Sleep(restoredLatency)
	return &http.Response{StatusCode: w.Code, Body: io.NopCloser(bytes.NewReader(w.Body.Bytes()))}, r.Context().Err()
}

// slowest waits until all daemons have a row that was just written and returns the longest
// time that it took, of daemons that were cut off since their return.
func (f *restoredFleet) slowest(written time.Time) (slowest time.Duration) {
	newest, _, _ := f.platform.row()
	for missing := true; missing && slowest <= configurationBound; time.Sleep(10 * time.Millisecond) {
		missing = false
		for _, d := range f.daemons {
			if cut, returned, serial := d.get(); cut {
				missing = true
			} else if serial != string(newest.Value) {
				missing = true
				slowest = max(slowest, min(time.Since(written), time.Since(returned)))
			}
		}
	}
	return slowest
}

// Guards against daemons that serve an older state after the platform has come back from
// an older copy and the operator has written again, and against one that goes back to a
// copy of the era before. AUBURNDYKE_RUNS is the number of restorations.
func TestLargeFleetFollowsRestorations(t *testing.T) {
	size, restorations := 330, 12
	if testing.Short() {
		size, restorations = 40, 6
	}
	if n, err := strconv.Atoi(os.Getenv("AUBURNDYKE_RUNS")); err == nil {
		restorations = n
	}
	virtualtime.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		f := newRestoredFleet(t, ctx, size, 3)
		wait := f.run()
		for range 100 {
			f.platform.write()
		}
		time.Sleep(20 * time.Second)
		rng := rand.New(rand.NewPCG(3, 3))
		upTo := func(d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }
		var slowest time.Duration
		var most int64
		calls := func() int64 { return f.platform.pages.Load() + f.platform.waited.Load() }
		pages, copies := f.platform.pages.Load(), f.copies.Load()
		for n := range restorations {
			for range 1 + rng.IntN(5) {
				f.platform.write()
			}
			time.Sleep(upTo(3 * time.Second))
			f.platform.goAway()
			time.Sleep(upTo(1500 * time.Millisecond))
			for _, d := range f.daemons {
				if rng.IntN(20) == 0 {
					d.cutFor(upTo(3 * time.Second))
				}
			}
			f.platform.restore(rng.Uint64N(20))
			second := calls()
			time.Sleep(upTo(1500 * time.Millisecond))
			f.platform.write()
			written := time.Now()
			took := f.slowest(written)
			assert.Check(t, took <= configurationBound, "restoration %d: a daemon lacks the newest row after %s", n, took)
			slowest = max(slowest, took)
			time.Sleep(time.Second - min(time.Since(written), time.Second))
			most = max(most, calls()-second)
			time.Sleep(5 * time.Second)
		}
		n := int64(restorations)
		t.Logf("%d daemons, %d restorations: newest row everywhere %s after it was written, or after the return of a daemon that was cut off, at most; %d whole readings of the platform and %d of peers' copies, %d calls to the platform at most around one",
			size, n, slowest, (f.platform.pages.Load()-pages)/n, (f.copies.Load()-copies)/n, most)
		stop()
		wait()
	})
}
