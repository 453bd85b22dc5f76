package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against picking an upstream that must not get the request, and against
// an explanation without the reason for its exclusion.
func TestPickExcludes(t *testing.T) {
	cases := []struct {
		name   string
		change func(r *Router, q *Request, u *Upstream)
		reason Reason
	}{
		{"leaving", func(_ *Router, _ *Request, u *Upstream) { u.State.SetLeaving(true) }, ReasonLeaving},
		{"tried", func(_ *Router, q *Request, u *Upstream) { q.Tried = []int{u.Index} }, ReasonTried},
		{"model", func(_ *Router, q *Request, _ *Upstream) { q.Model = "other" }, ReasonModel},
		{"kind", func(_ *Router, q *Request, _ *Upstream) { q.Kind = "service" }, ReasonKind},
		{"role", func(_ *Router, _ *Request, u *Upstream) { u.Upstream.Role = "decode" }, ReasonRole},
		{"ejected", func(_ *Router, _ *Request, u *Upstream) { u.State.health.eject(start) }, ReasonEjected},
		{"slots", func(_ *Router, _ *Request, u *Upstream) { u.State.inFlight.Store(2) }, ReasonNoSlot},
		{"refusing", func(_ *Router, _ *Request, u *Upstream) {
			u.State.Acquire(start, 2, 1, 0).Release(start, ResultRefused)
		}, ReasonRefusing},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, q := testRouter(1, 2)
			c.change(r, q, r.Table().Members()[0])
			q.Explain = &Explanation{}
			_, ok := r.Pick(start, q, newRNG())
			assert.Assert(t, !ok)
			assert.DeepEqual(t, q.Explain.Excluded, []Exclusion{{"u0", c.reason}})
		})
	}
}

// Guards against more attempts in flight than there are slots, and against slots
// that stay taken after their release.
func TestPickHonorsSlotLimit(t *testing.T) {
	r, q := testRouter(3, 2)
	rng := newRNG()
	var slots []*Slot
	for range 6 {
		c, ok := r.Pick(start, q, rng)
		assert.Assert(t, ok)
		slots = append(slots, c.Slot)
	}
	_, ok := r.Pick(start, q, rng)
	assert.Assert(t, !ok)
	assert.Assert(t, slots[0].Release(start, ResultOK))
	assert.Assert(t, !slots[0].Release(start, ResultOK))
	_, ok = r.Pick(start, q, rng)
	assert.Assert(t, ok)
	_, ok = r.Pick(start, q, rng)
	assert.Assert(t, !ok)
}

// Guards against using a remote region while a local upstream is as good, and
// against staying local when local upstreams are much slower.
func TestPickPrefersLocalRegion(t *testing.T) {
	r, q := testRouter(9, 100)
	q.DryRun = true
	rng := newRNG()
	for range 200 {
		c, ok := r.Pick(start, q, rng)
		assert.Assert(t, ok && !c.Remote)
	}
	for _, u := range r.Table().Members() {
		if !u.Remote {
			slot := u.State.Acquire(start, 100, 100, 0)
			slot.ObserveFirstToken(start.Add(5 * time.Second))
		}
	}
	c, ok := r.Pick(start.Add(5*time.Second), q, rng)
	assert.Assert(t, ok && c.Remote, "local upstreams are slow")
}

// Guards against sampling a remote upstream whose cost is not lower than that of
// every local one, and against always picking the same one of upstreams with
// nearly equal cost.
func TestNearBestPickerSamples(t *testing.T) {
	local, remote := &Upstream{State: &State{}}, &Upstream{State: &State{}, Remote: true}
	candidates := []Candidate{
		{Upstream: local, Cost: 0.200},
		{Upstream: remote, Cost: 0.201},
		{Upstream: local, Cost: 0.205},
		{Upstream: local, Cost: 0.900},
	}
	q := &Query{Request: &Request{}}
	rng := newRNG()
	var picked [4]int
	for range 1000 {
		i, near := NearBestPicker{}.Pick(q, candidates, rng)
		assert.Equal(t, near, 2)
		picked[i]++
	}
	assert.Assert(t, picked[1] == 0 && picked[3] == 0)
	assert.Assert(t, picked[0] > picked[2] && picked[2] > 250, "%v", picked)
}
