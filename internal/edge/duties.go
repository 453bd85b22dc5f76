package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/auburndyke/auburndyke/internal/bootclock"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/duty"
	"github.com/auburndyke/auburndyke/internal/peers"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// DutyDeps are the dependencies of the duties that one daemon has for the whole fleet.
type DutyDeps struct {
	// Table holds the lease and the reports, and API takes the calls.
	Table ports.Table
	API   ports.Duties
	// BootClock returns the time since the VM's start, with the time for which it was
	// suspended. Nil means CLOCK_BOOTTIME.
	BootClock func() time.Duration
}

// dutyRunner connects the duties to the daemon. Its zero value has none.
type dutyRunner struct {
	holder *duty.Holder
	table  *duty.RestorationTable
	node   *peers.Node
}

// newDuties returns the duties that the settings ask for.
func newDuties(s *Settings, d Deps) dutyRunner {
	if !s.Duties.Any() || d.Duties.Table == nil || d.Duties.API == nil {
		return dutyRunner{}
	}
	clock := d.Duties.BootClock
	if clock == nil {
		clock = bootclock.Now
	}
	var r dutyRunner
	r.table = duty.NewRestorationTable(d.Duties.Table, clock)
	r.holder = duty.New(duty.Config{
		Daemon: s.Daemon, Incarnation: domain.Incarnation(rand.Uint64()), Table: r.table,
		LeaseTime: s.Duties.LeaseTime, CallRate: s.Duties.CallRate, BootClock: clock,
		Rand: newRand(), Log: d.Log, Metrics: d.Metrics,
	})
	return r
}

// candidates returns what peers exchange about the duties, or nil without duties.
func (r *dutyRunner) candidates() peers.Duties {
	if r.holder == nil {
		return nil
	}
	return r.holder
}

// start sets the node whose directory names the other daemons, and adds the holder.
func (r *dutyRunner) start(node *peers.Node, add func(func(context.Context) error)) {
	if r.holder == nil {
		return
	}
	if r.node = node; node != nil {
		r.holder.SetReady(node.KnowsFleet)
	}
	add(func(ctx context.Context) error {
		err := r.holder.Run(ctx)
		// After stop the daemon still serves: the end of a loop would end it.
		<-ctx.Done()
		return err
	})
}

// stop releases the lease. It is called when a planned stop begins: another daemon then
// takes over while this one still answers its callers.
func (r *dutyRunner) stop() {
	if r.holder != nil {
		r.holder.Stop()
	}
}

// DutyHolder returns what lets this daemon act for the whole fleet, or nil if the
// settings name no duty.
func (e *Edge) DutyHolder() *duty.Holder { return e.duties.holder }

// dutyCalls lets the loops of duties act with the identity of a call alone.
type dutyCalls struct{ *duty.Holder }

// Do calls act if the daemon holds the duties and may act now.
func (d dutyCalls) Do(ctx context.Context, act func(context.Context, ports.DutyCall) error) error {
	return d.Holder.Do(ctx, func(ctx context.Context, p duty.Permit) error { return act(ctx, p.DutyCall) })
}
