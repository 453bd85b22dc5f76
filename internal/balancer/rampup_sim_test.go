package balancer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/auburndyke/auburndyke/internal/inventory"
)

const (
	// rampSimEvent is when the upstreams of a simulation start, fail or are replaced.
	rampSimEvent = 8 * time.Second
	// rampSimMeasured is how long after the event requests are measured.
	rampSimMeasured = 15 * time.Second
	// rampSimExchange is the time between two exchanges of load reports between daemons.
	rampSimExchange = 500 * time.Millisecond
	// rampSimQueue is the number of waiting requests from which an engine refuses.
	rampSimQueue = 24
	// rampSimRetry is the delay after which a caller repeats a refused request.
	rampSimRetry = 200 * time.Millisecond
	// rampSimSeeds is the number of random loads that are played.
	rampSimSeeds = 4
)

// rampSim is a load on engines of which some start or recover.
type rampSim struct {
	engines, daemons int
	// perSecond is the number of requests of all daemons per second, with prefixes
	// different shared parts.
	perSecond, prefixes int
	// initial is the number of engines listed before the event. Zero means all.
	initial int
	// measureFrom is when the measurement starts; zero means rampSimEvent.
	measureFrom time.Duration
	// affected are the indexes of the engines that start or recover.
	affected []int
	// steps are the changes by the time since the start, in order.
	steps []rampSimStep
	seed  uint64
	// alone is set if the daemons do not exchange load reports.
	alone bool
	// announced is set in a run in which engines announce a slow start: all of them when the
	// simulation starts, later those that start slowly.
	announced bool
}

type rampSimStep struct {
	at    time.Duration
	apply func(*rampSimState)
}

// rampSimState is a simulation in progress.
type rampSimState struct {
	rampSim
	now     time.Time
	entries []inventory.Entry
	listed  int
	sim     []*simEngine
	down    []bool
	fleet   []*Balancer
	queue   rampCallers
}

// rampOutcome is what callers and the affected engines get in the measured time.
type rampOutcome struct {
	p50, p99 time.Duration
	// late is the number of requests without a first event within simLatencyTarget, of all.
	late, all int
	// refused is the number of refusals, failed that of attempts that failed.
	refused, failed int
	// early and rest are the requests sent to each affected engine in the first 2 s, and
	// in the rest of the measured time.
	early, rest float64
	// peak is the largest number of requests in progress at an affected engine.
	peak int
	// rampUp is the time until most daemons have ended the ramp-ups of the affected engines.
	rampUp time.Duration
}

func (o rampOutcome) String() string {
	return fmt.Sprintf("p50 %v p99 %v late %d/%d refused %d failed %d; at each: first 2 s %.0f, rest %.0f, peak %d; ramp-up %v",
		o.p50.Round(time.Millisecond), o.p99.Round(time.Millisecond), o.late, o.all, o.refused, o.failed, o.early, o.rest, o.peak, o.rampUp)
}

type rampCallers []simCaller

func (c rampCallers) Len() int           { return len(c) }
func (c rampCallers) Less(i, j int) bool { return c[i].at.Before(c[j].at) }
func (c rampCallers) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *rampCallers) Push(x any)        { *c = append(*c, x.(simCaller)) }
func (c *rampCallers) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// list passes the list of upstreams to all daemons.
func (s *rampSimState) list() {
	for _, b := range s.fleet {
		b.Update(s.now, s.entries[:s.listed], func(string) Engine { return Engine{KVTokens: 600_000, EventTokens: simEventTokens} })
	}
}

// stop ends an engine: its requests fail, and so do later ones. Its cache is lost unless
// it is only cut off.
func (s *rampSimState) stop(i int, cutOff bool) {
	s.down[i] = true
	e := s.sim[i]
	for _, r := range slices.Concat(e.running, e.waiting) {
		r.failed = true
		r.reservation.Done(s.now, Failed)
	}
	e.running, e.waiting = nil, nil
	if !cutOff {
		clear(e.cached)
	}
}

// exchange passes load reports between the daemons, without what the messages lack.
func (s *rampSimState) exchange() {
	all := make(map[uint32]LoadReport)
	for _, b := range s.fleet {
		for id, r := range b.TakeReports() {
			if r.At.After(all[id].At) {
				r.WorkTime, r.Slots = 0, 0
				all[id] = r
			}
		}
	}
	for _, b := range s.fleet {
		b.MergeReports(all)
	}
}

// runAll plays the load with several seeds and adds the outcomes: times and peaks are the
// largest ones.
func (s rampSim) runAll() rampOutcome {
	var sum rampOutcome
	for s.seed = range rampSimSeeds {
		o := s.run()
		sum.p50, sum.p99, sum.rampUp = max(sum.p50, o.p50), max(sum.p99, o.p99), max(sum.rampUp, o.rampUp)
		sum.late, sum.all = sum.late+o.late, sum.all+o.all
		sum.refused, sum.failed = sum.refused+o.refused, sum.failed+o.failed
		sum.early, sum.rest = sum.early+o.early, sum.rest+o.rest
		sum.peak = max(sum.peak, o.peak)
	}
	return sum
}

// run plays the load. Callers repeat refused and failed requests at the next upstream.
func (s rampSim) run() rampOutcome {
	if s.measureFrom == 0 {
		s.measureFrom = rampSimEvent
	}
	state := &rampSimState{rampSim: s, entries: engines(s.engines), listed: s.engines, down: make([]bool, s.engines), now: start}
	if s.initial > 0 {
		state.listed = s.initial
	}
	for i := range state.entries {
		state.entries[i].Slots = simSlots
		if s.announced {
			state.entries[i].SlowStart = time.Second
		}
		state.sim = append(state.sim, &simEngine{cached: make(map[uint64]bool), at: start, workTime: 100})
	}
	for range s.daemons {
		state.fleet = append(state.fleet, New(Site{}))
	}
	state.list()
	for i := range state.entries {
		state.entries[i].SlowStart = 0
	}
	rng := rand.New(rand.NewPCG(7, s.seed))
	end := s.measureFrom + rampSimMeasured
	var at time.Duration
	for id := uint64(1000); ; id++ {
		at += time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(s.perSecond))
		if at >= end {
			break
		}
		c := simCaller{at: start.Add(at), first: start.Add(at), query: review(1+rng.Uint64N(uint64(s.prefixes)), id)}
		c.outputTokens = min(max(int(64*math.Exp(0.8*rng.NormFloat64())), 4), 300)
		c.query.OutputTokens = c.outputTokens
		heap.Push(&state.queue, c)
	}
	return state.play(rng, end)
}

func (s *rampSimState) play(rng *rand.Rand, end time.Duration) rampOutcome {
	var out rampOutcome
	var measured []*simRequest
	from := start.Add(s.measureFrom)
	nextExchange := rampSimExchange
	for s.queue.Len() > 0 {
		c := heap.Pop(&s.queue).(simCaller)
		for len(s.steps) > 0 && !start.Add(s.steps[0].at).After(c.at) {
			s.advance(start.Add(s.steps[0].at))
			s.steps[0].apply(s)
			s.steps = s.steps[1:]
		}
		for ; !start.Add(nextExchange).After(c.at); nextExchange += rampSimExchange {
			s.advance(start.Add(nextExchange))
			if !s.alone {
				s.exchange()
			}
			if nextExchange > s.measureFrom && s.mostRampUp() {
				out.rampUp = nextExchange - s.measureFrom
			}
		}
		s.advance(c.at)
		measure := !c.first.Before(from)
		if r := s.send(rng, c, measure, &out); r != nil && measure {
			measured = append(measured, r)
		}
		for _, i := range s.affected {
			if measure {
				out.peak = max(out.peak, len(s.sim[i].running)+len(s.sim[i].waiting))
			}
		}
	}
	s.advance(start.Add(end + 20*time.Second))
	out.summarize(measured)
	n := float64(len(s.affected))
	out.early, out.rest = out.early/n, out.rest/n
	return out
}

// mostRampUp reports whether an affected engine is in ramp-up at most daemons.
func (s *rampSimState) mostRampUp() bool {
	for _, i := range s.affected {
		n := 0
		for _, b := range s.fleet {
			u := b.upstreams[s.entries[i].ID]
			if u != nil && b.services["model"].rampsUp() && u.ramp.active(s.now) {
				n++
			}
		}
		if 2*n > len(s.fleet) {
			return true
		}
	}
	return false
}

// send picks an upstream for a request until one takes it. It returns nil if none does;
// the caller then repeats the request.
func (s *rampSimState) send(rng *rand.Rand, c simCaller, measure bool, out *rampOutcome) *simRequest {
	b := s.fleet[rng.IntN(len(s.fleet))]
	b.RecordArrival(c.at, c.query)
	for range 3 {
		choice, ok := b.Pick(c.at, c.query)
		if !ok {
			break
		}
		i := slices.IndexFunc(s.entries, func(e inventory.Entry) bool { return e.ID == choice.Upstream.ID })
		if measure && slices.Contains(s.affected, i) {
			if c.at.Before(start.Add(s.measureFrom + 2*time.Second)) {
				out.early++
			} else {
				out.rest++
			}
		}
		if !s.down[i] && len(s.sim[i].waiting) < rampSimQueue {
			return s.sim[i].send(choice.Reservation(), c)
		}
		result := Refused
		if s.down[i] {
			result = Failed
		}
		if measure && s.down[i] {
			out.failed++
		} else if measure {
			out.refused++
		}
		choice.Reservation().Done(c.at, result)
		c.query.Tried = append(slices.Clone(c.query.Tried), choice.Upstream.ID)
	}
	c.query.Tried = nil
	if c.at = c.at.Add(rampSimRetry); c.at.Sub(c.first) < simTimeout {
		heap.Push(&s.queue, c)
	}
	return nil
}

func (s *rampSimState) advance(now time.Time) {
	for i, e := range s.sim {
		if s.down[i] {
			e.at = now
			continue
		}
		e.runTo(now)
	}
	s.now = now
}

func (o *rampOutcome) summarize(requests []*simRequest) {
	var took []time.Duration
	for _, r := range requests {
		first := simTimeout
		if !r.first.IsZero() {
			first = r.first.Sub(r.arrived)
		}
		took = append(took, first)
		if first > simLatencyTarget {
			o.late++
		}
	}
	slices.Sort(took)
	o.all = len(took)
	o.p50, o.p99 = took[len(took)/2], took[len(took)*99/100]
}

// compare runs the load without and with the ramp-up.
func (s rampSim) compare(t *testing.T) (without, with rampOutcome) {
	t.Helper()
	without = s.runAll()
	s.announced = true
	with = s.runAll()
	t.Logf("without: %v", without)
	t.Logf("with:    %v", with)
	return without, with
}

// restart lists an engine with a new incarnation and an empty cache.
func (s *rampSimState) restart(i int, slowFor time.Duration) {
	s.down[i] = false
	clear(s.sim[i].cached)
	s.entries[i].Incarnation++
	s.sim[i].slowUntil, s.sim[i].slowdown = s.now.Add(slowFor), 5
	if s.announced {
		s.entries[i].SlowStart = slowFor
	}
}
