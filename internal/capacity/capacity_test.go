package capacity

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a fit that misses a known line or hides a bad one.
func TestLeastSquares(t *testing.T) {
	exact := LeastSquares([]Point{{1, 5}, {2, 7}, {4, 11}})
	assert.Assert(t, math.Abs(exact.Slope-2) < 1e-9 && math.Abs(exact.Intercept-3) < 1e-9 && exact.R2 > 0.999999)
	assert.Equal(t, LeastSquares([]Point{{1, 2}, {2, 0}, {3, 2}}).R2, 0.0)
	assert.Equal(t, LeastSquares([]Point{{3, 2}, {3, 4}}).At(100), 3.0)
}

// Guards against figures off a line that does not fit, and against values
// invented outside the measured range of such a slope.
func TestValue(t *testing.T) {
	step := Slope{Points: []Point{{1, 1}, {2, 9}, {3, 1}}}
	step.Fit = LeastSquares(step.Points)
	assert.Equal(t, step.value(1.5), 5.0)
	assert.Equal(t, step.value(7), 1.0)
	line := Slope{Points: []Point{{1, 1}, {2, 2}, {3, 3}}}
	line.Fit = LeastSquares(line.Points)
	assert.Assert(t, math.Abs(line.value(300)-300) < 1e-9)
}

// Guards against derived loads that contradict each other.
func TestLittlesLaw(t *testing.T) {
	s := Planned()
	near := func(got, want float64) {
		t.Helper()
		assert.Assert(t, math.Abs(got/want-1) < 0.01, "got %v, want %v", got, want)
	}
	near(s.Streams(), 57_400)
	near(s.StreamsPerDaemon(), 174)
	near(s.EventsPerDaemon(), 3000)
	near(s.RequestsPerDaemon(), 7.88)
	near(s.StreamsPerUpstream(), 23)
	near(s.RequestsPerSecond*s.TokensPerRequest()*s.TokenInterval.Seconds(), s.Streams())
}

// Guards against a broken limit that the report does not show and a missing
// slope that counts as zero.
func TestExtrapolation(t *testing.T) {
	list := slopes(map[string][]Point{
		"relay/events":     {{750, 10}, {1500, 20}, {3000, 40}},
		"platform/writes":  {{8, 0.8}, {32, 3.2}, {128, 12.8}},
		"claims/writes":    {{26, 52}, {130, 260}, {650, 1300}},
		"mesh/idle-bytes":  {{8, 900}, {330, 1000}},
		"relay/added-p99":  {{1500, 0.4}},
		"platform/unknown": {{1, 1}},
	})
	assert.Equal(t, len(list), 5)
	figures := map[string]Figure{}
	for _, f := range extrapolate(Planned(), list) {
		figures[f.Name] = f
	}
	assert.Assert(t, math.Abs(figures["periodic writes"].Value-33) < 0.1)
	relay := figures["relaying token events"]
	assert.Assert(t, relay.Over() && relay.Mechanism == "internal/exchange", "%+v", relay)
	claimed := figures["claims of 25% of requests, writes"]
	assert.Assert(t, claimed.Over())
	missing := figures["periodic reads"]
	assert.Assert(t, math.IsNaN(missing.Value) && number(missing.Value) == "not measured")
}

// Guards against measurements that fail or that leave a slope out. The sizes
// are small; the values mean nothing.
func TestSmokeRun(t *testing.T) {
	var progress bytes.Buffer
	report, err := Run(t.Context(), Options{Progress: &progress, smoke: true})
	assert.NilError(t, err)
	assert.Equal(t, len(report.Slopes), len(definitions))
	for _, f := range report.Figures {
		assert.Assert(t, !math.IsNaN(f.Value), "%s: %s", f.Role, f.Name)
	}
	var text, markdown bytes.Buffer
	assert.NilError(t, report.WriteText(&text))
	assert.NilError(t, report.WriteMarkdown(&markdown))
	assert.Assert(t, strings.Contains(markdown.String(), "| relay/events |"))
	t.Log(progress.String())
}
