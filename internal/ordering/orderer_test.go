package ordering

import (
	"context"
	"errors"
	"testing"
	"time"

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
// all others there when it returns.
func TestZoneThatIsCutOffKeepsItsNumber(t *testing.T) {
	o := NewOrderer(100, true)
	now := observe(o, start, 2*learnTime, twoZones(10, 4))
	in := twoZones(10, 8)
	in.Upstreams = in.Upstreams[10:]
	for end := now.Add(rememberTime - time.Second); now.Before(end); now = now.Add(tickInterval) {
		o.Observe(now, true, []Input{in})
		if next := o.Next(now); next != nil {
			assert.Assert(t, next.Desired >= 10, "%+v", next)
			o.Done(now, next, Accepted)
		}
	}
}

// Guards against more calls than the API accepts.
func TestCallRateIsBounded(t *testing.T) {
	o := NewOrderer(2, true)
	calls := 0
	for now := start; now.Sub(start) < 30*time.Second; now = now.Add(tickInterval) {
		o.Observe(now, true, []Input{twoZones(2, 10)})
		if next := o.Next(now); next != nil {
			calls++
			o.Done(now, next, NotDone)
		}
	}
	assert.Assert(t, calls > 0 && calls <= 31, "%d calls in 30 s", calls)
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
	for range 3 {
		r.step(t.Context())
	}
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
