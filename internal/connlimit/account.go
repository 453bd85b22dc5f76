package connlimit

import (
	"cmp"
	"slices"
	"time"
)

// FreeCost is the cost of a header for which nothing is reserved, in bytes. It covers 30
// lines with 2 KB, so that ordinary callers are served when the account is exhausted. It
// counts as part of ConnectionCost.
const FreeCost = 16 << 10

// ConnectionCost is the memory of one connection in bytes: FreeCost, and the server's
// buffers, stack and records of the connection.
const ConnectionCost = FreeCost + 20<<10

// ID names a connection.
type ID uint64

// Limits are the limits of an account. Zero means no limit.
type Limits struct {
	// HeaderBytes is the memory for all headers beyond FreeCost, in bytes.
	HeaderBytes int64
	// Connections is the number of connections of each group.
	Connections []int
}

type state int

const (
	reading state = iota // a header is expected for the first time, or is arriving
	serving              // a header is complete and its request in progress
	idle                 // between two requests
	closing              // being closed, while the server still holds the header
)

const noGroup = -1

type connection struct {
	id ID
	// group is noGroup once the connection no longer counts.
	group int
	state state
	// since is when the state began.
	since time.Time
	cost  int64
}

// reserved returns the part of the connection's cost that counts.
func (c *connection) reserved() int64 { return max(c.cost-FreeCost, 0) }

// Account decides which connections are closed. A group is the connections of one
// listener. It is not safe for concurrent use.
type Account struct {
	limits   Limits
	conns    map[ID]*connection
	groups   map[int]int
	reserved int64
	// leaving is the part of reserved that closing connections hold.
	leaving int64
	last    ID
}

// NewAccount returns an account without connections.
func NewAccount(l Limits) *Account {
	return &Account{limits: l, conns: make(map[ID]*connection), groups: make(map[int]int)}
}

// SetLimits changes the limits. What is reserved stays reserved.
func (a *Account) SetLimits(l Limits) { a.limits = l }

// Reserved returns the memory that is reserved for headers.
func (a *Account) Reserved() int64 { return a.reserved }

// Connections returns the number of connections of a group.
func (a *Account) Connections(group int) int { return a.groups[group] }

// Open adds a connection. If its group is full, another one of the group is closed: the
// one that has waited longest for its header, or else the one that has been idle for
// longest. It no longer counts for the group. Without either, ok is false.
func (a *Account) Open(group int, now time.Time) (id ID, closed []ID, ok bool) {
	if group < len(a.limits.Connections) && a.limits.Connections[group] > 0 && a.groups[group] >= a.limits.Connections[group] {
		oldest := a.oldest(group)
		if oldest == nil {
			return 0, nil, false
		}
		closed = []ID{oldest.id}
		a.close(oldest)
		a.leaveGroup(oldest)
	}
	a.last++
	a.conns[a.last] = &connection{id: a.last, group: group, since: now}
	a.groups[group]++
	return a.last, closed, true
}

// oldest returns the connection of a group that Open closes, or nil.
func (a *Account) oldest(group int) *connection {
	var found *connection
	for _, c := range a.conns {
		if c.group == group && (c.state == reading || c.state == idle) && (found == nil || closesBefore(c, found)) {
			found = c
		}
	}
	return found
}

// closesBefore reports whether a full group closes c rather than d.
func closesBefore(c, d *connection) bool {
	return cmp.Or(cmp.Compare(c.state, d.state), c.since.Compare(d.since), cmp.Compare(c.id, d.id)) < 0
}

// Read records that a header begins to arrive on an idle connection.
func (a *Account) Read(id ID, now time.Time) { a.enter(id, reading, now) }

// Verdict is what becomes of a header.
type Verdict int

const (
	// Granted means that the memory is reserved.
	Granted Verdict = iota
	// Wait means that the memory becomes available when connections that are being closed
	// have ended. Charge must be called again then.
	Wait
	// Refused means that the connection must be closed.
	Refused
)

// Charge records that the header of a connection, as far as it has arrived, costs so
// much. If the memory is not available, unfinished headers that cost more are closed,
// the largest first. What they hold becomes available when Close is called for them.
func (a *Account) Charge(id ID, cost int64) (closed []ID, v Verdict) {
	c := a.conns[id]
	if c == nil || c.state == closing {
		return nil, Refused
	}
	needed := max(cost-FreeCost, 0) - c.reserved()
	if missing := a.reserved + needed - a.limits.HeaderBytes; needed > 0 && a.limits.HeaderBytes > 0 && missing > 0 {
		if missing <= a.leaving {
			return nil, Wait
		}
		if closed = a.heavier(c, cost, missing-a.leaving); closed == nil {
			a.close(c)
			return []ID{id}, Refused
		}
		for _, other := range closed {
			a.close(a.conns[other])
		}
		return closed, Wait
	}
	a.reserved += needed
	c.cost = cost
	return nil, Granted
}

// close records that a connection is being closed.
func (a *Account) close(c *connection) {
	c.state = closing
	a.leaving += c.reserved()
}

// heavier returns unfinished headers, the largest first, that cost more than the given
// one and hold at least needed bytes, or nil.
func (a *Account) heavier(than *connection, cost, needed int64) []ID {
	var others []*connection
	for _, c := range a.conns {
		if c != than && c.state == reading && c.cost > cost && c.reserved() > 0 {
			others = append(others, c)
		}
	}
	slices.SortFunc(others, func(c, d *connection) int {
		return cmp.Or(cmp.Compare(d.cost, c.cost), cmp.Compare(c.id, d.id))
	})
	var ids []ID
	for _, c := range others {
		if needed <= 0 {
			break
		}
		needed -= c.reserved()
		ids = append(ids, c.id)
	}
	if needed > 0 {
		return nil
	}
	return ids
}

// Serve records that a header is complete. It reports false for a connection that has
// been closed, whose request must not run.
func (a *Account) Serve(id ID, now time.Time) bool { return a.enter(id, serving, now) }

// Idle records that a request has ended, and releases what its header held.
func (a *Account) Idle(id ID, now time.Time) {
	if c := a.conns[id]; c != nil && c.state != closing {
		a.release(c)
		a.enter(id, idle, now)
	}
}

func (a *Account) enter(id ID, s state, now time.Time) bool {
	c := a.conns[id]
	if c == nil || c.state == closing {
		return false
	}
	c.state, c.since = s, now
	return true
}

// Close removes a connection. One that is already removed is ignored.
func (a *Account) Close(id ID) {
	c := a.conns[id]
	if c == nil {
		return
	}
	a.release(c)
	a.leaveGroup(c)
	delete(a.conns, id)
}

// leaveGroup makes room for another connection of the group.
func (a *Account) leaveGroup(c *connection) {
	if c.group != noGroup {
		a.groups[c.group]--
		c.group = noGroup
	}
}

// release returns what a connection's header holds.
func (a *Account) release(c *connection) {
	if c.state == closing {
		a.leaving -= c.reserved()
	}
	a.reserved -= c.reserved()
	c.cost = 0
}
