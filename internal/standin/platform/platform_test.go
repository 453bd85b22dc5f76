package platform_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/platform"
	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// Guards against limits that let through more than configured.
func TestThrottling(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := platform.New(platform.Config{WriteRate: 100, ReadRate: 1000, WeightRate: 2})
		c := p.Client("d1")
		p.SetWeights("w", 1)
		writes, reads, sizes := 0, 0, 0
		for range 2000 {
			if _, err := c.Commit(t.Context(), ports.Write{Key: "k", Unconditional: true}); err == nil {
				writes++
			} else {
				assert.ErrorIs(t, err, ports.ErrThrottled)
			}
			if _, err := c.Get(t.Context(), "k"); err == nil {
				reads++
			}
			if _, err := c.Size(t.Context(), "w"); err == nil {
				sizes++
			}
			time.Sleep(500 * time.Microsecond)
		}
		assert.Assert(t, writes >= 195 && writes <= 201, "%d", writes)
		assert.Assert(t, reads >= 1950 && reads <= 2000, "%d", reads)
		assert.Assert(t, sizes >= 3 && sizes <= 4, "%d", sizes)
		counters := p.Counters()
		assert.Equal(t, counters.Writes, writes)
		assert.Equal(t, counters.Reads, reads+sizes)
	})
}

// Guards against a follower that misses a write between the pages of a scan.
func TestPagedFollower(t *testing.T) {
	p := platform.New(platform.Config{})
	c := p.Client("d1")
	ctx := t.Context()
	rng := rand.New(rand.NewPCG(1, 1))
	known := map[string]ports.Version{}
	change := func() {
		key := fmt.Sprintf("k/%02d", rng.IntN(40))
		_, err := c.Commit(ctx, ports.Write{Key: key, Delete: rng.IntN(3) == 0, Unconditional: true})
		assert.NilError(t, err)
	}
	var since ports.Version
	follow := func(between func()) {
		next, after := since, ""
		for page := 0; ; page++ {
			rows, err := c.Scan(ctx, "k/", after, 7, since)
			assert.NilError(t, err)
			for _, row := range rows {
				if page == 0 {
					next = max(next, row.Version)
				}
				known[row.Key] = row.Version
				if row.Deleted {
					delete(known, row.Key)
				}
				after = row.Key
			}
			if len(rows) < 7 {
				break
			}
			between()
		}
		since = next
	}
	for range 300 {
		change()
		follow(change)
	}
	// Each of these rounds sees only what the rounds before left behind.
	for range 10 {
		follow(func() {})
	}
	rows, err := c.Scan(ctx, "k/", "", 0, 0)
	assert.NilError(t, err)
	want := map[string]ports.Version{}
	for _, row := range rows {
		want[row.Key] = row.Version
	}
	assert.DeepEqual(t, known, want)
}

// registerInput reads the row, or replaces the value expect by value. Each
// value is written once, so it stands for the row's version.
type registerInput struct {
	read          bool
	expect, value string
}

type registerOutput struct {
	value string
	// conflict and open are the results of commits; an open one may or may not
	// have taken effect.
	conflict, open bool
}

var registerModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		in, out := input.(registerInput), output.(registerOutput)
		matches := in.expect == state
		switch {
		case in.read && out.value == state, !in.read && out.open && !matches, !in.read && out.conflict && !matches:
			return []any{state}
		case in.read, out.conflict:
			return nil
		case out.open:
			return []any{state, in.value}
		case matches:
			return []any{in.value}
		}
		return nil
	},
	Equal: reflect.DeepEqual,
}).ToModel()

// Guards against a table whose concurrent commits and lost answers give
// results that no serial order explains.
func TestLinearizable(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := platform.New(platform.Config{Latency: 4 * time.Millisecond})
		var mu sync.Mutex
		var operations []platform.Operation
		p.Record(func(op platform.Operation) {
			mu.Lock()
			defer mu.Unlock()
			operations = append(operations, op)
		})
		p.SetFaults(platform.Faults{LoseAnswers: 0.2})
		var wg sync.WaitGroup
		for n := range 6 {
			wg.Go(func() { contend(t.Context(), p.Client(fmt.Sprintf("d%d", n)), uint64(n)) })
		}
		wg.Wait()
		p.Record(nil)
		assert.Equal(t, len(operations), 300)
		assert.Assert(t, p.Counters().Lost > 0 && p.Counters().Conflicts > 0)
		history := toHistory(t, operations)
		assert.Equal(t, porcupine.CheckOperationsTimeout(registerModel, history, 0), porcupine.Ok)
	})
}

// contend reads the row and writes it under the version that it read.
func contend(ctx context.Context, c ports.Table, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	for i := range 25 {
		rows, _ := c.Get(ctx, "r")
		var expect ports.Version
		if len(rows) > 0 {
			expect = rows[0].Version
		}
		time.Sleep(time.Duration(rng.IntN(4)) * time.Millisecond)
		_, _ = c.Commit(ctx, ports.Write{Key: "r", Expect: expect, Value: fmt.Appendf(nil, "%d/%d", seed, i)})
	}
}

func toHistory(t *testing.T, operations []platform.Operation) []porcupine.Operation {
	values := map[ports.Version]string{0: ""}
	for _, op := range operations {
		for _, row := range op.Rows {
			values[row.Version] = string(row.Value)
		}
	}
	history := []porcupine.Operation{}
	for _, op := range operations {
		in, out := registerInput{read: op.Kind == platform.KindGet}, registerOutput{}
		end := op.Return.UnixNano()
		var conflict *ports.ConflictError
		switch {
		case errors.As(op.Err, &conflict):
			out.conflict = true
		case errors.Is(op.Err, ports.ErrUnknownOutcome):
			out.open = true
			end = math.MaxInt64
		default:
			assert.NilError(t, op.Err)
		}
		if in.read && len(op.Rows) > 0 {
			out.value = string(op.Rows[0].Value)
		}
		if !in.read {
			in.expect, in.value = values[op.Writes[0].Expect], string(op.Writes[0].Value)
		}
		history = append(history, porcupine.Operation{Input: in, Output: out, Call: op.Call.UnixNano(), Return: end})
	}
	return history
}
