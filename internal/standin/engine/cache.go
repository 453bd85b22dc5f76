package engine

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndyke/auburndyke/internal/ports"
)

// maxCacheEvents bounds the event backlog; older events are lost to readers.
const maxCacheEvents = 4096

type pastEvent struct {
	at    time.Time
	event ports.CacheEvent
}

// prefixCache is a least-recently-used set of prompt prefixes. Each prefix is
// named by the xxhash64 of all prompt bytes up to the end of its block.
type prefixCache struct {
	blockBytes int
	capacity   int
	order      *list.List
	blocks     map[uint64]*list.Element
	events     []pastEvent
	seq        uint64
	lose       func() bool
}

func newPrefixCache(blockBytes, capacity int, lose func() bool) *prefixCache {
	return &prefixCache{
		blockBytes: blockBytes,
		capacity:   capacity,
		order:      list.New(),
		blocks:     make(map[uint64]*list.Element),
		lose:       lose,
	}
}

// Prefixes returns the names of a prompt's cacheable prefixes, shortest first.
func Prefixes(prompt string, blockBytes int) []uint64 {
	var out []uint64
	digest := xxhash.New()
	for len(prompt) >= blockBytes {
		_, _ = digest.WriteString(prompt[:blockBytes])
		out = append(out, digest.Sum64())
		prompt = prompt[blockBytes:]
	}
	return out
}

// use stores the prefixes and returns how many leading ones were held before.
func (c *prefixCache) use(prefixes []uint64, now time.Time) int {
	hits := 0
	for i, p := range prefixes {
		el, held := c.blocks[p]
		if held {
			c.order.MoveToFront(el)
		} else {
			c.blocks[p] = c.order.PushFront(p)
			c.record(p, true, now)
		}
		if held && hits == i {
			hits++
		}
	}
	for c.order.Len() > c.capacity {
		oldest := c.order.Back()
		p := c.order.Remove(oldest).(uint64)
		delete(c.blocks, p)
		c.record(p, false, now)
	}
	return hits
}

func (c *prefixCache) record(prefix uint64, stored bool, now time.Time) {
	c.seq++
	if c.lose() {
		return
	}
	event := ports.CacheEvent{Seq: c.seq, Prefix: prefix, Stored: stored}
	c.events = append(c.events, pastEvent{at: now, event: event})
	if len(c.events) > maxCacheEvents {
		c.events = append([]pastEvent{}, c.events[maxCacheEvents/4:]...)
	}
}

// after returns the events behind seq that happened at or before until.
func (c *prefixCache) after(seq uint64, until time.Time) []ports.CacheEvent {
	out := []ports.CacheEvent{}
	for _, p := range c.events {
		if p.event.Seq > seq && !p.at.After(until) {
			out = append(out, p.event)
		}
	}
	return out
}
