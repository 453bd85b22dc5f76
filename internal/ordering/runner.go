package ordering

import (
	"context"
	"time"

	"github.com/auburndyke/auburndyke/internal/contain"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// tickInterval is how often the demand is read. At most one order is sent in each.
	tickInterval = 250 * time.Millisecond
	// callTimeout is shorter than the margin of 1 s by which the holder stops before its
	// term ends.
	callTimeout = 800 * time.Millisecond
	// failureLogInterval bounds the lines about failed orders: one for each zone.
	failureLogInterval = 5 * time.Second
)

// Duty lets the holder of the duties make one call.
type Duty interface {
	// Do calls act if the daemon holds the duties and may act now.
	Do(ctx context.Context, act func(context.Context, ports.DutyCall) error) error
	// Held reports whether the daemon may act now.
	Held() bool
}

// Config sets up a Runner. All fields but CallRate and
// FirstStart are required.
type Config struct {
	Duty Duty
	API  ports.Duties
	// Inputs returns what the daemon knows about each service that has Scaling.
	Inputs func(now time.Time) []Input
	// CallRate is the number of calls a second that the API accepts for all duties. Zero
	// means unknown.
	CallRate float64
	// FirstStart means that all daemons start together for the first time.
	FirstStart bool
	Log        *telemetry.Log
	Metrics    *telemetry.Metrics
}

// Runner sends the orders of an Orderer while the daemon holds the duties.
type Runner struct {
	Config
	orderer *Orderer
	// logged is the last logged status by service, and failureLogged the time of the last
	// line about a failed order.
	logged        map[string]Status
	failureLogged map[failureKey]time.Time
}

type failureKey struct {
	service string
	zone    domain.AvailabilityZone
	outcome Outcome
}

// NewRunner returns a Runner.
func NewRunner(c Config) *Runner {
	return &Runner{
		Config: c, orderer: NewOrderer(c.CallRate, c.FirstStart), logged: make(map[string]Status), failureLogged: make(map[failureKey]time.Time),
	}
}

// Run observes the load and sends orders until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			// The error is logged where the panic is contained.
			_ = contain.Do(r.Log, "orders of upstreams", func() error { r.step(ctx); return nil })
		}
	}
}

// step observes the load once and sends at most one order.
func (r *Runner) step(ctx context.Context) {
	now := time.Now()
	for _, status := range r.orderer.Observe(now, r.Duty.Held(), r.Inputs(now)) {
		r.report(status)
	}
	order := r.orderer.Next(now)
	if order == nil {
		return
	}
	made := false
	err := r.Duty.Do(ctx, func(ctx context.Context, call ports.DutyCall) error {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		made = true
		return r.API.OrderUpstreams(ctx, call, order.UpstreamOrder)
	})
	outcome := NotDone
	if made {
		outcome = outcomeOf(err)
	}
	now = time.Now()
	r.orderer.Done(now, order, outcome)
	r.reportOrder(now, order, outcome, err)
}

// report updates the metrics of a service, and logs when its load becomes known or
// unknown, or when the need can't be met.
func (r *Runner) report(s Status) {
	r.Metrics.Gauge("auburndyke_upstream_demand_slots", "service", s.Service).Update(s.Demand)
	r.Metrics.Gauge("auburndyke_upstreams_needed", "service", s.Service).Update(float64(s.Need))
	r.Metrics.Gauge("auburndyke_upstreams_counted", "service", s.Service).Update(float64(s.Have))
	for zone, n := range r.orderer.Plan(s.Service) {
		r.Metrics.Gauge("auburndyke_upstreams_desired", "service", s.Service, "zone", string(zone)).Update(float64(n))
	}
	old, known := r.logged[s.Service]
	r.logged[s.Service] = s
	if s.Unknown != old.Unknown {
		r.Log.Event(telemetry.OrderingLoad).Str("service", s.Service).Str("unknown", s.Unknown).
			Float64("demand_slots", s.Demand).Int("counted", s.Have).Send()
	}
	if s.Short != old.Short || s.Short && !known {
		r.Log.Event(telemetry.OrderingShort).Str("service", s.Service).Bool("short", s.Short).
			Float64("demand_slots", s.Demand).Float64("peak_slots", s.Peak).
			Int("need", s.Need).Int("need_without_zone", s.WithoutZone).
			Int("reference", s.Reference).Int("need_always", s.NeedAlways).Int("counted", s.Have).Send()
	}
}

func (r *Runner) reportOrder(now time.Time, o *Order, outcome Outcome, err error) {
	r.Metrics.Counter("auburndyke_upstream_orders_total", "outcome", outcome.String()).Inc(1)
	if outcome != Accepted {
		key := failureKey{o.Service, o.Zone, outcome}
		if at, logged := r.failureLogged[key]; logged && now.Sub(at) < failureLogInterval {
			return
		}
		r.failureLogged[key] = now
		r.Log.Event(telemetry.UpstreamOrderFailed).Err(err).Str("outcome", outcome.String()).Str("service", o.Service).
			Str("zone", string(o.Zone)).Int("desired", o.Desired).Int("before", o.Before).Int("serving", o.Serving).
			Str("reason", o.Reason).Send()
		return
	}
	s := o.Status
	r.Log.Event(telemetry.UpstreamsOrdered).Str("service", o.Service).Str("zone", string(o.Zone)).
		Int("desired", o.Desired).Int("before", o.Before).Int("serving", o.Serving).Str("reason", o.Reason).
		Float64("demand_slots", s.Demand).Float64("by_load_slots", s.ByLoad).Float64("by_work_slots", s.ByWork).
		Float64("peak_slots", s.Peak).Int("need", s.Need).Int("need_without_zone", s.WithoutZone).
		Int("reference", s.Reference).Int("need_always", s.NeedAlways).Int("counted", s.Have).
		Send()
}
