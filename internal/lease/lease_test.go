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

// daemon is one candidate with its own clock.
type daemon struct {
	core   *Lease
	rate   float64 // of its clock
	paused time.Duration
	inbox  []Event
}

// world runs daemons against one lease row in simulated time.
type world struct {
	t       *rapid.T
	now     time.Duration
	row     *Record
	version ports.Version
	daemons []*daemon
	later   []delayed
	faulty  bool
	tokens  []domain.FencingToken
	overlap bool
}

type delayed struct {
	at time.Duration
	do func()
}

func newWorld(t *rapid.T, rates ...float64) *world {
	w := &world{t: t}
	for i, rate := range rates {
		cfg := Config{Name: "x", Owner: Owner{Daemon: domain.DaemonID(fmt.Sprint(i)), Incarnation: 1}}
		w.daemons = append(w.daemons, &daemon{core: New(cfg, rand.New(rand.NewPCG(1, uint64(i)))), rate: rate})
	}
	return w
}

func (w *world) clock(d *daemon) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(w.now) * d.rate))
}

func (w *world) held(d *daemon) bool {
	return d.core.Term().Held(w.clock(d))
}

// call delivers an answer after a time; the call takes effect in between.
func (w *world) call(d *daemon, effect func() Event, lost Event) {
	fault := 9
	if w.faulty {
		fault = rapid.IntRange(0, 9).Draw(w.t, "fault")
	}
	deliver := func(e Event) { d.inbox = append(d.inbox, e) }
	at := func(after time.Duration, do func()) { w.later = append(w.later, delayed{w.now + after, do}) }
	switch fault {
	case 0: // refused
		at(tickStep, func() { deliver(lost) })
	case 1: // answer lost after the effect
		at(tickStep, func() { effect(); deliver(unknown(lost)) })
	case 2: // effect after the answer
		at(tickStep, func() { deliver(unknown(lost)) })
		at(3*time.Second, func() { effect() })
	case 3: // slow
		at(time.Second, func() { e := effect(); at(time.Second, func() { deliver(e) }) })
	default:
		at(tickStep, func() { e := effect(); at(tickStep, func() { deliver(e) }) })
	}
}

func unknown(e Event) Event {
	if _, ok := e.(Committed); ok {
		return Committed{Err: ports.ErrUnknownOutcome}
	}
	return e
}

func (w *world) run(d *daemon, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case ReadRow:
			w.call(d, func() Event {
				if w.row == nil {
					return RowRead{}
				}
				row := *w.row
				return RowRead{Record: &row, Version: w.version}
			}, RowRead{Err: ports.ErrUnavailable})
		case CommitRow:
			w.call(d, func() Event { return w.commit(a.Write) }, Committed{Err: ports.ErrUnavailable})
		case Acquired:
			w.tokens = append(w.tokens, a.Token)
		}
	}
}

func (w *world) commit(write ports.Write) Event {
	if write.Expect != w.version {
		return Committed{Err: &ports.ConflictError{Keys: []string{write.Key}}}
	}
	row, err := decode(ports.Row{Value: write.Value})
	if err != nil {
		return Committed{Err: err}
	}
	w.row = &row
	w.version++
	return Committed{Version: w.version}
}

func (w *world) step() {
	w.now += tickStep
	due := w.later
	w.later = nil
	for _, l := range due {
		if l.at <= w.now {
			l.do()
		} else {
			w.later = append(w.later, l)
		}
	}
	for _, d := range w.daemons {
		if w.now < d.paused {
			continue
		}
		events := append(d.inbox, Tick{})
		d.inbox = nil
		for _, e := range events {
			w.run(d, d.core.Step(w.clock(d), e))
		}
	}
	holders := 0
	for _, d := range w.daemons {
		if w.held(d) {
			holders++
		}
	}
	w.overlap = w.overlap || holders > 1
}

// Guards against two holders at once, a token that does not grow and a lease
// that nobody holds after the faults have ended, with clocks that differ by
// 1%, pauses past the lease and lost, late and slow answers.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 0.99, 1, 1.01)
		w.faulty = true
		for range 1200 { // one minute
			if rapid.IntRange(0, 199).Draw(t, "pause") == 0 {
				d := w.daemons[rapid.IntRange(0, 2).Draw(t, "who")]
				d.paused = w.now + time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds"))*time.Second
			}
			w.step()
			if w.overlap {
				t.Fatalf("two holders at %v", w.now)
			}
		}
		w.faulty = false
		held := false
		for range 2400 {
			w.step()
			held = held || w.held(w.daemons[0]) || w.held(w.daemons[1]) || w.held(w.daemons[2])
		}
		if w.overlap || !held {
			t.Fatalf("overlap %v, held after the faults %v", w.overlap, held)
		}
		if !slices.IsSorted(w.tokens) || len(slices.Compact(slices.Clone(w.tokens))) != len(w.tokens) {
			t.Fatalf("tokens do not grow: %v", w.tokens)
		}
	})
}

// takeover returns how long two holders overlap when a holder with a slow
// clock loses the table and a candidate with a fast clock takes over.
func takeover(cfg Config) time.Duration {
	cfg = cfg.withDefaults()
	holderStops := time.Duration(float64(cfg.validFor()) / 0.99)
	candidateStarts := time.Duration(float64(cfg.takeoverAfter(cfg.Term)) / 1.01)
	return holderStops - candidateStarts
}

// Shows the fault that the safety margin removes: without it, clocks that
// differ by 1% give two holders.
func TestMarginCoversClockError(t *testing.T) {
	assert.Assert(t, takeover(Config{MaxClockDrift: 1e-9, Margin: 1}) > 0)
	assert.Assert(t, takeover(Config{}) < 0)
	assert.Assert(t, takeover(Config{Margin: 1}) < 0)
}

// Guards against action after a pause past the lease, also where the
// monotonic clock stood still, and against a guard that outlives its term.
func TestHeldAfterPause(t *testing.T) {
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
