package ordering

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/httproute"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

var start = time.Unix(1_700_000_000, 0)

// twoZones returns an input with n upstreams of 10 slots in each of two zones, in which
// running requests run at each.
func twoZones(n, running int) Input {
	in := Input{Service: "model", Scaling: httproute.Scaling{
		Min: 1, Max: 20, StartTime: 4 * time.Second, ZonePrices: map[domain.AvailabilityZone]float64{"a": 0.8, "b": 1.2},
	}}
	for _, zone := range []domain.AvailabilityZone{"a", "b"} {
		for range n {
			in.Upstreams = append(in.Upstreams, Upstream{Zone: zone, Slots: 10, Running: running, Reported: true})
		}
	}
	return in
}

// observe passes an input on for some time and returns the last moment.
func observe(o *Orderer, from time.Time, length time.Duration, in Input) time.Time {
	now := from
	for ; now.Sub(from) <= length; now = now.Add(tickInterval) {
		o.Observe(now, true, []Input{in})
	}
	return now.Add(-tickInterval)
}

// Guards against a number that grows with each repeat, and against an order that is
// forgotten because its response was lost.
func TestUnansweredOrderIsRepeatedAsItIs(t *testing.T) {
	o := NewOrderer(100, true)
	now := observe(o, start, 10*time.Second, twoZones(4, 10))
	first := o.Next(now)
	assert.Assert(t, first != nil && first.Desired > 4, "%+v", first)
	o.Done(now, first, Unanswered)
	for now = now.Add(tickInterval); ; now = now.Add(tickInterval) {
		assert.Assert(t, now.Sub(start) < 20*time.Second, "not repeated")
		o.Observe(now, true, []Input{twoZones(4, 10)})
		next := o.Next(now)
		if next == nil {
			continue
		}
		if next.Zone == first.Zone {
			assert.Equal(t, next.Desired, first.Desired)
			assert.Equal(t, next.Reason, reasonRepeated)
			return
		}
		o.Done(now, next, Accepted)
	}
}

// Guards against a remainder that waits for a zone that has none, and against a zone that
// is never asked again.
func TestRefusedRemainderGoesToOtherZones(t *testing.T) {
	o := NewOrderer(100, true)
	now := observe(o, start, 10*time.Second, twoZones(4, 10))
	first := o.Next(now)
	assert.Assert(t, first != nil)
	o.Done(now, first, Refused)
	refusedAt := now
	wanted := make(map[domain.AvailabilityZone]int)
	for ; now.Sub(refusedAt) < refusedTime; now = now.Add(tickInterval) {
		o.Observe(now, true, []Input{twoZones(4, 10)})
		if next := o.Next(now); next != nil {
			assert.Assert(t, next.Zone != first.Zone, "asked again after %v", now.Sub(refusedAt))
			wanted[next.Zone] = next.Desired
			o.Done(now, next, Accepted)
		}
	}
	assert.Equal(t, len(wanted), 1)
	for zone, desired := range wanted {
		assert.Assert(t, desired > first.Desired, "%d in %s in place of both", desired, zone)
	}
	for ; now.Sub(refusedAt) < refusedTime+time.Minute; now = now.Add(tickInterval) {
		o.Observe(now, true, []Input{twoZones(4, 10)})
		if next := o.Next(now); next != nil && next.Zone == first.Zone {
			return
		}
	}
	t.Fatal("the zone was never asked again")
}

// Guards against orders by a daemon that does not hold the duties, and against one that
// takes over and gives upstreams up before it knows the load.
func TestNewHolderKeepsWhatExists(t *testing.T) {
	o := NewOrderer(100, true)
	in := twoZones(10, 0)
	now := start
	for ; now.Sub(start) < 2*learnTime; now = now.Add(tickInterval) {
		o.Observe(now, false, []Input{in})
		assert.Assert(t, o.Next(now) == nil)
	}
	took := now
	for ; ; now = now.Add(tickInterval) {
		assert.Assert(t, now.Sub(took) < time.Minute, "nothing was given up")
		o.Observe(now, true, []Input{in})
		if next := o.Next(now); next != nil {
			assert.Assert(t, now.Sub(took) >= holdTime(in.Scaling), "after %v", now.Sub(took))
			assert.Equal(t, next.Desired, 9)
			assert.Equal(t, next.Zone, domain.AvailabilityZone("b"), "the more expensive zone goes first")
			return
		}
	}
}

// Guards against an unknown load that is taken for none: too few reports, old ones, too
// few daemons, an empty or outdated list.
func TestUnknownLoadChangesNothing(t *testing.T) {
	for name, change := range map[string]func(*Input){
		"few reports": func(in *Input) {
			for i := range in.Upstreams[:11] {
				in.Upstreams[i].Reported = false
			}
		},
		"old reports": func(in *Input) {
			for i := range in.Upstreams {
				in.Upstreams[i].ReportAge = reportMaxAge
			}
		},
		"few daemons":   func(in *Input) { in.Work = &Work{Reporting: 40, Listed: 81} },
		"no work":       func(in *Input) { in.Work = &Work{} },
		"outdated list": func(in *Input) { in.Outdated = true },
		"empty list":    func(in *Input) { in.Upstreams = nil },
	} {
		t.Run(name, func(t *testing.T) {
			o := NewOrderer(100, true)
			now := observe(o, start, 2*learnTime, twoZones(10, 3))
			assert.Assert(t, o.Next(now) == nil)
			in := twoZones(10, 0)
			change(&in)
			for end := now.Add(2 * time.Minute); now.Before(end); now = now.Add(tickInterval) {
				status := o.Observe(now, true, []Input{in})
				assert.Assert(t, status[0].Unknown != "")
				assert.Assert(t, o.Next(now) == nil)
			}
		})
	}
}

// Guards against the order of a few upstreams in a zone that is cut off, which would end
// all others there when it returns, however long that takes.
func TestZoneThatIsCutOffKeepsItsNumber(t *testing.T) {
	o := NewOrderer(100, true)
	now := observe(o, start, 2*learnTime, twoZones(10, 1))
	lost, back := twoZones(10, 1), twoZones(10, 1)
	lost.Upstreams = lost.Upstreams[10:]
	back.Upstreams = back.Upstreams[9:]
	for step, in := range []Input{lost, back} {
		for end := now.Add([]time.Duration{3 * time.Minute, rememberTime - time.Second}[step]); now.Before(end); now = now.Add(tickInterval) {
			o.Observe(now, true, []Input{in})
			if next := o.Next(now); next != nil && next.Zone == "a" {
				assert.Assert(t, next.Desired >= 10, "%+v", next)
			}
		}
	}
}

// Guards against an accepted order without effect that is never repeated, and against
// a remainder that waits for it.
func TestMissingUpstreamsAreOrderedAgainAndElsewhere(t *testing.T) {
	o := NewOrderer(100, true)
	in := twoZones(4, 10)
	now := observe(o, start, 10*time.Second, in)
	first := o.Next(now)
	assert.Assert(t, first != nil)
	o.Done(now, first, Accepted)
	repeated, elsewhere := false, false
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(tickInterval) {
		o.Observe(now, true, []Input{in})
		next := o.Next(now)
		if next == nil {
			continue
		}
		repeated = repeated || next.Zone == first.Zone && next.Reason == reasonMissing
		elsewhere = elsewhere || next.Zone != first.Zone && next.Reason == reasonDemand
		o.Done(now, next, Accepted)
	}
	assert.Assert(t, repeated)
	assert.Assert(t, elsewhere)
}

// planOf returns six zones with n upstreams each, whose prices grow with their names.
func planOf(n, floor int) []*zonePlan {
	var out []*zonePlan
	for i, name := range []domain.AvailabilityZone{"a", "b", "c", "d", "e", "f"} {
		out = append(out, &zonePlan{
			name: name, price: float64(i + 1), ordered: true, complete: true, base: n, have: n, desired: n, floor: floor,
		})
	}
	return out
}

// Guards against a plan that puts most upstreams into the cheapest zone and can't serve a
// burst without it, and against one that ignores prices.
func TestPlanServesBurstWithoutAnyZone(t *testing.T) {
	scaling := httproute.Scaling{Min: 1, Max: 48}
	for demand := 50.0; demand <= 800; demand += 50 {
		zones := planOf(1, 0)
		n := needOf(demand, demand, 16, 288)
		assert.Assert(t, raise(zones, n, scaling), "%v", demand)
		assert.Assert(t, total(zones) >= n.burst)
		assert.Assert(t, total(zones)-largest(zones) >= n.withoutZone, "%d without %d", total(zones), largest(zones))
		assert.Assert(t, zones[0].desired >= zones[5].desired)
	}
	zones := planOf(10, 0)
	zones[0].have, zones[0].desired, zones[0].base = 40, 40, 40
	n := needOf(180, 180, 16, 288)
	for range 200 {
		for _, z := range zones {
			z.base = z.desired
		}
		lower(zones, n, scaling)
	}
	assert.Assert(t, total(zones) < 90, "nothing was given up")
	assert.Assert(t, total(zones)-largest(zones) >= n.withoutZone, "%d without %d", total(zones), largest(zones))
}

// Guards against upstreams that are taken from the zone in which callers are, because it
// is the most expensive one.
func TestZoneInUseKeepsItsUpstreams(t *testing.T) {
	zones := planOf(20, 1)
	zones[5].floor = 20
	lower(zones, needOf(1, 1, 16, 288), httproute.Scaling{Min: 1, Max: 48})
	assert.Equal(t, zones[5].desired, 20)
	assert.Assert(t, zones[4].desired < 20)
}

// Guards against an order while upstreams still register after the first start, whose
// number would end those that come later.
func TestNothingIsOrderedWhileUpstreamsRegister(t *testing.T) {
	o := NewOrderer(100, true)
	now := start
	for n := range 10 {
		for end := now.Add(2 * time.Second); now.Before(end); now = now.Add(tickInterval) {
			in := twoZones(n, 10)
			if n < 5 {
				in.Upstreams = in.Upstreams[n:]
			}
			o.Observe(now, true, []Input{in})
			assert.Assert(t, o.Next(now) == nil)
		}
	}
	now = observe(o, now, 10*time.Second, twoZones(10, 10))
	next := o.Next(now)
	assert.Assert(t, next != nil && next.Desired > 10, "%+v", next)
}

// Guards against more calls than the API accepts, when orders for many services fail.
func TestCallRateIsBounded(t *testing.T) {
	o := NewOrderer(2, true)
	var inputs []Input
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		in := twoZones(2, 10)
		in.Service = name
		inputs = append(inputs, in)
	}
	calls := 0
	for now := start; now.Sub(start) < 60*time.Second; now = now.Add(tickInterval) {
		o.Observe(now, true, inputs)
		if next := o.Next(now); next != nil {
			calls++
			o.Done(now, next, NotDone)
		}
	}
	// rateShare of 2 calls a second, after the wait for registrations.
	assert.Assert(t, calls >= 40 && calls <= 60, "%d calls in 60 s", calls)
}

// Guards against a holder that takes the duties again and orders by the numbers of its
// first term, after another holder has ordered more.
func TestEarlierTermIsForgotten(t *testing.T) {
	o := NewOrderer(100, true)
	now := observe(o, start, 10*time.Second, twoZones(4, 8))
	for range 20 {
		now = now.Add(tickInterval)
		o.Observe(now, true, []Input{twoZones(4, 8)})
		if next := o.Next(now); next != nil {
			o.Done(now, next, Accepted)
		}
	}
	for end := now.Add(15 * time.Second); now.Before(end); now = now.Add(tickInterval) {
		o.Observe(now, false, []Input{twoZones(18, 5)})
	}
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(tickInterval) {
		o.Observe(now, true, []Input{twoZones(18, 5)})
		if next := o.Next(now); next != nil {
			assert.Assert(t, next.Desired >= 18, "%+v", next)
			o.Done(now, next, Accepted)
		}
	}
}

// Guards against a zone that is given up but for its minimum because it is expensive.
func TestEachZoneKeepsHalfOfAnEvenShare(t *testing.T) {
	zones := planOf(30, 0)
	n := needOf(300, 300, 16, 288)
	for range 200 {
		for _, z := range zones {
			z.base = z.desired
		}
		lower(zones, n, httproute.Scaling{Min: 1, Max: 48})
	}
	for _, z := range zones {
		assert.Assert(t, z.desired*len(zones)*2 >= n.burst, "%d of %d in zone %s", z.desired, n.burst, z.name)
	}
}

// Guards against an error that looks like success or like a call without effect.
func TestOutcomes(t *testing.T) {
	for want, errs := range map[Outcome][]error{
		Accepted:   {nil},
		Refused:    {ports.ErrNotFound},
		NotDone:    {ports.ErrThrottled, ports.ErrUnavailable},
		Unanswered: {ports.ErrUnknownOutcome, context.DeadlineExceeded, errors.New("other"), errors.Join(ports.ErrUnknownOutcome, ports.ErrUnavailable)},
	} {
		for _, err := range errs {
			assert.Equal(t, outcomeOf(err), want, "%v", err)
		}
	}
}

// term plays the duties.
type term struct{ held, refuses bool }

func (d *term) Held() bool { return d.held }

func (d *term) Do(ctx context.Context, act func(context.Context, ports.DutyCall) error) error {
	if !d.held || d.refuses {
		return errors.New("not held")
	}
	return act(ctx, ports.DutyCall{Holder: "edge-1", Token: 3})
}

// recorder plays the API.
type recorder struct {
	ports.Duties
	orders []ports.UpstreamOrder
}

func (r *recorder) OrderUpstreams(ctx context.Context, call ports.DutyCall, o ports.UpstreamOrder) error {
	if _, bounded := ctx.Deadline(); !bounded || call.Token != 3 {
		return errors.New("call without a deadline or token")
	}
	r.orders = append(r.orders, o)
	return nil
}

// Guards against an order of a daemon whose term has ended that counts as sent, and
// against calls that are not bounded in time.
func TestRunnerSendsWhileItMayAct(t *testing.T) {
	duty, api := &term{held: true, refuses: true}, &recorder{}
	in := twoZones(4, 10)
	r := NewRunner(Config{
		Duty: duty, API: api, Inputs: func(time.Time) []Input { return []Input{in} }, CallRate: 1e6, FirstStart: true,
		Log: telemetry.NopLog(), Metrics: telemetry.NewMetrics(),
	})
	observe(r.orderer, time.Now().Add(-20*time.Second), 20*time.Second-tickInterval, in)
	r.step(t.Context())
	assert.Equal(t, len(api.orders), 0)
	duty.refuses = false
	time.Sleep(minRetry + 100*time.Millisecond)
	r.step(t.Context())
	assert.Equal(t, len(api.orders), 1)
	assert.Assert(t, api.orders[0].Desired > 4)
	duty.held = false
	r.step(t.Context())
	assert.Equal(t, len(api.orders), 1)
}

// Guards against an order whose log line does not say why it was made, a failure without
// a line, and lines about one failure with each repeat.
func TestOrdersAreLoggedWithTheirFigures(t *testing.T) {
	var out bytes.Buffer
	in := twoZones(20, 10) // the maximum, all busy
	r := NewRunner(Config{
		Duty: &term{held: true}, API: &recorder{}, Inputs: func(time.Time) []Input { return []Input{in} },
		CallRate: 1e6, FirstStart: true, Log: telemetry.NewLog(&out, zerolog.InfoLevel, "edge-1"), Metrics: telemetry.NewMetrics(),
	})
	observe(r.orderer, time.Now().Add(-20*time.Second), 20*time.Second-tickInterval, in)
	r.step(t.Context())
	r.step(t.Context())
	assert.Equal(t, strings.Count(out.String(), "AD6023"), 1, out.String())

	out.Reset()
	in = twoZones(4, 10)
	r = NewRunner(r.Config)
	observe(r.orderer, time.Now().Add(-20*time.Second), 20*time.Second-tickInterval, in)
	r.step(t.Context())
	var line struct {
		Event, Service, Zone, Reason string
		Desired, Before, Serving     int
		Demand                       float64 `json:"demand_slots"`
		Always                       int     `json:"need_always"`
	}
	assert.NilError(t, json.Unmarshal([]byte(strings.SplitN(out.String(), "\n", 2)[0]), &line), out.String())
	assert.Equal(t, line.Reason, reasonDemand)
	assert.Equal(t, line.Before, 4)
	assert.Assert(t, line.Desired > 4)
	assert.Equal(t, line.Demand, 80.0)
	assert.Equal(t, line.Always, 13) // 1.35 * 80 / 8.5, rounded up

	out.Reset()
	order := &Order{Reason: reasonDemand}
	for range 10 {
		r.reportOrder(time.Now(), order, Unanswered, ports.ErrUnknownOutcome)
	}
	assert.Equal(t, strings.Count(out.String(), "AD6021"), 1, out.String())
}
