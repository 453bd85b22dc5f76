package replay

import (
	"math/rand/v2"
	"time"

	"github.com/auburndyke/auburndyke/internal/admission"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/estimate"
	"github.com/auburndyke/auburndyke/internal/exchange"
	"github.com/auburndyke/auburndyke/internal/routing"
)

const (
	// sweepEvery is how often a daemon looks at its queue without an event.
	sweepEvery = 25 * time.Millisecond
	// outlierEvery is how often outlier detection runs.
	outlierEvery = time.Second
)

// daemon is the request path of one process over the real decision code.
type daemon struct {
	run     *run
	id      string
	region  string
	queue   *admission.Queue
	router  *routing.Router // nil for the oracle
	lengths *estimate.Lengths
	firsts  estimate.Histogram // first-token times in ms
	budget  *exchange.Budget
	rng     *rand.Rand
	waking  bool
}

func newDaemon(r *run, rank int, id, region string) *daemon {
	d := &daemon{
		run:     r,
		id:      id,
		region:  region,
		queue:   admission.NewQueue(r.policy.Tiers),
		lengths: &estimate.Lengths{},
		budget:  exchange.NewBudget(exchange.DefaultRetryRatio, exchange.DefaultRetryFloor, 0),
		rng:     newRand(r.seed, string(r.name)+"/"+id),
	}
	if r.name != PolicyOracle {
		site := r.site(rank, id, region)
		d.router = newRouter(r.name, routing.NewTable(r.clock.now(), nil, r.policy, site))
	}
	return d
}

// site lets all daemons share all engines.
func (r *run) site(rank int, id, region string) routing.Site {
	site := routing.Site{
		Daemon:       domain.DaemonID(id),
		Region:       domain.Region(region),
		Zone:         domain.AvailabilityZone(region + "-a"),
		Sharers:      map[domain.UpstreamID]int{},
		LocalSharers: map[domain.UpstreamID]int{},
		Ranks:        map[domain.UpstreamID]int{},
	}
	for i := range r.policy.Upstreams {
		u := &r.policy.Upstreams[i]
		site.Sharers[u.ID] = len(r.trace.Header.Daemons)
		site.Ranks[u.ID] = rank
		for _, other := range r.trace.Header.Daemons {
			if other.Region == string(u.Region) {
				site.LocalSharers[u.ID]++
			}
		}
	}
	return site
}

// sweep expires, preempts and dispatches until the trace has ended.
func (d *daemon) sweep() {
	d.work()
	d.run.again(sweepEvery, d.sweep)
}

func (d *daemon) outliers() {
	routing.EjectOutliers(d.run.clock.now(), d.router.Table())
	d.run.again(outlierEvery, d.outliers)
}

// wake looks at the queue once the present event has been handled.
func (d *daemon) wake() {
	if d.waking {
		return
	}
	d.waking = true
	d.run.clock.after(0, func() {
		d.waking = false
		d.work()
	})
}

func (d *daemon) work() {
	now := d.run.clock.now()
	for _, decision := range d.queue.Expire(now) {
		d.remove(decision)
	}
	d.dispatch()
	for range maxPreemptionsAtOnce {
		decision, ok := d.queue.Preempt(now)
		if !ok {
			break
		}
		d.preempt(decision)
		d.dispatch()
	}
}

// maxPreemptionsAtOnce bounds the preemptions of one look at the queue.
const maxPreemptionsAtOnce = 8

func (d *daemon) dispatch() {
	now := d.run.clock.now()
	for {
		var place place
		decision, ok := d.queue.Next(now, func(r *admission.Request) bool {
			var found bool
			place, found = d.pick(r.Value.(*request), nil)
			r.Upstream = place.engine
			return found
		})
		if !ok {
			return
		}
		decision.Request.Value.(*request).admitted(place)
	}
}

// arrive takes a request from a caller.
func (d *daemon) arrive(r *request) {
	now := d.run.clock.now()
	r.daemon = d
	r.answer = d.expected(r)
	route := r.route
	r.entry = admission.Request{
		ID:               r.id,
		Customer:         domain.CustomerID(r.record.Customer),
		Weight:           r.weight,
		Rank:             route.Tier.Rank,
		Tokens:           r.record.Prompt + r.answer,
		Group:            1,
		Route:            route,
		Arrived:          now,
		TimeToFirstToken: time.Duration(d.firsts.Quantile(0.5, 0)) * time.Millisecond,
		Value:            r,
	}
	if !d.run.name.baseline() {
		r.entry.MaxWait = route.Class.MaxWait
		if route.Level.FirstToken > 0 {
			r.deadline = epoch.Add(r.record.At.Duration()).Add(route.Level.FirstToken)
			r.entry.Deadline = r.deadline
		}
	}
	decision := d.queue.Offer(now, &r.entry)
	for _, shed := range decision.Shed {
		d.remove(shed)
	}
	if decision.Preempt != nil {
		d.preempt(decision)
	}
	if decision.Action == admission.ActionShed {
		d.remove(decision)
	}
	d.wake()
}

// expected is the expected length of an answer.
func (d *daemon) expected(r *request) int {
	if d.run.name == PolicyOracle {
		return r.record.Answer
	}
	return d.lengths.Expected(r.lengthKey(), r.route.Class.MaxTokens)
}

// remove answers a shed or expired request.
func (d *daemon) remove(decision admission.Decision) {
	d.run.checkRemoval(d, decision)
	r := decision.Request.Value.(*request)
	r.shed = true
	r.finish(exchange.Outcome{Outcome: domain.OutcomeNotRun, Reason: "shed"})
}

func (d *daemon) preempt(decision admission.Decision) {
	d.run.checkPreemption(decision)
	r := decision.Preempt.Value.(*request)
	r.preemptions++
	r.apply(r.machine.Preempted(d.run.clock.now()))
}

// place is an engine with the slot that the router gave.
type place struct {
	engine int
	slot   *routing.Slot
}

func (d *daemon) pick(r *request, exclude []int) (place, bool) {
	if d.router == nil {
		return d.run.pickTrue(r, exclude)
	}
	choice, ok := d.router.Pick(d.run.clock.now(), &routing.Request{
		Route:        r.route,
		Model:        modelName,
		PromptTokens: r.record.Prompt,
		OutputTokens: r.answer,
		Bytes:        int64(r.record.Prompt*bytesPerPromptToken + r.answer*bytesPerEvent),
		Deadline:     r.deadline,
		WaitingSince: r.entry.Arrived,
		Tried:        exclude,
	}, d.rng)
	return place{engine: choice.Upstream, slot: choice.Slot}, ok
}

// pickTrue chooses by the true state: the free engine that answers first.
func (r *run) pickTrue(q *request, exclude []int) (place, bool) {
	best, at := -1, time.Duration(0)
	for i, e := range r.engines {
		if e.down || e.refuses || e.assigned >= e.spec.Slots || contains(exclude, i) || r.severed(q.record.Region, e.spec.Region) {
			continue
		}
		wait := e.wait(q.record.Prompt) + r.hop(q.record.Region, e.spec.Region)*2
		if e.spec.Region != q.record.Region {
			wait += q.route.Level.RemotePenalty
		}
		if best < 0 || wait < at {
			best, at = i, wait
		}
	}
	return place{engine: best}, best >= 0
}

func contains(list []int, v int) bool {
	for _, x := range list {
		if x == v {
			return true
		}
	}
	return false
}
