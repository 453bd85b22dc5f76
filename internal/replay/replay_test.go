package replay

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const traceDir = "../../testdata/traces"

// committed reads a committed trace with its faults.
func committed(t *testing.T, name string) (*Trace, []Fault) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(traceDir, name+".ndjson"))
	assert.NilError(t, err)
	trace, err := ReadTrace(bytes.NewReader(data))
	assert.NilError(t, err)
	data, err = os.ReadFile(filepath.Join(traceDir, name+".faults.ndjson"))
	if os.IsNotExist(err) {
		return trace, nil
	}
	assert.NilError(t, err)
	faults, err := ReadFaults(bytes.NewReader(data))
	assert.NilError(t, err)
	return trace, faults
}

// TestCommittedTracesAreGenerated guards against traces that differ from what
// the generator writes.
func TestCommittedTracesAreGenerated(t *testing.T) {
	for _, deployment := range Deployments {
		for _, scenario := range Scenarios {
			trace, _, err := Generate(deployment, scenario, 1)
			assert.NilError(t, err)
			var want bytes.Buffer
			assert.NilError(t, trace.Write(&want))
			got, err := os.ReadFile(filepath.Join(traceDir, deployment+"-"+scenario+".ndjson"))
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, want.Bytes()), "%s/%s", deployment, scenario)
		}
	}
}

// TestReplayIsDeterministic guards against map order, clocks or shared random
// sources that make two runs of one seed differ.
func TestReplayIsDeterministic(t *testing.T) {
	trace, faults := committed(t, "fryline-stragglers")
	var first, second bytes.Buffer
	assert.NilError(t, Replay(trace, faults, Policies, 7).WriteJSON(&first))
	assert.NilError(t, Replay(trace, faults, Policies, 7).WriteJSON(&second))
	assert.Equal(t, first.String(), second.String())
}

// TestReadTraceRejects guards against traces that would replay as something
// else than what was recorded.
func TestReadTraceRejects(t *testing.T) {
	header := `{"format":1,"daemons":[{"id":"d","region":"r"}],"engines":[{"id":"e"}],"tiers":[{"id":"t"}],"classes":[{"id":"c"}],"customers":[{"id":"u"}]}` + "\n"
	for _, tc := range []struct{ lines, want string }{
		{`{"format":2}`, "format 2"},
		{`{"format":1,"color":"red"}`, "unknown field"},
		{header + `{"at_ms":1,"region":"r","customer":"u","class":"x","prompt_tokens":1,"answer_tokens":1}`, `class "x"`},
		{header + `{"at_ms":1,"region":"q","customer":"u","class":"c","prompt_tokens":1,"answer_tokens":1}`, `region "q"`},
		{header + `{"at_ms":1,"region":"r","customer":"u","class":"c","prompt_tokens":1,"answer_tokens":0}`, "positive"},
	} {
		_, err := ReadTrace(strings.NewReader(tc.lines))
		assert.ErrorContains(t, err, tc.want)
	}
}

// eachTrace replays each committed trace once.
func eachTrace(t *testing.T, check func(t *testing.T, scenario string, r *Report)) {
	for _, deployment := range Deployments {
		for _, scenario := range Scenarios {
			t.Run(deployment+"/"+scenario, func(t *testing.T) {
				t.Parallel()
				trace, faults := committed(t, deployment+"-"+scenario)
				check(t, scenario, Replay(trace, faults, Policies, 1))
			})
		}
	}
}

const (
	urgentTarget      = 0.95
	oracleDistance    = 0.05
	overloadGoodput   = 1.3
	wasteWithout      = 0.02
	wasteWithFaults   = 0.05
	attainmentRounded = 1e-9
)

// TestTargets guards against decisions that break I1 to I4 under load and
// faults, and against those that miss the replay targets of the design page.
func TestTargets(t *testing.T) {
	eachTrace(t, func(t *testing.T, scenario string, r *Report) {
		for _, p := range r.Policies {
			assert.Equal(t, p.Violations, Violations{}, p.Policy)
		}
		p := r.Policy(PolicyAuburndyke)
		assert.Check(t, p.Classes[0].Attainment >= urgentTarget, "%s %.4f", p.Classes[0].Name, p.Classes[0].Attainment)
		oracle := r.Policy(PolicyOracle).Attainment
		assert.Check(t, p.Attainment >= oracle-oracleDistance-attainmentRounded, "attainment %.4f, oracle %.4f", p.Attainment, oracle)
		waste := wasteWithout
		if r.Faults > 0 {
			waste = wasteWithFaults
		}
		assert.Check(t, p.WastedShare < waste, "wasted %.4f", p.WastedShare)
		if scenario == "burst" {
			baseline := r.Policy(PolicyLeastRequests).Goodput
			assert.Check(t, float64(p.Goodput) >= overloadGoodput*float64(baseline), "goodput %d, leastrequests %d", p.Goodput, baseline)
		}
	})
}
