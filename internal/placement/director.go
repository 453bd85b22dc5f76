package placement

import (
	"context"
	"errors"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/lease"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	// tickInterval is the time between two looks at demand and reports.
	tickInterval = time.Second
	// callTimeout bounds one call to the table.
	callTimeout = 2 * time.Second
	// orderTimeout bounds one order. It is the default margin of a lease, so
	// that an order ends before a successor acts.
	orderTimeout = time.Second
	// scanPage is the number of records read at once.
	scanPage = 500
	// directorQueue bounds the events that wait for the director's loop.
	directorQueue = 256
)

// errUnknownUpstream means that no client exists for an upstream.
var errUnknownUpstream = errors.New("upstream has no engine client")

// Orderer sends an order to an engine.
type Orderer interface {
	Order(ctx context.Context, order ports.Order) error
}

// Lease tells whether this daemon directs the region. lease.Holder is one.
type Lease interface {
	Guard(now time.Time) (lease.Guard, error)
}

// Director runs a Planner for one region while its daemon holds the lease.
type Director struct {
	table  ports.Table
	lease  Lease
	engine func(domain.UpstreamID) (Orderer, bool)
	log    func(Decision)
	core   *Planner
	token  domain.FencingToken
	events chan Event
}

// NewDirector returns a director that works while Run does. Engine finds the
// client of an upstream. Log receives each decision; it must not block.
func NewDirector(table ports.Table, l Lease, cfg Config, engine func(domain.UpstreamID) (Orderer, bool), log func(Decision)) *Director {
	return &Director{
		table:  table,
		lease:  l,
		engine: engine,
		log:    log,
		core:   NewPlanner(cfg),
		events: make(chan Event, directorQueue),
	}
}

// Post hands in a Configured, DemandSeen or Reported event. It waits while
// the queue is full.
func (d *Director) Post(ctx context.Context, e Event) {
	select {
	case d.events <- e:
	case <-ctx.Done():
	}
}

// Run directs until ctx ends and returns the cause.
func (d *Director) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var event Event = Tick{}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		case event = <-d.events:
		}
		d.checkLease()
		for _, action := range d.core.Step(time.Now(), event) {
			d.run(ctx, action)
		}
	}
}

// checkLease tells the planner when the fencing token has changed.
func (d *Director) checkLease() {
	now := time.Now()
	token := domain.FencingToken(0)
	if guard, err := d.lease.Guard(now); err == nil {
		token = guard.Token
	}
	if token != d.token {
		d.token = token
		d.core.Step(now, LeaseChanged{token})
	}
}

func (d *Director) run(ctx context.Context, action Action) {
	switch a := action.(type) {
	case ReadRecords:
		go func() { d.Post(ctx, d.read(ctx, a)) }()
	case SaveRecord:
		go func() { d.Post(ctx, d.save(ctx, a)) }()
	case SendOrder:
		go func() { d.Post(ctx, d.order(ctx, a)) }()
	case Decide:
		if d.log != nil {
			d.log(a.Decision)
		}
	}
}

func (d *Director) read(ctx context.Context, a ReadRecords) RecordsRead {
	out := RecordsRead{Token: a.Token}
	after := ""
	for {
		rows, err := d.scan(ctx, a.Prefix, after)
		if err != nil {
			return RecordsRead{Token: a.Token, Err: err}
		}
		for _, row := range rows {
			record, err := decode(row)
			if err != nil {
				return RecordsRead{Token: a.Token, Err: err}
			}
			out.Records = append(out.Records, record)
			out.Versions = append(out.Versions, row.Version)
		}
		if len(rows) < scanPage {
			return out
		}
		after = rows[len(rows)-1].Key
	}
}

func (d *Director) scan(ctx context.Context, prefix, after string) ([]ports.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return d.table.Scan(ctx, prefix, after, scanPage, 0)
}

func (d *Director) save(ctx context.Context, a SaveRecord) Saved {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := d.table.Commit(ctx, a.Write)
	return Saved{Token: a.Token, Upstream: a.Upstream, Version: version, Err: err}
}

// order sends an order unless the lease has ended since it was decided.
func (d *Director) order(ctx context.Context, a SendOrder) Ordered {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	out := Ordered{Token: a.Order.Fencing, Upstream: a.Upstream}
	engine, ok := d.engine(a.Upstream)
	if !ok {
		out.Err = errUnknownUpstream
		return out
	}
	guard, err := d.lease.Guard(time.Now())
	switch {
	case err != nil:
		out.Err = err
	case guard.Token != a.Order.Fencing:
		out.Err = lease.ErrNotHeld
	default:
		out.Err = engine.Order(ctx, a.Order)
	}
	return out
}
