package usage

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// collectTime is how long after the end of a window its counts are collected, or after
	// the takeover by a daemon that became the holder later. It covers a query of each of
	// 330 daemons and a repetition to those that did not answer.
	collectTime = 3500 * time.Millisecond
	// dueMargin is how long before the report is due the collection ends at the latest. It
	// covers the write of the row and a call.
	dueMargin = time.Second
	// queryInterval is the time between two queries of a daemon.
	queryInterval = 500 * time.Millisecond
	// queryTick is the time between two batches of queries, and queryBatch their size. The
	// answers to a batch, about six datagrams each at 60 requests a second, fit into the
	// receive buffer of a socket (about 90 datagrams) and into a link of 10 Mbit/s; 330
	// daemons are queried within 1.6 s. Batches of 16 brought up to 119 datagrams at once.
	queryTick  = 50 * time.Millisecond
	queryBatch = 10
	// maxQueryBatch is the size of the batches if a daemon became the holder so late that
	// smaller ones would not reach all others. Some answers may then be lost.
	maxQueryBatch = 40
	// firstQueryShare is the share of the collection's time within which all are queried
	// for the first time.
	firstQueryShare = 0.45
)

// collection is the collection of the counts of one window. Times are those of the boot
// clock.
type collection struct {
	window int64
	// ends is when the collection ends without the daemons that have not answered.
	ends time.Duration
	// batch is the number of queries in a queryTick.
	batch   int
	daemons map[string]*asked
}

// asked is a daemon that is asked for its counts.
type asked struct {
	at      time.Duration
	queries int
	// held are the totals in its answer. Nil means that it has not answered.
	held []Held
}

// query is a query to a daemon for its own counts, or for those of the wanted origins.
type query struct {
	to     string
	wanted []Origin
}

// newCollection starts to collect the counts of a window that ended at a time, and whose
// report is due at another.
func newCollection(now time.Duration, window int64, ended, due time.Duration, daemons []string) *collection {
	c := &collection{window: window, daemons: make(map[string]*asked)}
	c.ends = max(min(max(ended, now)+collectTime, due-dueMargin), now)
	for _, d := range daemons {
		c.daemons[d] = &asked{}
	}
	ticks := max(firstQueryShare*float64(c.ends-now)/float64(queryTick), 1)
	c.batch = min(max(int(math.Ceil(float64(len(daemons))/ticks)), queryBatch), maxQueryBatch)
	return c
}

// answer records an answer. Daemons that were not asked are heard as well.
func (c *collection) answer(sender string, held []Held) {
	a := c.daemons[sender]
	if a == nil {
		if len(c.daemons) >= maxOrigins {
			return
		}
		a = &asked{}
		c.daemons[sender] = a
	}
	a.held = slices.Clone(held)
	if a.held == nil {
		a.held = []Held{}
	}
}

// missing returns the origins whose counts in a daemon's answer are not known in full.
func (c *collection) missing(a *asked, total func(Origin) int64) []Origin {
	var out []Origin
	for _, h := range a.held {
		if h.Window == c.window && total(h.Origin) < h.Total {
			out = append(out, h.Origin)
		}
	}
	return out
}

// next returns the queries that are due.
func (c *collection) next(now time.Duration, total func(Origin) int64) []query {
	var out []query
	for _, d := range slices.Sorted(maps.Keys(c.daemons)) {
		a := c.daemons[d]
		if a.queries > 0 && now-a.at < queryInterval {
			continue
		}
		missing := c.missing(a, total)
		if a.held != nil && len(missing) == 0 {
			continue
		}
		out = append(out, query{d, missing[:min(len(missing), maxWanted)]})
	}
	// Those that were asked least often come first, so that none waits for the others.
	slices.SortStableFunc(out, func(a, b query) int { return c.daemons[a.to].queries - c.daemons[b.to].queries })
	out = out[:min(len(out), c.batch)]
	for _, q := range out {
		c.daemons[q.to].at = now
		c.daemons[q.to].queries++
	}
	return out
}

// silent returns the number of daemons whose counts are not known in full.
func (c *collection) silent(total func(Origin) int64) int {
	n := 0
	for _, a := range c.daemons {
		if a.held == nil || len(c.missing(a, total)) > 0 {
			n++
		}
	}
	return n
}

// ranAtStart reports whether a daemon has said that it ran when the window began.
func (c *collection) ranAtStart() bool {
	for _, a := range c.daemons {
		if slices.ContainsFunc(a.held, func(h Held) bool { return h.Window == c.window }) {
			return true
		}
	}
	return false
}

// done reports whether the collection has ended.
func (c *collection) done(now time.Duration, total func(Origin) int64) bool {
	return now >= c.ends || c.silent(total) == 0
}
