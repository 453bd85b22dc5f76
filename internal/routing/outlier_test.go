package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serve runs n attempts at an upstream with the given time to first token and
// result.
func serve(u *Upstream, now time.Time, n int, firstToken time.Duration, result Result) {
	for range n {
		slot := u.State.Acquire(now.Add(-firstToken), 100, 100, 100)
		if slot == nil {
			return
		}
		if result == ResultOK {
			slot.ObserveFirstToken(now)
		}
		slot.Release(now, result)
	}
}

// Guards against a slow upstream that stays in use, that is not used again after
// it has recovered, or that gets its full load at once when it recovers.
func TestOutlierIsEjectedProbedAndSlowStarted(t *testing.T) {
	r, q := testRouter(6, 100)
	members := r.Table().Members()
	now := start.Add(time.Minute)
	for i, u := range members {
		first := 200 * time.Millisecond
		if i == 0 {
			first = 3 * time.Second
		}
		serve(u, now, 20, first, ResultOK)
	}
	out := EjectOutliers(now, r.Table())
	assert.Equal(t, len(out), 1)
	assert.Assert(t, out[0].Upstream == members[0] && !out[0].Suppressed)
	slow := members[0].State
	assert.Assert(t, slow.Acquire(now, 100, 1, 0) == nil)

	now = now.Add(baseEjection)
	rng := newRNG()
	probes := 0
	for range 5000 {
		c, ok := r.Pick(now, q, rng)
		assert.Assert(t, ok)
		if c.Upstream == 0 {
			assert.Assert(t, slow.Acquire(now, 100, 1, 0) == nil, "one probe at a time")
			probes++
		}
		c.Slot.ObserveFirstToken(now.Add(200 * time.Millisecond))
		c.Slot.Release(now.Add(time.Second), ResultOK)
		if !slow.health.needsProbe() {
			break
		}
	}
	assert.Equal(t, probes, probesToRecover)
	assert.Equal(t, len(EjectOutliers(now, r.Table())), 0)
	assert.Equal(t, slow.limit(now.Add(time.Second), 100), int64(10))
}

// Guards against a failed probe after which the upstream is used again, and
// against an ejection time that does not grow with repeated ejections.
func TestFailedProbeEjectsLonger(t *testing.T) {
	r, _ := testRouter(1, 10)
	u := r.Table().Members()[0]
	h := &u.State.health
	h.eject(start)
	now := start.Add(baseEjection)
	u.State.Acquire(now, 10, 1, 0).Release(now, ResultFailed)
	assert.Equal(t, h.check(now.Add(2*baseEjection-1)), ReasonEjected)
	assert.Equal(t, h.check(now.Add(2*baseEjection)), Keep)
}

// Guards against ejecting so many upstreams that the others are overloaded.
func TestEjectionsPerGroupAreLimited(t *testing.T) {
	for _, n := range []int{1, 2, 3, 9, 30} {
		r, _ := testRouter(n, 100)
		for i, u := range r.Table().Members() {
			result := ResultFailed
			if n > 3 && i%2 == 0 {
				result = ResultOK
			}
			serve(u, start, 20, 100*time.Millisecond, result)
		}
		out := EjectOutliers(start, r.Table())
		out = append(out, EjectOutliers(start, r.Table())...)
		ejections := 0
		for _, e := range out {
			if !e.Suppressed {
				ejections++
			}
		}
		limit := int(maxEjectedFraction * float64(n))
		if n == 2 {
			limit = 1
		}
		assert.Equal(t, ejections, limit, "group of %d", n)
	}
}

// Guards against ejecting upstreams when all of them are slow, as in a burst of
// requests.
func TestCommonSlownessEjectsNone(t *testing.T) {
	r, _ := testRouter(6, 100)
	now := start.Add(time.Minute)
	for _, u := range r.Table().Members() {
		serve(u, now, 20, 100*time.Millisecond, ResultOK)
	}
	for _, u := range r.Table().Members() {
		serve(u, now.Add(time.Second), 5, 5*time.Second, ResultOK)
	}
	assert.Equal(t, len(EjectOutliers(now.Add(time.Second), r.Table())), 0)
}
