package routing

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	// PrefixBlockBytes is the length of one prompt block in bytes.
	PrefixBlockBytes = 1024
	// PrefixBlockTokens is the assumed number of tokens in a block.
	PrefixBlockTokens = 256
	// MaxPrefixBlocks bounds the leading blocks that are hashed.
	MaxPrefixBlocks = 16

	prefixEntries = 4096 // 32 KiB per upstream
	missRateGain  = 0.05
)

// PrefixHashes appends to dst the xxhash64 of the prompt's first block, of its
// first two blocks, and so on, up to MaxPrefixBlocks. A last block that is not
// full is left out.
func PrefixHashes(dst []uint64, prompt []byte) []uint64 {
	var d xxhash.Digest
	d.Reset()
	for n := 0; n < MaxPrefixBlocks && len(prompt) >= PrefixBlockBytes; n++ {
		_, _ = d.Write(prompt[:PrefixBlockBytes]) // never fails
		prompt = prompt[PrefixBlockBytes:]
		dst = append(dst, d.Sum64())
	}
	return dst
}

// PrefixSet tracks which prompt prefixes are in an engine's prefix cache. It is a
// direct-mapped table in which colliding entries replace each other, so its size
// is bounded and it is lossy, as cache events are. The zero value is empty. All
// methods are safe for concurrent use.
type PrefixSet struct {
	entries  atomic.Pointer[prefixTable] // nil until the first Add
	missRate atomic.Int64                // share of expected tokens that were not cached, in ppm
	lastSeq  atomic.Uint64
}

type prefixTable [prefixEntries]atomic.Uint64

// Add records that a prefix is probably cached.
func (p *PrefixSet) Add(hash uint64) {
	t := p.entries.Load()
	if t == nil {
		p.entries.CompareAndSwap(nil, &prefixTable{})
		t = p.entries.Load()
	}
	if t == nil {
		return // a concurrent Clear removed the table
	}
	t[hash%prefixEntries].Store(hash)
}

// Apply applies one cache event. Events older than the latest are ignored. Lost
// events are tolerated: if they make expectations wrong, Observe lowers HitRate.
func (p *PrefixSet) Apply(e ports.CacheEvent) {
	for {
		last := p.lastSeq.Load()
		if e.Seq <= last && e.Seq != 0 {
			return
		}
		if p.lastSeq.CompareAndSwap(last, e.Seq) {
			break
		}
	}
	if e.Stored {
		p.Add(e.Prefix)
		return
	}
	if t := p.entries.Load(); t != nil {
		t[e.Prefix%prefixEntries].CompareAndSwap(e.Prefix, 0)
	}
}

// LastSeq returns the sequence number of the latest event.
func (p *PrefixSet) LastSeq() uint64 { return p.lastSeq.Load() }

// Clear removes all prefixes and resets the sequence number, for an engine that
// restarted.
func (p *PrefixSet) Clear() {
	p.entries.Store(nil)
	p.lastSeq.Store(0)
}

// Match returns the number of leading blocks that are probably cached.
func (p *PrefixSet) Match(prefix []uint64) int {
	t := p.entries.Load()
	if t == nil {
		return 0
	}
	for i, hash := range prefix {
		if t[hash%prefixEntries].Load() != hash {
			return i
		}
	}
	return len(prefix)
}

// Observe updates HitRate with the expected number of cached tokens of a request
// and the number that the engine reported.
func (p *PrefixSet) Observe(expected, cached int) {
	if expected <= 0 {
		return
	}
	sample := 1e6 * (1 - min(float64(cached)/float64(expected), 1))
	old := p.missRate.Load()
	p.missRate.Store(old + int64(missRateGain*(sample-float64(old))))
}

// HitRate returns the moving average of the fraction of expected cached tokens
// that were in the cache, from 0 to 1.
func (p *PrefixSet) HitRate() float64 { return 1 - float64(p.missRate.Load())/1e6 }
