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

// callTimeout bounds one call to the table.
const callTimeout = 2 * time.Second

// ErrNotHeld means that the lease does not cover the action.
var ErrNotHeld = errors.New("lease is not held")

// Hooks receive the changes of a lease, one at a time. They must not block.
// A nil hook is skipped. A daemon that was paused hears of a loss late; what
// may be sent is decided by Guard.
type Hooks struct {
	Acquired func(domain.FencingToken)
	Lost     func(token domain.FencingToken, reason string)
}

// Holder runs a Lease against the table.
type Holder struct {
	table ports.Table
	core  *Lease
	hooks Hooks
	term  atomic.Pointer[Term]
}

// NewHolder returns a candidate that competes for the lease while Run does.
func NewHolder(table ports.Table, cfg Config, rng *rand.Rand, hooks Hooks) *Holder {
	h := &Holder{table: table, core: New(cfg, rng), hooks: hooks}
	h.publish()
	return h
}

// Held reports whether the daemon holds the lease. It is safe for concurrent
// use.
func (h *Holder) Held(now time.Time) bool { return h.term.Load().Held(now) }

// Guard covers one action. It fails with ErrNotHeld. It is safe for
// concurrent use.
func (h *Holder) Guard(now time.Time) (Guard, error) {
	term := *h.term.Load()
	if !term.Held(now) {
		return Guard{}, ErrNotHeld
	}
	return Guard{Token: term.Token, holder: h}, nil
}

// Guard tells whether an action that was started under a lease may still be
// sent.
type Guard struct {
	// Token is the fencing token to send along.
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

// Run competes for the lease until ctx ends, then releases it and returns
// the cause.
func (h *Holder) Run(ctx context.Context) error {
	answers := make(chan Event)
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	var event Event = Tick{}
	for {
		h.step(ctx, event, answers)
		if due, ok := h.core.Deadline(); ok {
			timer.Reset(time.Until(due))
		} else {
			timer.Stop()
		}
		event = Tick{}
		select {
		case <-ctx.Done():
			h.release(context.WithoutCancel(ctx))
			return context.Cause(ctx)
		case <-timer.C:
		case event = <-answers:
		}
	}
}

func (h *Holder) step(ctx context.Context, event Event, answers chan<- Event) {
	actions := h.core.Step(time.Now(), event)
	h.publish()
	for _, action := range actions {
		h.run(ctx, action, answers)
	}
}

func (h *Holder) release(ctx context.Context) {
	actions := h.core.Step(time.Now(), ReleaseRequested{})
	h.publish()
	for _, action := range actions {
		if commit, ok := action.(CommitRow); ok {
			h.commit(ctx, commit)
			continue
		}
		h.report(action)
	}
}

func (h *Holder) publish() {
	term := h.core.Term()
	h.term.Store(&term)
}

func (h *Holder) run(ctx context.Context, action Action, answers chan<- Event) {
	var ask func() Event
	switch a := action.(type) {
	case ReadRow:
		ask = func() Event { return h.read(ctx, a) }
	case CommitRow:
		ask = func() Event { return h.commit(ctx, a) }
	default:
		h.report(action)
		return
	}
	go func() {
		answer := ask()
		select {
		case answers <- answer:
		case <-ctx.Done():
		}
	}()
}

func (h *Holder) report(action Action) {
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
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := h.table.Get(ctx, a.Key)
	if err != nil || len(rows) == 0 {
		return RowRead{Err: err}
	}
	record, err := decode(rows[0])
	return RowRead{Record: &record, Version: rows[0].Version, Err: err}
}

func (h *Holder) commit(ctx context.Context, a CommitRow) Committed {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := h.table.Commit(ctx, a.Write)
	return Committed{Version: version, Err: err}
}
