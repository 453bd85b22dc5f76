package replay

import (
	"strconv"
	"time"

	"github.com/auburndyke/auburndyke/internal/admission"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
)

// drainLimit bounds the time after the last request until all have ended.
const drainLimit = 30 * time.Minute

// run is one trace under one policy.
type run struct {
	name    PolicyName
	trace   *Trace
	seed    uint64
	clock   *clock
	policy  *policy.Policy
	routes  map[string]*policy.Route
	daemons []*daemon
	engines []*engine
	open    int // requests that have not ended
	cut     map[string]int
	measure *measure
}

// replayPolicy runs a trace under one policy.
func replayPolicy(t *Trace, faults []Fault, name PolicyName, seed uint64) *PolicyReport {
	r := &run{name: name, trace: t, seed: seed, clock: &clock{}, cut: map[string]int{}}
	r.policy, r.routes = compile(&t.Header, name)
	r.measure = newMeasure(r)
	for i := range t.Header.Engines {
		r.engines = append(r.engines, &engine{
			spec:    &t.Header.Engines[i],
			index:   i,
			clock:   r.clock,
			streams: map[domain.AttemptID]*sequence{},
			factor:  1,
		})
	}
	r.startDaemons()
	r.startReports()
	r.scheduleFaults(faults)
	r.scheduleRequests()
	end := time.Duration(0)
	if n := len(t.Records); n > 0 {
		end = t.Records[n-1].At.Duration()
	}
	r.clock.run(end + drainLimit)
	return r.measure.report()
}

func (r *run) startDaemons() {
	if r.name == PolicyOracle {
		r.daemons = []*daemon{newDaemon(r, 0, "oracle", "")}
	} else {
		for rank, spec := range r.trace.Header.Daemons {
			r.daemons = append(r.daemons, newDaemon(r, rank, spec.ID, spec.Region))
		}
	}
	for i, d := range r.daemons {
		r.clock.after(sweepEvery*time.Duration(i+1)/time.Duration(len(r.daemons)), d.sweep)
		if r.name == PolicyAuburndyke {
			r.clock.after(outlierEvery*time.Duration(i+1)/time.Duration(len(r.daemons)), d.outliers)
		}
	}
}

// again runs fn after d while requests are open.
func (r *run) again(d time.Duration, fn func()) {
	if r.open > 0 {
		r.clock.after(d, fn)
	}
}

// startReports sends load reports to the daemons of the policy that reads
// them.
func (r *run) startReports() {
	if r.name != PolicyAuburndyke {
		return
	}
	for i, e := range r.engines {
		every := e.spec.ReportEvery.Duration()
		if every <= 0 {
			continue
		}
		var send func()
		send = func() {
			r.report(e)
			r.again(every, send)
		}
		r.clock.after(every*time.Duration(i+1)/time.Duration(len(r.engines)), send)
	}
}

func (r *run) report(e *engine) {
	if e.down {
		return
	}
	report := e.report(r.clock.now())
	for _, d := range r.daemons {
		if r.severed(d.region, e.spec.Region) {
			continue
		}
		r.clock.after(report.Age+r.hop(d.region, e.spec.Region), func() {
			d.router.Table().Members()[e.index].Report(r.clock.now(), report)
			d.wake()
		})
	}
}

func (r *run) scheduleRequests() {
	byRegion := map[string][]*daemon{}
	for _, d := range r.daemons {
		byRegion[d.region] = append(byRegion[d.region], d)
	}
	weights := map[string]float64{}
	for _, c := range r.trace.Header.Customers {
		weights[c.ID] = c.Weight
	}
	balancer := newRand(r.trace.Header.Seed, "balancer")
	r.open = len(r.trace.Records)
	for i := range r.trace.Records {
		rec := &r.trace.Records[i]
		q := &request{
			run:    r,
			id:     domain.RequestID("q" + strconv.Itoa(i)),
			record: rec,
			route:  r.routes[rec.Class],
			weight: weights[rec.Customer],
		}
		choice := balancer.Float64()
		at := byRegion[rec.Region]
		if r.name == PolicyOracle {
			at = r.daemons
		}
		d := at[int(choice*float64(len(at)))]
		hop := r.trace.Header.ClientHop.Duration()
		r.clock.after(rec.At.Duration()+hop, func() { d.arrive(q) })
		if patience := r.measure.class(q).spec.Patience.Duration(); patience > 0 {
			r.clock.after(rec.At.Duration()+patience+hop, q.impatient)
		}
	}
}

func (r *run) scheduleFaults(faults []Fault) {
	for i := range faults {
		f := &faults[i]
		r.clock.after(f.At.Duration(), func() { r.fault(f, true) })
		r.clock.after(f.At.Duration()+f.For.Duration(), func() { r.fault(f, false) })
	}
}

func (r *run) fault(f *Fault, on bool) {
	if f.Kind == FaultRegionCut {
		r.cut[f.Region]--
		if on {
			r.cut[f.Region] += 2
		}
		return
	}
	for _, e := range r.engines {
		if e.spec.ID == f.Engine {
			e.fault(f, on)
		}
	}
}

func (e *engine) fault(f *Fault, on bool) {
	switch f.Kind {
	case FaultStraggler:
		e.factor = 1
		if on {
			e.factor = max(f.Factor, 1)
		}
	case FaultCrash:
		if on {
			e.crash()
		}
		e.down = on
	case FaultRefuse:
		e.refuses = on
	case FaultStale:
		e.frozen = nil
		if on {
			report := e.report(e.clock.now())
			e.frozen = &report
		}
	}
}

func (r *run) hop(a, b string) time.Duration {
	if a != b {
		return r.trace.Header.RegionHop.Duration()
	}
	return r.trace.Header.ZoneHop.Duration()
}

func (r *run) severed(a, b string) bool {
	return a != b && (r.cut[a] > 0 || r.cut[b] > 0)
}

// toEngine runs fn at an engine, or unreachable where the request came from
// when no connection can be made.
func (r *run) toEngine(q *request, e *engine, bytes int, fn, unreachable func()) {
	from, to := q.record.Region, e.spec.Region
	if r.severed(from, to) {
		if unreachable != nil {
			r.clock.after(connectTimeout, unreachable)
		}
		return
	}
	r.carry(from, to, bytes, fn)
}

// toDaemon runs fn at the request's daemon. Data between severed regions is
// lost without a sign.
func (r *run) toDaemon(q *request, e *engine, bytes int, fn func()) {
	if !r.severed(q.record.Region, e.spec.Region) {
		r.carry(e.spec.Region, q.record.Region, bytes, fn)
	}
}

func (r *run) carry(from, to string, bytes int, fn func()) {
	if from != to {
		r.measure.crossBytes += int64(bytes)
	}
	r.clock.after(r.hop(from, to), fn)
}

func (r *run) finished(q *request) {
	r.open--
	r.measure.finished(q)
}

// checkRemoval counts I1: the most urgent tier is shed although lower-tier
// work could be removed instead.
func (r *run) checkRemoval(d *daemon, decision admission.Decision) {
	if r.name.baseline() {
		return
	}
	rank := decision.Request.Rank
	r.measure.shed(rank)
	if decision.Action != admission.ActionShed || rank > 0 {
		return
	}
	for lower := rank + 1; lower < len(r.policy.Tiers); lower++ {
		if load := d.queue.Load(lower); load.Waiting > 0 || (load.Running > 0 && r.policy.Tiers[rank].Preempts) {
			r.measure.violations.I1++
			return
		}
	}
}

// checkPreemption counts I1: a victim is no lower than its beneficiary.
func (r *run) checkPreemption(decision admission.Decision) {
	r.measure.preempted(decision.Preempt.Rank)
	if decision.Preempt.Rank <= decision.Request.Rank {
		r.measure.violations.I1++
	}
}
