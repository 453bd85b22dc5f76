package processrun

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/standin/engine"
	"github.com/auburndyke/auburndyke/internal/standin/service"
)

func told(key, outcome string, complete bool) record {
	return record{Class: "booking", Key: key, Complete: complete, body: "b", answer: "{}", Tries: []try{{Outcome: outcome}}}
}

// Guards against checks of a run that pass whatever happened.
func TestChecksDetectViolations(t *testing.T) {
	now := time.Now()
	p := &report{Classes: map[string]*classFigures{}}
	checkAnswers(p, []record{{Class: "a", Complete: true, Wrong: "other text"}, {Class: "b"}, {Class: urgentClass, Tries: []try{{Code: "overloaded"}}}})
	checkBookings(p, []record{
		told("twice", "ran", true), told("absent", "ran", true), told("denied", "not-run", false),
	}, map[string][]service.Execution{"twice": {{}, {}}, "denied": {{}}})
	r := &run{
		leaves:  []leave{{Upstream: "e", Accepted: now, InProgress: 1}},
		changes: []change{{2, now}},
		up:      map[string][]span{"d1": {{from: now.Add(-time.Minute)}}, "d2": {{from: now.Add(time.Second)}}},
		sightings: map[string][]sighting{
			"d1": {{now.Add(4 * time.Second), 2, 1}, {now.Add(5 * time.Second), 1, 1}},
			"d2": {{now.Add(2 * time.Second), 1, 1}},
		},
	}
	r.checkLeaves(p, &upstream{Upstream: policy.Upstream{ID: domain.UpstreamID("e")}}, &ledger{
		Ledger: engine.Ledger{Attempts: []engine.Entry{
			{Attempt: "late", Started: now.Add(4 * time.Second), State: engine.StateFinished},
			{Attempt: "cut", Started: now, State: engine.StateLost},
		}},
		Executions: []service.Execution{{IdempotencyKey: "late-call", At: now.Add(5 * time.Second)}},
	})
	r.checkSpread(p)
	all := strings.Join(p.Violations, "\n")
	for _, want := range []string{
		"I1: a request of class guest-question", "I3: a: other text", "I2: a request of class b", "I5: twice ran 2 times", "I3: absent was answered as run",
		"I3: booking twice received", "I4: every answer to denied", "I6: attempt late", "I7: attempt cut", "I6: call late-call",
		"I7: e had 1 attempts", "I8: revision 2 was in force at d1", "I8: revision 2 was in force at d2", "I8: d1 went back",
	} {
		assert.Assert(t, strings.Contains(all, want), "%q is missing in:\n%s", want, all)
	}
}
