package placement

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// Config configures a Planner.
type Config struct {
	Region domain.Region
	// LoadAt is the waiting demand per replica, in tokens, above which another
	// replica is loaded. Default 20,000.
	LoadAt float64
	// Sustain is how long demand stays above LoadAt before a load. Default 5 s.
	Sustain time.Duration
	// Idle is how long an artefact has no demand before it is unloaded.
	// Default 10 min.
	Idle time.Duration
	// Dwell is how long an artefact stays after it was ordered. Default 5 min.
	Dwell time.Duration
	// Advantage is by how much the demand for an artefact must exceed that of
	// the one it replaces. Default 2.
	Advantage float64
	// Settle is how long an engine may take to report an order's content
	// before the order is repeated. Default 2 min.
	Settle time.Duration
	// Fresh is how old a report may be to count. Default 10 s.
	Fresh time.Duration
	// StoreBytesPerSecond is the rate limit of the weight store. Zero means
	// none.
	StoreBytesPerSecond float64
	// StoreLoads is how many loads may run at once. Zero means no bound.
	StoreLoads int
}

func (c Config) withDefaults() Config {
	c.LoadAt = cmp.Or(c.LoadAt, 20_000)
	c.Sustain = cmp.Or(c.Sustain, 5*time.Second)
	c.Idle = cmp.Or(c.Idle, 10*time.Minute)
	c.Dwell = cmp.Or(c.Dwell, 5*time.Minute)
	c.Advantage = cmp.Or(c.Advantage, 2)
	c.Settle = cmp.Or(c.Settle, 2*time.Minute)
	c.Fresh = cmp.Or(c.Fresh, 10*time.Second)
	return c
}

// Event is an input of a Planner.
type Event interface{ planEvent() }

type (
	// Tick lets time pass. The director sends one each second.
	Tick struct{}
	// LeaseChanged reports the fencing token of the lease. Zero means that the
	// lease is not held.
	LeaseChanged struct{ Token domain.FencingToken }
	// Configured replaces the configured upstreams. Bytes is what a load of
	// each artefact costs at the weight store.
	Configured struct {
		Upstreams []Upstream
		Bytes     map[string]int64
	}
	// DemandSeen replaces the demand of the region.
	DemandSeen struct{ Demand []Demand }
	// Reported is a load report.
	Reported struct{ Report ports.LoadReport }
	// RecordsRead answers ReadRecords.
	RecordsRead struct {
		Token    domain.FencingToken
		Records  []Record
		Versions []ports.Version
		Err      error
	}
	// Saved answers SaveRecord.
	Saved struct {
		Token    domain.FencingToken
		Upstream domain.UpstreamID
		Version  ports.Version
		Err      error
	}
	// Ordered answers SendOrder.
	Ordered struct {
		Token    domain.FencingToken
		Upstream domain.UpstreamID
		Err      error
	}
)

func (Tick) planEvent()         {}
func (LeaseChanged) planEvent() {}
func (Configured) planEvent()   {}
func (DemandSeen) planEvent()   {}
func (Reported) planEvent()     {}
func (RecordsRead) planEvent()  {}
func (Saved) planEvent()        {}
func (Ordered) planEvent()      {}

// Action is an output of a Planner.
type Action interface{ planAction() }

type (
	// ReadRecords asks for all records of the region.
	ReadRecords struct {
		Token  domain.FencingToken
		Prefix string
	}
	// SaveRecord asks for one conditional write.
	SaveRecord struct {
		Token    domain.FencingToken
		Upstream domain.UpstreamID
		Write    ports.Write
	}
	// SendOrder asks to send an order.
	SendOrder struct {
		Upstream domain.UpstreamID
		Order    ports.Order
	}
	// Decide reports a decision.
	Decide struct{ Decision Decision }
	// Deposed reports that an engine has seen a later director. The planner
	// stops until the lease changes.
	Deposed struct{ Upstream domain.UpstreamID }
)

func (ReadRecords) planAction() {}
func (SaveRecord) planAction()  {}
func (SendOrder) planAction()   {}
func (Decide) planAction()      {}
func (Deposed) planAction()     {}

// engine is what the planner knows of one upstream.
type engine struct {
	spec    Upstream
	known   bool // desired has been read or set under this lease
	desired Content
	loaded  map[string]time.Time
	version ports.Version
	saving  bool

	reported   Content
	reportedAt time.Time
	applied    string
	// appliedBefore is what the engine named when the last order was sent. It
	// names that until the order has taken effect.
	appliedBefore string
	orderedAt     time.Time
	ordering      bool
	failed        bool // the last order
	loading       bool // from the weight store
}

// settled reports whether the engine holds what it is meant to hold.
func (e *engine) settled() bool { return e.known && !e.saving && e.reported.equal(e.desired) }

// classNeed is the demand of one class for one artefact.
type classNeed struct {
	Demand
	// last is when there was traffic.
	last time.Time
}

// need is the demand for one artefact.
type need struct {
	artefact Artefact
	waiting  float64
	classes  map[domain.ClassID]*classNeed
	// since is when demand first asked for another replica; zero while it does
	// not.
	since time.Time
}

// Planner decides what the engines of one region hold.
type Planner struct {
	cfg     Config
	token   domain.FencingToken
	reading bool
	ready   bool // records have been read under the token
	stored  map[domain.UpstreamID]Record
	version map[domain.UpstreamID]ports.Version
	engines map[domain.UpstreamID]*engine
	bytes   map[string]int64
	needs   map[string]*need
	// Demand has been seen without a gap from watching until demandAt.
	watching time.Time
	demandAt time.Time
	store    store
	// deferred holds the last reported reason for each waiting load.
	deferred map[string]Reason
}

// NewPlanner returns a planner without a lease.
func NewPlanner(cfg Config) *Planner {
	cfg = cfg.withDefaults()
	return &Planner{
		cfg:      cfg,
		engines:  make(map[domain.UpstreamID]*engine),
		needs:    make(map[string]*need),
		store:    store{bytesPerSecond: cfg.StoreBytesPerSecond, loads: cfg.StoreLoads},
		deferred: make(map[string]Reason),
	}
}

// Step handles an event and returns what to do.
func (p *Planner) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return p.tick(now)
	case LeaseChanged:
		p.onLease(e.Token)
	case Configured:
		p.bytes = e.Bytes
		p.onConfigured(e.Upstreams)
	case DemandSeen:
		p.onDemand(now, e.Demand)
	case Reported:
		return p.onReport(now, e.Report)
	case RecordsRead:
		p.onRecords(e)
	case Saved:
		return p.onSaved(now, e)
	case Ordered:
		return p.onOrdered(e)
	}
	return nil
}

func (p *Planner) onLease(token domain.FencingToken) {
	p.token = token
	p.ready, p.reading = false, false
	for _, e := range p.engines {
		e.known, e.saving, e.ordering, e.failed, e.loading = false, false, false, false, false
		e.orderedAt = time.Time{}
	}
}

func (p *Planner) onConfigured(upstreams []Upstream) {
	present := make(map[domain.UpstreamID]bool, len(upstreams))
	for _, u := range upstreams {
		present[u.ID] = true
		u.Base = u.Base.normal()
		if e, ok := p.engines[u.ID]; ok {
			e.spec = u
			continue
		}
		p.engines[u.ID] = &engine{spec: u}
	}
	maps.DeleteFunc(p.engines, func(id domain.UpstreamID, _ *engine) bool { return !present[id] })
}

func (p *Planner) onDemand(now time.Time, demand []Demand) {
	if now.Sub(p.demandAt) > p.cfg.Fresh {
		p.watching = now
	}
	p.demandAt = now
	for _, n := range p.needs {
		n.waiting = 0
		for _, c := range n.classes {
			c.Waiting, c.Running = 0, 0
		}
	}
	for _, d := range demand {
		p.addDemand(now, d)
	}
}

func (p *Planner) addDemand(now time.Time, d Demand) {
	n, ok := p.needs[d.Artefact.Name]
	if !ok {
		n = &need{classes: make(map[domain.ClassID]*classNeed)}
		p.needs[d.Artefact.Name] = n
	}
	n.artefact = d.Artefact
	n.waiting += d.Waiting
	c, ok := n.classes[d.Class]
	if !ok {
		c = &classNeed{}
		n.classes[d.Class] = c
	}
	c.Demand = d
	if d.Waiting > 0 || d.Running > 0 {
		c.last = now
	}
}

func (p *Planner) onReport(now time.Time, r ports.LoadReport) []Action {
	e, ok := p.engines[r.Upstream]
	if !ok {
		return nil
	}
	e.reported = Content{Models: r.Models, Adapters: r.Adapters, Role: r.Role}.normal()
	e.reportedAt = now.Add(-r.Age)
	e.applied = r.AppliedOrder
	if e.settled() {
		e.loading = false
	}
	if p.token != 0 && r.HighestFencing > uint64(p.token) {
		return p.depose(r.Upstream)
	}
	return nil
}

func (p *Planner) depose(by domain.UpstreamID) []Action {
	p.onLease(0)
	return []Action{Deposed{by}}
}

func (p *Planner) onRecords(e RecordsRead) {
	if p.token == 0 || e.Token != p.token {
		return
	}
	p.reading = false
	if e.Err != nil {
		return
	}
	p.stored = make(map[domain.UpstreamID]Record, len(e.Records))
	p.version = make(map[domain.UpstreamID]ports.Version, len(e.Records))
	for i, r := range e.Records {
		p.stored[r.Upstream] = r
		p.version[r.Upstream] = e.Versions[i]
	}
	for _, eng := range p.engines {
		eng.known = eng.saving
	}
	p.ready = true
}

func (p *Planner) onSaved(now time.Time, s Saved) []Action {
	e, ok := p.engines[s.Upstream]
	if !ok || !e.saving || s.Token != p.token {
		return nil
	}
	e.saving = false
	if s.Err == nil {
		e.version = s.Version
		if p.harmful(now, e) {
			return p.keep(now, e)
		}
		return p.order(now, e)
	}
	// Nothing was ordered. The rows are read again, because the write may
	// have taken effect or another director may have written.
	p.ready = false
	e.known, e.loading = false, false
	return nil
}

func (p *Planner) onOrdered(o Ordered) []Action {
	e, ok := p.engines[o.Upstream]
	if !ok || o.Token != p.token {
		return nil
	}
	e.ordering = false
	if errors.Is(o.Err, ports.ErrStaleFencingToken) {
		return p.depose(o.Upstream)
	}
	e.failed = o.Err != nil
	return nil
}

func (p *Planner) tick(now time.Time) []Action {
	p.sustain(now)
	if p.token == 0 {
		return nil
	}
	if !p.ready {
		if p.reading {
			return nil
		}
		p.reading = true
		return []Action{ReadRecords{Token: p.token, Prefix: regionPrefix(p.cfg.Region)}}
	}
	var out []Action
	for _, e := range p.sorted() {
		if e.spec.Draining {
			continue
		}
		p.adopt(e)
		out = append(out, p.reconcile(now, e)...)
	}
	out = append(out, p.load(now)...)
	return append(out, p.unload(now)...)
}

// sorted returns the engines in a fixed order, so that equal inputs give
// equal decisions.
func (p *Planner) sorted() []*engine {
	return slices.SortedFunc(maps.Values(p.engines), byID)
}
