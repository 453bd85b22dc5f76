package follow_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
)

// outagePlatform is a store in virtual time with one row a table. While it is
// silent, no call gets a response, nor do the calls that were open then.
type outagePlatform struct {
	mu       sync.Mutex
	silent   bool
	outages  int
	version  ports.Version
	changed  chan struct{}
	calls    []time.Time
	response time.Duration
}

func newOutagePlatform() *outagePlatform {
	return &outagePlatform{version: 1, changed: make(chan struct{}), response: 4 * time.Millisecond}
}

func (p *outagePlatform) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
	if silent {
		p.outages++
	}
}

func (p *outagePlatform) write() ports.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	close(p.changed)
	p.changed = make(chan struct{})
	return p.version
}

// begin records a call and returns the number of outages so far.
func (p *outagePlatform) begin() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, time.Now())
	return p.outages
}

// respond returns the version, unless the platform was silent since the call began.
func (p *outagePlatform) respond(ctx context.Context, outages int) (ports.Version, <-chan struct{}, error) {
	p.mu.Lock()
	silent, version, changed := p.silent || p.outages != outages, p.version, p.changed
	p.mu.Unlock()
	if silent {
		<-ctx.Done()
		return 0, nil, ctx.Err()
	}
	return version, changed, nil
}

func (p *outagePlatform) ReadPage(ctx context.Context, _ string) (follow.Page, error) {
	outages := p.begin()
	time.Sleep(p.response)
	version, _, err := p.respond(ctx, outages)
	return follow.Page{Rows: []ports.Row{{Key: "a", Version: version}}, Version: version}, err
}

func (p *outagePlatform) Changes(ctx context.Context, after ports.Version, wait time.Duration) ([]ports.Row, ports.Version, error) {
	outages := p.begin()
	time.Sleep(p.response)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for waiting := true; ; {
		version, changed, err := p.respond(ctx, outages)
		if err != nil || version > after {
			return []ports.Row{{Key: "a", Version: version}}, version, err
		}
		if !waiting {
			return nil, version, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// mostCalls returns the largest number of calls within one second after a time.
func (p *outagePlatform) mostCalls(after time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := slices.DeleteFunc(slices.Clone(p.calls), func(at time.Time) bool { return at.Before(after) })
	most, from := 0, 0
	for i, at := range calls {
		for at.Sub(calls[from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// outageFleet is a number of daemons that follow two tables each. Each tells three
// others at once when the platform has returned, and two every half a second for
// some time after that, as the nodes of package peers do.
type outageFleet struct {
	followers []*follow.Follower
	contacts  []*follow.Contact
}

func startOutageFleet(ctx context.Context, running *sync.WaitGroup, p *outagePlatform, daemons int, readRate float64) *outageFleet {
	fleet := &outageFleet{}
	for range daemons {
		fleet.contacts = append(fleet.contacts, follow.NewContact())
	}
	spread := time.Duration(float64(3*daemons) / (readRate / 2) * float64(time.Second))
	for i, contact := range fleet.contacts {
		rng := rand.New(rand.NewPCG(7, uint64(i)))
		for table := range uint64(2) {
			f := follow.New(p, &recordingSink{}, follow.Options{
				Contact: contact, ReturnSpread: func() time.Duration { return spread },
				Rand: rand.New(rand.NewPCG(table+1, uint64(i))),
			})
			fleet.followers = append(fleet.followers, f)
			startAfter := time.Duration(rng.Int64N(int64(5 * time.Second)))
			running.Go(func() {
				time.Sleep(startAfter)
				_ = f.Run(ctx) // Run returns no error when ctx ends
			})
		}
		running.Go(func() { fleet.tellReturns(ctx, contact, rng) })
	}
	return fleet
}

// tellReturns tells other daemons of the returns that a daemon knows.
func (f *outageFleet) tellReturns(ctx context.Context, contact *follow.Contact, rng *rand.Rand) {
	tell := func(daemons int) {
		for range daemons {
			f.contacts[rng.IntN(len(f.contacts))].ReportReturn(contact.ReturnedAt())
		}
	}
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for returned := contact.Returned(); ; {
		select {
		case <-ctx.Done():
			return
		case <-returned:
			returned = contact.Returned()
			time.Sleep(15 * time.Millisecond)
			tell(3)
		case now := <-ticker.C:
			if now.Sub(contact.ReturnedAt()) < 4*time.Second {
				tell(2)
			}
		}
	}
}

// behind returns the number of tables whose copies lack a version.
func (f *outageFleet) behind(version ports.Version) int {
	n := 0
	for _, one := range f.followers {
		if one.Versions().AsOf < version {
			n++
		}
	}
	return n
}

// Guards against calls that hang for seconds after the platform has returned from a
// silent outage, although another table's call or another daemon already got a
// response, and against daemons that all call at once then. The bound is that of
// entries that lapsed, 2 s, which is below that of a configuration, 2.5 s; the rate
// is the lowest that the users state.
func TestTablesAreCurrentSoonAfterAnOutage(t *testing.T) {
	const (
		bound    = 2 * time.Second
		readRate = 2000
	)
	for _, daemons := range []int{7, 330} {
		for _, outage := range []time.Duration{4 * time.Second, 9 * time.Second, 12 * time.Second, 31 * time.Second} {
			virtualtime.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				defer running.Wait()
				defer cancel()
				p := newOutagePlatform()
				fleet := startOutageFleet(ctx, &running, p, daemons, readRate)
				time.Sleep(17 * time.Second)
				assert.Equal(t, fleet.behind(1), 0)
				p.setSilent(true)
				time.Sleep(outage)
				returned := time.Now()
				p.setSilent(false)
				version := p.write()
				time.Sleep(bound)
				assert.Equal(t, fleet.behind(version), 0, "%d daemons, %s after an outage of %s", daemons, bound, outage)
				time.Sleep(10 * time.Second)
				most := p.mostCalls(returned)
				assert.Assert(t, most <= readRate, "%d daemons made %d calls within a second", daemons, most)
			})
		}
	}
}

// Guards against daemons that start while the platform is silent and read it only
// seconds after its return.
func TestFirstReadSoonAfterAnOutage(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		p := newOutagePlatform()
		p.setSilent(true)
		fleet := startOutageFleet(ctx, &running, p, 76, 2000)
		time.Sleep(20 * time.Second)
		p.setSilent(false)
		time.Sleep(2 * time.Second)
		assert.Equal(t, fleet.behind(1), 0)
	})
}

// Guards against a daemon without peers whose calls for both tables all have long
// timeouts when the platform returns, so that it notices the return only after them.
func TestFirstReadWithoutPeersSoonAfterAnOutage(t *testing.T) {
	const daemons = 40
	for outage := 5 * time.Second; outage <= 15*time.Second; outage += 500 * time.Millisecond {
		virtualtime.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			defer running.Wait()
			defer cancel()
			p := newOutagePlatform()
			p.setSilent(true)
			fleet := &outageFleet{}
			for i := range uint64(daemons) {
				contact := follow.NewContact()
				for table := range uint64(2) {
					f := follow.New(p, &recordingSink{}, follow.Options{Contact: contact, Rand: rand.New(rand.NewPCG(table+1, i))})
					fleet.followers = append(fleet.followers, f)
					running.Go(func() { _ = f.Run(ctx) }) // Run returns no error when ctx ends
				}
			}
			time.Sleep(outage)
			p.setSilent(false)
			time.Sleep(2 * time.Second)
			assert.Check(t, fleet.behind(1) == 0, "%d of %d tables are not read 2 s after an outage of %s", fleet.behind(1), 2*daemons, outage)
		})
	}
}

// Guards against a slow platform that no call reaches any more because the timeouts
// are too short for it.
func TestSlowPlatformIsRead(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		p := newOutagePlatform()
		p.response = 1500 * time.Millisecond
		fleet := startOutageFleet(ctx, &running, p, 1, 2000)
		time.Sleep(20 * time.Second)
		assert.Equal(t, fleet.behind(1), 0)
	})
}

// partsSource returns a page in parts and then stalls, if it is told to.
type partsSource struct {
	parts  int
	pause  time.Duration
	stalls bool
	mu     sync.Mutex
	ended  []time.Duration
}

func (s *partsSource) ReadPage(ctx context.Context, _ string) (follow.Page, error) {
	started := time.Now()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ended = append(s.ended, time.Since(started))
	}()
	for range s.parts {
		select {
		case <-time.After(s.pause):
			follow.Progress(ctx)
		case <-ctx.Done():
			return follow.Page{}, ctx.Err()
		}
	}
	if s.stalls {
		<-ctx.Done()
		return follow.Page{}, ctx.Err()
	}
	return follow.Page{Version: 1}, nil
}

func (s *partsSource) Changes(ctx context.Context, _ ports.Version, _ time.Duration) ([]ports.Row, ports.Version, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Guards against a page that is cut although its parts keep arriving over a slow
// link, against one that stalls and is waited for, and against one that drips
// without end.
func TestPageIsBoundedByProgress(t *testing.T) {
	for name, c := range map[string]struct {
		source   *partsSource
		complete bool
		bound    time.Duration
	}{
		"slow link": {&partsSource{parts: 12, pause: 700 * time.Millisecond}, true, 9 * time.Second},
		"stall":     {&partsSource{parts: 2, pause: 100 * time.Millisecond, stalls: true}, false, 1200 * time.Millisecond},
		"drip":      {&partsSource{parts: 1000, pause: 700 * time.Millisecond}, false, 11 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := follow.New(c.source, &recordingSink{}, follow.Options{Rand: rand.New(rand.NewPCG(1, 2))})
				done := make(chan error, 1)
				go func() { done <- f.Run(ctx) }()
				defer func() { cancel(); assert.Check(t, <-done) }()
				time.Sleep(c.bound)
				assert.Equal(t, f.Versions().AsOf > 0, c.complete)
				c.source.mu.Lock()
				assert.Assert(t, len(c.source.ended) > 0, "the first call is still open")
				c.source.mu.Unlock()
			})
		})
	}
}

// Guards against a change that stays unread until a dead call times out, although
// another daemon's copy has shown that the call should have returned it.
func TestRepeatedCallReadsChange(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := newOutagePlatform()
		f := follow.New(p, &recordingSink{}, follow.Options{Rand: rand.New(rand.NewPCG(1, 2))})
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		defer func() { cancel(); assert.Check(t, <-done) }()
		time.Sleep(time.Second)
		p.setSilent(true) // the open call gets no response any more
		p.setSilent(false)
		version := p.write()
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, f.Versions().AsOf < version)
		f.RepeatCall()
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, f.Versions().AsOf, version)
	})
}

// Guards against calls that are repeated once for each daemon that notices the
// platform's return, and against a second outage that goes unnoticed.
func TestReturnsOfOneOutageCountOnce(t *testing.T) {
	c := follow.NewContact()
	now := time.Now()
	c.Responded(now)
	assert.Assert(t, c.ReturnedAt().IsZero(), "a response without a failure before is no return")
	assert.Assert(t, c.ReportReturn(now))
	returned := c.Returned()
	assert.Assert(t, !c.ReportReturn(now.Add(2*time.Second)))
	c.Failed()
	c.Responded(now.Add(2500 * time.Millisecond))
	assert.Equal(t, c.ReturnedAt(), now)
	c.Failed()
	c.Responded(now.Add(4 * time.Second))
	assert.Equal(t, c.ReturnedAt(), now.Add(4*time.Second))
	select {
	case <-returned:
	default:
		t.Fatal("the second return was not announced")
	}
}

// panickingSink panics at the first change.
type panickingSink struct {
	recordingSink
	panicked bool
}

func (s *panickingSink) Apply(now time.Time, rows []ports.Row, version ports.Version) {
	s.mu.Lock()
	panics := version > 1 && !s.panicked
	s.panicked = s.panicked || panics
	s.mu.Unlock()
	if panics {
		panic("planted")
	}
	s.recordingSink.Apply(now, rows, version)
}

// Guards against a page or a change that ends the process because it can't be handled,
// and against a copy that keeps a part of it: the whole table is read again.
func TestChangeThatPanicsIsReadAgain(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p, sink := newOutagePlatform(), &panickingSink{}
		f := follow.New(p, sink, follow.Options{Rand: rand.New(rand.NewPCG(1, 2))})
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		defer func() { cancel(); assert.Check(t, <-done) }()
		time.Sleep(time.Second)
		version := p.write()
		time.Sleep(time.Second)
		assert.Equal(t, f.Versions().AsOf, version)
		sink.mu.Lock()
		defer sink.mu.Unlock()
		assert.Assert(t, sink.panicked)
		assert.Equal(t, len(sink.rows), 1)
		assert.Assert(t, sink.regained > 0)
	})
}
