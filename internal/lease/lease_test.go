package lease

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AUBURNDYKE_TEST_SEED"), "1")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const tickStep = 50 * time.Millisecond

// daemon is a candidate with its own clock.
type daemon struct {
	lease       *Lease
	clockRate   float64 // clock seconds per simulated second
	pausedUntil time.Duration
	inbox       []Event
}

// simulation runs daemons against one lease row in simulated time.
type simulation struct {
	t            *rapid.T
	now          time.Duration
	row          *Record
	version      ports.Version
	daemons      []*daemon
	scheduled    []scheduledFunc
	injectFaults bool
	tokens       []domain.FencingToken
	overlap      bool
}

type scheduledFunc struct {
	at time.Duration
	do func()
}

func newSimulation(t *rapid.T, rates ...float64) *simulation {
	s := &simulation{t: t}
	for i, rate := range rates {
		cfg := Config{Name: "x", Owner: Owner{Daemon: domain.DaemonID(fmt.Sprint(i)), Incarnation: 1}}
		s.daemons = append(s.daemons, &daemon{lease: New(cfg, rand.New(rand.NewPCG(1, uint64(i)))), clockRate: rate})
	}
	return s
}

func (s *simulation) clock(d *daemon) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(s.now) * d.clockRate))
}

func (s *simulation) held(d *daemon) bool {
	return d.lease.Term().Held(s.clock(d))
}

// call schedules the effect of a call and the delivery of its result, with the
// drawn fault. failure is the result of a call that failed.
func (s *simulation) call(d *daemon, effect func() Event, failure Event) {
	fault := 9
	if s.injectFaults {
		fault = rapid.IntRange(0, 9).Draw(s.t, "fault")
	}
	deliver := func(e Event) { d.inbox = append(d.inbox, e) }
	schedule := func(after time.Duration, do func()) {
		s.scheduled = append(s.scheduled, scheduledFunc{s.now + after, do})
	}
	switch fault {
	case 0: // refused without effect
		schedule(tickStep, func() { deliver(failure) })
	case 1: // takes effect, but its result is lost
		schedule(tickStep, func() { effect(); deliver(unknownOutcome(failure)) })
	case 2: // takes effect after its result is given up as lost
		schedule(tickStep, func() { deliver(unknownOutcome(failure)) })
		schedule(3*time.Second, func() { effect() })
	case 3: // slow
		schedule(time.Second, func() { e := effect(); schedule(time.Second, func() { deliver(e) }) })
	default:
		schedule(tickStep, func() { e := effect(); schedule(tickStep, func() { deliver(e) }) })
	}
}

func unknownOutcome(e Event) Event {
	if _, ok := e.(Committed); ok {
		return Committed{Err: ports.ErrUnknownOutcome}
	}
	return e
}

func (s *simulation) run(d *daemon, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case ReadRow:
			s.call(d, func() Event {
				if s.row == nil {
					return RowRead{}
				}
				row := *s.row
				return RowRead{Record: &row, Version: s.version}
			}, RowRead{Err: ports.ErrUnavailable})
		case CommitRow:
			s.call(d, func() Event { return s.commit(a.Write) }, Committed{Err: ports.ErrUnavailable})
		case Acquired:
			s.tokens = append(s.tokens, a.Token)
		}
	}
}

func (s *simulation) commit(write ports.Write) Event {
	if write.Expect != s.version {
		return Committed{Err: &ports.ConflictError{Keys: []string{write.Key}}}
	}
	row, err := decode(ports.Row{Value: write.Value})
	if err != nil {
		return Committed{Err: err}
	}
	s.row = &row
	s.version++
	return Committed{Version: s.version}
}

func (s *simulation) step() {
	s.now += tickStep
	due := s.scheduled
	s.scheduled = nil
	for _, l := range due {
		if l.at <= s.now {
			l.do()
		} else {
			s.scheduled = append(s.scheduled, l)
		}
	}
	for _, d := range s.daemons {
		if s.now < d.pausedUntil {
			continue
		}
		events := append(d.inbox, Tick{})
		d.inbox = nil
		for _, e := range events {
			s.run(d, d.lease.Step(s.clock(d), e))
		}
	}
	holders := 0
	for _, d := range s.daemons {
		if s.held(d) {
			holders++
		}
	}
	s.overlap = s.overlap || holders > 1
}

// Guards against two holders at once, a fencing token that does not increase,
// and a lease that nobody holds after the faults have ended. The clocks drift by
// 1%, daemons pause for longer than the term, and calls to the table are refused,
// slow, lose their result or take effect late.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 0.99, 1, 1.01)
		s.injectFaults = true
		for range 1200 { // one minute
			if rapid.IntRange(0, 199).Draw(t, "pause") == 0 {
				d := s.daemons[rapid.IntRange(0, 2).Draw(t, "who")]
				d.pausedUntil = s.now + time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds"))*time.Second
			}
			s.step()
			if s.overlap {
				t.Fatalf("two holders at %v", s.now)
			}
		}
		s.injectFaults = false
		held := false
		for range 2400 {
			s.step()
			held = held || s.held(s.daemons[0]) || s.held(s.daemons[1]) || s.held(s.daemons[2])
		}
		if s.overlap || !held {
			t.Fatalf("overlap %v, held after the faults %v", s.overlap, held)
		}
		if !slices.IsSorted(s.tokens) || len(slices.Compact(slices.Clone(s.tokens))) != len(s.tokens) {
			t.Fatalf("fencing tokens do not increase: %v", s.tokens)
		}
	})
}

// overlapAtTakeover returns how long two holders overlap when a holder whose clock
// runs 1% slow cannot reach the table and a candidate whose clock runs 1% fast
// takes the lease over. It is negative when they do not overlap.
func overlapAtTakeover(cfg Config) time.Duration {
	cfg = cfg.withDefaults()
	holderStops := time.Duration(float64(cfg.validFor()) / 0.99)
	candidateStarts := time.Duration(float64(cfg.takeoverAfter(cfg.Term)) / 1.01)
	return holderStops - candidateStarts
}

// Guards against two holders at once when the holder's clock runs 1% slow and
// the candidate's 1% fast: without an allowance for drift their terms overlap,
// and with it they don't, even at a margin of nearly zero.
func TestClockDriftAllowancePreventsOverlap(t *testing.T) {
	assert.Assert(t, overlapAtTakeover(Config{MaxClockDrift: 1e-9, Margin: 1}) > 0)
	assert.Assert(t, overlapAtTakeover(Config{}) < 0)
	assert.Assert(t, overlapAtTakeover(Config{Margin: 1}) < 0)
}

// Guards against acting after a pause longer than the term, also when the
// monotonic clock stopped during the pause, and against a guard that stays valid
// after its term, even when the daemon has acquired the lease again.
func TestNotHeldAfterPause(t *testing.T) {
	start := time.Now()
	term := Term{Token: 3, RenewedAt: start, ValidFor: 10 * time.Second}
	assert.Assert(t, term.Held(start.Add(9*time.Second)))
	assert.Assert(t, !term.Held(start.Add(11*time.Second)))
	// Only the wall clock has advanced.
	suspended := start.Round(0).Add(11 * time.Second)
	assert.Assert(t, !term.Held(suspended))

	h := NewHolder(nil, Config{Name: "x"}, rand.New(rand.NewPCG(1, 1)), Hooks{})
	_, err := h.Guard(start)
	assert.ErrorIs(t, err, ErrNotHeld)
	h.term.Store(&term)
	g, err := h.Guard(start)
	assert.NilError(t, err)
	assert.NilError(t, g.Check(start.Add(time.Second)))
	assert.ErrorIs(t, g.Check(start.Add(time.Minute)), ErrNotHeld)
	h.term.Store(&Term{Token: 4, RenewedAt: start.Add(time.Minute), ValidFor: 10 * time.Second})
	assert.ErrorIs(t, g.Check(start.Add(time.Minute)), ErrNotHeld)
}
