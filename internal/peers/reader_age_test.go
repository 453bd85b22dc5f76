package peers

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// versionedPlatform is a table with one row, whose value is its version.
type versionedPlatform struct {
	mu      sync.Mutex
	version ports.Version
	changed chan struct{}
}

func (p *versionedPlatform) write() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *versionedPlatform) current() (ports.Version, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version, p.changed
}

// link is a daemon's path to the platform. Once it is cut, no call gets a response.
type link struct {
	platform *versionedPlatform
	cut      chan struct{}
	// delay is how long a response takes, by the VM's own load.
	delay time.Duration
}

func (l *link) respond(ctx context.Context) error {
	time.Sleep(l.delay)
	select {
	case <-l.cut:
		<-ctx.Done()
		return ctx.Err()
	default:
		return nil
	}
}

func (l *link) ReadPage(ctx context.Context, _ string) (follow.Page, error) {
	version, _ := l.platform.current()
	return follow.Page{Rows: []ports.Row{{Key: "a", Version: version}}, Version: version}, l.respond(ctx)
}

func (l *link) Changes(ctx context.Context, after ports.Version, wait time.Duration) ([]ports.Row, ports.Version, error) {
	timeout := time.After(wait)
	for {
		version, changed := l.platform.current()
		if version > after {
			return []ports.Row{{Key: "a", Version: version}}, version, l.respond(ctx)
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, version, l.respond(ctx)
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// versionSink holds the version of the row.
type versionSink struct {
	mu      sync.Mutex
	version ports.Version
}

func (s *versionSink) Replace(now time.Time, rows []ports.Row, v ports.Version) {
	s.Apply(now, rows, v)
}

func (s *versionSink) Apply(_ time.Time, rows []ports.Row, _ ports.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = rows[0].Version
}

func (*versionSink) Lost(error, time.Time)  {}
func (*versionSink) Regained(time.Duration) {}

func (s *versionSink) get() ports.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// linkedDaemon is a node without sockets, whose follower has a link of its own.
type linkedDaemon struct {
	node *Node
	link *link
	sink *versionSink
}

func newLinkedDaemon(name string, p *versionedPlatform, delay time.Duration, run func(func(context.Context) error)) *linkedDaemon {
	d := &linkedDaemon{link: &link{platform: p, cut: make(chan struct{}), delay: delay}, sink: &versionSink{}}
	f := follow.New(d.link, d.sink, follow.Options{
		Delegated: func(now time.Time) time.Duration { return d.node.DelegatedFor("t", now) }, Rand: rand.New(rand.NewPCG(1, 2)),
	})
	d.node = New(Config{
		Daemon: name, Address: name, Local: idleState{}, Tables: map[string]Table{"t": f},
		Rand: rand.New(rand.NewPCG(1, 2)), Log: telemetry.NopLog(),
	})
	d.node.lags["t"] = lag{fetching: true} // reads no copy of a peer, which takes sockets
	run(f.Run)
	return d
}

// announceTo delivers what the daemon announces to its group.
func (d *linkedDaemon) announceTo(t *testing.T, to *linkedDaemon) {
	t.Helper()
	tables, _ := d.node.tablesReadForGroup(time.Now())
	d.deliver(t, tables, to)
}

// passOnTo delivers what the daemon passes on of its reader's announcements.
func (d *linkedDaemon) passOnTo(t *testing.T, to *linkedDaemon) {
	t.Helper()
	tables, _ := d.node.tablesPassedOn(time.Now())
	d.deliver(t, tables, to)
}

func (d *linkedDaemon) deliver(t *testing.T, tables []TableState, to *linkedDaemon) {
	t.Helper()
	if len(tables) == 0 {
		return
	}
	data, err := encodeAnnouncement(d.node.Address, tables)
	assert.NilError(t, err)
	assert.NilError(t, to.node.receive(t.Context(), data))
}

// Guards against a daemon that gets a change late because its reader announces for
// seconds that nothing has changed although the platform no longer responds to it.
func TestReaderWithoutPlatformDelaysNoChange(t *testing.T) {
	const (
		bound       = 4 * time.Second // the tightest that the users state for fleets with readers
		memberDelay = 500 * time.Millisecond
	)
	for offset := time.Duration(0); offset < 2*time.Second; offset += 50 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				var running sync.WaitGroup
				run := func(f func(context.Context) error) { running.Go(func() { assert.Check(t, f(ctx)) }) }
				p := &versionedPlatform{version: 1, changed: make(chan struct{})}
				reader, relay := newLinkedDaemon("reader", p, 0, run), newLinkedDaemon("relay", p, 0, run)
				member := newLinkedDaemon("member", p, memberDelay, run)
				reader.node.group = group{dependents: []string{"relay"}}
				relay.node.group = group{dependents: []string{"member"}, members: []string{"member"}, readers: map[string]bool{"reader": true}}
				member.node.group = group{readers: map[string]bool{"relay": true}}
				running.Go(func() {
					for ctx.Err() == nil {
						reader.announceTo(t, relay)
						relay.passOnTo(t, member)
						time.Sleep(gossipInterval)
					}
				})
				time.Sleep(20*time.Second + offset) // calls end that began before the delegation
				assert.Assert(t, member.node.DelegatedFor("t", time.Now()) > 0)

				close(reader.link.cut)
				p.write()
				changed := time.Now()
				for member.sink.get() != 2 && time.Since(changed) <= bound {
					time.Sleep(10 * time.Millisecond)
				}
				assert.Check(t, member.sink.get() == 2, "offset %s: the change has not arrived after %s", offset, time.Since(changed))
				stop()
				running.Wait()
			})
		})
	}
}
