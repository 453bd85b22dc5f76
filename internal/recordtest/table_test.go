// Package recordtest runs the packages that keep durable state against an
// in-memory table with fault switches, in virtual time.
package recordtest

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/auburndyke/auburndyke/internal/ports"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fault is what happens to one call.
type fault int

const (
	none        fault = iota
	refused           // no effect, ErrUnavailable
	throttled         // no effect, ErrThrottled
	lostBefore        // no effect, ErrUnknownOutcome
	lostAfter         // effect, ErrUnknownOutcome
	late              // ErrUnknownOutcome now, effect lateness later
	slow              // effect after a second
	silent            // no answer until the caller gives up; effect
	faultsCount       // number of faults
)

const lateness = 700 * time.Millisecond

// table is an in-memory table and object store.
type table struct {
	mu      sync.Mutex
	rows    map[string]ports.Row
	objects map[string][]byte
	version ports.Version
	commits int
	written int
	reads   int
	// plan chooses the fault of each call; op is get, scan, commit, put or
	// read. Nil means none.
	plan func(op string) fault
	// latency is how long each call takes.
	latency time.Duration
}

func newTable() *table {
	return &table{rows: map[string]ports.Row{}, objects: map[string][]byte{}}
}

// enter applies the fault of a call around its effect.
func (t *table) enter(ctx context.Context, op string, effect func() error) error {
	f := none
	t.mu.Lock()
	if t.plan != nil {
		f = t.plan(op)
	}
	latency := t.latency
	t.mu.Unlock()
	switch f {
	case refused:
		return ports.ErrUnavailable
	case throttled:
		return ports.ErrThrottled
	case lostBefore:
		return ports.ErrUnknownOutcome
	case lostAfter:
		_ = t.locked(effect)
		return ports.ErrUnknownOutcome
	case late:
		time.AfterFunc(lateness, func() { _ = t.locked(effect) })
		return ports.ErrUnknownOutcome
	case silent:
		_ = t.locked(effect)
		<-ctx.Done()
		return ctx.Err()
	case slow:
		latency += time.Second
	}
	if latency > 0 {
		time.Sleep(latency)
	}
	return t.locked(effect)
}

func (t *table) locked(effect func() error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return effect()
}

func (t *table) Get(ctx context.Context, keys ...string) ([]ports.Row, error) {
	var rows []ports.Row
	err := t.enter(ctx, "get", func() error {
		t.reads++
		for _, k := range keys {
			if row, ok := t.rows[k]; ok {
				rows = append(rows, row)
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return rows, nil
}

func (t *table) Scan(ctx context.Context, prefix, after string, limit int, since ports.Version) ([]ports.Row, error) {
	var rows []ports.Row
	err := t.enter(ctx, "scan", func() error {
		for k, row := range t.rows {
			if strings.HasPrefix(k, prefix) && k > after && row.Version > since {
				rows = append(rows, row)
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	slices.SortFunc(rows, func(a, b ports.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (t *table) Commit(ctx context.Context, writes ...ports.Write) (ports.Version, error) {
	var version ports.Version
	err := t.enter(ctx, "commit", func() error {
		t.commits++
		var failed []string
		for _, w := range writes {
			if !w.Unconditional && t.rows[w.Key].Version != w.Expect {
				failed = append(failed, w.Key)
			}
		}
		if len(failed) > 0 {
			return &ports.ConflictError{Keys: failed}
		}
		t.version++
		t.written += len(writes)
		version = t.version
		for _, w := range writes {
			if w.Delete {
				delete(t.rows, w.Key)
				continue
			}
			t.rows[w.Key] = ports.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: version}
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	return version, nil
}

func (t *table) Put(ctx context.Context, name string, data []byte) error {
	return t.enter(ctx, "put", func() error {
		t.objects[name] = slices.Clone(data)
		return nil
	})
}

func (t *table) Read(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	err := t.enter(ctx, "read", func() error {
		var ok bool
		if data, ok = t.objects[name]; !ok {
			return ports.ErrNotFound
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return data, nil
}

// setPlan replaces the fault plan.
func (t *table) setPlan(plan func(op string) fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan = plan
}

// nth returns a plan in which only call n (from 0) has the fault.
func nth(n int, f fault) func(string) fault {
	calls := -1
	return func(string) fault {
		calls++
		if calls == n {
			return f
		}
		return none
	}
}

// seed is fixed unless AUBURNDYKE_TEST_SEED is set.
func seed(t *testing.T) uint64 {
	t.Helper()
	text := os.Getenv("AUBURNDYKE_TEST_SEED")
	if text == "" {
		return 1
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("AUBURNDYKE_TEST_SEED: %v", err)
	}
	return n
}

// seeder returns random sources that differ but depend on seed alone.
func seeder(t *testing.T) func() *rand.Rand {
	base := seed(t)
	var mu sync.Mutex
	n := uint64(0)
	return func() *rand.Rand {
		mu.Lock()
		defer mu.Unlock()
		n++
		return rand.New(rand.NewPCG(base, n))
	}
}
