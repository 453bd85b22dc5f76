package claims

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	// callTimeout bounds one call to the table.
	callTimeout = 2 * time.Second
	// maxPending bounds the settlements under way. Beyond it, no call is
	// claimed, and calls that end are recorded without their answer.
	maxPending = 4096
)

var (
	// ErrPending means that the outcome is not stored yet. It is still being
	// tried.
	ErrPending = errors.New("outcome is not stored yet")
	// ErrLost means that the row no longer belongs to the call.
	ErrLost = errors.New("claim belongs to another call")
)

// Committer applies a transaction, as ports.Table does. A Batcher is one too.
type Committer interface {
	Commit(ctx context.Context, writes ...ports.Write) (ports.Version, error)
}

// Config configures Claims.
type Config struct {
	// Table is read from. It is written to when Committer is nil.
	Table ports.Table
	// Committer takes the writes of claims.
	Committer Committer
	// Owner returns the current run of this daemon. It is asked for each call,
	// because a daemon that was paused past its lease joins again as another.
	Owner func() Owner
	// Gone tells which owners have ended. Nil means that none is known to.
	Gone   Gone
	Limits Limits
	// Seed returns a new random source for each call.
	Seed func() *rand.Rand
}

// Claims claims and settles calls. It is safe for concurrent use.
type Claims struct {
	cfg     Config
	life    context.Context
	end     context.CancelFunc
	running sync.WaitGroup
	pending atomic.Int64
}

// New returns Claims that work until Close.
func New(cfg Config) *Claims {
	if cfg.Committer == nil {
		cfg.Committer = cfg.Table
	}
	if cfg.Gone == nil {
		cfg.Gone = func(Owner) bool { return false }
	}
	cfg.Limits = cfg.Limits.withDefaults()
	life, end := context.WithCancel(context.Background())
	return &Claims{cfg: cfg, life: life, end: end}
}

// Begin claims a call. Only a Granted decision allows a dispatch. When ctx
// ends first, the decision is Refused or Unsettled, unless the claim had been granted. A
// call that is granted but not sent is finished as StateNotRun.
func (c *Claims) Begin(ctx context.Context, request Request) Decision {
	if c.pending.Load() >= maxPending {
		return Decision{Verdict: Refused, Err: eris.Wrap(ports.ErrUnavailable, "too many outcomes are not stored yet")}
	}
	core := NewClaim(request, c.cfg.Owner(), c.cfg.Gone, c.cfg.Limits, c.cfg.Seed())
	var event ClaimEvent = Started{}
	for {
		action := core.Step(time.Now(), event)
		if ctx.Err() != nil {
			action = stopClaim(ctx, core, action)
		}
		if done, ok := action.(Decided); ok {
			if done.Decision.fence {
				c.fence(request)
			}
			return done.Decision
		}
		event = c.run(ctx, action)
	}
}

// stopClaim replaces an action that can no longer be run.
func stopClaim(ctx context.Context, core *Claim, action ClaimAction) ClaimAction {
	if _, ok := action.(Decided); ok {
		return action
	}
	return core.Step(time.Now(), Stopped{context.Cause(ctx)})
}

// Dispatch turns a reserved grant into one that allows the dispatch. It
// fails with ErrLost when the claim was settled meanwhile, and with
// ports.ErrUnavailable when that cannot be recorded; the call must not be
// sent then.
func (c *Claims) Dispatch(ctx context.Context, g *Grant) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record := g.record
	record.Dispatched = true
	sent := time.Now()
	version, err := c.cfg.Committer.Commit(ctx, ports.Write{Key: g.key, Value: encode(record), Expect: g.version})
	if err != nil {
		version, err = c.confirmDispatch(ctx, g, err)
	}
	if err != nil {
		return err
	}
	g.record, g.version, g.claimed = record, version, sent
	return nil
}

// confirmDispatch reads whether a failed write of the dispatch intent has
// taken effect.
func (c *Claims) confirmDispatch(ctx context.Context, g *Grant, cause error) (ports.Version, error) {
	if errors.Is(cause, ports.ErrUnavailable) || errors.Is(cause, ports.ErrThrottled) {
		return 0, cause
	}
	read := readRow(ctx, c.cfg.Table, g.key)
	if read.Err != nil {
		return 0, errors.Join(ports.ErrUnavailable, read.Err)
	}
	if read.Record == nil || read.Record.Call != g.record.Call || read.Record.State != StateClaimed {
		return 0, eris.Wrapf(ErrLost, "row %s", g.key)
	}
	if !read.Record.Dispatched {
		return 0, eris.Wrap(ports.ErrUnavailable, "dispatch intent was not stored")
	}
	return read.Version, nil
}

// Finish records the outcome of a granted call and waits until it is stored
// or ctx ends; it keeps trying after that until Close. State is StateRan,
// StateNotRun or StateUnknown. StateNotRun requires that the call was never
// sent or that the upstream refused it. It fails with ErrPending or ErrLost.
func (c *Claims) Finish(ctx context.Context, g *Grant, state State, answer *Answer) error {
	if c.pending.Load() >= maxPending {
		answer = answer.bounded(0)
	}
	done := c.settle(newSettlement(g, state, answer, c.cfg.Limits, c.cfg.Seed()))
	select {
	case s := <-done:
		return s.err()
	case <-ctx.Done():
		return eris.Wrapf(ErrPending, "row %s", g.key)
	}
}

func (s Settled) err() error {
	if s.Lost {
		return ErrLost
	}
	return nil
}

// fence records that a call was not dispatched although its claim may still
// be written.
func (c *Claims) fence(request Request) {
	c.settle(newFence(request, c.cfg.Owner(), c.cfg.Seed()))
}

func (c *Claims) settle(core *Settlement) <-chan Settled {
	core.expireAt(time.Now().Add(c.cfg.Limits.Retention))
	done := make(chan Settled, 1)
	c.pending.Add(1)
	c.running.Go(func() {
		defer c.pending.Add(-1)
		var event ClaimEvent = Started{}
		for c.life.Err() == nil {
			action := core.Step(time.Now(), event)
			if s, ok := action.(Settled); ok {
				done <- s
				return
			}
			event = c.run(c.life, action)
		}
	})
	return done
}

// Close stops settling after outstanding outcomes are stored or ctx ends.
// Claims that remain are settled as unknown by other daemons.
func (c *Claims) Close(ctx context.Context) {
	idle := make(chan struct{})
	go func() {
		c.running.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	c.end()
	<-idle
}

func (c *Claims) run(ctx context.Context, action ClaimAction) ClaimEvent {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch a := action.(type) {
	case ReadRow:
		return readRow(call, c.cfg.Table, a.Key)
	case CommitRow:
		version, err := c.cfg.Committer.Commit(call, a.Write)
		return Committed{Version: version, Err: err}
	case Pause:
		sleep(ctx, a.For)
	}
	return Elapsed{}
}

func readRow(ctx context.Context, table ports.Table, key string) RowRead {
	rows, err := table.Get(ctx, key)
	if err != nil || len(rows) == 0 {
		return RowRead{Err: err}
	}
	record, err := decode(rows[0])
	return RowRead{Record: &record, Version: rows[0].Version, Err: err}
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
