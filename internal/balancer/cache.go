package balancer

import (
	"container/list"

	"github.com/auburndyke/auburndyke/internal/splitmix"
)

// Prompt is a prompt as chained hashes of its parts, so that equal hashes mean equal
// prefixes. It is built once for each request.
type Prompt struct {
	hashes []uint64
	tokens []int
	total  int
	// unshared is the number of tokens of the last part.
	unshared int
	// affinity is the hash of all parts but the last. Zero means that the prompt has
	// no shared parts.
	affinity uint64
}

// NewPrompt returns the prompt that consists of parts, in order. The last part
// belongs to this request alone.
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

// Tokens returns the length of the prompt.
func (p *Prompt) Tokens() int { return p.total }

func (p *Prompt) empty() bool { return len(p.hashes) == 0 }

// prefixCache models the prefix cache of an engine: it holds the prompt parts that
// this daemon sent there most recently, up to the engine's capacity in tokens.
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

// uncached returns the number of tokens of a prompt that the cache lacks. A part
// counts as cached only if all parts before it are.
func (c *prefixCache) uncached(p *Prompt) int {
	tokens := p.total
	for i, hash := range p.hashes {
		if c.parts[hash] == nil {
			break
		}
		tokens -= p.tokens[i]
	}
	return tokens
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
