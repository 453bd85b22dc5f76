package usage

import (
	"slices"
	"time"
)

const (
	// copyInterval is how often a daemon sends copies of its counts.
	copyInterval = time.Second
	// copiedWindows is the number of windows of which copies are sent.
	copiedWindows = 4
	// copyTargets is the number of daemons that keep copies.
	copyTargets = 2
	// silentAfter is the number of copies without a response after which another daemon
	// gets them. Two may be lost on a saturated link.
	silentAfter = 3
	// silentTime is how long a silent daemon gets no copies.
	silentTime = 30 * time.Second
)

// copies decides which counts a daemon sends to the daemons that keep copies. Times are
// those of the boot clock.
type copies struct {
	sentAt  time.Duration
	targets map[string]*copyTarget
}

// copyTarget is a daemon that keeps copies.
type copyTarget struct {
	// held is the total that it has of each window.
	held       map[int64]int64
	unanswered int
	// silentUntil is set for a daemon that did not respond.
	silentUntil time.Duration
}

// next returns what to send: to each target the windows of which it does not have all
// counts. candidates are the other daemons in the order in which they are used.
func (c *copies) next(now time.Duration, candidates []string, current int64, total func(window int64) int64) map[string][]int64 {
	if c.targets == nil {
		c.targets = make(map[string]*copyTarget)
	} else if now-c.sentAt < copyInterval {
		return nil
	}
	c.sentAt = now
	out := make(map[string][]int64)
	var used []string
	for _, address := range candidates {
		t := c.targets[address]
		if t == nil {
			t = &copyTarget{}
			c.targets[address] = t
		}
		if t.unanswered >= silentAfter {
			t.unanswered, t.held, t.silentUntil = 0, nil, now+silentTime
		}
		if now < t.silentUntil {
			continue
		}
		for w := current - copiedWindows + 1; w <= current; w++ {
			if total(w) > t.held[w] {
				out[address] = append(out[address], w)
			}
		}
		if len(out[address]) > 0 {
			t.unanswered++
		}
		if used = append(used, address); len(used) == copyTargets {
			break
		}
	}
	// What a daemon holds is not known any more once it gets no copies.
	for address, t := range c.targets {
		if !slices.Contains(used, address) && now >= t.silentUntil {
			delete(c.targets, address)
		}
	}
	return out
}

// confirm records what a daemon holds. Its earlier process may have held more.
func (c *copies) confirm(address string, held []Held) {
	t := c.targets[address]
	if t == nil {
		return
	}
	t.unanswered, t.silentUntil = 0, 0
	t.held = make(map[int64]int64, len(held))
	for _, h := range held {
		t.held[h.Window] = h.Total
	}
}
