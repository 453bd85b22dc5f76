package faultmatrix

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/standin/engine"
	"github.com/auburndyke/auburndyke/internal/standin/service"
)

const (
	// noNewWorkBound and inForceBound are stated targets.
	noNewWorkBound = 3 * time.Second
	inForceBound   = 3 * time.Second
)

// runs are the attempts of one try by the engines' ledgers.
type runs map[domain.RequestID][]engine.Entry

// check compares what callers received with the ledgers.
func (s *scene) check() {
	byPrompt, byRequest := s.engineRuns()
	executions := s.executions()
	for _, c := range s.calls {
		if c.idempotencyKey != "" {
			s.checkBooking(c, executions[c.idempotencyKey])
		} else {
			s.checkGeneration(c, byPrompt, byRequest)
		}
		s.checkEnded(c)
	}
	s.checkTwice(executions)
	s.checkDrains()
	s.checkRevisions()
}

// engineRuns groups attempts by request, and requests by the length of their
// prompt, which is unique for each try.
func (s *scene) engineRuns() (byPrompt map[int]map[domain.RequestID]bool, byRequest runs) {
	byPrompt, byRequest = make(map[int]map[domain.RequestID]bool), make(runs)
	for _, e := range s.fleet.Engines {
		for _, a := range e.Ledger().Attempts {
			byRequest[a.Request] = append(byRequest[a.Request], a)
			if a.Skipped > 0 {
				continue
			}
			if byPrompt[a.PromptTokens] == nil {
				byPrompt[a.PromptTokens] = make(map[domain.RequestID]bool)
			}
			byPrompt[a.PromptTokens][a.Request] = true
		}
	}
	return byPrompt, byRequest
}

func (s *scene) executions() map[string][]service.Execution {
	out := make(map[string][]service.Execution)
	for _, svc := range s.fleet.Services {
		for _, x := range svc.Ledger().Executions {
			out[x.IdempotencyKey] = append(out[x.IdempotencyKey], x)
		}
	}
	return out
}

// checkGeneration checks I3 and I4 for each try.
func (s *scene) checkGeneration(c *call, byPrompt map[int]map[domain.RequestID]bool, byRequest runs) {
	for i := range c.tries {
		t := &c.tries[i]
		want, err := engine.Expected([]byte(c.prompts[i]))
		if err != nil {
			s.violate("expected answer: %v", err)
			continue
		}
		if t.complete && t.text != want.Text {
			s.violate("I3: %s at %s received %q instead of %q", c.class, t.daemon, t.text, want.Text)
		}
		if !strings.HasPrefix(want.Text, t.text) {
			s.violate("I3: %s at %s received text that does not begin the engine's: %q", c.class, t.daemon, t.text)
		}
		ran := false
		for request := range byPrompt[c.promptTokens[i]] {
			for _, a := range byRequest[request] {
				ran = ran || !a.Started.IsZero()
			}
		}
		s.checkOutcome(c, t, ran)
	}
}

func (s *scene) checkOutcome(c *call, t *try, ran bool) {
	switch {
	case t.outcome == domain.OutcomeNotRun && ran:
		s.violate("I4: %s at %s was told not-run (%s) but ran", c.class, t.daemon, t.code)
	case t.outcome == domain.OutcomeRan && !ran:
		s.violate("I3: %s at %s was told ran but no engine ran it", c.class, t.daemon)
	case t.broken == nil && !t.complete && t.outcome == "":
		s.violate("I3: %s at %s ended without an answer or an outcome", c.class, t.daemon)
	case t.broken != nil && !t.refused && !s.disturbed[t.daemon]:
		s.violate("I7: %s at %s was cut %v after its start by %v though no fault cut it", c.class, t.daemon, t.end.Sub(t.start), t.broken)
	case t.code == domain.CodeOverloaded && urgent(c.class):
		s.violate("I1: %s at %s was shed although capacity suffices", c.class, t.daemon)
	}
}

func urgent(class domain.ClassID) bool { return class == "guest-question" || class == "booking" }

// checkBooking checks I3 and I4 of a call that must not be repeated. The tries
// of one caller follow each other, so an execution belongs to the try that
// began last before it. Callers that share a key are checked for I5 only.
func (s *scene) checkBooking(c *call, executions []service.Execution) {
	for i := range c.tries {
		t := &c.tries[i]
		if t.outcome == domain.OutcomeRan && len(executions) == 0 {
			s.violate("I3: %s at %s was told ran but did not run", c.idempotencyKey, t.daemon)
		}
		if t.complete && !ownAnswer(t.text, c.idempotencyKey) {
			s.violate("I3: %s at %s received %q", c.idempotencyKey, t.daemon, t.text)
		}
		if t.outcome == domain.OutcomeNotRun && !c.shared && s.ranDuring(c, i, executions) {
			s.violate("I4: %s at %s was told not-run (%s) but ran", c.idempotencyKey, t.daemon, t.code)
		}
		if t.broken != nil && !t.refused && !s.disturbed[t.daemon] {
			s.violate("I7: %s at %s was cut %v after its start by %v though no fault cut it", c.idempotencyKey, t.daemon, t.end.Sub(t.start), t.broken)
		}
	}
}

func ownAnswer(text, key string) bool {
	var a service.Answer
	return json.Unmarshal([]byte(text), &a) == nil && a.IdempotencyKey == key
}

func (s *scene) ranDuring(c *call, i int, executions []service.Execution) bool {
	for _, x := range executions {
		late := i+1 < len(c.tries) && !x.At.Before(c.tries[i+1].start)
		if !x.At.Before(c.tries[i].start) && !late {
			return true
		}
	}
	return false
}

// checkEnded checks I2: each call is answered in the end. A booking may also
// end with an unknown outcome.
func (s *scene) checkEnded(c *call) {
	if len(c.tries) == 0 {
		s.violate("I2: %s was never tried", c.class)
		return
	}
	last := &c.tries[len(c.tries)-1]
	if last.complete || c.idempotencyKey != "" && last.outcome == domain.OutcomeUnknown {
		return
	}
	s.violate("I2: %s %s was not served after %d tries: %s %v", c.class, c.idempotencyKey, len(c.tries), last.code, last.broken)
}

// checkTwice checks I5.
func (s *scene) checkTwice(executions map[string][]service.Execution) {
	for key, list := range executions {
		if len(list) > 1 {
			s.violate("I5: %s ran %d times", key, len(list))
		}
	}
}

// checkDrains checks I6.
func (s *scene) checkDrains() {
	for _, d := range s.drains {
		e := s.fleet.Engines[d.upstream]
		for _, a := range e.Ledger().Attempts {
			if a.State != engine.StateRefused && a.Received.After(d.at.Add(noNewWorkBound)) {
				s.violate("I6: %s received %s from %s %v after its leave was accepted", d.upstream, a.Attempt, s.sender(&a), a.Received.Sub(d.at))
			}
		}
	}
}

// sender returns the daemon whose caller's prompt has the length of an
// attempt's, for messages.
func (s *scene) sender(a *engine.Entry) domain.DaemonID {
	for _, c := range s.calls {
		if i := slices.Index(c.promptTokens, a.PromptTokens); i >= 0 && i < len(c.tries) {
			return c.tries[i].daemon
		}
	}
	return "unknown"
}

// checkReleased checks that nothing is in progress at an upstream that may be
// returned (I7).
func (s *scene) checkReleased(upstream domain.UpstreamID) {
	for _, a := range s.fleet.Engines[upstream].Ledger().Attempts {
		if a.State == engine.StateQueued || a.State == engine.StateRunning {
			s.violate("I7: %s is releasable but %s is %s", upstream, a.Attempt, a.State)
		}
	}
}

// watchRevisions notes when each daemon puts a revision in force and that none
// goes back (I8).
func (s *scene) watchRevisions(stop <-chan struct{}) {
	ticker := time.NewTicker(inspectTick)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			s.noteRevisions()
		}
	}
}

func (s *scene) noteRevisions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		now, old := m.Revision(), s.revisions[m.ID]
		if now < old {
			s.violations = append(s.violations, "I8: "+string(m.ID)+" went back to an earlier revision")
		}
		if now > old {
			s.revisions[m.ID] = now
			if s.reached[m.ID] == nil {
				s.reached[m.ID] = make(map[domain.Revision]time.Time)
			}
			for r := old + 1; r <= now; r++ {
				s.reached[m.ID][r] = time.Now()
			}
		}
	}
}

// checkRevisions checks that each accepted revision was in force at each
// daemon in time. For daemons that a fault hit, the time starts at its end.
func (s *scene) checkRevisions() {
	for _, a := range s.accepted {
		for _, m := range s.members {
			if s.gone[m.ID] {
				continue
			}
			due := a.at
			if s.healed.After(due) {
				due = s.healed
			}
			due = due.Add(inForceBound + inspectTick)
			at, ok := s.reached[m.ID][a.revision]
			if !ok {
				s.violate("I8: revision %d is not in force at %s", a.revision, m.ID)
			} else if at.After(due) {
				s.violate("I8: revision %d was in force at %s %v after it was due", a.revision, m.ID, at.Sub(due)+inForceBound)
			}
		}
	}
}
