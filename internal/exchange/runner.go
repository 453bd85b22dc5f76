package exchange

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// Engine is the part of ports.Engine that a Runner uses.
type Engine interface {
	Generate(ctx context.Context, req *ports.GenerateRequest) (ports.Stream, error)
	Reconnect(ctx context.Context, attempt domain.AttemptID, last int) (ports.Stream, error)
	Cancel(ctx context.Context, attempt domain.AttemptID) error
	Probe(ctx context.Context) error
}

// Reservation is the place of one attempt at an engine. Release is called once,
// when the attempt has ended; it may be nil.
type Reservation struct {
	Upstream domain.UpstreamID
	Engine   Engine
	Release  func()
}

// Picker picks an engine for a further attempt.
type Picker interface {
	// Pick returns an engine outside exclude and reports whether there is
	// one. It must not block.
	Pick(purpose Purpose, exclude []domain.UpstreamID) (Reservation, bool)
}

// Emitter sends events to the caller. Emit may block while the caller does
// not read; it fails when the caller has disconnected. The event is valid during
// the call. CompletionTokens of the final event counts the whole response across
// attempts; Data is as the engine sent it.
type Emitter interface {
	Emit(ev *ports.Event) error
}

// Observer is notified of what happens to the attempts of a request. All methods
// are called on the goroutine of Run.
type Observer interface {
	// AttemptStarted reports that attempt n starts.
	AttemptStarted(n int, upstream domain.UpstreamID, purpose Purpose)
	// FirstToken reports the time to the first event of an attempt.
	FirstToken(upstream domain.UpstreamID, d time.Duration)
	// InterTokenGap reports the time between two events and the number of
	// tokens in the later one.
	InterTokenGap(upstream domain.UpstreamID, d time.Duration, tokens int)
	// AttemptEnded reports how attempt n ended. It is called once for each
	// started attempt.
	AttemptEnded(n int, upstream domain.UpstreamID, result Result, tokens int, d time.Duration)
	// Wasted reports computed tokens that were of no use to the caller.
	Wasted(cause domain.WasteCause, tokens int)
}

// Outcome is how a request ended.
type Outcome struct {
	Outcome domain.Outcome
	// Complete reports whether the caller has the whole response.
	Complete bool
	Reason   Reason
	Err      error
	// Tokens is the number of tokens sent to the caller.
	Tokens   int
	Attempts int
	// Upstream is the one that finished the response; empty unless Complete.
	Upstream domain.UpstreamID
}

// RunnerConfig configures a Runner. Picker, Observer, Readmit and Budget are
// optional.
type RunnerConfig struct {
	Config   Config
	Request  ports.GenerateRequest // Attempt, PromptSuffix and SkipTokens are set by the Runner
	Emitter  Emitter
	Picker   Picker
	Observer Observer
	// Readmit waits for a new reservation after a preemption; tokens is the
	// number of tokens already sent to the caller. Without it, requests are
	// not preempted.
	Readmit func(ctx context.Context, tokens int) (Reservation, error)
	Budget  *Budget
	// CancelTimeout bounds cancellation at an engine. Default 2 s.
	CancelTimeout time.Duration
}

const (
	defaultCancelTimeout = 2 * time.Second
	// eventBuffer is how many events may be read ahead of the caller.
	eventBuffer = 16
	// stallThreshold is how long handling an event may block before the time
	// is attributed to the caller instead of counting as upstream silence.
	stallThreshold = 10 * time.Millisecond
)

type messageKind uint8

const (
	messageEvent messageKind = iota
	messageFailed
	messageProbed
	messageReadmitted
	messageDrain
)

type message struct {
	kind        messageKind
	attempt     int
	conn        int
	event       ports.Event
	err         error
	reservation Reservation
	upstream    domain.UpstreamID
	deadline    time.Time
}

type runningAttempt struct {
	Reservation
	cancel context.CancelFunc // closes the connection
}

// Runner executes one request at engines. Each connection is read by a goroutine
// of its own, and the state machine, Emitter and Observer are called only on the
// goroutine of Run. Event.Data must stay valid after the next Recv.
type Runner struct {
	cfg      RunnerConfig
	machine  *Exchange
	messages chan message
	drains   chan message
	preempt  chan struct{}
	done     chan struct{}
	timer    *time.Timer
	ctx      context.Context // of the connections; not cancelled with the caller's
	attempts []runningAttempt
	outcome  Outcome
}

// NewRunner returns a Runner for one request.
func NewRunner(cfg RunnerConfig) *Runner {
	if cfg.CancelTimeout == 0 {
		cfg.CancelTimeout = defaultCancelTimeout
	}
	return &Runner{
		cfg:      cfg,
		machine:  New(cfg.Config, cfg.Budget),
		messages: make(chan message, eventBuffer),
		drains:   make(chan message, 4),
		preempt:  make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
}

// Preempt asks the request to release its reservation and wait for another one.
// It may be called at any time from any goroutine and does not block. It has no
// effect on a request that must not be repeated.
func (r *Runner) Preempt() {
	select {
	case r.preempt <- struct{}{}:
	default:
	}
}

// Drain reports that upstream shuts down at deadline. It may be called at any
// time from any goroutine. It may block while the caller does not take events.
func (r *Runner) Drain(upstream domain.UpstreamID, deadline time.Time) {
	select {
	case r.drains <- message{kind: messageDrain, upstream: upstream, deadline: deadline}:
	case <-r.done:
	}
}

// Run executes the request, first at the admitted reservation, until it has
// ended. The end of ctx means that the caller has disconnected. Run may be called
// once.
func (r *Runner) Run(ctx context.Context, admitted Reservation) Outcome {
	connections, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer close(r.done)
	r.ctx = connections
	r.timer = time.NewTimer(time.Hour)
	defer r.timer.Stop()
	r.executeWith(admitted, r.machine.Admitted(time.Now(), admitted.Upstream))
	for !r.machine.Done() {
		r.step(ctx)
	}
	r.outcome.Attempts = r.machine.Attempts()
	return r.outcome
}

func (r *Runner) step(ctx context.Context) {
	select {
	case m := <-r.messages:
		r.handle(&m)
	case m := <-r.drains:
		r.handle(&m)
	case <-r.preempt:
		if r.cfg.Readmit != nil {
			r.execute(r.machine.Preempted(time.Now()))
		}
	case <-r.timer.C:
		r.tick()
	case <-ctx.Done():
		r.execute(r.machine.CallerDisconnected(time.Now()))
	}
}

// tick handles queued messages first, so that a busy loop does not mistake events
// that it has not yet read for silence.
func (r *Runner) tick() {
	for !r.machine.Done() {
		select {
		case m := <-r.messages:
			r.handle(&m)
			continue
		default:
		}
		r.execute(r.machine.Tick(time.Now()))
		return
	}
}

func (r *Runner) handle(m *message) {
	now := time.Now()
	switch m.kind {
	case messageEvent:
		r.execute(r.machine.Event(now, m.attempt, m.conn, &m.event))
		if end := time.Now(); end.Sub(now) > stallThreshold {
			r.machine.CallerStalled(end)
		}
	case messageFailed:
		r.execute(r.machine.Failed(now, m.attempt, m.conn, m.err))
	case messageProbed:
		r.execute(r.machine.Probed(now, m.attempt, m.err))
	case messageReadmitted:
		if m.err != nil {
			r.execute(r.machine.NotReadmitted(now, m.err))
			return
		}
		r.executeWith(m.reservation, r.machine.Admitted(now, m.reservation.Upstream))
	case messageDrain:
		r.execute(r.machine.Draining(now, m.upstream, m.deadline))
	}
}

// executeWith executes actions that may start an attempt with the reservation,
// and releases the reservation if none does.
func (r *Runner) executeWith(res Reservation, actions []Action) {
	used := false
	for i := range actions {
		if actions[i].Kind == ActionStart {
			r.attempts = append(r.attempts, runningAttempt{Reservation: res})
			used = true
		}
	}
	if !used && res.Release != nil {
		res.Release()
	}
	r.execute(actions)
}

// execute performs actions in order. An action that leads to another call of
// the state machine is performed last, because that call reuses the slice.
func (r *Runner) execute(actions []Action) {
	pick := -1
	disconnected := false
	for i := range actions {
		switch a := &actions[i]; a.Kind {
		case ActionPick:
			pick = i
		case ActionEmit:
			disconnected = r.cfg.Emitter.Emit(a.Event) != nil || disconnected
		default:
			r.perform(a)
		}
	}
	switch {
	case disconnected && !r.machine.Done():
		r.execute(r.machine.CallerDisconnected(time.Now()))
	case disconnected:
		r.markUndelivered()
	case pick >= 0:
		r.pick(actions[pick].Purpose, actions[pick].Exclude)
	}
}

// markUndelivered corrects the outcome of a complete response whose final event
// did not reach the caller.
func (r *Runner) markUndelivered() {
	if !r.outcome.Complete {
		return
	}
	r.outcome.Complete = false
	r.outcome.Reason = ReasonCallerDisconnected
	if r.cfg.Observer != nil {
		r.cfg.Observer.Wasted(domain.WasteCallerGone, r.outcome.Tokens)
	}
}

func (r *Runner) pick(purpose Purpose, exclude []domain.UpstreamID) {
	var res Reservation
	ok := false
	if r.cfg.Picker != nil {
		res, ok = r.cfg.Picker.Pick(purpose, exclude)
	}
	if !ok {
		r.execute(r.machine.NotPicked(time.Now()))
		return
	}
	r.executeWith(res, r.machine.Picked(time.Now(), res.Upstream))
}

func (r *Runner) perform(a *Action) {
	switch a.Kind {
	case ActionStart:
		r.startAttempt(a)
	case ActionReconnect:
		r.reconnectAttempt(a)
	case ActionCancel:
		r.cancelAttempt(a)
	case ActionProbe:
		r.probe(a)
	case ActionAttemptEnded:
		r.endAttempt(a)
	case ActionReadmit:
		r.readmit(a.Tokens)
	case ActionTimer:
		r.timer.Reset(time.Until(a.At))
	case ActionComplete:
		r.outcome = Outcome{Outcome: a.Outcome, Complete: true, Tokens: a.Tokens, Upstream: a.Upstream}
	case ActionFail:
		r.outcome = Outcome{Outcome: a.Outcome, Reason: a.Reason, Err: a.Err, Tokens: a.Tokens}
	case ActionFirstToken, ActionInterTokenGap, ActionWaste:
		r.observe(a)
	}
}

func (r *Runner) observe(a *Action) {
	if r.cfg.Observer == nil {
		return
	}
	switch a.Kind {
	case ActionFirstToken:
		r.cfg.Observer.FirstToken(a.Upstream, a.Duration)
	case ActionInterTokenGap:
		r.cfg.Observer.InterTokenGap(a.Upstream, a.Duration, a.Tokens)
	case ActionWaste:
		r.cfg.Observer.Wasted(a.Cause, a.Tokens)
	}
}

func (r *Runner) startAttempt(a *Action) {
	if r.cfg.Observer != nil {
		r.cfg.Observer.AttemptStarted(a.Attempt, a.Upstream, a.Purpose)
	}
	req := r.cfg.Request
	req.Attempt = a.ID
	req.PromptSuffix = a.Suffix
	req.SkipTokens = a.Skip
	engine := r.attempts[a.Attempt].Engine
	r.connect(a.Attempt, 0, func(ctx context.Context) (ports.Stream, error) {
		return engine.Generate(ctx, &req)
	})
}

func (r *Runner) reconnectAttempt(a *Action) {
	r.attempts[a.Attempt].cancel()
	engine, id, last := r.attempts[a.Attempt].Engine, a.ID, a.Last
	r.connect(a.Attempt, a.Conn, func(ctx context.Context) (ports.Stream, error) {
		return engine.Reconnect(ctx, id, last)
	})
}

func (r *Runner) connect(n, conn int, open func(context.Context) (ports.Stream, error)) {
	ctx, cancel := context.WithCancel(r.ctx)
	r.attempts[n].cancel = cancel
	go r.read(ctx, n, conn, open)
}

// read delivers the events of one connection until it fails or ctx ends.
func (r *Runner) read(ctx context.Context, n, conn int, open func(context.Context) (ports.Stream, error)) {
	stream, err := open(ctx)
	if err != nil {
		r.send(ctx, message{kind: messageFailed, attempt: n, conn: conn, err: err})
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer func() {
		if stop() {
			_ = stream.Close()
		}
	}()
	for {
		ev, err := stream.Recv()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = ports.ErrStreamBroken
			}
			r.send(ctx, message{kind: messageFailed, attempt: n, conn: conn, err: err})
			return
		}
		if !r.send(ctx, message{kind: messageEvent, attempt: n, conn: conn, event: ev}) || ev.Final {
			return
		}
	}
}

func (r *Runner) send(ctx context.Context, m message) bool {
	select {
	case r.messages <- m:
		return true
	case <-ctx.Done():
		return false
	}
}

// cancelAttempt closes the connection at once and cancels the attempt at its
// engine in the background.
func (r *Runner) cancelAttempt(a *Action) {
	running := &r.attempts[a.Attempt]
	running.cancel()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), r.cfg.CancelTimeout)
	engine, id := running.Engine, a.ID
	go func() {
		defer cancel()
		_ = engine.Cancel(ctx, id)
	}()
}

func (r *Runner) probe(a *Action) {
	ctx, cancel := context.WithTimeout(r.ctx, a.Duration)
	engine, n := r.attempts[a.Attempt].Engine, a.Attempt
	go func() {
		defer cancel()
		err := engine.Probe(ctx)
		r.send(r.ctx, message{kind: messageProbed, attempt: n, err: err})
	}()
}

func (r *Runner) endAttempt(a *Action) {
	running := &r.attempts[a.Attempt]
	if r.cfg.Observer != nil {
		r.cfg.Observer.AttemptEnded(a.Attempt, a.Upstream, a.Result, a.Tokens, a.Duration)
	}
	if running.Release != nil {
		running.Release()
	}
	if running.cancel != nil && a.Result != ResultFinished {
		running.cancel()
	}
}

func (r *Runner) readmit(tokens int) {
	go func() {
		res, err := r.cfg.Readmit(r.ctx, tokens)
		m := message{kind: messageReadmitted, reservation: res, err: err}
		if !r.send(r.ctx, m) && err == nil && res.Release != nil {
			res.Release()
		}
	}()
}
