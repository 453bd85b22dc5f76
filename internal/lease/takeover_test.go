package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
)

// script drives one Lease against a row by hand.
type script struct {
	t       *testing.T
	lease   *Lease
	now     time.Time
	row     *Record
	version ports.Version
	reads   int
}

func newScript(t *testing.T, daemon domain.DaemonID, incarnation domain.Incarnation) *script {
	t.Helper()
	cfg := Config{
		Name: "x", Owner: Owner{Daemon: daemon, Incarnation: incarnation},
		Term: 4 * time.Second, PollInterval: 300 * time.Millisecond,
	}
	return &script{t: t, lease: New(cfg, rand.New(rand.NewPCG(1, 2))), now: time.Unix(1000, 0)}
}

func (s *script) put(r Record) {
	s.row = &r
	s.version++
}

// step handles an event and the calls that follow from it, without delay.
func (s *script) step(event Event) {
	for _, action := range s.lease.Step(s.now, event) {
		switch a := action.(type) {
		case ReadRow:
			s.reads++
			read := RowRead{Version: s.version}
			if s.row != nil {
				row := *s.row
				read.Record = &row
			}
			s.step(read)
		case CommitRow:
			if a.Write.Expect.Number() != s.version.Number() { // the platform does not compare eras
				s.step(Committed{Err: &ports.ConflictError{}})
				continue
			}
			record, err := decode(ports.Row{Value: a.Write.Value})
			assert.NilError(s.t, err)
			s.put(record)
			s.step(Committed{Version: s.version})
		}
	}
}

// run advances the clock from deadline to deadline.
func (s *script) run(d time.Duration) {
	end := s.now.Add(d)
	for {
		due, ok := s.lease.Deadline()
		if !ok || due.After(end) {
			s.now = end
			return
		}
		if due.After(s.now) {
			s.now = due
		}
		s.step(Tick{})
	}
}

func (s *script) held() bool { return s.lease.Term().Held(s.now) }

// Guards against a holder that acts as if nobody had acted before it: after a release,
// after the expiry of another holder's lease, and after an earlier process of its own
// name, which may have run on another VM. It also guards against a wait without need,
// after the first acquisition and after a reacquisition without another holder.
func TestTermSaysWhetherItWasTakenOver(t *testing.T) {
	s := newScript(t, "a", 1)
	s.step(Tick{})
	assert.Assert(t, s.held())
	assert.Assert(t, s.lease.Term().TakenOverAt.IsZero())
	s.now = s.now.Add(10 * time.Second) // paused: the term expires
	s.step(Tick{})
	assert.Assert(t, s.held())
	assert.Equal(t, s.lease.Term().Token, domain.FencingToken(2))
	assert.Assert(t, s.lease.Term().TakenOverAt.IsZero())

	for name, before := range map[string]Record{
		"released":            {Token: 7, Term: 4 * time.Second},
		"expired":             {Token: 7, Term: 4 * time.Second, Holder: Owner{Daemon: "b", Incarnation: 1}},
		"process before this": {Token: 7, Term: 4 * time.Second, Holder: Owner{Daemon: "a", Incarnation: 9}},
	} {
		s := newScript(t, "a", 1)
		s.put(before)
		s.step(Tick{})
		s.run(6 * time.Second)
		term := s.lease.Term()
		assert.Assert(t, s.held(), name)
		assert.Equal(t, term.Token, domain.FencingToken(8), name)
		assert.Assert(t, !term.TakenOverAt.IsZero(), name)
		taken := term.TakenOverAt
		// A renewal and a reacquisition don't start the wait again and don't end it.
		s.run(3 * time.Second)
		s.now = s.now.Add(10 * time.Second)
		s.step(Tick{})
		assert.Equal(t, s.lease.Term().Token, domain.FencingToken(9), name)
		assert.Equal(t, s.lease.Term().TakenOverAt, taken, name)
	}
}

// Guards against a takeover that is forgotten because the response to its write was lost
// and the write was applied after its own term.
func TestTakeoverWithLostResponseIsRemembered(t *testing.T) {
	s := newScript(t, "a", 1)
	s.put(Record{Token: 7, Term: 4 * time.Second})
	actions := s.lease.Step(s.now, Tick{})
	assert.Equal(t, len(actions), 1)
	actions = s.lease.Step(s.now, RowRead{Record: s.row, Version: s.version})
	write := actions[0].(CommitRow).Write
	taken := s.now
	assert.Equal(t, len(s.lease.Step(s.now, Committed{Err: ports.ErrUnknownOutcome})), 0)
	s.now = s.now.Add(5 * time.Second)
	record, err := decode(ports.Row{Value: write.Value})
	assert.NilError(t, err)
	s.put(record) // applied late
	s.step(Tick{})
	assert.Assert(t, s.held())
	assert.Equal(t, s.lease.Term().Token, domain.FencingToken(9))
	assert.Equal(t, s.lease.Term().TakenOverAt, taken)
}

// Guards against a daemon that makes calls although it does not compete, that drops a
// lease for that reason, and that stays away when it competes again.
func TestCompeteChanged(t *testing.T) {
	s := newScript(t, "a", 1)
	s.step(CompeteChanged{false})
	s.run(time.Minute)
	assert.Equal(t, s.reads, 0)
	s.step(CompeteChanged{true})
	assert.Assert(t, s.held())
	s.step(CompeteChanged{false})
	s.run(time.Minute)
	assert.Assert(t, s.held())
	assert.Equal(t, s.lease.Term().Token, domain.FencingToken(1))
	s.put(Record{Token: 2, Term: 4 * time.Second, Holder: Owner{Daemon: "b", Incarnation: 1}})
	s.run(10 * time.Second)
	assert.Assert(t, !s.held())
	reads := s.reads
	s.run(time.Minute)
	assert.Equal(t, s.reads, reads)
}

// Guards against a candidate that notices a renewal late and so takes over late, and
// against one that reads the row all the time although renewals come at their interval.
// The renewals drift against the candidate's clock in both directions.
func TestPollIntervalBoundsTheTakeover(t *testing.T) {
	const renewal = 4 * time.Second / 3
	for _, drift := range []float64{0.98, 1, 1.02} {
		s := newScript(t, "a", 1)
		interval := time.Duration(float64(renewal) * drift)
		other := Record{Token: 1, Term: 4 * time.Second, Holder: Owner{Daemon: "b", Incarnation: 1}}
		const renewals = 60
		for range renewals {
			s.put(other)
			s.run(interval)
			assert.Assert(t, !s.held())
		}
		assert.Check(t, float64(s.reads) < 3*renewals, "%d reads in %d renewals at a drift of %v", s.reads, renewals, drift)
		s.put(other)
		last := s.now
		s.run(10 * time.Second)
		assert.Assert(t, s.held())
		lag := s.lease.Term().TakenOverAt.Sub(last) - s.lease.cfg.takeoverAfter(s.lease.cfg.Term)
		assert.Check(t, lag >= 0 && lag <= s.lease.cfg.PollInterval, "%s after the end of the term at a drift of %v", lag, drift)
	}
}

// rowTable is a table of one row.
type rowTable struct {
	mu      sync.Mutex
	row     []byte
	version ports.Version
	calls   int
}

func (r *rowTable) Get(_ context.Context, keys ...string) ([]ports.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	if r.version == 0 {
		return nil, nil
	}
	return []ports.Row{{Key: keys[0], Value: r.row, Version: r.version}}, nil
}

func (r *rowTable) Scan(context.Context, string, string, int, ports.Version) ([]ports.Row, error) {
	return nil, errors.New("not used")
}

func (r *rowTable) Commit(_ context.Context, writes ...ports.Write) (ports.Version, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	if writes[0].Expect != r.version {
		return 0, &ports.ConflictError{Keys: []string{writes[0].Key}}
	}
	r.row, r.version = writes[0].Value, r.version+1
	return r.version, nil
}

// Guards against a holder that passes an action after its VM was suspended for longer
// than its term: the clock of its timers stood still, and the wall clock was set back
// meanwhile. Also guards against one that ends its term at a step of the wall clock.
func TestBootClockEndsTheTermOfASuspendedHolder(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		started := time.Now()
		var mu sync.Mutex
		var suspended time.Duration
		clock := BootClock(func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return time.Since(started) + suspended
		})
		table := &rowTable{}
		h := NewHolderWithClock(table, Config{Name: "x", Owner: Owner{Daemon: "a"}, Term: 4 * time.Second}, rand.New(rand.NewPCG(1, 2)), Hooks{}, clock)
		done := make(chan error, 1)
		go func() { done <- h.Run(ctx) }()
		time.Sleep(10 * time.Second)
		guard, err := h.Guard(clock())
		assert.NilError(t, err)
		synctest.Wait()
		mu.Lock()
		suspended = 3 * time.Second
		mu.Unlock()
		assert.ErrorIs(t, guard.Check(clock()), ErrNotHeld)
		_, err = h.Guard(clock())
		assert.ErrorIs(t, err, ErrNotHeld)
		time.Sleep(3 * time.Second)
		assert.Assert(t, h.Held(clock()))
		assert.ErrorIs(t, guard.Check(clock()), ErrNotHeld)

		h.Compete(false)
		time.Sleep(10 * time.Second)
		assert.Assert(t, h.Held(clock()))
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
		assert.Assert(t, !h.Held(clock()))
		record, err := decode(ports.Row{Value: table.row})
		assert.NilError(t, err)
		assert.Equal(t, record.Holder, Owner{})
	})
}
