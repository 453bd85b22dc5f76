package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// The fleet of the simulation, about that of the users' largest deployment.
const (
	fleetDaemons    = 295
	fleetUpstreams  = 320
	fleetShared     = 600 // first parts of prompts
	arrivalsPerTick = 7
	repeatedWholes  = 20_000 // contents of sound requests
	maxAttempts     = 3

	tick          = 10 * time.Millisecond
	gossipTicks   = 50 // between two rounds of reports
	networkTicks  = 3  // a datagram to another region, with the daemon's own delay
	restartTicks  = 300
	headerToEvent = 10 // ticks from a response's header to its first event
	eventToEvent  = 10
	waitTicks     = 15 // for the evidence of other crashes
	lateTicks     = 400
	crashAfter    = 5 // ticks from a deadly request's header to the crash
	// begunTicks and soundTicks are the ticks from a response's header to its first
	// event, up to which it has just begun, and to its fourth, which shows that its
	// request is sound.
	begunTicks = headerToEvent
	soundTicks = headerToEvent + 3*eventToEvent
)

type simRequest struct {
	daemon   int
	parts    []Part
	deadly   bool
	attempts int
	waited   bool
	sent     time.Time
	header   int // tick of the header
}

// sharedParts returns the request's parts without the whole request.
func (r *simRequest) sharedParts() []Part {
	n := len(r.parts)
	if r.parts[n-1].Whole() {
		n--
	}
	return r.parts[:n]
}

type simUpstream struct {
	id       domain.UpstreamID
	requests []*simRequest
	downTill int
}

// simFleet is a fleet of daemons without a network, in virtual time.
type simFleet struct {
	rand      *rand.Rand
	trackers  []*Tracker
	upstreams []*simUpstream
	datagrams map[int][]func(now time.Time) // by tick of arrival

	deadlyParts []Part
	deadlyShare float64
	// wholes gives each request the identity of its content as its last part; some are
	// repeated by other callers.
	wholes bool
	// crashTicks holds the ticks of the crashes by each deadly part, and late counts
	// requests with the part that were sent later than lateTicks after the fifth.
	crashTicks map[Part][]int
	late       map[Part]int

	sound, soundRefused, soundLost int
	datagramsSent                  int
}

func newSimFleet(seed uint64) *simFleet {
	f := &simFleet{rand: rand.New(rand.NewPCG(seed, 1)), datagrams: make(map[int][]func(time.Time)), crashTicks: make(map[Part][]int), late: make(map[Part]int)}
	for i := range fleetDaemons {
		f.trackers = append(f.trackers, New(rand.New(rand.NewPCG(seed, uint64(i))), nil))
	}
	for i := range fleetUpstreams {
		f.upstreams = append(f.upstreams, &simUpstream{id: domain.UpstreamID(fmt.Sprintf("u%d", i))})
	}
	return f
}

func (f *simFleet) run(ticks int, each func(n int)) {
	for n := range ticks {
		now := start.Add(time.Duration(n) * tick)
		for _, deliver := range f.datagrams[n] {
			deliver(now)
		}
		delete(f.datagrams, n)
		for range arrivalsPerTick {
			f.arrive(n, now)
		}
		each(n)
		for _, u := range f.upstreams {
			f.advance(n, now, u)
		}
		f.gossip(n, now)
	}
}

func (f *simFleet) arrive(n int, now time.Time) {
	r := &simRequest{daemon: f.rand.IntN(fleetDaemons), parts: []Part{Part(f.rand.IntN(fleetShared))}}
	if len(f.deadlyParts) > 0 && f.rand.Float64() < f.deadlyShare {
		r.deadly = true
		r.parts = append(r.parts, f.deadlyParts[f.rand.IntN(len(f.deadlyParts))])
	} else {
		f.sound++
		if f.wholes {
			r.parts = append(r.parts, WholeRequest(f.rand.Uint64N(repeatedWholes)))
		}
	}
	f.send(n, now, r)
}

// send sends a request to a random upstream if no block refuses it. One whose upstream has
// crashed is refused only after the daemon has heard of other crashes.
func (f *simFleet) send(n int, now time.Time, r *simRequest) {
	if _, blocked := f.trackers[r.daemon].Blocked(now, r.parts); blocked {
		if r.attempts > 0 && !r.waited {
			r.waited = true
			later := n + waitTicks
			f.datagrams[later] = append(f.datagrams[later], func(at time.Time) { f.send(later, at, r) })
			return
		}
		if !r.deadly {
			f.soundRefused++
		}
		return
	}
	if r.attempts++; r.attempts > maxAttempts {
		if !r.deadly {
			f.soundLost++
		}
		return
	}
	u := f.upstreams[f.rand.IntN(len(f.upstreams))]
	for n < u.downTill {
		u = f.upstreams[f.rand.IntN(len(f.upstreams))]
	}
	if r.deadly {
		if crashes := f.crashTicks[r.parts[1]]; len(crashes) >= 5 && n > crashes[4]+lateTicks {
			f.late[r.parts[1]]++
		}
	}
	r.sent = now
	r.header = n + 5 + f.rand.IntN(30)
	u.requests = append(u.requests, r)
}

func (f *simFleet) advance(n int, now time.Time, u *simUpstream) {
	kept := u.requests[:0]
	for _, r := range u.requests {
		if r.deadly && n >= r.header+crashAfter {
			part := r.parts[1]
			f.crashTicks[part] = append(f.crashTicks[part], n)
			f.crash(n, now, u)
			return
		}
		if n >= r.header+soundTicks {
			f.trackers[r.daemon].Sound(now, r.parts)
			continue
		}
		kept = append(kept, r)
	}
	u.requests = kept
}

// crash ends an upstream. Its requests are evidence and are sent again.
func (f *simFleet) crash(n int, now time.Time, u *simUpstream) {
	requests := u.requests
	u.requests, u.downTill = nil, n+restartTicks
	for _, r := range requests {
		t := f.trackers[r.daemon]
		switch {
		case n >= r.header && n < r.header+begunTicks:
			t.Crash(now, u.id, r.sent, Begun, r.parts)
		case t.Unknown(now, r.sharedParts()):
			t.Crash(now, u.id, r.sent, Other, r.parts)
		case len(r.sharedParts()) < len(r.parts):
			t.Crash(now, u.id, r.sent, Other, r.parts[len(r.parts)-1:])
		}
	}
	for _, r := range requests {
		f.send(n, now, r)
	}
}

func (f *simFleet) gossip(n int, now time.Time) {
	for i, t := range f.trackers {
		fanOut := 0
		select {
		case <-t.Updated():
			fanOut = 3
		default:
		}
		if (n+i)%gossipTicks == 0 {
			fanOut = max(fanOut, 2)
		}
		if fanOut == 0 {
			continue
		}
		report := t.Report(now)
		if report == nil {
			continue
		}
		for range fanOut {
			f.datagramsSent++
			peer := f.trackers[f.rand.IntN(len(f.trackers))]
			f.datagrams[n+networkTicks] = append(f.datagrams[n+networkTicks], func(at time.Time) { peer.Merge(at, report) })
		}
	}
}

// Guards against parts that crash many engines of a large fleet, in which each daemon
// sees few requests, while sound requests share other parts with the harmful ones.
func TestLargeFleetBlocksSeveralParts(t *testing.T) {
	for seed := range uint64(3) {
		f := newSimFleet(seed)
		f.run(2000, func(n int) {
			if n == 500 {
				f.deadlyParts, f.deadlyShare = []Part{1e6, 2e6, 3e6}, 0.01
			}
		})
		for _, part := range f.deadlyParts {
			crashes := f.crashTicks[part]
			t.Logf("seed %d: %d crashes by part %d, the last %v after its requests began", seed, len(crashes), part, time.Duration(crashes[len(crashes)-1]-500)*tick)
			// The users allow three requests later than lateTicks after the fifth crash.
			assert.Check(t, f.late[part] <= 3, "seed %d: %d late requests with part %d", seed, f.late[part], part)
		}
		t.Logf("seed %d: %d sound requests, %d refused, %d lost; %d datagrams", seed, f.sound, f.soundRefused, f.soundLost, f.datagramsSent)
		assert.Check(t, f.soundRefused == 0, "seed %d: %d sound requests refused", seed, f.soundRefused)
	}
}

// Guards against blocks of sound parts when engines crash for reasons of their own, many
// at once and in quick succession.
func TestLargeFleetBlocksNothingForOtherCrashes(t *testing.T) {
	for seed := range uint64(2) {
		f := newSimFleet(seed)
		f.wholes = true
		f.run(1600, func(n int) {
			share := 0.0
			switch n % 1000 {
			case 500:
				share = 0.3 // a zone is lost
			case 530:
				share = 0.2
			default:
				if n%20 == 0 {
					share = 1.0 / fleetUpstreams
				}
			}
			for _, u := range f.upstreams {
				if n >= u.downTill && f.rand.Float64() < share {
					f.crash(n, start.Add(time.Duration(n)*tick), u)
				}
			}
		})
		t.Logf("seed %d: %d sound requests, %d refused, %d lost; %d datagrams", seed, f.sound, f.soundRefused, f.soundLost, f.datagramsSent)
		assert.Check(t, f.soundRefused == 0, "seed %d: %d sound requests refused", seed, f.soundRefused)
	}
}

// Guards against requests that crash the engines of a large fleet, in which callers repeat
// them at any daemon, and against sound requests that are refused because they share a
// part with them.
func TestLargeFleetBlocksWholeRequests(t *testing.T) {
	for seed := range uint64(3) {
		f := newSimFleet(seed)
		f.wholes = true
		f.run(2000, func(n int) {
			if n == 500 {
				f.deadlyParts, f.deadlyShare = []Part{WholeRequest(1e6), WholeRequest(2e6), WholeRequest(3e6)}, 0.01
			}
		})
		for _, part := range f.deadlyParts {
			crashes := f.crashTicks[part]
			t.Logf("seed %d: %d crashes by request %x, the last %v after they began", seed, len(crashes), part, time.Duration(crashes[len(crashes)-1]-500)*tick)
			// The users allow three requests later than lateTicks after the fifth crash.
			assert.Check(t, f.late[part] <= 3, "seed %d: %d late requests with %x", seed, f.late[part], part)
		}
		t.Logf("seed %d: %d sound requests, %d refused, %d lost; %d datagrams", seed, f.sound, f.soundRefused, f.soundLost, f.datagramsSent)
		assert.Check(t, f.soundRefused == 0, "seed %d: %d sound requests refused", seed, f.soundRefused)
	}
}
