package estimate

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndyke/auburndyke/internal/domain"
)

const (
	// minSamples is the number of samples below which a coarser key is used.
	minSamples = 30
	// lengthShards splits the copy-on-write maps, so that adding a key copies
	// a small part only.
	lengthShards = 64
	// maxKeysPerShard bounds the memory; further customers use their class.
	maxKeysPerShard = 512
	// defaultLength is assumed before any answer was seen, in tokens.
	defaultLength = 256
)

// LengthKey says whose answers are described. An empty Customer stands for all
// customers of the class, and an empty Class for all classes of the model.
type LengthKey struct {
	Model    domain.ModelID
	Class    domain.ClassID
	Customer domain.CustomerID
}

// Lengths predicts answer lengths in tokens. The zero value is ready for use.
// All methods are safe for concurrent use; reads take no lock and do not
// allocate.
type Lengths struct {
	shards [lengthShards]lengthShard
}

type lengthShard struct {
	byKey  atomic.Pointer[map[LengthKey]*Histogram]
	adding sync.Mutex // held only while a key is added
}

func (l *Lengths) shard(k LengthKey) *lengthShard {
	h := xxhash.Sum64String(string(k.Customer)) ^ 31*xxhash.Sum64String(string(k.Class))
	return &l.shards[h%lengthShards]
}

func (l *Lengths) find(k LengthKey) *Histogram {
	if m := l.shard(k).byKey.Load(); m != nil {
		return (*m)[k]
	}
	return nil
}

func (l *Lengths) findOrAdd(k LengthKey) *Histogram {
	if h := l.find(k); h != nil {
		return h
	}
	s := l.shard(k)
	s.adding.Lock()
	defer s.adding.Unlock()
	old := s.byKey.Load()
	next := map[LengthKey]*Histogram{}
	if old != nil {
		if h := (*old)[k]; h != nil {
			return h
		}
		if len(*old) >= maxKeysPerShard {
			return nil
		}
		next = maps.Clone(*old)
	}
	h := &Histogram{}
	next[k] = h
	s.byKey.Store(&next)
	return h
}

// Observe records the length of a finished answer.
func (l *Lengths) Observe(k LengthKey, tokens int) {
	for _, key := range k.withFallbacks() {
		if h := l.findOrAdd(key); h != nil {
			h.Observe(tokens)
		}
	}
}

// withFallbacks lists the key and its fallbacks, finest first.
func (k LengthKey) withFallbacks() [3]LengthKey {
	return [3]LengthKey{k, {Model: k.Model, Class: k.Class}, {Model: k.Model}}
}

// histogramFor returns the finest histogram with enough samples, or else the coarsest
// one with any.
func (l *Lengths) histogramFor(k LengthKey) *Histogram {
	var some *Histogram
	for _, key := range k.withFallbacks() {
		h := l.find(key)
		if h == nil || h.Count() == 0 {
			continue
		}
		if h.Count() >= minSamples {
			return h
		}
		some = h
	}
	return some
}

// Quantile returns the length that a fraction q (0 to 1) of answers do not
// exceed, at most limit. A limit of zero means none.
func (l *Lengths) Quantile(k LengthKey, q float64, limit int) int {
	if h := l.histogramFor(k); h != nil {
		return limited(h.Quantile(q, 0), limit)
	}
	return limited(defaultLength, limit)
}

// Expected returns the mean length, at most limit.
func (l *Lengths) Expected(k LengthKey, limit int) int {
	return l.Remaining(k, 0, limit)
}

// Remaining returns the expected number of further tokens of an answer that
// has soFar tokens, where the whole answer has at most limit.
func (l *Lengths) Remaining(k LengthKey, soFar, limit int) int {
	mean := 0.0
	if h := l.histogramFor(k); h != nil {
		mean = h.Mean(soFar)
	}
	whole := int(mean + 0.5)
	if whole == 0 {
		// No answer was this long; assume that half as much again follows.
		whole = max(defaultLength, soFar+soFar/2+1)
	}
	return max(limited(whole, limit)-soFar, 0)
}

func limited(n, limit int) int {
	if limit > 0 {
		return min(n, limit)
	}
	return n
}
