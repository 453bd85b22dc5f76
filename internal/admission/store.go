package admission

import "slices"

// insert adds a request to the waiting work.
func (q *Queue) insert(r *Request) {
	t := q.tiers[r.Rank]
	c := t.customers[r.Customer]
	if c == nil {
		c = &customer{id: r.Customer, tier: t, heavyIndex: -1}
		c.lines[bandOnTime].cust, c.lines[bandLate].cust = c, c
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
	q.largest = max(q.largest, r.tokens())
	t.tokens += r.tokens()
	c.tokens += r.tokens()
	if r.preemptions == 0 {
		t.sheddable += r.tokens()
		c.sheddable += r.tokens()
		c.append(r)
		if r.MaxWait > 0 {
			q.expiry.push(r)
		}
	} else {
		t.preempted = append(t.preempted, r)
	}
	if c.heavyIndex < 0 {
		t.heavy.push(c)
	} else {
		t.heavy.fix(c)
	}
	t.link(r, c, g)
}

// remove takes a waiting request out of all structures.
func (q *Queue) remove(r *Request) {
	t, c, g := q.tiers[r.Rank], r.cust, r.flow.group
	t.unlink(r)
	if r.preemptions == 0 {
		t.sheddable -= r.tokens()
		c.sheddable -= r.tokens()
		c.cut(r)
		if r.MaxWait > 0 {
			q.expiry.remove(r)
		}
	} else {
		i := slices.Index(t.preempted, r)
		t.preempted = slices.Delete(t.preempted, i, i+1)
	}
	t.tokens -= r.tokens()
	c.tokens -= r.tokens()
	r.cust = nil
	t.waiting--
	q.waiting--
	g.waiting--
	if g.waiting == 0 {
		if g.blocked == q.epoch {
			q.blocked--
		}
		delete(q.groups, g.id)
	}
	if t.waiting == 0 {
		t.credit = 0
	}
	if c.tokens > 0 {
		t.heavy.fix(c)
		return
	}
	t.heavy.remove(c)
	delete(t.customers, c.id)
}

// append puts a request at the end of the customer's arrivals. A returned
// request counts as arriving again.
func (c *customer) append(r *Request) {
	r.prev, r.next = c.last, nil
	if c.last != nil {
		c.last.next = r
	} else {
		c.first = r
	}
	c.last = r
}

func (c *customer) cut(r *Request) {
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
