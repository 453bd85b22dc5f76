package balancer

import (
	"container/list"

	"github.com/auburndyke/auburndyke/internal/splitmix"
)

// Prompt is the parts of a prompt as chained hashes, so that equal hashes mean
// equal beginnings. It is made once for a request.
type Prompt struct {
	hashes []uint64
	tokens []int
	total  int
	// unshared is the number of tokens of the last part.
	unshared int
	// affinity identifies all parts but the last. Zero means that the prompt
	// shares nothing.
	affinity uint64
}

// NewPrompt returns the prompt that consists of parts, in order. The last part
// is the request's own.
func NewPrompt(parts []Part) Prompt {
	var p Prompt
	var h uint64
	for i, part := range parts {
		h = splitmix.Finalize(h ^ part.ID + 0x9e3779b97f4a7c15)
		p.hashes = append(p.hashes, h)
		p.tokens = append(p.tokens, part.Tokens)
		p.total += part.Tokens
		if i == len(parts)-2 {
			p.affinity = h
		}
	}
	if len(parts) > 0 {
		p.unshared = parts[len(parts)-1].Tokens
	}
	return p
}

// Tokens is the length of the prompt.
func (p *Prompt) Tokens() int { return p.total }

func (p *Prompt) empty() bool { return len(p.hashes) == 0 }

// prefixCache predicts which prompt parts an engine's memory holds: those that
// were sent there last, up to the engine's capacity in tokens.
type prefixCache struct {
	capacity int
	used     int
	order    list.List // of cachedPart, most recently used first
	parts    map[uint64]*list.Element
}

type cachedPart struct {
	hash   uint64
	tokens int
}

// uncached returns the number of tokens of a prompt that the cache lacks. A
// part counts as held only if all parts before it are.
func (c *prefixCache) uncached(p *Prompt) int {
	missing := p.total
	for i, hash := range p.hashes {
		if c.parts[hash] == nil {
			break
		}
		missing -= p.tokens[i]
	}
	return missing
}

// add records that the prompt was sent to the engine.
func (c *prefixCache) add(p *Prompt) {
	if c.capacity == 0 {
		return
	}
	if c.parts == nil {
		c.parts = make(map[uint64]*list.Element)
	}
	for i, hash := range p.hashes {
		if e := c.parts[hash]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.parts[hash] = c.order.PushFront(cachedPart{hash, p.tokens[i]})
		c.used += p.tokens[i]
	}
	for c.used > c.capacity {
		last := c.order.Back()
		part := c.order.Remove(last).(cachedPart)
		delete(c.parts, part.hash)
		c.used -= part.tokens
	}
}
