package daemon

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/claims"
	"github.com/auburndyke/auburndyke/internal/configlog"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/gateway"
	"github.com/auburndyke/auburndyke/internal/lease"
	"github.com/auburndyke/auburndyke/internal/placement"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// demandInterval is how often waiting and running work is reported to the
	// director.
	demandInterval = time.Second
	// housekeepingInterval is how often one daemon removes old rows.
	housekeepingInterval = time.Minute
	// sweepPages is the number of pages of 1,000 claims that one round looks at.
	// With a retention of a day it keeps up with 530 claims a second.
	sweepPages = 32
	// historyKept is how long records of revisions stay.
	historyKept = 90 * 24 * time.Hour
	// deltasKept is how many of the newest revisions keep their delta.
	deltasKept = 64
)

// director decides what the engines of this daemon's region hold, while the
// daemon has the region's placement lease.
type director struct {
	daemon *Daemon
	lease  *lease.Holder
	core   *placement.Director
}

func newDirector(d *Daemon) *director {
	x := &director{daemon: d}
	name := "placement/" + string(d.cfg.Region)
	x.lease = lease.NewHolder(d.cfg.Platform, lease.Config{Name: name, Owner: d.leaseOwner()}, d.rng(), lease.Hooks{
		Acquired: func(t domain.FencingToken) { d.logLease(name, t, "acquired", "") },
		Lost:     func(t domain.FencingToken, reason string) { d.logLease(name, t, "lost", reason) },
	})
	x.core = placement.NewDirector(d.cfg.Platform, x.lease, placement.Config{Region: d.cfg.Region}, x.engine, d.logPlacement)
	return x
}

// leaseOwner identifies this run of the process in leases, which it may hold
// before it has an incarnation in the roster.
func (d *Daemon) leaseOwner() lease.Owner {
	return lease.Owner{Daemon: d.cfg.ID, Incarnation: domain.Incarnation(xxhash.Sum64String(d.cfg.Boot))}
}

func (d *Daemon) logLease(name string, token domain.FencingToken, change, reason string) {
	d.cfg.Log.Event(telemetry.LeaseChanged).Str("lease", name).Uint64("token", uint64(token)).
		Str("change", change).Str("reason", reason).Msg("")
}

func (d *Daemon) logPlacement(p placement.Decision) {
	d.cfg.Log.Event(telemetry.PlacementDecision).Str("upstream", string(p.Upstream)).Str("kind", string(p.Kind)).
		Str("artefact", p.Artefact).Str("reason", string(p.Reason)).Float64("waiting_tokens", p.Waiting).Msg("")
}

func (x *director) loops() []func(context.Context) error {
	return []func(context.Context) error{
		untilStopped(x.lease.Run),
		untilStopped(x.core.Run),
		x.watchDemand,
	}
}

// untilStopped turns the end of the context into a regular end.
func untilStopped(run func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		if err := run(ctx); ctx.Err() == nil {
			return err
		}
		return nil
	}
}

// engine finds the client that takes an upstream's orders.
func (x *director) engine(id domain.UpstreamID) (placement.Orderer, bool) {
	p := x.daemon.policy.Load()
	if p == nil {
		return nil, false
	}
	u := p.Upstream(id)
	if u == nil || u.Kind != domain.KindEngine {
		return nil, false
	}
	client, err := x.daemon.backends.get(u.Address)
	return loggedOrders{x.daemon, id, client}, err == nil
}

// loggedOrders logs the orders that an engine does not accept.
type loggedOrders struct {
	daemon   *Daemon
	upstream domain.UpstreamID
	engine   placement.Orderer
}

// Order implements placement.Orderer.
func (o loggedOrders) Order(ctx context.Context, order ports.Order) error {
	err := o.engine.Order(ctx, order)
	if err != nil {
		o.daemon.cfg.Log.Event(telemetry.OrderFailed).Str("upstream", string(o.upstream)).Str("order", order.ID).
			Uint64("token", uint64(order.Fencing)).Err(err).Msg("")
	}
	return err
}

// configured tells the director which engines its region has.
func (x *director) configured(ctx context.Context, p *policy.Policy) {
	event := placement.Configured{Bytes: make(map[string]int64)}
	for id, m := range p.Models {
		event.Bytes[string(id)] = m.WeightBytes
	}
	for i := range p.Upstreams {
		u := &p.Upstreams[i]
		if u.Kind == domain.KindEngine && u.Region == x.daemon.cfg.Region {
			event.Upstreams = append(event.Upstreams, placementUpstream(p, u))
		}
	}
	x.core.Post(ctx, event)
}

// placementUpstream gives an engine its configured models as base content and
// lets it hold the adapters that the configuration allows there.
func placementUpstream(p *policy.Policy, u *policy.Upstream) placement.Upstream {
	out := placement.Upstream{ID: u.ID, ChecksFencing: u.ChecksFencing, Draining: u.Draining}
	out.Base.Role = u.Role
	for _, id := range u.Models {
		out.Base.Models = append(out.Base.Models, string(id))
		adapters := u.Adapters
		if m := p.Models[id]; len(adapters) == 0 && m != nil {
			adapters = m.Adapters
		}
		out.Base.Adapters = append(out.Base.Adapters, adapters...)
	}
	return out
}

// watchDemand reports this daemon's demand. Callers reach the daemons of a
// region through one load balancer, so one daemon's demand times their number
// stands for the region's.
func (x *director) watchDemand(ctx context.Context) error {
	for backoff.Sleep(ctx, demandInterval) {
		if !x.lease.Held(time.Now()) {
			continue
		}
		x.core.Post(ctx, placement.DemandSeen{Demand: x.demand()})
	}
	return nil
}

func (x *director) demand() []placement.Demand {
	daemons := len(x.daemon.daemonsByRegion()[x.daemon.cfg.Region])
	var out []placement.Demand
	for _, d := range x.daemon.gateway.Demand() {
		out = append(out, placement.Demand{
			Class:     d.Class,
			Artefact:  artefact(&d),
			Upstreams: d.Upstreams,
			Waiting:   float64(d.WaitingTokens) * float64(daemons),
			Running:   int(d.Running) * daemons,
		})
	}
	return out
}

func artefact(d *gateway.Demand) placement.Artefact {
	if d.Adapter == "" {
		return placement.Artefact{Name: string(d.Model)}
	}
	return placement.Artefact{Name: d.Adapter, Adapter: true, Model: string(d.Model)}
}

// housekeeping removes expired claims and old revisions on the daemon that
// holds the drain lease.
func (d *Daemon) housekeeping(ctx context.Context) error {
	gone := func(o claims.Owner) bool { return d.cluster.gone(o.Daemon, o.Incarnation) }
	sweeper := claims.NewSweeper(d.cfg.Platform, gone, claims.Limits{})
	for backoff.Sleep(ctx, housekeepingInterval) {
		if !d.cluster.lease.Held(time.Now()) {
			continue
		}
		d.sweepClaims(ctx, sweeper)
		if err := configlog.Compact(ctx, d.cfg.Platform, configlog.Retention{Deltas: deltasKept, History: historyKept}); err != nil {
			d.cfg.Log.Event(telemetry.PlatformError).Str("call", "compact configuration log").Err(err).Msg("")
		}
	}
	return nil
}

// sweepClaims looks at up to sweepPages pages of claims.
func (d *Daemon) sweepClaims(ctx context.Context, sweeper *claims.Sweeper) {
	for range sweepPages {
		_, last, err := sweeper.Step(ctx)
		if err != nil {
			d.cfg.Log.Event(telemetry.PlatformError).Str("call", "sweep claims").Err(err).Msg("")
		}
		if err != nil || last {
			return
		}
	}
}
