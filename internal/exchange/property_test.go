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

// attemptModel is what actually happened to one attempt.
type attemptModel struct {
	id          domain.AttemptID
	skip        int // tokens of the response before this attempt's first
	conn        int
	next        int // next event to generate
	delivered   int // highest delivered event index, plus one
	accepted    int // events accepted while the attempt was running
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
// actually happened.
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

// event returns event i of an attempt. It carries one token, the final one none.
func (h *harness) event(a *attemptModel, i int) *ports.Event {
	n := h.total - a.skip
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

func (h *harness) fullText() string {
	var b strings.Builder
	for i := range h.total {
		b.WriteString(responseWords[i%len(responseWords)] + " ")
	}
	return b.String()
}

func (h *harness) apply(actions []Action) {
	for i := range actions {
		a := actions[i]
		if h.end != nil && a.Kind != ActionWaste {
			h.t.Fatalf("action %d after the end", a.Kind)
		}
		h.applyOne(&a)
	}
}

func (h *harness) applyOne(a *Action) {
	switch a.Kind {
	case ActionStart:
		h.started(a)
	case ActionReconnect:
		m := h.attempts[a.Attempt]
		m.conn = a.Conn
		if a.Last+1 != m.accepted {
			h.t.Fatalf("reconnected behind event %d after %d events", a.Last, m.accepted)
		}
	case ActionCancel:
		h.attempts[a.Attempt].cancels++
	case ActionProbe:
		m := h.attempts[a.Attempt]
		m.probing, m.probedAt, m.progressed = true, h.now, false
	case ActionPick:
		h.picking = true
	case ActionEmit:
		h.text.WriteString(a.Event.Text)
		h.tokens += a.Event.Tokens
		if !strings.HasPrefix(h.fullText(), h.text.String()) {
			h.t.Fatalf("I3: caller received %q", h.text.String())
		}
	case ActionAttemptEnded:
		m := h.attempts[a.Attempt]
		m.ended = true
		m.ends++
		m.result = a.Result
	case ActionWaste:
		h.waste += a.Tokens
	case ActionReadmit:
		h.awaitingAdmission = true
	case ActionTimer:
		h.timer = a.At
	case ActionComplete, ActionFail:
		end := *a
		h.end = &end
	}
}

func (h *harness) started(a *Action) {
	if !h.repeatable {
		for _, m := range h.attempts {
			if !m.knownNotRun {
				h.t.Fatalf("I5: started another attempt after one that may have run")
			}
		}
	}
	for _, m := range h.attempts {
		if !m.ended && a.Purpose != PurposeHedge {
			h.t.Fatalf("started an attempt for purpose %d while another one runs", a.Purpose)
		}
	}
	if a.Skip != h.tokens || a.Suffix != h.text.String() {
		h.t.Fatalf("attempt starts behind %d tokens %q, caller has %d", a.Skip, a.Suffix, h.tokens)
	}
	h.attempts = append(h.attempts, &attemptModel{id: a.ID, skip: a.Skip})
}

func (h *harness) drawAttempt() *attemptModel {
	if len(h.attempts) == 0 {
		h.t.Skip("no attempt")
	}
	return h.attempts[rapid.IntRange(0, len(h.attempts)-1).Draw(h.t, "attempt")]
}

func (h *harness) number(a *attemptModel) int {
	for i := range h.attempts {
		if h.attempts[i] == a {
			return i
		}
	}
	return -1
}

// deliver passes event i of an attempt to the Exchange and records what is
// expected of it.
func (h *harness) deliver(a *attemptModel, i int) {
	if a.knownNotRun {
		return
	}
	ev := h.event(a, i)
	switch {
	case a.ended && ev.Index >= a.delivered:
		if a.result != ResultFinished {
			h.lateTokens += ev.Tokens
		}
		a.delivered = ev.Index + 1
	case !a.ended && ev.Index == a.accepted:
		a.accepted++
		a.delivered = a.accepted
		a.progressed = h.now.After(a.probedAt)
	}
	h.apply(h.e.Event(h.now, h.number(a), a.conn, ev))
	if ev.Index == a.next {
		a.next++
	}
}

var connErrors = []error{
	ports.ErrNotSent, ports.ErrRefused, ports.ErrStreamBroken,
	ports.ErrStreamGone, ports.ErrMismatch, errors.New("connection reset"),
}

func (h *harness) steps() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"next":  func(*rapid.T) { a := h.drawAttempt(); h.deliver(a, a.next) },
		"next2": func(*rapid.T) { a := h.attempts[len(h.attempts)-1]; h.deliver(a, a.next) },
		"duplicate": func(t *rapid.T) {
			a := h.drawAttempt()
			h.deliver(a, rapid.IntRange(0, a.next).Draw(t, "index"))
		},
		"gap": func(*rapid.T) { a := h.drawAttempt(); h.deliver(a, a.next+2) },
		"crossed": func(t *rapid.T) {
			a, b := h.drawAttempt(), h.drawAttempt()
			ev := h.event(b, b.next)
			ev.Text = "stranger "
			if a == b || rapid.Bool().Draw(t, "foreign") {
				ev.Attempt = "other.0"
			}
			h.apply(h.e.Event(h.now, h.number(a), a.conn, ev))
		},
		"wrong count": func(t *rapid.T) {
			a := h.drawAttempt()
			if rapid.IntRange(0, 9).Draw(t, "rare") > 0 || a.knownNotRun || a.ended || a.accepted == h.total-a.skip {
				t.Skip("rare")
			}
			ev := h.event(a, a.accepted)
			ev.Final = true
			ev.CompletionTokens = a.accepted + 2
			h.miscounted = true
			a.accepted++
			a.delivered = a.accepted
			h.tokens += ev.Tokens // computed, but not emitted
			h.apply(h.e.Event(h.now, h.number(a), a.conn, ev))
		},
		"fail": func(t *rapid.T) {
			a := h.drawAttempt()
			h.fail(a, rapid.SampledFrom(connErrors).Draw(t, "error"), rapid.Bool().Draw(t, "stale"))
		},
		"tick": func(t *rapid.T) {
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			h.apply(h.e.Tick(h.now))
		},
		"timer":    func(*rapid.T) { h.fireTimer() },
		"probed":   func(t *rapid.T) { h.probed(rapid.Bool().Draw(t, "answers")) },
		"picked":   func(t *rapid.T) { h.picked(rapid.IntRange(0, 3).Draw(t, "found") > 0) },
		"admitted": func(*rapid.T) { h.admit() },
		"preempt": func(t *rapid.T) {
			if rapid.IntRange(0, 4).Draw(t, "rare") == 0 {
				h.apply(h.e.Preempted(h.now))
			}
		},
		"drain": func(t *rapid.T) {
			h.apply(h.e.Draining(h.now, "u", h.now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "s"))*time.Second)))
		},
		"caller disconnected": func(t *rapid.T) {
			if rapid.IntRange(0, 19).Draw(t, "rare") == 0 {
				h.apply(h.e.CallerDisconnected(h.now))
			}
		},
		"": func(*rapid.T) { h.check() },
	}
}

func (h *harness) fail(a *attemptModel, err error, stale bool) {
	conn := a.conn
	if stale {
		conn--
	}
	if conn == 0 && !stale && a.delivered == 0 && !a.ended && (errors.Is(err, ports.ErrNotSent) || errors.Is(err, ports.ErrRefused)) {
		a.knownNotRun = true
	}
	actions := h.e.Failed(h.now, h.number(a), conn, err)
	if stale && len(actions) > 0 && actions[0].Kind != ActionTimer {
		h.t.Fatalf("failure of a replaced connection had an effect")
	}
	h.apply(actions)
}

func (h *harness) fireTimer() {
	if h.timer.After(h.now) {
		h.now = h.timer
	}
	h.apply(h.e.Tick(h.now))
}

func (h *harness) probed(responds bool) {
	for i, a := range h.attempts {
		if a.probing {
			a.probing = false
			err := ports.ErrNotSent
			if responds {
				err = nil
			}
			actions := h.e.Probed(h.now, i, err)
			if a.progressed && len(actions) > 0 && actions[0].Kind != ActionTimer {
				h.t.Fatalf("a stream with an event since the probe was taken for silent")
			}
			h.apply(actions)
		}
	}
}

func (h *harness) picked(found bool) {
	if !h.picking {
		return
	}
	h.picking = false
	if found {
		h.apply(h.e.Picked(h.now, "u"))
		return
	}
	h.apply(h.e.NotPicked(h.now))
}

func (h *harness) admit() {
	if h.awaitingAdmission {
		h.awaitingAdmission = false
		h.apply(h.e.Admitted(h.now, "u"))
	}
}

// check compares the outcome of an ended request with what actually happened.
func (h *harness) check() {
	if h.end == nil {
		return
	}
	late := h.lateTokens
	if h.end.Kind == ActionComplete {
		if h.text.String() != h.fullText() || h.end.Tokens != h.total || h.miscounted {
			h.t.Fatalf("I3: completed with %q", h.text.String())
		}
	} else {
		late += h.tokens
	}
	if h.waste != late {
		h.t.Fatalf("waste is %d tokens, want %d", h.waste, late)
	}
	for i, a := range h.attempts {
		if a.ends != 1 {
			h.t.Fatalf("attempt %d ended %d times", i, a.ends)
		}
		mustCancel := a.result != ResultFinished && !a.knownNotRun
		if mustCancel && a.cancels != 1 {
			h.t.Fatalf("attempt %d ended with result %d and was cancelled %d times", i, a.result, a.cancels)
		}
		if h.end.Outcome == domain.OutcomeNotRun && !a.knownNotRun {
			h.t.Fatalf("I4: outcome is not-run although attempt %d may have run", i)
		}
	}
}

// failUntilEnd makes every step fail until the request ends, which it must.
func (h *harness) failUntilEnd() {
	probes := rapid.Bool().Draw(h.t, "probes report")
	for range 200 {
		if h.end != nil {
			return
		}
		if h.awaitingAdmission {
			h.apply(h.e.NotReadmitted(h.now, nil))
			continue
		}
		h.picked(false)
		if probes {
			h.probed(false)
		}
		h.fireTimer()
		for _, a := range h.attempts {
			if h.end == nil && !h.e.cfg.Reconnectable {
				h.fail(a, ports.ErrStreamBroken, false)
			}
		}
	}
	h.t.Fatalf("request did not end")
}

// TestExchangeProperties drives an Exchange with events, failures, probes,
// picks, preemptions and drains in random order. It guards against tokens that
// are repeated, missing or from another attempt (invariant I3), a not-run
// outcome for a request that may have run (I4), a second attempt at work that
// must not be repeated (I5), waste that is counted twice or not at all,
// attempts that are not cancelled, and requests that never end.
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
		h := &harness{
			t:                 t,
			e:                 New(cfg, NewBudget(DefaultRetryRatio, float64(rapid.IntRange(0, 10).Draw(t, "floor")), 0)),
			now:               start,
			total:             rapid.IntRange(0, 12).Draw(t, "total"),
			repeatable:        repeatable,
			awaitingAdmission: true,
		}
		h.admit()
		t.Repeat(h.steps())
		h.failUntilEnd()
		h.check()
	})
}

// TestNoThirdAttemptWhileHedgeRuns guards against a retry that is started when
// the first attempt breaks although its hedge is still running.
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
