package claims

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/auburndyke/auburndyke/internal/ports"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AUBURNDYKE_TEST_SEED"), "1")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// actor is one call of a caller to a daemon.
type actor struct {
	owner   Owner
	request Request
	claim   *Claim
	settle  *Settlement
	event   ClaimEvent
	grant   *Grant
	done    bool
}

// claimWorld runs calls with one key against one row.
type claimWorld struct {
	t       *rapid.T
	now     time.Time
	row     *Record
	version ports.Version
	rows    ports.Version // versions given out
	current [2]Owner      // the running incarnation of each daemon
	gone    map[Owner]bool
	crashed map[Owner]bool
	late    []ports.Write
	actors  []*actor
	calls   int
	lastRun time.Time
}

func (w *claimWorld) isGone(o Owner) bool { return w.gone[o] }

func (w *claimWorld) newActor() {
	n := w.calls
	w.calls++
	owner := w.current[rapid.IntRange(0, 1).Draw(w.t, "owner")]
	request := Request{
		Key: Key{"c", "k"}, Digest: "d", Call: fmt.Sprint(n),
		WaitOutage: rapid.Bool().Draw(w.t, "wait"), Reserve: rapid.Bool().Draw(w.t, "reserve"),
	}
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	w.actors = append(w.actors, &actor{
		owner: owner, request: request, event: Started{},
		claim: NewClaim(request, owner, w.isGone, Limits{}, rng),
	})
}

func (w *claimWorld) apply(write ports.Write) error {
	if write.Expect != w.version {
		return &ports.ConflictError{Keys: []string{write.Key}}
	}
	w.rows++
	w.version = w.rows
	if write.Delete {
		w.row, w.version = nil, 0
		return nil
	}
	record, err := decode(ports.Row{Value: write.Value})
	w.row = &record
	return err
}

// commit applies a write with a random fault.
func (w *claimWorld) commit(write ports.Write) Committed {
	switch rapid.IntRange(0, 9).Draw(w.t, "fault") {
	case 7:
		return Committed{Err: ports.ErrUnavailable}
	case 8:
		_ = w.apply(write)
		return Committed{Err: ports.ErrUnknownOutcome}
	case 9:
		w.late = append(w.late, write)
		return Committed{Err: ports.ErrUnknownOutcome}
	}
	err := w.apply(write)
	return Committed{Version: w.version, Err: err}
}

func (w *claimWorld) read() RowRead {
	if rapid.IntRange(0, 9).Draw(w.t, "fault") == 9 {
		return RowRead{Err: ports.ErrUnavailable}
	}
	if w.row == nil {
		return RowRead{}
	}
	record := *w.row
	return RowRead{Record: &record, Version: w.version}
}

func (w *claimWorld) step(a *actor) {
	if a.grant != nil && a.settle == nil {
		w.dispatch(a)
		return
	}
	var action ClaimAction
	if a.settle != nil {
		action = a.settle.Step(w.now, a.event)
	} else {
		action = a.claim.Step(w.now, a.event)
	}
	switch x := action.(type) {
	case ReadRow:
		a.event = w.read()
	case CommitRow:
		a.event = w.commit(x.Write)
	case Pause:
		a.event = Elapsed{}
	case Settled:
		a.done = true
	case Decided:
		w.decided(a, x.Decision)
	}
}

func (w *claimWorld) decided(a *actor, d Decision) {
	a.grant = d.Grant
	a.event = Started{}
	if d.Verdict != Granted {
		a.done = !d.fence
		a.settle = newFence(a.request, a.owner, a.claim.rng)
		a.settle.expireAt(w.now.Add(24 * time.Hour))
	}
}

// dispatch runs a granted call, as a daemon does that may have been paused.
func (w *claimWorld) dispatch(a *actor) {
	if a.request.Reserve && !a.grant.record.Dispatched {
		record := a.grant.record
		record.Dispatched = true
		if c := w.commit(ports.Write{Value: encode(record), Expect: a.grant.version}); c.Err == nil {
			a.grant.record, a.grant.version, a.grant.claimed = record, c.Version, w.now
			return
		}
	}
	state := StateNotRun
	if a.grant.MayDispatch(w.now) {
		if !w.lastRun.IsZero() && w.now.Sub(w.lastRun) < 23*time.Hour {
			w.t.Fatalf("call ran twice: %v and %v", w.lastRun, w.now)
		}
		w.lastRun = w.now
		state = StateRan
	}
	a.settle = newSettlement(a.grant, state, nil, Limits{}.withDefaults(), a.claim.rng)
	a.settle.expireAt(w.now.Add(24 * time.Hour))
}

func (w *claimWorld) sweep() {
	if w.row == nil {
		return
	}
	writes, _ := sweep(w.now, []ports.Row{{Value: encode(*w.row), Version: w.version}}, w.isGone, Limits{}.withDefaults())
	for _, write := range writes {
		_ = w.apply(write)
	}
}

// Guards against a second run within the retention in any interleaving of
// calls, faults, delayed writes, crashes, pauses, false reports that a daemon
// is gone, sweeps and hours that pass between any two steps (I5).
func TestAtMostOnceInAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &claimWorld{t: t, now: time.Unix(1_000_000, 0), gone: map[Owner]bool{}, crashed: map[Owner]bool{}}
		w.current = [2]Owner{{"a", 1}, {"b", 1}}
		w.newActor()
		for range 200 {
			w.now = w.now.Add(time.Millisecond)
			w.event(rapid.SampledFrom(events).Draw(t, "event"))
		}
	})
}

// events holds what may happen at each step, as often as it should.
var events = slices.Concat(
	slices.Repeat([]string{"step"}, 20),
	slices.Repeat([]string{"call"}, 3),
	[]string{"pause", "pause", "crash", "hours", "sweep", "late"})

func (w *claimWorld) event(name string) {
	w.actors = slices.DeleteFunc(w.actors, func(a *actor) bool { return a.done || w.crashed[a.owner] })
	switch name {
	case "call":
		if len(w.actors) < 4 {
			w.newActor()
		}
	case "step":
		if len(w.actors) > 0 {
			w.step(rapid.SampledFrom(w.actors).Draw(w.t, "actor"))
		}
	case "pause", "crash":
		w.restart(name == "crash")
	case "hours":
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(w.t, "hours")) * time.Hour)
	case "sweep":
		w.sweep()
	case "late":
		for _, write := range w.late {
			_ = w.apply(write)
		}
		w.late = nil
	}
}

// restart starts another incarnation of a daemon. The earlier one is held to
// be gone; unless it crashed, its calls go on.
func (w *claimWorld) restart(crashed bool) {
	owner := &w.current[rapid.IntRange(0, 1).Draw(w.t, "who")]
	w.gone[*owner], w.crashed[*owner] = true, crashed
	owner.Incarnation++
}
