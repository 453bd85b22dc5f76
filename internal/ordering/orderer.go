package ordering

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	// rateShare is the share of the API's call rate that orders use. The rest is for the
	// other duties.
	rateShare = 0.5
	// assumedCallRate is the number of calls a second if the API's rate is not known.
	assumedCallRate = 1.0
	// startGrace is added to the time that an upstream takes to start: registration,
	// reading of the list, first load report.
	startGrace = 3 * time.Second
	// stepInterval is the time between two steps in which upstreams are given up.
	stepInterval = time.Second
	// refusedTime is how long a zone gets no orders of more upstreams after it had none.
	refusedTime = 10 * time.Second
	// repeatInterval is the time between two calls with the same order while upstreams
	// are missing. An order whose response was lost may have been lost, or may have
	// arrived after a later one.
	repeatInterval = 10 * time.Second
	// minRetry and maxRetry bound the time after which an order without an answer is
	// repeated. It doubles with each failure.
	minRetry = 500 * time.Millisecond
	maxRetry = 2 * time.Second
	// rememberTime is how long the number of upstreams in a zone is remembered that this
	// daemon has not ordered any in. A zone that is cut off for some seconds is then not
	// taken for an empty one, in which an order of one upstream would end the others.
	rememberTime = 30 * time.Second
	// learnTime is how long after the first start of all daemons the most upstreams that a
	// daemon sees are taken for the number that the service has without orders.
	learnTime = time.Minute
	// adoptTime is how long after an order a larger number of serving upstreams is taken
	// for the result of someone else's order.
	adoptTime = 20 * time.Second
)

// Order is one order and what decided it.
type Order struct {
	ports.UpstreamOrder
	Reason string
	// Before is the number that was ordered or existed before, and Serving the number
	// that serves.
	Before, Serving int
	Status          Status
}

// Status describes the plan of a service.
type Status struct {
	Service string
	// Unknown says why the load is not known. Nothing changes then.
	Unknown string
	// Demand is in slots: the larger of ByLoad, from load reports, and ByWork, from the
	// work of all daemons. Peak is the highest forecast of the hold time.
	Demand, ByLoad, ByWork, Peak float64
	// Need is the number of upstreams for a burst, and WithoutZone the same without the
	// largest zone. Both are limited by Reference, the number that the service had
	// without orders. NeedAlways is needed in any case. Have is the number that serves or
	// is about to.
	Need, WithoutZone, Reference, NeedAlways, Have int
	// Short means that no zone can take the orders that the need calls for.
	Short bool
}

// Outcome is the result of a call.
type Outcome uint8

const (
	// Accepted orders have taken effect.
	Accepted Outcome = iota
	// Refused orders found no upstreams.
	Refused
	// NotDone calls had no effect.
	NotDone
	// Unanswered calls may have taken effect, or may do so later.
	Unanswered
)

func (o Outcome) String() string {
	return [...]string{"accepted", "refused", "not_done", "unanswered"}[o]
}

// outcomeOf returns the outcome of a call that was made.
func outcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return Accepted
	case errors.Is(err, ports.ErrUnknownOutcome):
		return Unanswered
	case errors.Is(err, ports.ErrNotFound):
		return Refused
	case errors.Is(err, ports.ErrThrottled), errors.Is(err, ports.ErrUnavailable):
		return NotDone
	default:
		return Unanswered
	}
}

// count is a number of serving upstreams at some time.
type count struct {
	at time.Time
	n  int
}

// subject is what a daemon knows of the orders for one service in one zone.
type subject struct {
	// ordered is the number of the last order that has or may have taken effect, and
	// answered that of the last one that was accepted. Negative means none.
	ordered, answered int
	sentAt, raisedAt  time.Time
	// retryAt is the earliest time of the next call.
	retryAt      time.Time
	refusedUntil time.Time
	unconfirmed  bool
	failures     int
	// recent holds decreasing numbers of serving upstreams, the first the largest.
	recent  []count
	serving int
	// missingSince is since when fewer serve than were ordered. Zero means that none are
	// missing.
	missingSince time.Time
	// grewAt is when more served than before, or when the zone was first observed.
	grewAt time.Time
}

// observe records the number of serving upstreams.
func (s *subject) observe(now time.Time, serving int) {
	s.serving = serving
	s.remember(now, serving)
	if s.ordered >= 0 && serving > s.ordered && now.Sub(s.sentAt) >= adoptTime {
		s.forget()
	}
	if serving >= s.base() {
		s.missingSince = time.Time{}
	} else if s.missingSince.IsZero() {
		s.missingSince = now
	}
}

// remember keeps the most upstreams that served lately. A zone with none is cut off, since
// orders leave at least the minimum: what it had is remembered until it returns.
func (s *subject) remember(now time.Time, serving int) {
	if len(s.recent) == 0 || serving > s.recent[0].n {
		s.grewAt = now
	}
	if serving == 0 && len(s.recent) > 0 {
		s.recent = append(s.recent[:0], count{now, s.recent[0].n})
		return
	}
	for len(s.recent) > 0 && s.recent[len(s.recent)-1].n <= serving {
		s.recent = s.recent[:len(s.recent)-1]
	}
	s.recent = append(s.recent, count{now, serving})
	for now.Sub(s.recent[0].at) >= rememberTime {
		s.recent = s.recent[1:]
	}
}

// forget drops what was ordered.
func (s *subject) forget() {
	*s = subject{ordered: -1, answered: -1, recent: s.recent, serving: s.serving, missingSince: s.missingSince, grewAt: s.grewAt}
}

// settled reports whether it is known how many upstreams the zone has. After the first
// start they register one by one; the number of an order in between would end the rest.
func (s *subject) settled(now time.Time, startTime time.Duration) bool {
	wait := startTime + startGrace
	if s.base() == 0 {
		wait = max(wait, learnTime)
	}
	return s.ordered >= 0 || now.Sub(s.grewAt) >= wait
}

// overdue reports whether upstreams have been missing for longer than they take to start.
func (s *subject) overdue(now time.Time, startTime time.Duration) bool {
	return !s.missingSince.IsZero() && now.Sub(s.missingSince) >= startTime+startGrace
}

// base returns the number that was ordered, or else the most that served lately.
func (s *subject) base() int {
	if s.ordered >= 0 {
		return s.ordered
	}
	return s.recent[0].n
}

// awaited returns how many upstreams are about to serve.
func (s *subject) awaited(now time.Time, startTime time.Duration) int {
	if s.raisedAt.IsZero() || now.Sub(s.raisedAt) >= startTime+startGrace {
		return 0
	}
	return max(s.ordered-s.serving, 0)
}

// service is the state of one service.
type service struct {
	in       Input
	history  history
	subjects map[domain.AvailabilityZone]*subject
	status   Status
	plan     []*zonePlan
	// raisedAt and loweredAt are when upstreams were last ordered and given up.
	raisedAt, loweredAt time.Time
	// firstSeen is when the service was first observed, and reference the number of
	// upstreams that it has without orders, or that the demand has called for since. A
	// daemon that started later does not know it and goes by the largest that may be
	// ordered.
	firstSeen time.Time
	reference int
}

// Orderer decides which orders the holder sends. It is not safe for concurrent use.
type Orderer struct {
	interval   time.Duration
	firstStart bool
	services   map[string]*service
	heldSince  time.Time
	nextCall   time.Time
}

// NewOrderer returns an Orderer. callRate is the number of calls a second that the API
// accepts for all duties, or zero if it is not known. firstStart says that all daemons
// start together for the first time, so that nobody has ordered yet.
func NewOrderer(callRate float64, firstStart bool) *Orderer {
	rate := assumedCallRate
	if callRate > 0 {
		rate = rateShare * callRate
	}
	return &Orderer{interval: time.Duration(float64(time.Second) / rate), firstStart: firstStart, services: make(map[string]*service)}
}

// Observe takes over what the daemon knows now and plans the orders. held says whether
// the daemon holds the duties. A daemon that does not only remembers.
func (o *Orderer) Observe(now time.Time, held bool, inputs []Input) []Status {
	took := held && o.heldSince.IsZero()
	switch {
	case took:
		o.heldSince = now
	case !held:
		o.heldSince = time.Time{}
	}
	listed := make(map[string]bool, len(inputs))
	var out []Status
	for _, in := range inputs {
		listed[in.Service] = true
		s := o.services[in.Service]
		if s == nil {
			s = &service{subjects: make(map[domain.AvailabilityZone]*subject)}
			o.services[in.Service] = s
		}
		if took {
			// Others may have ordered since this daemon did.
			for _, subject := range s.subjects {
				subject.forget()
			}
		}
		s.observe(now, in, o.firstStart)
		s.plan = nil
		if held {
			s.replan(now, o.heldSince)
			out = append(out, s.status)
		}
	}
	for name := range o.services {
		if !listed[name] {
			delete(o.services, name)
		}
	}
	return out
}

func (s *service) observe(now time.Time, in Input, firstStart bool) {
	s.in = in
	r := s.history.observe(now, in)
	if !in.Outdated {
		for zone := range in.Scaling.ZonePrices {
			if s.subjects[zone] == nil {
				s.subjects[zone] = &subject{ordered: -1, answered: -1}
			}
			s.subjects[zone].observe(now, r.serving[zone])
		}
	}
	for zone := range s.subjects {
		if _, priced := in.Scaling.ZonePrices[zone]; !priced {
			delete(s.subjects, zone)
		}
	}
	if s.firstSeen.IsZero() {
		s.firstSeen = now
	}
	switch {
	case !firstStart:
		// Others may have given upstreams up before this daemon started.
		s.reference = in.Scaling.Max * len(in.Scaling.ZonePrices)
	case now.Sub(s.firstSeen) < learnTime:
		s.reference = max(s.reference, len(in.Upstreams))
	}
	if r.unknown == "" {
		s.reference = max(s.reference, s.need(r, 1/orderReserve).demand)
	}
	peak, _ := s.history.peak()
	s.status = Status{Service: in.Service, Unknown: r.unknown, Demand: r.demand, ByLoad: r.byLoad, ByWork: r.byWork, Peak: peak}
}

// replan decides the number of upstreams for each zone.
func (s *service) replan(now, heldSince time.Time) {
	r := s.history.readings[len(s.history.readings)-1]
	zones := s.zones(now, r)
	s.status.Have = total(zones)
	if r.unknown != "" {
		s.plan = zones
		return
	}
	n := s.need(r, 1)
	s.status.Need, s.status.WithoutZone, s.status.Reference, s.status.NeedAlways = n.burst, n.withoutZone, n.reference, n.demand
	met := n.met(zones)
	s.status.Short = !raise(zones, n, s.in.Scaling)
	if met && s.mayLower(now, heldSince, r) {
		lower(zones, s.need(r, hysteresis), s.in.Scaling)
	}
	s.plan = zones
}

// need returns the need for a multiple of the demand.
func (s *service) need(r reading, factor float64) need {
	peak, lasting := s.history.peak()
	return needOf(factor*peak, factor*lasting, r.slots, s.reference)
}

// mayLower reports whether upstreams may be given up. In doubt they are kept.
func (s *service) mayLower(now, heldSince time.Time, r reading) bool {
	hold := holdTime(s.in.Scaling)
	for _, subject := range s.subjects {
		if subject.unconfirmed {
			return false
		}
	}
	return r.unlisted == 0 && now.Sub(s.firstSeen) >= learnTime && s.history.steady(now, s.in.Scaling) && now.Sub(heldSince) >= hold &&
		now.Sub(s.raisedAt) >= hold && now.Sub(s.loweredAt) >= stepInterval
}

// zones returns all zones with upstreams or prices as they are now.
func (s *service) zones(now time.Time, r reading) []*zonePlan {
	var out []*zonePlan
	for name, price := range s.in.Scaling.ZonePrices {
		subject := s.subjects[name]
		if subject == nil {
			continue // nothing has been observed while the list is outdated
		}
		base, awaited := subject.base(), subject.awaited(now, s.in.Scaling.StartTime)
		serving := r.serving[name]
		out = append(out, &zonePlan{
			name: name, price: price, ordered: subject.settled(now, s.in.Scaling.StartTime), base: base, desired: base, have: min(serving, base) + awaited,
			complete: serving >= base, overdue: subject.overdue(now, s.in.Scaling.StartTime), refused: now.Before(subject.refusedUntil),
			floor: int(math.Ceil(zoneReserve * s.history.zonePeak(name) / (math.Max(r.slots, 1) * usableShare))),
		})
	}
	for name, n := range r.serving {
		if _, priced := s.in.Scaling.ZonePrices[name]; !priced {
			out = append(out, &zonePlan{name: name, base: n, desired: n, have: n})
		}
	}
	return out
}

// Next returns the order to send now, or nil. The caller sends it and calls Done.
func (o *Orderer) Next(now time.Time) *Order {
	if now.Before(o.nextCall) {
		return nil
	}
	var best *Order
	for _, s := range o.services {
		for _, z := range s.plan {
			if order := s.orderFor(now, z); order != nil && (best == nil || moreUrgent(order, best) < 0) {
				best = order
			}
		}
	}
	if best != nil {
		o.nextCall = now.Add(o.interval)
	}
	return best
}

// moreUrgent compares orders: more upstreams first, and the larger difference first.
func moreUrgent(a, b *Order) int {
	return cmp.Or(
		cmp.Compare(b.Desired-b.Serving, a.Desired-a.Serving),
		cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone),
	)
}

// orderFor returns the order that a zone needs now, or nil.
func (s *service) orderFor(now time.Time, z *zonePlan) *Order {
	subject := s.subjects[z.name]
	if !z.ordered || now.Before(subject.retryAt) {
		return nil
	}
	reason := z.reason
	switch {
	case z.desired != z.base:
	case subject.unconfirmed:
		reason = reasonRepeated
	case subject.ordered >= 0 && z.overdue && !z.refused && now.Sub(subject.sentAt) >= repeatInterval:
		reason = reasonMissing
	default:
		return nil
	}
	return &Order{
		UpstreamOrder: ports.UpstreamOrder{Service: s.in.Service, Zone: z.name, Desired: z.desired},
		Reason:        reason, Before: z.base, Serving: subject.serving, Status: s.status,
	}
}

// Done records the outcome of an order that Next returned.
func (o *Orderer) Done(now time.Time, order *Order, outcome Outcome) {
	s := o.services[order.Service]
	if s == nil {
		return
	}
	subject := s.subjects[order.Zone]
	if subject == nil {
		return
	}
	s.plan = slices.DeleteFunc(s.plan, func(z *zonePlan) bool { return z.name == order.Zone })
	switch outcome {
	case Accepted:
		s.apply(now, subject, order)
		subject.answered, subject.unconfirmed, subject.failures = order.Desired, false, 0
		subject.retryAt = time.Time{}
	case Unanswered:
		s.apply(now, subject, order)
		subject.unconfirmed = true
		subject.retryAt = now.Add(subject.retryDelay())
	case Refused:
		// The platform goes by the last number that it accepted.
		subject.ordered, subject.unconfirmed, subject.failures = subject.answered, false, 0
		subject.raisedAt = time.Time{}
		subject.refusedUntil, subject.retryAt = now.Add(refusedTime), now.Add(refusedTime)
	case NotDone:
		subject.retryAt = now.Add(subject.retryDelay())
	}
}

// apply records an order that has or may have taken effect.
func (s *service) apply(now time.Time, subject *subject, order *Order) {
	switch {
	case order.Desired > order.Before:
		s.raisedAt, subject.raisedAt, subject.missingSince = now, now, now
	case order.Desired < order.Before:
		s.loweredAt = now
	}
	subject.ordered, subject.sentAt = order.Desired, now
}

// retryDelay returns the time until a failed call is repeated.
func (s *subject) retryDelay() time.Duration {
	s.failures++
	return min(minRetry<<min(s.failures-1, 8), maxRetry)
}

// Held reports whether the daemon held the duties at the last observation.
func (o *Orderer) Held() bool { return !o.heldSince.IsZero() }

// Plan returns the planned numbers of upstreams by zone. It is empty while the daemon
// does not hold the duties.
func (o *Orderer) Plan(service string) map[domain.AvailabilityZone]int {
	out := make(map[domain.AvailabilityZone]int)
	if s := o.services[service]; s != nil {
		for _, z := range s.plan {
			if z.ordered {
				out[z.name] = z.desired
			}
		}
	}
	return out
}
