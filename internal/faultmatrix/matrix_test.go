package faultmatrix

import (
	"fmt"
	"os"
	"runtime/debug"
	"testing"
	"testing/synctest"
)

// TestMain collects garbage less often: each bubble has a small heap, and
// collections took a fifth of the time.
func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}

const gcPercent = 400

// runCell runs one cell as a subtest in virtual time.
func runCell(t *testing.T, c cell) {
	synctest.Test(t, func(t *testing.T) {
		for _, v := range c.run() {
			t.Error(v)
		}
	})
}

// Guards against faults that break an invariant: each fault is injected at
// each step.
func TestSingleFaults(t *testing.T) {
	for i, st := range steps() {
		for j, f := range faults() {
			if f.unfit(&st) != "" {
				continue
			}
			t.Run(fmt.Sprintf("%s/%s", st.name, f.name), func(t *testing.T) {
				t.Parallel()
				runCell(t, cell{step: st, faults: []fault{f}, seed: uint64(1 + i*100 + j)})
			})
		}
	}
}
