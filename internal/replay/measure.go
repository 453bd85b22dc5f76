package replay

import (
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// measure collects the figures of one run.
type measure struct {
	run            *run
	classes        []*classMeasure
	byID           map[string]*classMeasure
	waste          map[domain.WasteCause]int
	sheds          []int
	preemptions    []int
	crossBytes     int64
	repeatedPrompt int
	violations     Violations
	delivered      int
	good           int
}

type classMeasure struct {
	spec      *ClassSpec
	requests  int
	complete  int
	attained  int
	good      int
	firsts    []time.Duration
	intervals []time.Duration
	maxWait   time.Duration
}

func newMeasure(r *run) *measure {
	m := &measure{
		run:         r,
		byID:        map[string]*classMeasure{},
		waste:       map[domain.WasteCause]int{},
		sheds:       make([]int, len(r.trace.Header.Tiers)),
		preemptions: make([]int, len(r.trace.Header.Tiers)),
	}
	for i := range r.trace.Header.Classes {
		c := &classMeasure{spec: &r.trace.Header.Classes[i]}
		m.classes = append(m.classes, c)
		m.byID[c.spec.ID] = c
	}
	return m
}

func (m *measure) class(q *request) *classMeasure { return m.byID[q.record.Class] }

func (m *measure) interval(q *request, d time.Duration) {
	c := m.class(q)
	c.intervals = append(c.intervals, d)
}

func (m *measure) shed(rank int) { m.sheds[rank]++ }

func (m *measure) preempted(rank int) { m.preemptions[rank]++ }

func (m *measure) finished(q *request) {
	c := m.class(q)
	c.requests++
	m.check(q)
	arrived := q.record.At.Duration()
	wait := m.run.clock.elapsed - arrived
	if q.machine != nil {
		wait = q.dispatched - arrived
	}
	c.maxWait = max(c.maxWait, wait)
	if q.tokens > 0 {
		c.firsts = append(c.firsts, q.first-arrived)
	}
	if !q.outcome.Complete {
		return
	}
	c.complete++
	m.delivered += q.tokens
	if c.meets(q) {
		c.attained++
		c.good += q.tokens
		m.good += q.tokens
	}
}

// meets reports whether a complete answer met its class's targets: the first
// token and the mean interval.
func (c *classMeasure) meets(q *request) bool {
	if t := c.spec.FirstToken.Duration(); t > 0 && q.first-q.record.At.Duration() > t {
		return false
	}
	t := c.spec.BetweenTokens.Duration()
	return t == 0 || q.tokens < 2 || (q.last-q.first)/time.Duration(q.tokens-1) <= t
}

// check counts I3 and I4 against what the engines really did.
func (m *measure) check(q *request) {
	for i := range q.text {
		if string(q.text[i]) != q.word(i) {
			m.violations.I3++
			return
		}
	}
	if q.outcome.Complete && q.tokens != q.record.Answer {
		m.violations.I3++
	}
	if q.outcome.Outcome == domain.OutcomeNotRun && q.ran {
		m.violations.I4++
	}
}

// starved counts I2: requests that never ended, and classes of which no
// request was served.
func (m *measure) starved() int {
	n := m.run.open
	for _, c := range m.classes {
		if c.requests > 0 && c.complete == 0 {
			n++
		}
	}
	return n
}

func quantiles(samples []time.Duration) Quantiles {
	if len(samples) == 0 {
		return Quantiles{}
	}
	slices.Sort(samples)
	at := func(q float64) Millis {
		i := int(q*float64(len(samples))+0.999999) - 1
		return round(samples[min(max(i, 0), len(samples)-1)])
	}
	return Quantiles{P50: at(0.5), P95: at(0.95), P99: at(0.99)}
}

func round(d time.Duration) Millis {
	return Millis(d.Round(100*time.Microsecond).Microseconds()) / 1000
}
