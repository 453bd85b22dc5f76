package admission

import (
	"math"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// group holds the waiting requests' placement group.
type group struct {
	id      uint64
	waiting int
	blocked uint64 // epoch of the Next call that found no place
}

// customer is one customer's waiting work in one tier.
type customer struct {
	id              domain.CustomerID
	tier            *tier
	weight          float64
	waitingTokens   int64 // waiting
	sheddableTokens int64 // waiting and not preempted before
	loadIndex       int
	first, last     *Request         // sheddable requests by arrival
	queues          [2]customerQueue // by band
}

// load is the customer's use of the queue relative to its weight.
func (c *customer) load() float64 { return float64(c.sheddableTokens) / c.weight }

// customerQueue is one customer's place in the round robin of a band.
type customerQueue struct {
	cust           *customer
	flows          []*flow
	deficit        float64
	quantumGranted bool // the quantum of this visit was added
	inRing         bool
	prev, next     *customerQueue
}

// flow holds one customer's requests of one group, earliest due first.
type flow struct {
	queue    *customerQueue
	group    *group
	requests indexedHeap[*Request]
}

func newFlow(l *customerQueue, g *group) *flow {
	return &flow{queue: l, group: g, requests: indexedHeap[*Request]{
		less:  func(a, b *Request) bool { return a.before(b) },
		index: func(r *Request) *int { return &r.flowIndex },
	}}
}

// head returns the request due first among the groups that are not blocked.
func (l *customerQueue) head(epoch uint64) *Request {
	var best *Request
	for _, f := range l.flows {
		if f.group.blocked == epoch {
			continue
		}
		if r := f.requests.items[0]; best == nil || r.before(best) {
			best = r
		}
	}
	return best
}

func (l *customerQueue) push(r *Request, g *group) {
	for _, f := range l.flows {
		if f.group == g {
			r.flow = f
			f.requests.push(r)
			return
		}
	}
	f := newFlow(l, g)
	l.flows = append(l.flows, f)
	r.flow = f
	f.requests.push(r)
}

func (l *customerQueue) remove(r *Request) {
	f := r.flow
	f.requests.remove(r)
	r.flow = nil
	if f.requests.len() > 0 {
		return
	}
	for i := range l.flows {
		if l.flows[i] == f {
			last := len(l.flows) - 1
			l.flows[i] = l.flows[last]
			l.flows[last] = nil
			l.flows = l.flows[:last]
			return
		}
	}
}

// band is a weighted deficit round robin over customers, counted in tokens.
type band struct {
	current   *customerQueue
	customers int
	waiting   int
}

func (b *band) add(l *customerQueue) {
	if l.inRing {
		return
	}
	l.inRing, l.deficit, l.quantumGranted = true, 0, false
	b.customers++
	if b.current == nil {
		l.prev, l.next = l, l
		b.current = l
		return
	}
	l.next, l.prev = b.current, b.current.prev
	l.prev.next, l.next.prev = l, l
}

func (b *band) remove(l *customerQueue) {
	if !l.inRing {
		return
	}
	l.inRing = false
	b.customers--
	if b.customers == 0 {
		b.current = nil
	} else {
		l.prev.next, l.next.prev = l.next, l.prev
		if b.current == l {
			b.current = l.next
		}
	}
	l.prev, l.next = nil, nil
}

// peek returns the next request of the round robin without removing it. It is
// idempotent until the queue changes. Each customer gets quantumTokens times
// its weight per round, so within any period in which two customers wait
// throughout, their dispatched tokens per weight differ by less than one
// quantum plus the largest request of each.
func (b *band) peek(epoch uint64) *Request {
	for b.current != nil {
		rounds := math.Inf(1)
		for range b.customers {
			l := b.current
			r := l.head(epoch)
			if r == nil {
				b.current = l.next
				continue
			}
			if !l.quantumGranted {
				l.quantumGranted = true
				l.deficit += quantumTokens * l.cust.weight
			}
			missing := float64(r.tokens()) - l.deficit
			if missing <= 0 {
				return r
			}
			rounds = min(rounds, math.Ceil(missing/(quantumTokens*l.cust.weight)))
			l.quantumGranted = false
			b.current = l.next
		}
		if math.IsInf(rounds, 1) {
			return nil
		}
		b.grantRounds(epoch, rounds-1)
	}
	return nil
}

// grantRounds adds whole rounds of quanta at once, so that small weights and large
// requests do not cost one pass per round.
func (b *band) grantRounds(epoch uint64, rounds float64) {
	l := b.current
	for range b.customers {
		if l.head(epoch) != nil {
			l.deficit += rounds * quantumTokens * l.cust.weight
		}
		l = l.next
	}
}

// tier is the waiting work of one service tier.
type tier struct {
	rank            int
	minShare        float64
	cumulativeBound int64 // of the waiting tokens of this and all lower tiers
	preempts        bool
	waitingTokens   int64
	sheddableTokens int64
	waiting         int
	// credit is the minimum share not yet received, in tokens.
	credit     float64
	lateCredit float64
	bands      [2]band // requests that can meet their target, and late ones
	customers  map[domain.CustomerID]*customer
	byLoad     indexedHeap[*customer] // largest load first
	running    []*Request
	// preempted lists waiting requests that were preempted, oldest first.
	preempted []*Request
}

const (
	bandOnTime = 0
	bandLate   = 1
)

// markLate puts a request behind those that can still meet their target.
func (t *tier) markLate(r *Request) {
	c, g := r.cust, r.flow.group
	t.unlink(r)
	r.late = true
	t.link(r, c, g)
}

// link puts a request into its band; unlink takes it out.
func (t *tier) link(r *Request, c *customer, g *group) {
	i := bandOnTime
	if r.late {
		i = bandLate
	}
	l := &c.queues[i]
	l.push(r, g)
	t.bands[i].add(l)
	t.bands[i].waiting++
}

func (t *tier) unlink(r *Request) {
	l := r.flow.queue
	i := bandOnTime
	if r.late {
		i = bandLate
	}
	l.remove(r)
	t.bands[i].waiting--
	if len(l.flows) == 0 {
		t.bands[i].remove(l)
	}
	if t.bands[bandLate].waiting == 0 {
		t.lateCredit = 0
	}
}

// firstPreempted returns the first preempted request whose group is not blocked.
func (t *tier) firstPreempted(epoch uint64) *Request {
	for _, r := range t.preempted {
		if r.flow.group.blocked != epoch {
			return r
		}
	}
	return nil
}

// peek returns the tier's next request. Preempted requests go first: their
// callers hold a part of the answer, and each second of the pause counts
// against the interval between tokens. Late requests run when no other can
// be placed, or when they are below their share of the tier.
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
