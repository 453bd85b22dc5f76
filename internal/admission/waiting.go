package admission

import "slices"

// insert adds a request to all structures of waiting requests.
func (q *Queue) insert(r *Request) {
	t := q.tiers[r.Rank]
	c := t.customers[r.Customer]
	if c == nil {
		c = &customer{id: r.Customer, tier: t, loadIndex: -1}
		c.queues[bandOnTime].cust, c.queues[bandLate].cust = c, c
		t.customers[r.Customer] = c
	}
	c.weight = r.weight()
	g := q.groups[r.Group]
	if g == nil {
		g = &group{id: r.Group}
		q.groups[r.Group] = g
	}
	g.waiting++
	q.waiting++
	t.waiting++
	r.state, r.cust = stateWaiting, c
	q.maxRequestTokens = max(q.maxRequestTokens, r.tokens())
	t.waitingTokens += r.tokens()
	c.waitingTokens += r.tokens()
	if r.preemptions == 0 {
		t.sheddableTokens += r.tokens()
		c.sheddableTokens += r.tokens()
		c.appendArrival(r)
		if r.MaxWait > 0 {
			q.expiry.push(r)
		}
	} else {
		t.preempted = append(t.preempted, r)
	}
	if c.loadIndex < 0 {
		t.byLoad.push(c)
	} else {
		t.byLoad.fix(c)
	}
	t.link(r, c, g)
}

// remove takes a request out of all structures of waiting requests.
func (q *Queue) remove(r *Request) {
	t, c, g := q.tiers[r.Rank], r.cust, r.flow.group
	t.unlink(r)
	if r.preemptions == 0 {
		t.sheddableTokens -= r.tokens()
		c.sheddableTokens -= r.tokens()
		c.removeArrival(r)
		if r.MaxWait > 0 {
			q.expiry.remove(r)
		}
	} else {
		i := slices.Index(t.preempted, r)
		t.preempted = slices.Delete(t.preempted, i, i+1)
	}
	t.waitingTokens -= r.tokens()
	c.waitingTokens -= r.tokens()
	r.cust = nil
	t.waiting--
	q.waiting--
	g.waiting--
	if g.waiting == 0 {
		if g.blocked == q.epoch {
			q.blockedGroups--
		}
		delete(q.groups, g.id)
	}
	if t.waiting == 0 {
		t.credit = 0
	}
	if c.waitingTokens > 0 {
		t.byLoad.fix(c)
		return
	}
	t.byLoad.remove(c)
	delete(t.customers, c.id)
}

// appendArrival puts a request at the end of the customer's list by arrival. A
// request that is put back counts as arriving again.
func (c *customer) appendArrival(r *Request) {
	r.prev, r.next = c.last, nil
	if c.last != nil {
		c.last.next = r
	} else {
		c.first = r
	}
	c.last = r
}

func (c *customer) removeArrival(r *Request) {
	if r.prev != nil {
		r.prev.next = r.next
	} else {
		c.first = r.next
	}
	if r.next != nil {
		r.next.prev = r.prev
	} else {
		c.last = r.prev
	}
	r.prev, r.next = nil, nil
}
