package exchange

import (
	"context"
	"io"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
)

// fakeEngine generates the words "0 1 2 ..." up to total, one per interval, and
// starts behind SkipTokens. A broken or silent connection is always the first one.
type fakeEngine struct {
	total       int
	interval    time.Duration
	breakAfter  int  // the first connection breaks after this many events
	silentAfter int  // the first connection falls silent after this many events
	gone        bool // Reconnect fails with ErrStreamGone
	probeErr    error
	openErr     error
	mu          sync.Mutex
	started     []ports.GenerateRequest
	cancelled   []domain.AttemptID
}

func (f *fakeEngine) Generate(ctx context.Context, req *ports.GenerateRequest) (ports.Stream, error) {
	if f.openErr != nil {
		return nil, f.openErr
	}
	f.mu.Lock()
	f.started = append(f.started, *req)
	f.mu.Unlock()
	return &fakeStream{f: f, ctx: ctx, attempt: req.Attempt, skip: req.SkipTokens, faulty: true}, nil
}

func (f *fakeEngine) Reconnect(ctx context.Context, attempt domain.AttemptID, last int) (ports.Stream, error) {
	if f.gone {
		return nil, ports.ErrStreamGone
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	req := f.started[len(f.started)-1]
	return &fakeStream{f: f, ctx: ctx, attempt: attempt, skip: req.SkipTokens, next: last + 1}, nil
}

func (f *fakeEngine) Cancel(_ context.Context, attempt domain.AttemptID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled = append(f.cancelled, attempt)
	return nil
}

func (f *fakeEngine) Probe(context.Context) error { return f.probeErr }

type fakeStream struct {
	f       *fakeEngine
	ctx     context.Context
	attempt domain.AttemptID
	skip    int
	next    int
	faulty  bool
}

func (s *fakeStream) Recv() (ports.Event, error) {
	n := s.f.total - s.skip
	if s.next > n {
		return ports.Event{}, io.EOF
	}
	if s.faulty && s.f.breakAfter > 0 && s.next >= s.f.breakAfter {
		return ports.Event{}, ports.ErrStreamBroken
	}
	if s.faulty && s.f.silentAfter > 0 && s.next >= s.f.silentAfter {
		<-s.ctx.Done()
		return ports.Event{}, s.ctx.Err()
	}
	select {
	case <-time.After(s.f.interval):
	case <-s.ctx.Done():
		return ports.Event{}, s.ctx.Err()
	}
	ev := ports.Event{Attempt: s.attempt, Index: s.next}
	if s.next == n {
		ev.Final = true
		ev.CompletionTokens = n
	} else {
		ev.Text = strconv.Itoa(s.skip+s.next) + " "
		ev.Tokens = 1
	}
	s.next++
	return ev, nil
}

func (s *fakeStream) Close() error { return nil }

type textEmitter struct {
	strings.Builder
	final ports.Event
	delay time.Duration
}

func (t *textEmitter) Emit(ev *ports.Event) error {
	time.Sleep(t.delay)
	t.WriteString(ev.Text)
	if ev.Final {
		t.final = *ev
	}
	return nil
}

type listPicker []Reservation

func (p *listPicker) Pick(Purpose, []domain.UpstreamID) (Reservation, bool) {
	if len(*p) == 0 {
		return Reservation{}, false
	}
	res := (*p)[0]
	*p = (*p)[1:]
	return res, true
}

func fullText(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(strconv.Itoa(i) + " ")
	}
	return b.String()
}

// TestRunnerDeliversWholeResponse guards against tokens that are lost or repeated
// when the first connection or upstream breaks, falls silent, refuses the request
// or is slow.
func TestRunnerDeliversWholeResponse(t *testing.T) {
	const total = 40
	for _, tc := range []struct {
		name     string
		first    *fakeEngine
		hedge    time.Duration
		delay    time.Duration
		attempts int
		cancels  int
	}{
		{name: "healthy", first: &fakeEngine{}, attempts: 1},
		{name: "broken stream is reconnected", first: &fakeEngine{breakAfter: 7}, attempts: 1},
		{name: "broken stream is resumed elsewhere", first: &fakeEngine{breakAfter: 7, gone: true}, attempts: 2, cancels: 1},
		{name: "silent connection is reconnected", first: &fakeEngine{silentAfter: 9}, attempts: 1},
		{name: "silent upstream is replaced", first: &fakeEngine{silentAfter: 9, probeErr: io.ErrUnexpectedEOF}, attempts: 2, cancels: 1},
		{name: "refused request is retried", first: &fakeEngine{openErr: ports.ErrRefused}, attempts: 2},
		{name: "slow first token is hedged", first: &fakeEngine{interval: 2 * time.Second}, hedge: time.Second, attempts: 2, cancels: 1},
		{name: "slow caller does not count as silence", first: &fakeEngine{}, delay: 5 * time.Second, attempts: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				first, second := tc.first, &fakeEngine{total: total, interval: 20 * time.Millisecond}
				first.total = total
				if first.interval == 0 {
					first.interval = second.interval
				}
				released := 0
				release := func() { released++ }
				emitter := &textEmitter{delay: tc.delay}
				outcome := NewRunner(RunnerConfig{
					Config:  Config{Request: "r", Repeatable: true, Reconnectable: true, HedgeDelay: tc.hedge},
					Emitter: emitter,
					Picker:  &listPicker{{Upstream: "b", Engine: second, Release: release}},
					Budget:  NewBudget(DefaultRetryRatio, DefaultRetryFloor, 0),
				}).Run(t.Context(), Reservation{Upstream: "a", Engine: first, Release: release})
				synctest.Wait()
				assert.Assert(t, outcome.Complete, "%+v", outcome)
				assert.Equal(t, emitter.String(), fullText(total))
				assert.Equal(t, emitter.final.CompletionTokens, total)
				assert.Equal(t, outcome.Attempts, tc.attempts)
				assert.Equal(t, released, tc.attempts)
				assert.Equal(t, len(first.cancelled), tc.cancels)
			})
		})
	}
}

// TestRunnerPreemptionKeepsText guards against a preempted request that, after
// readmission, generates its response from the beginning or repeats tokens.
func TestRunnerPreemptionKeepsText(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		engine := &fakeEngine{total: 40, interval: 20 * time.Millisecond}
		reservation := Reservation{Upstream: "a", Engine: engine}
		emitter := &textEmitter{}
		r := NewRunner(RunnerConfig{
			Config:  Config{Request: "r", Repeatable: true, Reconnectable: true},
			Emitter: emitter,
			Readmit: func(ctx context.Context, tokens int) (Reservation, error) {
				time.Sleep(time.Minute)
				return reservation, nil
			},
		})
		time.AfterFunc(150*time.Millisecond, r.Preempt)
		outcome := r.Run(t.Context(), reservation)
		synctest.Wait()
		assert.Assert(t, outcome.Complete, "%+v", outcome)
		assert.Equal(t, emitter.String(), fullText(40))
		assert.Equal(t, engine.started[1].SkipTokens, 7)
		assert.DeepEqual(t, engine.cancelled, []domain.AttemptID{"r.0"})
	})
}

type fakeService struct {
	errs  []error
	calls int
}

func (f *fakeService) Call(_ context.Context, req *ports.ServiceRequest) (*ports.ServiceResponse, error) {
	f.calls++
	if err := f.errs[f.calls-1]; err != nil {
		return nil, err
	}
	return &ports.ServiceResponse{Status: 200, Body: []byte(req.Attempt)}, nil
}

func (f *fakeService) Probe(context.Context) error { return nil }

func (f *fakeService) Pick(Purpose, []domain.UpstreamID) (ServiceReservation, bool) {
	return ServiceReservation{Upstream: "s", Service: f}, true
}

// TestRunCallOutcomes guards against a retry of a call that must not be repeated
// and may have run, and against a wrong outcome.
func TestRunCallOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name       string
		repeatable bool
		errs       []error
		outcome    domain.Outcome
		calls      int
	}{
		{"answered", false, []error{nil}, domain.OutcomeRan, 1},
		{"refused, not sent, then run", false, []error{ports.ErrRefused, ports.ErrNotSent, nil}, domain.OutcomeRan, 3},
		{"may have run, not repeatable", false, []error{ports.ErrStreamBroken}, domain.OutcomeUnknown, 1},
		{"repeatable", true, []error{ports.ErrStreamBroken, nil}, domain.OutcomeRan, 2},
		{"never ran", false, []error{ports.ErrRefused, ports.ErrRefused, ports.ErrRefused, ports.ErrRefused, ports.ErrNotSent}, domain.OutcomeNotRun, 5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				service := &fakeService{errs: tc.errs}
				response, outcome := RunCall(t.Context(), CallConfig{
					Config: Config{Request: "r", Repeatable: tc.repeatable},
					Picker: service,
				}, ServiceReservation{Upstream: "s", Service: service})
				assert.Equal(t, outcome.Outcome, tc.outcome)
				assert.Equal(t, response != nil, outcome.Complete)
				assert.Equal(t, service.calls, tc.calls)
			})
		})
	}
}

// fastEngine generates events without delay.
type fastEngine struct {
	fakeEngine
	total int
}

func (f *fastEngine) Generate(_ context.Context, req *ports.GenerateRequest) (ports.Stream, error) {
	return &fastStream{attempt: req.Attempt, total: f.total}, nil
}

type fastStream struct {
	fakeStream
	attempt domain.AttemptID
	total   int
	next    int
}

func (s *fastStream) Recv() (ports.Event, error) {
	ev := ports.Event{Attempt: s.attempt, Index: s.next, Text: "w", Tokens: 1}
	if s.next == s.total {
		ev = ports.Event{Attempt: s.attempt, Index: s.next, Final: true, CompletionTokens: s.total}
	}
	s.next++
	return ev, nil
}

// failingEmitter fails after the given number of events.
type failingEmitter struct{ after int }

func (g *failingEmitter) Emit(*ports.Event) error {
	g.after--
	if g.after < 0 {
		return io.ErrClosedPipe
	}
	return nil
}

// wasteObserver sums wasted tokens by cause.
type wasteObserver map[domain.WasteCause]int

func (wasteObserver) AttemptStarted(int, domain.UpstreamID, Purpose)                  {}
func (wasteObserver) FirstToken(domain.UpstreamID, time.Duration)                     {}
func (wasteObserver) InterTokenGap(domain.UpstreamID, time.Duration, int)             {}
func (wasteObserver) AttemptEnded(int, domain.UpstreamID, Result, int, time.Duration) {}
func (w wasteObserver) Wasted(cause domain.WasteCause, tokens int)                    { w[cause] += tokens }

// TestRunnerOutcomes guards against a wrong outcome, waste that is not counted and
// an engine that keeps generating when a request ends early: the caller
// disconnects, the deadline passes, or no other attempt is possible or allowed.
func TestRunnerOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name            string
		cfg             Config
		disconnectAfter time.Duration
		emits           int
		engine          *fakeEngine
		outcome         domain.Outcome
		reason          Reason
		cause           domain.WasteCause
		cancels         int
		complete        bool
	}{
		{"caller disconnects", Config{}, 110 * time.Millisecond, 99, &fakeEngine{}, domain.OutcomeRan, ReasonCallerDisconnected, domain.WasteCallerGone, 1, false},
		{"caller disconnects before the first token", Config{}, 5 * time.Millisecond, 99, &fakeEngine{}, domain.OutcomeUnknown, ReasonCallerDisconnected, "", 1, false},
		{"emitting an event fails", Config{}, 0, 5, &fakeEngine{}, domain.OutcomeRan, ReasonCallerDisconnected, domain.WasteCallerGone, 1, false},
		{"emitting the final event fails", Config{}, 0, 40, &fakeEngine{}, domain.OutcomeRan, ReasonCallerDisconnected, domain.WasteCallerGone, 0, false},
		{"deadline", Config{Deadline: time.Date(2000, 1, 1, 0, 0, 0, 110e6, time.UTC)}, 0, 99, &fakeEngine{}, domain.OutcomeRan, ReasonDeadline, domain.WasteDeadline, 1, false},
		{"no eligible upstream", Config{Repeatable: true}, 0, 99, &fakeEngine{breakAfter: 5, gone: true}, domain.OutcomeRan, ReasonBroken, domain.WasteBroken, 1, false},
		{"not repeatable", Config{}, 0, 99, &fakeEngine{breakAfter: 5, gone: true}, domain.OutcomeRan, ReasonBroken, domain.WasteBroken, 1, false},
		{"refused everywhere", Config{}, 0, 99, &fakeEngine{openErr: ports.ErrRefused}, domain.OutcomeNotRun, ReasonRefused, "", 0, false},
		{"not repeatable, but reconnected", Config{}, 0, 99, &fakeEngine{breakAfter: 5}, domain.OutcomeRan, "", "", 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				tc.engine.total, tc.engine.interval = 40, 20*time.Millisecond
				tc.cfg.Request, tc.cfg.Reconnectable = "r", true
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if tc.disconnectAfter > 0 {
					time.AfterFunc(tc.disconnectAfter, cancel)
				}
				waste := wasteObserver{}
				outcome := NewRunner(RunnerConfig{
					Config:   tc.cfg,
					Emitter:  &failingEmitter{after: tc.emits},
					Observer: waste,
				}).Run(ctx, Reservation{Upstream: "a", Engine: tc.engine})
				synctest.Wait()
				assert.Equal(t, outcome.Outcome, tc.outcome)
				assert.Equal(t, outcome.Reason, tc.reason)
				assert.Equal(t, outcome.Complete, tc.complete)
				assert.Equal(t, len(tc.engine.cancelled), tc.cancels)
				want := wasteObserver{}
				if tc.cause != "" {
					want[tc.cause] = outcome.Tokens
				}
				assert.DeepEqual(t, waste, want)
			})
		})
	}
}

// TestRunnerMovesFromDrainingUpstream guards against a stream that breaks when its
// upstream shuts down, because it was not moved before the drain deadline.
func TestRunnerMovesFromDrainingUpstream(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		first := &fakeEngine{total: 400, interval: 20 * time.Millisecond}
		second := &fakeEngine{total: 400, interval: 20 * time.Millisecond}
		emitter := &textEmitter{}
		r := NewRunner(RunnerConfig{
			Config:  Config{Request: "r", Repeatable: true, Reconnectable: true},
			Emitter: emitter,
			Picker:  &listPicker{{Upstream: "b", Engine: second}},
		})
		time.AfterFunc(1010*time.Millisecond, func() { r.Drain("a", time.Now().Add(5*time.Second)) })
		outcome := r.Run(t.Context(), Reservation{Upstream: "a", Engine: first})
		synctest.Wait()
		assert.Assert(t, outcome.Complete, "%+v", outcome)
		assert.Equal(t, emitter.String(), fullText(400))
		assert.Equal(t, second.started[0].SkipTokens, 150)
		assert.Equal(t, len(first.cancelled), 1)
	})
}

// TestCallEmitsOneResponse guards against a second response to the caller: that of
// a failed attempt, which arrives late, or a repeated one.
func TestCallEmitsOneResponse(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := NewCall(Config{Request: "r", Repeatable: true}, nil)
	c.Admitted(now, "a")
	c.Failed(now, 0, 0, ports.ErrStreamBroken)
	c.Picked(now, "b")
	emitted := 0
	for _, n := range []int{0, 1, 1, 0} {
		for _, action := range c.Responded(now, n) {
			if action.Kind == ActionEmit {
				emitted++
				assert.Equal(t, action.Event.Attempt, domain.AttemptID("r.1"))
			}
		}
	}
	assert.Equal(t, emitted, 1)
	assert.Assert(t, c.Done())
}
