package faultmatrix

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
)

const (
	tableFile = "../../docs/fault-matrix.md"
	gcPercent = 400
	// pairSeed and pairSample choose the pairs that run in each build.
	pairSeed   = 20
	pairSample = 16
)

// TestMain collects garbage less often: each bubble has a small heap, and
// collections took a fifth of the time.
func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}

// inShard reports whether this process runs cell i. Under the race detector a
// bubble has one processor, so .ci/run divides the cells among processes:
// AUBURNDYKE_SHARD is "1/3" in the second of three.
func inShard(i int) bool {
	shard := os.Getenv("AUBURNDYKE_SHARD")
	if shard == "" {
		return true
	}
	var k, n int
	if _, err := fmt.Sscanf(shard, "%d/%d", &k, &n); err != nil || n < 1 {
		panic(fmt.Sprintf("AUBURNDYKE_SHARD is %q, not \"k/n\"", shard))
	}
	return i%n == k
}

// runCell runs one cell in virtual time.
func runCell(t *testing.T, c cell) (ok bool) {
	virtualtime.Test(t, func(t *testing.T) {
		violations := c.run()
		for _, v := range violations {
			t.Error(v)
		}
		ok = len(violations) == 0
	})
	return ok
}

// Guards against faults that break an invariant: each fault is injected at
// each step. The table of results is compared with the published one.
func TestSingleFaults(t *testing.T) {
	var mu sync.Mutex
	results := make(outcomes)
	applicable := 0
	t.Run("cells", func(t *testing.T) {
		for i, st := range steps() {
			for j, f := range faults() {
				if f.unfit(&st) != "" {
					continue
				}
				applicable++
				if !inShard(applicable) {
					continue
				}
				t.Run(fmt.Sprintf("%s/%s", st.name, f.name), func(t *testing.T) {
					t.Parallel()
					result := failed
					if runCell(t, cell{step: st, faults: []fault{f}, seed: uint64(1 + i*100 + j)}) {
						result = passed
					}
					mu.Lock()
					defer mu.Unlock()
					results[[2]string{st.name, f.name}] = result
				})
			}
		}
	})
	if len(results) < applicable {
		t.Logf("%d of %d cells ran; the table is not compared", len(results), applicable)
		return
	}
	compareTable(t, table(results))
}

func compareTable(t *testing.T, got string) {
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(tableFile, []byte(got), 0o644))
		return
	}
	want, err := os.ReadFile(tableFile)
	assert.NilError(t, err)
	assert.Equal(t, got, string(want), "run with -update after a change of steps or faults")
}

// Guards against new work at a drained upstream from a daemon that joined
// shortly before and that the accepting daemon does not know yet.
func TestDrainWhileDaemonsStart(t *testing.T) {
	for j, f := range faults() {
		st := startStep()
		if f.unfit(&st) != "" || !inShard(j) {
			continue
		}
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			runCell(t, cell{step: st, faults: []fault{f}, seed: uint64(1 + 1000 + j)})
		})
	}
}

// Guards against faults that break an invariant only together or in sequence.
// The sample is fixed; AUBURNDYKE_RUNS runs others.
func TestPairs(t *testing.T) {
	runPairs(t, pairSeed, pairSample)
}

// Guards against combinations that the fixed sample does not have. It runs
// when AUBURNDYKE_RUNS is the number of cells; AUBURNDYKE_SEED repeats a run.
func TestRandomFaults(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv("AUBURNDYKE_RUNS"))
	if n == 0 {
		t.Skip("AUBURNDYKE_RUNS is not set")
	}
	seed, err := strconv.ParseUint(os.Getenv("AUBURNDYKE_SEED"), 10, 64)
	if err != nil {
		seed = rand.Uint64()
	}
	t.Logf("AUBURNDYKE_SEED=%d AUBURNDYKE_RUNS=%d", seed, n)
	runPairs(t, seed, n)
}

func runPairs(t *testing.T, seed uint64, n int) {
	for i, c := range pairs(seed, n) {
		if !inShard(i) {
			continue
		}
		t.Run(fmt.Sprintf("%d %s/%s+%s", i, c.step.name, c.faults[0].name, c.faults[1].name), func(t *testing.T) {
			t.Parallel()
			runCell(t, c)
		})
	}
}

// Guards against a region that does not serve by itself during a long
// partition, or does not catch up after it. The region has two daemons: one
// that hears nobody starts no new work, because it cannot learn of a leave. It
// runs when AUBURNDYKE_LONG is set.
func TestRegionCutForAnHour(t *testing.T) {
	if os.Getenv("AUBURNDYKE_LONG") == "" {
		t.Skip("AUBURNDYKE_LONG is not set")
	}
	for _, oneWay := range []bool{false, true} {
		t.Run(fmt.Sprintf("one-way=%v", oneWay), func(t *testing.T) {
			t.Parallel()
			cut := fault{name: "region cut for an hour", hold: time.Hour, inject: cutRegion(oneWay)}
			runCell(t, cell{step: step{drive: spreadConfiguration}, faults: []fault{cut}, seed: 1, daemons: 6})
		})
	}
}
