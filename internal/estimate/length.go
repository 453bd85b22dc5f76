package estimate

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndyke/auburndyke/internal/domain"
)

const (
	// minSamples is the number of samples that a histogram needs; with fewer, a
	// coarser key is used.
	minSamples = 30
	// lengthShards is the number of copy-on-write maps that the keys are spread
	// over, so that adding a key copies few others.
	lengthShards = 64
	// maxKeysPerShard bounds the memory. Customers beyond it use the histogram
	// of their class.
	maxKeysPerShard = 512
	// defaultLength is the response length, in tokens, that is assumed before
	// any response finished.
	defaultLength = 256
)

// LengthKey identifies a group of responses. An empty Customer stands for all
// customers of the class, and an empty Class for all classes of the model.
type LengthKey struct {
	Model    domain.ModelID
	Class    domain.ClassID
	Customer domain.CustomerID
}

// Lengths predicts response lengths in tokens. The zero value is ready for use.
// All methods are safe for concurrent use; reads take no lock and do not
// allocate.
type Lengths struct {
	shards [lengthShards]lengthShard
}

type lengthShard struct {
	byKey atomic.Pointer[map[LengthKey]*Histogram]
	addMu sync.Mutex // held only while a key is added
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
	s.addMu.Lock()
	defer s.addMu.Unlock()
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

// Observe records the length of a finished response.
func (l *Lengths) Observe(k LengthKey, tokens int) {
	for _, key := range k.withFallbacks() {
		if h := l.findOrAdd(key); h != nil {
			h.Observe(tokens)
		}
	}
}

// withFallbacks returns the key and its fallbacks, finest first.
func (k LengthKey) withFallbacks() [3]LengthKey {
	return [3]LengthKey{k, {Model: k.Model, Class: k.Class}, {Model: k.Model}}
}

// histogramFor returns the histogram of the finest key with at least minSamples,
// else that of the coarsest key with any, or nil.
func (l *Lengths) histogramFor(k LengthKey) *Histogram {
	var coarsest *Histogram
	for _, key := range k.withFallbacks() {
		h := l.find(key)
		if h == nil || h.Count() == 0 {
			continue
		}
		if h.Count() >= minSamples {
			return h
		}
		coarsest = h
	}
	return coarsest
}

// Quantile returns the q-quantile (q from 0 to 1) of the response length, at most
// limit. A limit of zero means none.
func (l *Lengths) Quantile(k LengthKey, q float64, limit int) int {
	if h := l.histogramFor(k); h != nil {
		return limited(h.Quantile(q, 0), limit)
	}
	return limited(defaultLength, limit)
}

// Expected returns the mean response length, at most limit.
func (l *Lengths) Expected(k LengthKey, limit int) int {
	return l.Remaining(k, 0, limit)
}

// Remaining returns the expected number of further tokens of a response with the
// given number of generated tokens. The whole response has at most limit tokens.
func (l *Lengths) Remaining(k LengthKey, generated, limit int) int {
	mean := 0.0
	if h := l.histogramFor(k); h != nil {
		mean = h.Mean(generated)
	}
	total := int(mean + 0.5)
	if total == 0 {
		// No recorded response was longer; assume half as many further tokens.
		total = max(defaultLength, generated+generated/2+1)
	}
	return max(limited(total, limit)-generated, 0)
}

func limited(n, limit int) int {
	if limit > 0 {
		return min(n, limit)
	}
	return n
}
