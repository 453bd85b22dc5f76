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

// attemptModel is what really happens to one attempt.
type attemptModel struct {
	id          domain.AttemptID
	skip        int // tokens of the answer before this attempt's first
	conn        int
	next        int // next event to generate
	delivered   int // highest delivered index of its own, plus one
	accepted    int // events accepted while live
	knownNotRun bool
	probing     bool
	probedAt    time.Time
	progressed  bool // an event arrived since the probe
	ended       bool
	cancels     int
	ends        int
	result      Result
}

// harness feeds an Exchange random events and checks every action against what
// really happened.
type harness struct {
	t                 *rapid.T
	e                 *Exchange
	now               time.Time
	total             int
	repeatable        bool
	attempts          []*attemptModel
	text              strings.Builder
	tokens            int
	waste             int
	lateTokens        int
	miscounted        bool
	picking           bool
	awaitingAdmission bool
	timer             time.Time
	end               *Action
}

var responseWords = strings.Fields("the tide turns at noon and the wind drops near shore so meet by board racks early")

// event i of an attempt carries one token; the last one carries none.
func (w *harness) event(a *attemptModel, i int) *ports.Event {
	n := w.total - a.skip
	ev := &ports.Event{Attempt: a.id, Index: i}
	if i >= n {
		ev.Index = n
		ev.Final = true
		ev.CompletionTokens = n
		return ev
	}
	ev.Tokens = 1
	ev.Text = responseWords[(a.skip+i)%len(responseWords)] + " "
	return ev
}

func (w *harness) fullText() string {
	var b strings.Builder
	for i := range w.total {
		b.WriteString(responseWords[i%len(responseWords)] + " ")
	}
	return b.String()
}

func (w *harness) apply(actions []Action) {
	for i := range actions {
		a := actions[i]
		if w.end != nil && a.Kind != ActionWaste {
			w.t.Fatalf("action %d after the end", a.Kind)
		}
		w.applyOne(&a)
	}
}

func (w *harness) applyOne(a *Action) {
	switch a.Kind {
	case ActionStart:
		w.started(a)
	case ActionReconnect:
		at := w.attempts[a.Attempt]
		at.conn = a.Conn
		if a.Last+1 != at.accepted {
			w.t.Fatalf("resumed behind %d after %d events", a.Last, at.accepted)
		}
	case ActionCancel:
		w.attempts[a.Attempt].cancels++
	case ActionProbe:
		at := w.attempts[a.Attempt]
		at.probing, at.probedAt, at.progressed = true, w.now, false
	case ActionPick:
		w.picking = true
	case ActionEmit:
		w.text.WriteString(a.Event.Text)
		w.tokens += a.Event.Tokens
		if !strings.HasPrefix(w.fullText(), w.text.String()) {
			w.t.Fatalf("I3: caller got %q", w.text.String())
		}
	case ActionAttemptEnded:
		at := w.attempts[a.Attempt]
		at.ended = true
		at.ends++
		at.result = a.Result
	case ActionWaste:
		w.waste += a.Tokens
	case ActionReadmit:
		w.awaitingAdmission = true
	case ActionTimer:
		w.timer = a.At
	case ActionComplete, ActionFail:
		end := *a
		w.end = &end
	}
}

func (w *harness) started(a *Action) {
	if !w.repeatable {
		for _, at := range w.attempts {
			if !at.knownNotRun {
				w.t.Fatalf("I5: a second attempt follows one that may have run")
			}
		}
	}
	for _, at := range w.attempts {
		if !at.ended && a.Purpose != PurposeHedge {
			w.t.Fatalf("attempt for purpose %d beside a live one", a.Purpose)
		}
	}
	if a.Skip != w.tokens || a.Suffix != w.text.String() {
		w.t.Fatalf("attempt continues behind %d tokens %q, caller has %d", a.Skip, a.Suffix, w.tokens)
	}
	w.attempts = append(w.attempts, &attemptModel{id: a.ID, skip: a.Skip})
}

func (w *harness) drawAttempt() *attemptModel {
	if len(w.attempts) == 0 {
		w.t.Skip("no attempt")
	}
	return w.attempts[rapid.IntRange(0, len(w.attempts)-1).Draw(w.t, "attempt")]
}

func (w *harness) number(a *attemptModel) int {
	for i := range w.attempts {
		if w.attempts[i] == a {
			return i
		}
	}
	return -1
}

// deliver hands event i of an attempt to the Exchange and accounts for it.
func (w *harness) deliver(a *attemptModel, i int) {
	if a.knownNotRun {
		return
	}
	ev := w.event(a, i)
	switch {
	case a.ended && ev.Index >= a.delivered:
		if a.result != ResultFinished {
			w.lateTokens += ev.Tokens
		}
		a.delivered = ev.Index + 1
	case !a.ended && ev.Index == a.accepted:
		a.accepted++
		a.delivered = a.accepted
		a.progressed = w.now.After(a.probedAt)
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

func (w *harness) steps() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"next":  func(*rapid.T) { a := w.drawAttempt(); w.deliver(a, a.next) },
		"next2": func(*rapid.T) { a := w.attempts[len(w.attempts)-1]; w.deliver(a, a.next) },
		"duplicate": func(t *rapid.T) {
			a := w.drawAttempt()
			w.deliver(a, rapid.IntRange(0, a.next).Draw(t, "index"))
		},
		"gap": func(*rapid.T) { a := w.drawAttempt(); w.deliver(a, a.next+2) },
		"crossed": func(t *rapid.T) {
			a, b := w.drawAttempt(), w.drawAttempt()
			ev := w.event(b, b.next)
			ev.Text = "stranger "
			if a == b || rapid.Bool().Draw(t, "foreign") {
				ev.Attempt = "other.0"
			}
			w.apply(w.e.Event(w.now, w.number(a), a.conn, ev))
		},
		"wrong count": func(t *rapid.T) {
			a := w.drawAttempt()
			if rapid.IntRange(0, 9).Draw(t, "rare") > 0 || a.knownNotRun || a.ended || a.accepted == w.total-a.skip {
				t.Skip("rare")
			}
			ev := w.event(a, a.accepted)
			ev.Final = true
			ev.CompletionTokens = a.accepted + 2
			w.miscounted = true
			a.accepted++
			a.delivered = a.accepted
			w.tokens += ev.Tokens // computed, though not passed on
			w.apply(w.e.Event(w.now, w.number(a), a.conn, ev))
		},
		"fail": func(t *rapid.T) {
			a := w.drawAttempt()
			w.fail(a, rapid.SampledFrom(connErrors).Draw(t, "error"), rapid.Bool().Draw(t, "stale"))
		},
		"tick": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			w.apply(w.e.Tick(w.now))
		},
		"timer":    func(*rapid.T) { w.fireTimer() },
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

func (w *harness) fail(a *attemptModel, err error, stale bool) {
	conn := a.conn
	if stale {
		conn--
	}
	if conn == 0 && !stale && a.delivered == 0 && !a.ended && (errors.Is(err, ports.ErrNotSent) || errors.Is(err, ports.ErrRefused)) {
		a.knownNotRun = true
	}
	actions := w.e.Failed(w.now, w.number(a), conn, err)
	if stale && len(actions) > 0 && actions[0].Kind != ActionTimer {
		w.t.Fatalf("failure of an old connection had effect")
	}
	w.apply(actions)
}

func (w *harness) fireTimer() {
	if w.timer.After(w.now) {
		w.now = w.timer
	}
	w.apply(w.e.Tick(w.now))
}

func (w *harness) probed(responds bool) {
	for i, a := range w.attempts {
		if a.probing {
			a.probing = false
			err := ports.ErrNotSent
			if responds {
				err = nil
			}
			actions := w.e.Probed(w.now, i, err)
			if a.progressed && len(actions) > 0 && actions[0].Kind != ActionTimer {
				w.t.Fatalf("a stream with progress was taken for silent")
			}
			w.apply(actions)
		}
	}
}

func (w *harness) picked(found bool) {
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

func (w *harness) admit() {
	if w.awaitingAdmission {
		w.awaitingAdmission = false
		w.apply(w.e.Admitted(w.now, "u"))
	}
}

// check compares the end of the request with what happened.
func (w *harness) check() {
	if w.end == nil {
		return
	}
	late := w.lateTokens
	if w.end.Kind == ActionComplete {
		if w.text.String() != w.fullText() || w.end.Tokens != w.total || w.miscounted {
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
		abandoned := a.result != ResultFinished && !a.knownNotRun
		if abandoned && a.cancels != 1 {
			w.t.Fatalf("attempt %d ended with %d and was cancelled %d times", i, a.result, a.cancels)
		}
		if w.end.Outcome == domain.OutcomeNotRun && !a.knownNotRun {
			w.t.Fatalf("I4: told not-run although attempt %d may have run", i)
		}
	}
}

// failUntilEnd answers everything with failure: the request has to end.
func (w *harness) failUntilEnd() {
	probes := rapid.Bool().Draw(w.t, "probes report")
	for range 200 {
		if w.end != nil {
			return
		}
		if w.awaitingAdmission {
			w.apply(w.e.NotReadmitted(w.now, nil))
			continue
		}
		w.picked(false)
		if probes {
			w.probed(false)
		}
		w.fireTimer()
		for _, a := range w.attempts {
			if w.end == nil && !w.e.cfg.Reconnectable {
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
		w := &harness{
			t:                 t,
			e:                 New(cfg, NewBudget(DefaultRetryRatio, float64(rapid.IntRange(0, 10).Draw(t, "floor")), 0)),
			now:               start,
			total:             rapid.IntRange(0, 12).Draw(t, "total"),
			repeatable:        repeatable,
			awaitingAdmission: true,
		}
		w.admit()
		t.Repeat(w.steps())
		w.failUntilEnd()
		w.check()
	})
}

// TestNoThirdAttemptWhileHedgeRuns guards against a third attempt while the
// hedge still runs after the first attempt broke.
func TestNoThirdAttemptWhileHedgeRuns(t *testing.T) {
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
