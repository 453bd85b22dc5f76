package replay

import "time"

// epoch is the time of the first moment of a trace.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// clock is virtual time: a heap of events by time and creation.
type clock struct {
	elapsed time.Duration
	seq     uint64
	events  []event
}

func (c *clock) now() time.Time { return epoch.Add(c.elapsed) }

// after runs fn once d has passed.
func (c *clock) after(d time.Duration, fn func()) {
	c.seq++
	c.events = append(c.events, event{at: c.elapsed + max(d, 0), seq: c.seq, run: fn})
	c.up(len(c.events) - 1)
}

// run handles events until none is left or the limit is reached.
func (c *clock) run(limit time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= limit {
		e := c.pop()
		c.elapsed = e.at
		e.run()
	}
}

func (c *clock) pop() event {
	top := c.events[0]
	last := len(c.events) - 1
	c.events[0] = c.events[last]
	c.events[last] = event{}
	c.events = c.events[:last]
	c.down()
	return top
}

func (c *clock) less(i, j int) bool {
	a, b := &c.events[i], &c.events[j]
	return a.at < b.at || (a.at == b.at && a.seq < b.seq)
}

func (c *clock) up(i int) {
	for i > 0 && c.less(i, (i-1)/2) {
		c.events[i], c.events[(i-1)/2] = c.events[(i-1)/2], c.events[i]
		i = (i - 1) / 2
	}
}

func (c *clock) down() {
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(c.events) {
			return
		}
		if child+1 < len(c.events) && c.less(child+1, child) {
			child++
		}
		if !c.less(child, i) {
			return
		}
		c.events[i], c.events[child] = c.events[child], c.events[i]
		i = child
	}
}
