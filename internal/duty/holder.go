package duty

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/lease"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// leaseName names the row lease/duties.
	leaseName = "duties"
	// leaseTerm is how long the lease lasts after each renewal. A third of it passes
	// between two renewals.
	leaseTerm = 4 * time.Second
	// leaseMargin is how long before the end of its lease the holder stops acting.
	leaseMargin = time.Second
	// pollInterval bounds how late a candidate notices a renewal, and so a takeover.
	// The time without a holder after a kill is at most this, the term with drift
	// (4.08 s), LeaseTime (3 s) and two calls to the store: 7.4 s and the calls.
	pollInterval = 300 * time.Millisecond
	// storeTimeout bounds a call to the store. After a renewal that timed out there is
	// time for another one before the term ends.
	storeTimeout = 800 * time.Millisecond
	// checkInterval is how often the daemon decides whether it competes.
	checkInterval = 250 * time.Millisecond
	// stopGrace is how long a planned stop waits for acts in progress before it breaks
	// them off.
	stopGrace = leaseMargin
)

// Config sets up a Holder. All fields but CallRate are required.
type Config struct {
	Daemon domain.DaemonID
	// Incarnation differs between the processes of a daemon.
	Incarnation domain.Incarnation
	Table       ports.Table
	// LeaseTime is the time within which two daemons must not act by turns.
	LeaseTime time.Duration
	// CallRate is the number of calls a second that the platform accepts from all
	// daemons together. Zero means unknown.
	CallRate float64
	// BootClock returns the time since the VM's start, with the time for which it was
	// suspended.
	BootClock func() time.Duration
	Rand      *rand.Rand
	Log       *telemetry.Log
	Metrics   *telemetry.Metrics
}

// Permit allows one act under the current term.
type Permit struct{ ports.DutyCall }

// Holder competes for the duties and lets their holder act. It is safe for concurrent
// use.
type Holder struct {
	cfg   Config
	clock func() time.Time
	lease *lease.Holder
	// ready is nil for a daemon without peers.
	ready func(now time.Time) bool

	stopOnce sync.Once
	stopped  chan struct{}

	mu         sync.Mutex
	candidates *Candidates
	pace       *Pace
	stopping   bool
	acts       int
	idle       chan struct{} // closed when stopping and the last act has ended
	breakOff   map[int]context.CancelFunc
	nextAct    int
	late       lineLimit
	refused    lineLimit
}

// New returns a Holder that competes while Run is running.
func New(c Config) *Holder {
	h := &Holder{
		cfg: c, clock: lease.BootClock(c.BootClock), pace: NewPace(c.CallRate),
		candidates: NewCandidates(string(c.Daemon), strconv.FormatUint(uint64(c.Incarnation), 10)),
		stopped:    make(chan struct{}), idle: make(chan struct{}), breakOff: make(map[int]context.CancelFunc),
	}
	h.lease = lease.NewHolderWithClock(countedTable{c.Table, h}, lease.Config{
		Name: leaseName, Owner: lease.Owner{Daemon: c.Daemon, Incarnation: c.Incarnation},
		Term: leaseTerm, Margin: leaseMargin, PollInterval: pollInterval, CallTimeout: storeTimeout,
	}, c.Rand, lease.Hooks{Acquired: h.acquired, Lost: h.lost}, h.clock)
	h.lease.Compete(false)
	return h
}

// SetReady sets what reports whether the daemon knows which others there are; it does not
// compete until then. It is called before Run. Without it the daemon is alone.
func (h *Holder) SetReady(ready func(now time.Time) bool) { h.ready = ready }

func (h *Holder) isReady(now time.Time) bool { return h.ready == nil || h.ready(now) }

// Run competes for the duties until ctx ends or Stop is called. It then waits for acts in
// progress and releases the lease.
func (h *Holder) Run(ctx context.Context) error {
	leaseCtx, release := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.lease.Run(leaseCtx) // returns the cause of leaseCtx
	}()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for running := true; running; {
		h.check(time.Now())
		select {
		case <-ctx.Done():
			running = false
		case <-h.stopped:
			running = false
		case <-ticker.C:
		}
	}
	h.endActs()
	release()
	<-done
	h.gauge().Update(0)
	return nil
}

// Stop makes Run release the lease and end. The daemon does not compete again.
func (h *Holder) Stop() { h.stopOnce.Do(func() { close(h.stopped) }) }

// check decides whether the daemon competes, and updates the gauge: after a pause the
// lease itself learns late that its term has ended.
func (h *Holder) check(now time.Time) {
	ready := h.isReady(now)
	h.mu.Lock()
	competes := ready && h.candidates.Competes(now)
	h.mu.Unlock()
	h.lease.Compete(competes)
	held := 0.0
	if h.lease.Held(h.clock()) {
		held = 1
	}
	h.gauge().Update(held)
}

// endActs refuses further acts and waits for those in progress, whose calls would
// otherwise arrive after those of the next holder.
func (h *Holder) endActs() {
	h.mu.Lock()
	h.stopping = true
	h.candidates.Leave()
	if h.acts == 0 {
		h.mu.Unlock()
		return
	}
	h.mu.Unlock()
	timer := time.NewTimer(stopGrace)
	defer timer.Stop()
	select {
	case <-h.idle:
		return
	case <-timer.C:
	}
	h.mu.Lock()
	for _, cancel := range h.breakOff {
		cancel()
	}
	h.mu.Unlock()
}

// Held reports whether the daemon may act now.
func (h *Holder) Held() bool {
	h.mu.Lock()
	stopping := h.stopping
	h.mu.Unlock()
	return !stopping && mayAct(h.lease.Term(), h.cfg.LeaseTime, h.clock())
}

// mayAct reports whether a holder may act: its term is running, and after a takeover
// from another holder LeaseTime has passed.
func mayAct(term lease.Term, leaseTime time.Duration, now time.Time) bool {
	if !term.Held(now) {
		return false
	}
	return term.TakenOverAt.IsZero() || now.Sub(term.TakenOverAt) >= leaseTime
}

// Do calls act if the daemon holds the duties and may act now, and bounds it by the rest
// of the term. It waits for the rate of calls first. It returns lease.ErrNotHeld
// otherwise, also when act made no call because the term had ended. An act makes one
// call.
func (h *Holder) Do(ctx context.Context, act func(context.Context, Permit) error) error {
	if !h.Held() {
		return lease.ErrNotHeld
	}
	h.mu.Lock()
	delay := h.pace.Reserve(time.Now())
	h.mu.Unlock()
	if delay > 0 && !backoff.Sleep(ctx, delay) {
		return context.Cause(ctx)
	}
	ctx, end, err := h.begin(ctx)
	if err != nil {
		return err
	}
	defer end()
	guard, err := h.lease.Guard(h.clock())
	if err != nil || !h.Held() {
		h.actRefused(0)
		return lease.ErrNotHeld
	}
	call := ports.DutyCall{Holder: h.cfg.Daemon, Token: guard.Token, Check: func() error { return guard.Check(h.clock()) }}
	ctx, cancel := context.WithTimeout(ctx, h.lease.Term().End().Sub(h.clock()))
	defer cancel()
	started := h.clock()
	err = act(ctx, Permit{call})
	h.actEnded(guard.Token, h.clock().Sub(started), err)
	return err
}

// begin counts an act until end is called, unless the daemon is stopping.
func (h *Holder) begin(ctx context.Context) (_ context.Context, end func(), _ error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopping {
		return nil, nil, lease.ErrNotHeld
	}
	ctx, cancel := context.WithCancel(ctx)
	id := h.nextAct
	h.nextAct++
	h.acts++
	h.breakOff[id] = cancel
	return ctx, func() {
		cancel()
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.breakOff, id)
		if h.acts--; h.acts == 0 && h.stopping {
			close(h.idle)
		}
	}, nil
}

// Sightings returns what to tell other daemons of the candidates. A daemon that is not
// ready tells nothing.
func (h *Holder) Sightings(now time.Time) []Sighting {
	ready := h.isReady(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !ready {
		return nil
	}
	return h.candidates.Sightings(now)
}

// Merge takes over what another daemon says of the candidates.
func (h *Holder) Merge(now time.Time, sightings []Sighting) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.candidates.Merge(now, sightings)
}

// countedTable counts the calls of the lease and records whether the store serves them.
type countedTable struct {
	ports.Table
	h *Holder
}

func (t countedTable) Get(ctx context.Context, keys ...string) ([]ports.Row, error) {
	rows, err := t.Table.Get(ctx, keys...)
	t.record("read", err)
	return rows, err
}

func (t countedTable) Commit(ctx context.Context, writes ...ports.Write) (ports.Version, error) {
	version, err := t.Table.Commit(ctx, writes...)
	t.record("write", err)
	return version, err
}

func (t countedTable) record(kind string, err error) {
	var conflict *ports.ConflictError
	served := err == nil || errors.As(err, &conflict)
	t.h.cfg.Metrics.Counter("auburndyke_duty_store_calls_total", "kind", kind, "served", strconv.FormatBool(served)).Inc(1)
	t.h.mu.Lock()
	defer t.h.mu.Unlock()
	t.h.candidates.StoreCalled(time.Now(), served)
}
