package duty

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/lease"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

var epoch = time.Unix(1000, 0)

// gossip plays rounds of messages among candidates, each to two others.
func gossip(all []*Candidates, alive func(int) bool, now time.Time, rounds int, rng *rand.Rand) time.Time {
	for range rounds {
		for i, c := range all {
			if !alive(i) {
				continue
			}
			news := c.Sightings(now)
			for range 2 {
				if to := rng.IntN(len(all)); to != i && alive(to) {
					all[to].Merge(now, news)
				}
			}
		}
		now = now.Add(500 * time.Millisecond)
	}
	return now
}

func competing(all []*Candidates, alive func(int) bool, now time.Time) (out []int) {
	for i, c := range all {
		if alive(i) && c.Competes(now) {
			out = append(out, i)
		}
	}
	return out
}

// Guards against a fleet of which more or fewer than three daemons compete, although each
// hears from few others itself: in quiet operation, after the first three have ended,
// while the store refuses the first three, and while it refuses all.
func TestThreeDaemonsCompete(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var all []*Candidates
	for i := range 330 {
		all = append(all, NewCandidates(fmt.Sprint("edge-", i), "1"))
	}
	dead := make(map[int]bool)
	alive := func(i int) bool { return !dead[i] }
	now := gossip(all, alive, epoch, 10, rng)
	first := competing(all, alive, now)
	assert.Equal(t, len(first), competitors)
	for range 120 {
		now = gossip(all, alive, now, 1, rng)
		assert.DeepEqual(t, competing(all, alive, now), first)
	}
	for _, i := range first {
		dead[i] = true
	}
	for range 10 {
		now = gossip(all, alive, now, 4, rng)
		assert.Check(t, len(competing(all, alive, now)) <= competitors)
	}
	second := competing(all, alive, now)
	assert.Equal(t, len(second), competitors)

	refused := func(which []int) {
		for range 8 {
			for _, i := range which {
				all[i].StoreCalled(now, false)
			}
			now = gossip(all, alive, now, 1, rng)
		}
	}
	refused(second)
	refused(second)
	third := competing(all, alive, now)
	assert.Equal(t, len(third), 2*competitors, "those refused go on, and three others compete")
	for _, i := range second {
		all[i].StoreCalled(now, true)
	}
	now = gossip(all, alive, now, 12, rng)
	assert.DeepEqual(t, competing(all, alive, now), second)

	// While the store refuses everybody, the daemons that ask do not grow in number.
	for range 240 {
		for _, i := range competing(all, alive, now) {
			all[i].StoreCalled(now, false)
		}
		now = gossip(all, alive, now, 1, rng)
		assert.Check(t, len(competing(all, alive, now)) <= 4*competitors)
	}
}

// Guards against a sighting that is passed on for ever although its daemon has ended, and
// against a message that fills a daemon's memory.
func TestSightingsExpire(t *testing.T) {
	a, b := NewCandidates("a", "1"), NewCandidates("b", "1")
	var flood []Sighting
	for i := range 5000 {
		flood = append(flood, Sighting{Rank: uint32(i)})
	}
	a.Merge(epoch, flood)
	assert.Assert(t, len(a.heard) <= 2*kept)
	now := epoch
	for range 1100 { // of 10 ms
		now = now.Add(10 * time.Millisecond)
		strip := func(c *Candidates) []Sighting {
			var out []Sighting
			for _, s := range c.Sightings(now) {
				if s.Rank < 5000 {
					out = append(out, s)
				}
			}
			return out
		}
		b.Merge(now, strip(a))
		a.Merge(now, strip(b))
	}
	assert.Assert(t, a.Competes(now) && b.Competes(now))
	assert.Equal(t, len(b.heard), 0)
}

// Guards against a holder that exceeds the platform's rate of calls.
func TestPace(t *testing.T) {
	p := NewPace(10)
	var last time.Duration
	for i := range 100 {
		delay := p.Reserve(epoch)
		assert.Equal(t, delay, time.Duration(i)*125*time.Millisecond)
		last = delay
	}
	assert.Equal(t, p.Reserve(epoch.Add(last+time.Minute)), time.Duration(0))
	assert.Equal(t, NewPace(0).interval, 250*time.Millisecond)
}

// memoryTable is a table with the lease's row.
type memoryTable struct {
	mu      sync.Mutex
	row     []byte
	version ports.Version
	calls   int
	down    bool
}

func (m *memoryTable) Get(_ context.Context, keys ...string) ([]ports.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.down {
		return nil, ports.ErrUnavailable
	}
	if m.version == 0 {
		return nil, nil
	}
	return []ports.Row{{Key: keys[0], Value: m.row, Version: m.version}}, nil
}

func (m *memoryTable) Scan(context.Context, string, string, int, ports.Version) ([]ports.Row, error) {
	return nil, ports.ErrUnavailable
}

func (m *memoryTable) Commit(_ context.Context, writes ...ports.Write) (ports.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	switch {
	case m.down:
		return 0, ports.ErrUnavailable
	case writes[0].Expect != m.version:
		return 0, &ports.ConflictError{Keys: []string{writes[0].Key}}
	}
	m.row, m.version = writes[0].Value, m.version+1
	return m.version, nil
}

func newTestHolder(table ports.Table, name string, rate float64) *Holder {
	return New(Config{
		Daemon: "a", Incarnation: 1, Table: table, LeaseTime: 3 * time.Second, CallRate: rate,
		BootClock: func() time.Duration { return time.Duration(time.Now().UnixNano()) },
		Rand:      rand.New(rand.NewPCG(1, uint64(len(name)))), Log: telemetry.NopLog(), Metrics: telemetry.NewMetrics(),
	})
}

// Guards against a daemon that competes before it knows the others, that acts without the
// lease or beyond the rate, that goes on acting while the store is down, and that keeps
// the lease, or releases it under an act in progress, at a planned stop.
func TestHolderActsOnlyWhileItMay(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := &memoryTable{}
		h := newTestHolder(table, "a", 10)
		var mu sync.Mutex
		ready := false
		h.SetReady(func(time.Time) bool { mu.Lock(); defer mu.Unlock(); return ready })
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- h.Run(ctx) }()
		acts := 0
		act := func(context.Context, Permit) error { acts++; return nil }
		time.Sleep(30 * time.Second)
		assert.ErrorIs(t, h.Do(ctx, act), lease.ErrNotHeld)
		assert.Equal(t, table.calls, 0)
		assert.Equal(t, len(h.Sightings(time.Now())), 0)

		mu.Lock()
		ready = true
		mu.Unlock()
		time.Sleep(time.Second)
		assert.Assert(t, h.Held())
		assert.Equal(t, h.gauge().Value(), 1.0)
		started := time.Now()
		for range 41 {
			assert.NilError(t, h.Do(ctx, act))
		}
		assert.Equal(t, acts, 41)
		assert.Equal(t, time.Since(started), 5*time.Second)
		assert.NilError(t, h.Do(ctx, func(ctx context.Context, p Permit) error {
			deadline, ok := ctx.Deadline()
			assert.Assert(t, ok && time.Until(deadline) > time.Second && time.Until(deadline) < 3*time.Second)
			assert.NilError(t, p.Check())
			return nil
		}))

		table.mu.Lock()
		table.down = true
		table.mu.Unlock()
		time.Sleep(4 * time.Second)
		assert.Assert(t, !h.Held())
		assert.ErrorIs(t, h.Do(ctx, act), lease.ErrNotHeld)
		assert.Equal(t, h.gauge().Value(), 0.0)
		table.mu.Lock()
		table.down = false
		table.mu.Unlock()
		time.Sleep(5 * time.Second)
		assert.Assert(t, h.Held())

		actEnds := make(chan time.Time, 1)
		go func() {
			assert.Check(t, nil == h.Do(ctx, func(ctx context.Context, _ Permit) error {
				time.Sleep(600 * time.Millisecond)
				actEnds <- time.Now()
				return ctx.Err()
			}))
		}()
		time.Sleep(200 * time.Millisecond)
		h.Stop()
		h.Stop()
		time.Sleep(100 * time.Millisecond)
		assert.ErrorIs(t, h.Do(ctx, act), lease.ErrNotHeld)
		assert.NilError(t, <-done)
		assert.Assert(t, !time.Now().Before(<-actEnds))
		assert.Assert(t, !h.Held())
		for _, s := range h.Sightings(time.Now()) {
			assert.Assert(t, s.Failing)
		}
		other := newTestHolder(table, "other", 10)
		other.lease = lease.NewHolderWithClock(table, lease.Config{Name: leaseName, Owner: lease.Owner{Daemon: "b"}, Term: leaseTerm}, other.cfg.Rand, lease.Hooks{}, other.clock)
		go func() { done <- other.Run(ctx) }()
		time.Sleep(time.Second)
		assert.Assert(t, other.lease.Held(other.clock()) && !other.Held())
		time.Sleep(2100 * time.Millisecond)
		assert.Assert(t, other.Held())
		cancel()
		assert.NilError(t, <-done)
	})
}
