package processrun

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/standin/engine"
	"github.com/auburndyke/auburndyke/internal/standin/service"
)

const (
	// spreadBound is the time in which a change is in force (I8), and
	// leaveBound the time after which a leaving upstream gets no work (I6).
	spreadBound = 3 * time.Second
	leaveBound  = 3 * time.Second
	// urgentClass is the class of the highest tier.
	urgentClass = "guest-question"
)

// classFigures counts one class.
type classFigures struct {
	Requests   int            `json:"requests"`
	Complete   int            `json:"complete"`
	Repeated   int            `json:"repeated"` // needed more than one try
	MedianMS   int64          `json:"median_ms"`
	SlowestMS  int64          `json:"slowest_ms"`
	Codes      map[string]int `json:"codes,omitempty"` // of all tries that failed
	Unanswered []string       `json:"unanswered,omitempty"`
}

// report is the result of a run.
type report struct {
	Classes    map[string]*classFigures `json:"classes"`
	Executions int                      `json:"service_executions"`
	Attempts   int                      `json:"engine_attempts"`
	Leaves     []leave                  `json:"leaves"`
	SpreadMS   []int64                  `json:"spread_ms"` // slowest daemon, by change
	RestartsMS map[string][]int64       `json:"restarts_ms"`
	Violations []string                 `json:"violations"`
}

func (p *report) violated(format string, args ...any) {
	p.Violations = append(p.Violations, fmt.Sprintf(format, args...))
}

// String is the text form.
func (p *report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d engine attempts, %d service executions, %d violations\n", p.Attempts, p.Executions, len(p.Violations))
	for _, class := range slices.Sorted(maps.Keys(p.Classes)) {
		c := p.Classes[class]
		fmt.Fprintf(&b, "%-20s %4d requests, %4d complete, %3d repeated, median %d ms, slowest %d ms, failed tries %v\n",
			class, c.Requests, c.Complete, c.Repeated, c.MedianMS, c.SlowestMS, c.Codes)
	}
	for _, l := range p.Leaves {
		fmt.Fprintf(&b, "drain of %s: releasable after %v, %d in progress then\n", l.Upstream, l.Releasable.Round(time.Millisecond), l.InProgress)
	}
	fmt.Fprintf(&b, "changes in force at the slowest daemon after %v ms; restarts ready after %v ms\n", p.SpreadMS, p.RestartsMS)
	return b.String()
}

// check stops the daemons as planned, reads the ledgers and compares.
func (r *run) check(ctx context.Context, l *load) *report {
	p := &report{Classes: map[string]*classFigures{}, Leaves: r.leaves, RestartsMS: map[string][]int64{}}
	for _, failure := range r.failures {
		p.violated("step failed: %s", failure)
	}
	for id, times := range r.restarts {
		for _, d := range times {
			p.RestartsMS[id] = append(p.RestartsMS[id], d.Milliseconds())
		}
	}
	r.stopDaemons(p)
	executions := r.ledgers(ctx, p)
	checkAnswers(p, l.records)
	checkBookings(p, l.records, executions)
	r.checkSpread(p)
	return p
}

func (r *run) stopDaemons(p *report) {
	var work sync.WaitGroup
	codes := make([]int, len(r.fleet.daemons))
	for i, m := range r.fleet.daemons {
		work.Go(func() { codes[i] = m.process.Stop(stopTime) })
	}
	work.Wait()
	for i, code := range codes {
		if code != 0 {
			p.violated("I7: planned stop of %s ended with code %d", r.fleet.daemons[i].id, code)
		}
	}
}

// ledgers reads all ledgers, checks the drains and returns the executions by
// idempotency key.
func (r *run) ledgers(ctx context.Context, p *report) map[string][]service.Execution {
	executions := map[string][]service.Execution{}
	for id, u := range r.fleet.upstreams {
		all := u.ledgers
		if !u.returned {
			last, err := r.fleet.readLedger(ctx, u)
			if err != nil {
				p.violated("ledger of %s: %v", id, err)
			}
			all = append(all, last)
		}
		for _, l := range all {
			p.Attempts += len(l.Attempts)
			p.Executions += len(l.Executions)
			for _, x := range l.Executions {
				executions[x.IdempotencyKey] = append(executions[x.IdempotencyKey], x)
			}
			r.checkLeaves(p, u, &l)
		}
	}
	return executions
}

func (r *run) checkLeaves(p *report, u *upstream, l *ledger) {
	for _, leave := range r.leaves {
		if leave.Upstream != u.ID {
			continue
		}
		late := leave.Accepted.Add(leaveBound)
		for _, a := range l.Attempts {
			if a.Started.After(late) {
				p.violated("I6: attempt %s started at %s %v after its leave", a.Attempt, u.ID, a.Started.Sub(leave.Accepted))
			}
			if a.State != engine.StateFinished && a.State != engine.StateRefused && a.State != engine.StateCancelled {
				p.violated("I7: attempt %s is %s at %s, which was releasable", a.Attempt, a.State, u.ID)
			}
		}
		for _, x := range l.Executions {
			// The time of an execution is its end.
			if x.At.After(late.Add(time.Second)) {
				p.violated("I6: call %s ran at %s %v after its leave", x.IdempotencyKey, u.ID, x.At.Sub(leave.Accepted))
			}
		}
		if leave.InProgress > 0 {
			p.violated("I7: %s had %d attempts in progress when it was releasable", u.ID, leave.InProgress)
		}
	}
}

func checkAnswers(p *report, records []record) {
	times := map[string][]int64{}
	for _, rec := range records {
		c := p.Classes[rec.Class]
		if c == nil {
			c = &classFigures{Codes: map[string]int{}}
			p.Classes[rec.Class] = c
		}
		c.add(&rec)
		if rec.Complete {
			times[rec.Class] = append(times[rec.Class], rec.Took.Milliseconds())
		}
		if rec.Wrong != "" {
			p.violated("I3: %s: %s", rec.Class, rec.Wrong)
		}
		if shedUrgent(&rec) {
			p.violated("I1: a request of class %s was shed although lower tiers ran: %+v", rec.Class, rec.Tries)
		}
		if rec.Key == "" && !rec.Complete {
			p.violated("I2: a request of class %s was not answered: %+v", rec.Class, rec.Tries)
		}
	}
	for class, list := range times {
		slices.Sort(list)
		p.Classes[class].MedianMS = list[len(list)/2]
		p.Classes[class].SlowestMS = list[len(list)-1]
	}
	for class, c := range p.Classes {
		if c.Complete == 0 {
			p.violated("I2: no request of class %s was answered", class)
		}
	}
}

// shedUrgent holds for the load of these runs, whose lower tiers always have
// requests running that could give way.
func shedUrgent(rec *record) bool {
	return rec.Class == urgentClass && slices.ContainsFunc(rec.Tries, func(t try) bool {
		return t.Code == string(domain.CodeOverloaded)
	})
}

func (c *classFigures) add(rec *record) {
	c.Requests++
	if rec.Complete {
		c.Complete++
	}
	if len(rec.Tries) > 1 {
		c.Repeated++
	}
	for _, t := range rec.Tries {
		switch {
		case t.Broken != "":
			c.Codes["broken connection"]++
		case t.Code != "":
			c.Codes[t.Code+" "+t.Outcome]++
		}
	}
}

// checkBookings compares what callers were told with what the services ran.
func checkBookings(p *report, records []record, executions map[string][]service.Execution) {
	byKey := map[string][]record{}
	for _, rec := range records {
		if rec.Key != "" {
			byKey[rec.Key] = append(byKey[rec.Key], rec)
		}
	}
	for key, list := range byKey {
		ran := len(executions[key])
		if ran > 1 {
			p.violated("I5: %s ran %d times: %+v", key, ran, list)
		}
		told, open := 0, false
		for _, rec := range list {
			for _, t := range rec.Tries {
				open = open || t.Broken != "" || t.Outcome != "not-run"
			}
			if rec.Complete {
				told++
				checkBookingAnswer(p, &rec)
			}
		}
		if told > 0 && ran == 0 {
			p.violated("I3: %s was answered as run but did not run: %+v", key, list)
		}
		if !open && ran > 0 {
			p.violated("I4: every answer to %s says that it was not run, but it ran: %+v", key, list)
		}
	}
}

func checkBookingAnswer(p *report, rec *record) {
	var answer service.Answer
	err := json.Unmarshal([]byte(rec.answer), &answer)
	if err != nil || answer.IdempotencyKey != rec.Key || answer.Digest != xxhash.Sum64String(rec.body) {
		p.violated("I3: booking %s received the answer %q (%v)", rec.Key, rec.answer, err)
	}
}

// checkSpread checks each change at each daemon that was up for the whole
// time that the change had to spread, counted from its return where it came
// back later, and that no daemon went back.
func (r *run) checkSpread(p *report) {
	slices.SortFunc(r.changes, func(a, b change) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, c := range r.changes {
		slowest := time.Duration(0)
		for id, spans := range r.up {
			for _, s := range spans {
				from := c.Accepted
				if s.from.After(from) {
					from = s.from // the daemon came back behind the change
				}
				if !s.to.IsZero() && s.to.Before(from.Add(spreadBound)) {
					continue
				}
				took, ok := reached(r.sightings[id], c.Revision, from)
				if !ok || took > spreadBound {
					p.violated("I8: revision %d was in force at %s after %v (reached %v)", c.Revision, id, took, ok)
				}
				slowest = max(slowest, took)
			}
		}
		p.SpreadMS = append(p.SpreadMS, slowest.Milliseconds())
	}
	for id, list := range r.sightings {
		for i := 1; i < len(list); i++ {
			if list[i].pid == list[i-1].pid && list[i].revision < list[i-1].revision {
				p.violated("I8: %s went back from revision %d to %d", id, list[i-1].revision, list[i].revision)
			}
		}
	}
}

// reached returns when a revision or a higher one was first seen after from.
func reached(list []sighting, revision domain.Revision, from time.Time) (time.Duration, bool) {
	for _, s := range list {
		if s.revision >= revision && s.at.After(from) {
			return s.at.Sub(from), true
		}
	}
	return 0, false
}
