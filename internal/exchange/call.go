package exchange

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// Call is the state machine of one call to a plain service. Its response comes
// as a whole and cannot be read again over a new connection. A call that must
// not be repeated is claimed before its first attempt, outside this package.
type Call struct {
	Exchange
}

// NewCall returns the state machine of one call.
func NewCall(cfg Config, budget *Budget) *Call {
	cfg.Reconnectable = false
	c := &Call{Exchange: *New(cfg, budget)}
	c.attempts = c.attemptsBuf[:0]
	return c
}

// Responded handles the whole response of attempt n.
func (c *Call) Responded(now time.Time, n int) []Action {
	ev := ports.Event{Attempt: c.attempts[n].id, Index: c.attempts[n].next, Final: true}
	return c.Event(now, n, 0, &ev)
}

// ServiceReservation is the place of one attempt at a plain service. Release is
// called once, when the attempt has ended; it may be nil.
type ServiceReservation struct {
	Upstream domain.UpstreamID
	Service  ports.Service
	Release  func()
}

// ServicePicker picks a service replica for a further attempt, like Picker.
type ServicePicker interface {
	Pick(purpose Purpose, exclude []domain.UpstreamID) (ServiceReservation, bool)
}

// CallConfig configures RunCall. Picker, Observer and Budget are optional.
type CallConfig struct {
	Config   Config
	Request  ports.ServiceRequest // Attempt is set for each attempt
	Picker   ServicePicker
	Observer Observer
	Budget   *Budget
}

// RunCall executes one call, first at the admitted reservation, until it has
// ended. The response is nil unless the outcome is complete. The end of ctx means
// that the caller has disconnected.
func RunCall(ctx context.Context, cfg CallConfig, admitted ServiceReservation) (*ports.ServiceResponse, Outcome) {
	cfg.Config.Reconnectable = false
	emitter := &responseEmitter{}
	rc := RunnerConfig{
		Config:   cfg.Config,
		Emitter:  emitter,
		Observer: cfg.Observer,
		Budget:   cfg.Budget,
	}
	if cfg.Picker != nil {
		rc.Picker = servicePicker{cfg: &cfg, emitter: emitter}
	}
	outcome := NewRunner(rc).Run(ctx, serviceReservation(&cfg, emitter, admitted))
	if !outcome.Complete {
		return nil, outcome
	}
	return emitter.response, outcome
}

func serviceReservation(cfg *CallConfig, emitter *responseEmitter, res ServiceReservation) Reservation {
	return Reservation{
		Upstream: res.Upstream,
		Engine:   &serviceEngine{service: res.Service, request: &cfg.Request, emitter: emitter},
		Release:  res.Release,
	}
}

type servicePicker struct {
	cfg     *CallConfig
	emitter *responseEmitter
}

func (p servicePicker) Pick(purpose Purpose, exclude []domain.UpstreamID) (Reservation, bool) {
	res, ok := p.cfg.Picker.Pick(purpose, exclude)
	if !ok {
		return Reservation{}, false
	}
	return serviceReservation(p.cfg, p.emitter, res), true
}

// serviceEngine presents calls to a plain service as streams of one event.
type serviceEngine struct {
	service ports.Service
	request *ports.ServiceRequest
	emitter *responseEmitter
}

func (e *serviceEngine) Generate(ctx context.Context, req *ports.GenerateRequest) (ports.Stream, error) {
	call := *e.request
	call.Attempt = req.Attempt
	response, err := e.service.Call(ctx, &call)
	if err != nil {
		return nil, err
	}
	e.emitter.store(req.Attempt, response)
	return &serviceStream{attempt: req.Attempt}, nil
}

func (e *serviceEngine) Reconnect(context.Context, domain.AttemptID, int) (ports.Stream, error) {
	return nil, ports.ErrStreamGone
}

// Cancel does nothing: the only way to cancel a call to a plain service is to
// close its connection.
func (e *serviceEngine) Cancel(context.Context, domain.AttemptID) error { return nil }

func (e *serviceEngine) Probe(ctx context.Context) error { return e.service.Probe(ctx) }

type serviceStream struct {
	attempt domain.AttemptID
	sent    bool
}

func (s *serviceStream) Recv() (ports.Event, error) {
	if s.sent {
		return ports.Event{}, io.EOF
	}
	s.sent = true
	return ports.Event{Attempt: s.attempt, Final: true}, nil
}

func (s *serviceStream) Close() error { return nil }

// responseEmitter holds the responses of the attempts until one is accepted.
type responseEmitter struct {
	mu        sync.Mutex
	responses map[domain.AttemptID]*ports.ServiceResponse
	response  *ports.ServiceResponse
}

func (a *responseEmitter) store(id domain.AttemptID, response *ports.ServiceResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.responses == nil {
		a.responses = make(map[domain.AttemptID]*ports.ServiceResponse, 1)
	}
	a.responses[id] = response
}

// Emit accepts the response of the event's attempt.
func (a *responseEmitter) Emit(ev *ports.Event) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.response = a.responses[ev.Attempt]
	return nil
}
