package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// ErrNotHeld means that an action must not be sent, because the daemon does not
// hold the lease or the term under which the action was started has ended.
var ErrNotHeld = errors.New("lease is not held")

// Hooks are called, one at a time, when the lease is acquired or lost. They
// must not block. A nil hook is skipped. After a pause of the daemon, Lost is
// called late; use Guard to decide whether an action may be sent.
type Hooks struct {
	Acquired func(domain.FencingToken)
	Lost     func(token domain.FencingToken, reason string)
}

// Holder runs a Lease against the table.
type Holder struct {
	table ports.Table
	lease *Lease
	hooks Hooks
	term  atomic.Pointer[Term]
	clock func() time.Time
	// standsBack is what Compete has asked for last, and woken tells Run of it.
	standsBack atomic.Bool
	woken      chan struct{}
}

// NewHolder returns a Holder that competes for the lease while Run is running.
func NewHolder(table ports.Table, cfg Config, rng *rand.Rand, hooks Hooks) *Holder {
	return NewHolderWithClock(table, cfg, rng, hooks, time.Now)
}

// NewHolderWithClock is NewHolder with another clock, such as BootClock. Held, Guard and
// Guard.Check then take times of that clock.
func NewHolderWithClock(table ports.Table, cfg Config, rng *rand.Rand, hooks Hooks, clock func() time.Time) *Holder {
	h := &Holder{table: table, lease: New(cfg, rng), hooks: hooks, clock: clock, woken: make(chan struct{}, 1)}
	h.publishTerm()
	return h
}

// BootClock returns a clock of times that advance with the given time since the VM's
// start, also while the VM is suspended. Steps of the wall clock don't affect it.
func BootClock(sinceStart func() time.Duration) func() time.Time {
	return func() time.Time { return time.Unix(0, 0).Add(sinceStart()) }
}

// Compete says whether the daemon shall compete for the lease. One that does not makes
// no calls to the table, but it keeps a lease that it holds.
func (h *Holder) Compete(compete bool) {
	if h.standsBack.Swap(!compete) == !compete {
		return
	}
	select {
	case h.woken <- struct{}{}:
	default:
	}
}

// Term returns the current term, which may have ended. It is safe for concurrent use.
func (h *Holder) Term() Term { return *h.term.Load() }

// Held reports whether the daemon holds the lease. It is safe for concurrent
// use.
func (h *Holder) Held(now time.Time) bool { return h.term.Load().Held(now) }

// Guard returns a guard for one action under the current term. It fails with
// ErrNotHeld when the daemon does not hold the lease. It is safe for concurrent
// use.
func (h *Holder) Guard(now time.Time) (Guard, error) {
	term := *h.term.Load()
	if !term.Held(now) {
		return Guard{}, ErrNotHeld
	}
	return Guard{Token: term.Token, holder: h}, nil
}

// Guard checks whether an action that was started under a lease may still be
// sent.
type Guard struct {
	// Token is the fencing token to send with the action.
	Token  domain.FencingToken
	holder *Holder
}

// Check fails with ErrNotHeld when the term under which the action was
// started has ended, even if the daemon has acquired the lease again.
func (g Guard) Check(now time.Time) error {
	if g.holder == nil {
		return ErrNotHeld
	}
	term := *g.holder.term.Load()
	if term.Token != g.Token || !term.Held(now) {
		return ErrNotHeld
	}
	return nil
}

// Run competes for the lease until ctx is done, then releases it and returns
// the cause of ctx.
func (h *Holder) Run(ctx context.Context) error {
	results := make(chan Event)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var event Event = CompeteChanged{!h.standsBack.Load()}
	for {
		h.step(ctx, event, results)
		if due, ok := h.lease.Deadline(); ok {
			timer.Reset(due.Sub(h.clock()))
		} else {
			timer.Stop()
		}
		event = Tick{}
		select {
		case <-ctx.Done():
			h.release(context.WithoutCancel(ctx))
			return context.Cause(ctx)
		case <-timer.C:
		case event = <-results:
		case <-h.woken:
			event = CompeteChanged{!h.standsBack.Load()}
		}
	}
}

func (h *Holder) step(ctx context.Context, event Event, results chan<- Event) {
	actions := h.lease.Step(h.clock(), event)
	h.publishTerm()
	for _, action := range actions {
		h.execute(ctx, action, results)
	}
}

func (h *Holder) release(ctx context.Context) {
	actions := h.lease.Step(h.clock(), ReleaseRequested{})
	h.publishTerm()
	for _, action := range actions {
		if commit, ok := action.(CommitRow); ok {
			h.commit(ctx, commit)
			continue
		}
		h.notify(action)
	}
}

func (h *Holder) publishTerm() {
	term := h.lease.Term()
	h.term.Store(&term)
}

func (h *Holder) execute(ctx context.Context, action Action, results chan<- Event) {
	var call func() Event
	switch a := action.(type) {
	case ReadRow:
		call = func() Event { return h.read(ctx, a) }
	case CommitRow:
		call = func() Event { return h.commit(ctx, a) }
	default:
		h.notify(action)
		return
	}
	go func() {
		result := call()
		select {
		case results <- result:
		case <-ctx.Done():
		}
	}()
}

func (h *Holder) notify(action Action) {
	switch a := action.(type) {
	case Acquired:
		if h.hooks.Acquired != nil {
			h.hooks.Acquired(a.Token)
		}
	case Lost:
		if h.hooks.Lost != nil {
			h.hooks.Lost(a.Token, a.Reason)
		}
	}
}

func (h *Holder) read(ctx context.Context, a ReadRow) RowRead {
	ctx, cancel := context.WithTimeout(ctx, h.lease.cfg.CallTimeout)
	defer cancel()
	rows, err := h.table.Get(ctx, a.Key)
	switch {
	case err != nil || len(rows) == 0:
		return RowRead{Err: err}
	case rows[0].Deleted:
		return RowRead{Version: rows[0].Version}
	}
	record, err := decode(rows[0])
	return RowRead{Record: &record, Version: rows[0].Version, Err: err}
}

func (h *Holder) commit(ctx context.Context, a CommitRow) Committed {
	ctx, cancel := context.WithTimeout(ctx, h.lease.cfg.CallTimeout)
	defer cancel()
	version, err := h.table.Commit(ctx, a.Write)
	return Committed{Version: version, Err: err}
}
