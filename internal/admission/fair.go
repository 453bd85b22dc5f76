package admission

import (
	"math"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// group counts the waiting requests with the same Request.Group.
type group struct {
	id      uint64
	waiting int
	blocked uint64 // epoch of the last Next call that could not place the group
}

// customer holds the waiting requests of one customer in one tier.
type customer struct {
	id              domain.CustomerID
	tier            *tier
	weight          float64
	waitingTokens   int64
	sheddableTokens int64 // of waiting requests that were never preempted
	loadIndex       int
	first, last     *Request         // sheddable requests by arrival
	queues          [2]customerQueue // by band
}

// load is the customer's use of the queue relative to its weight.
func (c *customer) load() float64 { return float64(c.sheddableTokens) / c.weight }

// customerQueue holds the requests of one customer in the round robin of a band.
type customerQueue struct {
	cust           *customer
	flows          []*flow
	deficit        float64
	quantumGranted bool // the deficit includes the quantum of the current round
	inRing         bool
	prev, next     *customerQueue
}

// flow holds the requests of one customer and one group, earliest due first.
type flow struct {
	queue    *customerQueue
	group    *group
	requests indexedHeap[*Request]
}

func newFlow(cq *customerQueue, g *group) *flow {
	return &flow{queue: cq, group: g, requests: indexedHeap[*Request]{
		less:  func(a, b *Request) bool { return a.before(b) },
		index: func(r *Request) *int { return &r.flowIndex },
	}}
}

// head returns the first request whose group is not blocked, or nil.
func (cq *customerQueue) head(epoch uint64) *Request {
	var best *Request
	for _, f := range cq.flows {
		if f.group.blocked == epoch {
			continue
		}
		if r := f.requests.items[0]; best == nil || r.before(best) {
			best = r
		}
	}
	return best
}

func (cq *customerQueue) push(r *Request, g *group) {
	for _, f := range cq.flows {
		if f.group == g {
			r.flow = f
			f.requests.push(r)
			return
		}
	}
	f := newFlow(cq, g)
	cq.flows = append(cq.flows, f)
	r.flow = f
	f.requests.push(r)
}

func (cq *customerQueue) remove(r *Request) {
	f := r.flow
	f.requests.remove(r)
	r.flow = nil
	if f.requests.len() > 0 {
		return
	}
	for i := range cq.flows {
		if cq.flows[i] == f {
			last := len(cq.flows) - 1
			cq.flows[i] = cq.flows[last]
			cq.flows[last] = nil
			cq.flows = cq.flows[:last]
			return
		}
	}
}

// band is a weighted deficit round robin over customers. Costs are in tokens.
type band struct {
	current   *customerQueue
	customers int
	waiting   int
}

func (b *band) add(cq *customerQueue) {
	if cq.inRing {
		return
	}
	cq.inRing, cq.deficit, cq.quantumGranted = true, 0, false
	b.customers++
	if b.current == nil {
		cq.prev, cq.next = cq, cq
		b.current = cq
		return
	}
	cq.next, cq.prev = b.current, b.current.prev
	cq.prev.next, cq.next.prev = cq, cq
}

func (b *band) remove(cq *customerQueue) {
	if !cq.inRing {
		return
	}
	cq.inRing = false
	b.customers--
	if b.customers == 0 {
		b.current = nil
	} else {
		cq.prev.next, cq.next.prev = cq.next, cq.prev
		if b.current == cq {
			b.current = cq.next
		}
	}
	cq.prev, cq.next = nil, nil
}

// peek returns the next request of the round robin without removing it. Further
// calls return the same request until the queue changes. Each customer gets
// quantumTokens times its weight per round. So over any period in which two
// customers have waiting requests throughout, their dispatched tokens per weight
// differ by less than one quantum plus the largest request of each.
func (b *band) peek(epoch uint64) *Request {
	for b.current != nil {
		rounds := math.Inf(1)
		for range b.customers {
			cq := b.current
			r := cq.head(epoch)
			if r == nil {
				b.current = cq.next
				continue
			}
			if !cq.quantumGranted {
				cq.quantumGranted = true
				cq.deficit += quantumTokens * cq.cust.weight
			}
			shortfall := float64(r.tokens()) - cq.deficit
			if shortfall <= 0 {
				return r
			}
			rounds = min(rounds, math.Ceil(shortfall/(quantumTokens*cq.cust.weight)))
			cq.quantumGranted = false
			b.current = cq.next
		}
		if math.IsInf(rounds, 1) {
			return nil
		}
		b.grantRounds(epoch, rounds-1)
	}
	return nil
}

// grantRounds adds the quanta of several rounds at once, so that small weights
// and large requests do not take one pass over the customers per round.
func (b *band) grantRounds(epoch uint64, rounds float64) {
	cq := b.current
	for range b.customers {
		if cq.head(epoch) != nil {
			cq.deficit += rounds * quantumTokens * cq.cust.weight
		}
		cq = cq.next
	}
}

// tier holds the waiting and running requests of one service tier.
type tier struct {
	rank            int
	minShare        float64
	cumulativeBound int64 // of the waiting tokens of this tier and all lower ones
	preempts        bool
	waitingTokens   int64
	sheddableTokens int64
	waiting         int
	// credit is the part of the minimum share that the tier has not received
	// yet, in tokens; lateCredit is the same for minLateShare.
	credit     float64
	lateCredit float64
	bands      [2]band // by bandOnTime and bandLate
	customers  map[domain.CustomerID]*customer
	byLoad     indexedHeap[*customer] // largest load first
	running    []*Request
	// preempted lists waiting requests that were preempted, oldest first.
	preempted []*Request
}

const (
	bandOnTime = 0 // requests that can still meet their target, or have none
	bandLate   = 1
)

// markLate moves a request to the late band, behind those that can still meet
// their target.
func (t *tier) markLate(r *Request) {
	c, g := r.cust, r.flow.group
	t.unlink(r)
	r.late = true
	t.link(r, c, g)
}

// link adds a request to its band; unlink removes it.
func (t *tier) link(r *Request, c *customer, g *group) {
	i := bandOnTime
	if r.late {
		i = bandLate
	}
	cq := &c.queues[i]
	cq.push(r, g)
	t.bands[i].add(cq)
	t.bands[i].waiting++
}

func (t *tier) unlink(r *Request) {
	cq := r.flow.queue
	i := bandOnTime
	if r.late {
		i = bandLate
	}
	cq.remove(r)
	t.bands[i].waiting--
	if len(cq.flows) == 0 {
		t.bands[i].remove(cq)
	}
	if t.bands[bandLate].waiting == 0 {
		t.lateCredit = 0
	}
}

// firstPreempted returns the waiting request that was preempted first among the
// groups that are not blocked, or nil.
func (t *tier) firstPreempted(epoch uint64) *Request {
	for _, r := range t.preempted {
		if r.flow.group.blocked != epoch {
			return r
		}
	}
	return nil
}

// peek returns the tier's next request, or nil. Preempted requests go first:
// their callers have received a part of the response, and the pause counts
// against the inter-token latency. Late requests are next when no other can be
// placed, or when they received less than their share of the tier.
func (t *tier) peek(now time.Time, epoch uint64) *Request {
	if t.waiting == 0 {
		return nil
	}
	if r := t.firstPreempted(epoch); r != nil {
		return r
	}
	onTime := t.bands[bandOnTime].peek(epoch)
	for onTime != nil && onTime.missesTarget(now) && onTime.preemptions == 0 {
		t.markLate(onTime)
		onTime = t.bands[bandOnTime].peek(epoch)
	}
	late := t.bands[bandLate].peek(epoch)
	if onTime == nil || late != nil && t.lateCredit >= float64(late.tokens()) {
		return late
	}
	return onTime
}
