package exchange

import (
	"errors"
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20260")
		_ = flag.Set("rapid.checks", "2000")
	}
	os.Exit(m.Run())
}

// worldAttempt is what really happens to one attempt.
type worldAttempt struct {
	id      domain.AttemptID
	skip    int // tokens of the answer before this attempt's first
	conn    int
	next    int // next event to generate
	heard   int // highest delivered index of its own, plus one
	heardIn int // events accepted while live
	knownNo bool
	probing bool
	probed  time.Time
	alive   bool // an event arrived since the probe
	over    bool
	cancels int
	ends    int
	result  Result
}

// world feeds an Exchange random events and checks every action against what
// really happened.
type world struct {
	t          *rapid.T
	e          *Exchange
	now        time.Time
	total      int
	repeatable bool
	attempts   []*worldAttempt
	text       strings.Builder
	tokens     int
	waste      int
	lateTokens int
	lied       bool
	picking    bool
	waiting    bool
	timer      time.Time
	done       *Action
}

var answerWords = strings.Fields("the tide turns at noon and the wind drops near shore so meet by board racks early")

// event i of an attempt carries one token; the last one carries none.
func (w *world) event(a *worldAttempt, i int) *ports.Event {
	n := w.total - a.skip
	ev := &ports.Event{Attempt: a.id, Index: i}
	if i >= n {
		ev.Index = n
		ev.Final = true
		ev.CompletionTokens = n
		return ev
	}
	ev.Tokens = 1
	ev.Text = answerWords[(a.skip+i)%len(answerWords)] + " "
	return ev
}

func (w *world) whole() string {
	var b strings.Builder
	for i := range w.total {
		b.WriteString(answerWords[i%len(answerWords)] + " ")
	}
	return b.String()
}

func (w *world) apply(actions []Action) {
	for i := range actions {
		a := actions[i]
		if w.done != nil && a.Kind != ActionWaste {
			w.t.Fatalf("action %d after the end", a.Kind)
		}
		w.applyOne(&a)
	}
}

func (w *world) applyOne(a *Action) {
	switch a.Kind {
	case ActionStart:
		w.started(a)
	case ActionReconnect:
		at := w.attempts[a.Attempt]
		at.conn = a.Conn
		if a.Last+1 != at.heardIn {
			w.t.Fatalf("resumed behind %d after %d events", a.Last, at.heardIn)
		}
	case ActionCancel:
		w.attempts[a.Attempt].cancels++
	case ActionProbe:
		at := w.attempts[a.Attempt]
		at.probing, at.probed, at.alive = true, w.now, false
	case ActionPick:
		w.picking = true
	case ActionEmit:
		w.text.WriteString(a.Event.Text)
		w.tokens += a.Event.Tokens
		if !strings.HasPrefix(w.whole(), w.text.String()) {
			w.t.Fatalf("I3: caller got %q", w.text.String())
		}
	case ActionAttemptEnded:
		at := w.attempts[a.Attempt]
		at.over = true
		at.ends++
		at.result = a.Result
	case ActionWaste:
		w.waste += a.Tokens
	case ActionReadmit:
		w.waiting = true
	case ActionTimer:
		w.timer = a.At
	case ActionComplete, ActionFail:
		end := *a
		w.done = &end
	}
}

func (w *world) started(a *Action) {
	if !w.repeatable {
		for _, at := range w.attempts {
			if !at.knownNo {
				w.t.Fatalf("I5: a second attempt follows one that may have run")
			}
		}
	}
	for _, at := range w.attempts {
		if !at.over && a.Purpose != PurposeHedge {
			w.t.Fatalf("attempt for purpose %d beside a live one", a.Purpose)
		}
	}
	if a.Skip != w.tokens || a.Suffix != w.text.String() {
		w.t.Fatalf("attempt continues behind %d tokens %q, caller has %d", a.Skip, a.Suffix, w.tokens)
	}
	w.attempts = append(w.attempts, &worldAttempt{id: a.ID, skip: a.Skip})
}

func (w *world) pickAttempt() *worldAttempt {
	if len(w.attempts) == 0 {
		w.t.Skip("no attempt")
	}
	return w.attempts[rapid.IntRange(0, len(w.attempts)-1).Draw(w.t, "attempt")]
}

func (w *world) number(a *worldAttempt) int {
	for i := range w.attempts {
		if w.attempts[i] == a {
			return i
		}
	}
	return -1
}

// deliver hands event i of an attempt to the Exchange and accounts for it.
func (w *world) deliver(a *worldAttempt, i int) {
	if a.knownNo {
		return
	}
	ev := w.event(a, i)
	switch {
	case a.over && ev.Index >= a.heard:
		if a.result != ResultFinished {
			w.lateTokens += ev.Tokens
		}
		a.heard = ev.Index + 1
	case !a.over && ev.Index == a.heardIn:
		a.heardIn++
		a.heard = a.heardIn
		a.alive = w.now.After(a.probed)
	}
	w.apply(w.e.Event(w.now, w.number(a), a.conn, ev))
	if ev.Index == a.next {
		a.next++
	}
}

var connErrors = []error{
	ports.ErrNotSent, ports.ErrRefused, ports.ErrStreamBroken,
	ports.ErrStreamGone, ports.ErrMismatch, errors.New("connection reset"),
}

func (w *world) steps() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"next":  func(*rapid.T) { a := w.pickAttempt(); w.deliver(a, a.next) },
		"next2": func(*rapid.T) { a := w.attempts[len(w.attempts)-1]; w.deliver(a, a.next) },
		"duplicate": func(t *rapid.T) {
			a := w.pickAttempt()
			w.deliver(a, rapid.IntRange(0, a.next).Draw(t, "index"))
		},
		"gap": func(*rapid.T) { a := w.pickAttempt(); w.deliver(a, a.next+2) },
		"crossed": func(t *rapid.T) {
			a, b := w.pickAttempt(), w.pickAttempt()
			ev := w.event(b, b.next)
			ev.Text = "stranger "
			if a == b || rapid.Bool().Draw(t, "foreign") {
				ev.Attempt = "other.0"
			}
			w.apply(w.e.Event(w.now, w.number(a), a.conn, ev))
		},
		"wrong count": func(t *rapid.T) {
			a := w.pickAttempt()
			if rapid.IntRange(0, 9).Draw(t, "rare") > 0 || a.knownNo || a.over || a.heardIn == w.total-a.skip {
				t.Skip("rare")
			}
			ev := w.event(a, a.heardIn)
			ev.Final = true
			ev.CompletionTokens = a.heardIn + 2
			w.lied = true
			a.heardIn++
			a.heard = a.heardIn
			w.tokens += ev.Tokens // computed, though not passed on
			w.apply(w.e.Event(w.now, w.number(a), a.conn, ev))
		},
		"fail": func(t *rapid.T) {
			a := w.pickAttempt()
			w.fail(a, rapid.SampledFrom(connErrors).Draw(t, "error"), rapid.Bool().Draw(t, "stale"))
		},
		"tick": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			w.apply(w.e.Tick(w.now))
		},
		"timer":    func(*rapid.T) { w.fire() },
		"probed":   func(t *rapid.T) { w.probed(rapid.Bool().Draw(t, "answers")) },
		"picked":   func(t *rapid.T) { w.picked(rapid.IntRange(0, 3).Draw(t, "found") > 0) },
		"admitted": func(*rapid.T) { w.admit() },
		"preempt": func(t *rapid.T) {
			if rapid.IntRange(0, 4).Draw(t, "rare") == 0 {
				w.apply(w.e.Preempted(w.now))
			}
		},
		"drain": func(t *rapid.T) {
			w.apply(w.e.Draining(w.now, "u", w.now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "s"))*time.Second)))
		},
		"caller gone": func(t *rapid.T) {
			if rapid.IntRange(0, 19).Draw(t, "rare") == 0 {
				w.apply(w.e.CallerDisconnected(w.now))
			}
		},
		"": func(*rapid.T) { w.check() },
	}
}

func (w *world) fail(a *worldAttempt, err error, stale bool) {
	conn := a.conn
	if stale {
		conn--
	}
	if conn == 0 && !stale && a.heard == 0 && !a.over && (errors.Is(err, ports.ErrNotSent) || errors.Is(err, ports.ErrRefused)) {
		a.knownNo = true
	}
	actions := w.e.Failed(w.now, w.number(a), conn, err)
	if stale && len(actions) > 0 && actions[0].Kind != ActionTimer {
		w.t.Fatalf("failure of an old connection had effect")
	}
	w.apply(actions)
}

func (w *world) fire() {
	if w.timer.After(w.now) {
		w.now = w.timer
	}
	w.apply(w.e.Tick(w.now))
}

func (w *world) probed(answers bool) {
	for i, a := range w.attempts {
		if a.probing {
			a.probing = false
			err := ports.ErrNotSent
			if answers {
				err = nil
			}
			actions := w.e.Probed(w.now, i, err)
			if a.alive && len(actions) > 0 && actions[0].Kind != ActionTimer {
				w.t.Fatalf("a stream with progress was taken for silent")
			}
			w.apply(actions)
		}
	}
}

func (w *world) picked(found bool) {
	if !w.picking {
		return
	}
	w.picking = false
	if found {
		w.apply(w.e.Picked(w.now, "u"))
		return
	}
	w.apply(w.e.NotPicked(w.now))
}

func (w *world) admit() {
	if w.waiting {
		w.waiting = false
		w.apply(w.e.Admitted(w.now, "u"))
	}
}

// check compares the end of the request with what happened.
func (w *world) check() {
	if w.done == nil {
		return
	}
	late := w.lateTokens
	if w.done.Kind == ActionComplete {
		if w.text.String() != w.whole() || w.done.Tokens != w.total || w.lied {
			w.t.Fatalf("I3: completed with %q", w.text.String())
		}
	} else {
		late += w.tokens
	}
	if w.waste != late {
		w.t.Fatalf("waste is %d tokens, want %d", w.waste, late)
	}
	for i, a := range w.attempts {
		if a.ends != 1 {
			w.t.Fatalf("attempt %d ended %d times", i, a.ends)
		}
		abandoned := a.result != ResultFinished && !a.knownNo
		if abandoned && a.cancels != 1 {
			w.t.Fatalf("attempt %d ended with %d and was cancelled %d times", i, a.result, a.cancels)
		}
		if w.done.Outcome == domain.OutcomeNotRun && !a.knownNo {
			w.t.Fatalf("I4: told not-run although attempt %d may have run", i)
		}
	}
}

// terminate answers everything with failure: the request has to end.
func (w *world) terminate() {
	probes := rapid.Bool().Draw(w.t, "probes report")
	for range 200 {
		if w.done != nil {
			return
		}
		if w.waiting {
			w.apply(w.e.NotReadmitted(w.now, nil))
			continue
		}
		w.picked(false)
		if probes {
			w.probed(false)
		}
		w.fire()
		for _, a := range w.attempts {
			if w.done == nil && !w.e.cfg.Reconnectable {
				w.fail(a, ports.ErrStreamBroken, false)
			}
		}
	}
	w.t.Fatalf("request did not end")
}

// TestExchangeProperties guards against repeated, missing or foreign tokens
// (I3), a wrong not-run (I4), a second run of work that must not be repeated
// (I5), waste that is counted twice or not at all, attempts that are not
// cancelled, and requests that never end, under random orders of events.
func TestExchangeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		repeatable := rapid.Bool().Draw(t, "repeatable")
		cfg := Config{
			Request:       "r",
			Repeatable:    repeatable,
			Reconnectable: rapid.Bool().Draw(t, "resumable"),
			HedgeDelay:    time.Duration(rapid.IntRange(0, 2).Draw(t, "hedge")) * time.Second,
		}
		start := time.Unix(1_000_000, 0)
		if s := rapid.IntRange(0, 60).Draw(t, "deadline"); s > 30 {
			cfg.Deadline = start.Add(time.Duration(s) * time.Second)
		}
		w := &world{
			t:          t,
			e:          New(cfg, NewBudget(DefaultRetryRatio, float64(rapid.IntRange(0, 10).Draw(t, "floor")), 0)),
			now:        start,
			total:      rapid.IntRange(0, 12).Draw(t, "total"),
			repeatable: repeatable,
			waiting:    true,
		}
		w.admit()
		t.Repeat(w.steps())
		w.terminate()
		w.check()
	})
}

// TestHedgeOutlivesFirstAttempt guards against a third attempt while the
// hedge still runs after the first attempt broke.
func TestHedgeOutlivesFirstAttempt(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	e := New(Config{Request: "r", Repeatable: true, HedgeDelay: time.Second}, nil)
	e.Admitted(now, "a")
	e.Tick(now.Add(time.Second))
	e.Picked(now.Add(time.Second), "b")
	for _, action := range e.Failed(now.Add(2*time.Second), 0, 0, ports.ErrStreamBroken) {
		if action.Kind == ActionPick {
			t.Fatal("asked for a third upstream while the hedge runs")
		}
	}
	actions := e.Failed(now.Add(3*time.Second), 1, 0, ports.ErrStreamBroken)
	if last := actions[len(actions)-1]; last.Kind != ActionPick {
		t.Fatalf("got action %d after both failed, want ActionPick", last.Kind)
	}
}
