package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/auburndyke/auburndyke/internal/claims"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/exchange"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/routing"
)

const (
	// settleTimeout bounds how long an answer waits for its outcome to be
	// recorded. The record is written later all the same.
	settleTimeout = 2 * time.Second
	// claimedCallTimeout bounds a claimed call whose caller may be gone.
	claimedCallTimeout = time.Minute
	// outageWait bounds how long a call of a class with claim_outage = "wait"
	// and without max_wait is held during an outage.
	outageWait = 30 * time.Second
)

// Call runs one call to a plain service and returns its answer, or why there is
// none.
func (g *Gateway) Call(ctx context.Context, c *ServiceCall) (*ports.ServiceResponse, *domain.Failure) {
	j, failure := g.newJob(c.Request, c.Customer, c.Class)
	if failure != nil {
		return nil, failure
	}
	if failure := g.enter(); failure != nil {
		return nil, failure
	}
	defer g.active.end(j.id)
	if !j.route.Class.Repeatable && c.IdempotencyKey == "" {
		return nil, domain.NotRun(domain.CodeKeyRequired, "calls of this class must not be repeated; send an Idempotency-Key header")
	}
	if !j.servesService(c.Service) {
		return nil, domain.NotRun(domain.CodeUnknownService, "service "+c.Service+" is not reachable for this class")
	}
	j.query = routing.Request{
		Route:        j.route,
		Kind:         domain.KindService,
		Service:      c.Service,
		OutputTokens: 1,
		Bytes:        int64(len(c.Body)),
	}
	permit, failure := j.limit()
	if failure != nil {
		return nil, failure
	}
	j.enqueue("service/" + c.Service)
	observer := newObserver(j, nil)
	response, failure := j.runCall(ctx, c, observer)
	failure = stopped(ctx, failure)
	permit.Release(observer.spent())
	observer.finish(failure)
	return response, failure
}

func (j *job) servesService(name string) bool {
	for _, i := range j.route.Upstreams {
		u := &j.policy.Upstreams[i]
		if u.Kind == domain.KindService && u.Service == name {
			return true
		}
	}
	return false
}

func (j *job) runCall(ctx context.Context, c *ServiceCall, o *observer) (*ports.ServiceResponse, *domain.Failure) {
	choice, failure := j.pool.admit(ctx, j.waiter)
	if failure != nil {
		return nil, failure
	}
	defer j.pool.finish(j.waiter)
	backend, ok := j.backend(&choice)
	if !ok {
		return nil, domain.NotRun(domain.CodeNoUpstream, "the chosen upstream has no usable address")
	}
	if j.route.Class.Repeatable {
		response, outcome := j.exchangeCall(ctx, c, o, &choice, backend)
		return response, failureOf(outcome)
	}
	return j.runClaimed(ctx, c, o, &choice, backend)
}

func (j *job) exchangeCall(ctx context.Context, c *ServiceCall, o *observer, choice *routing.Choice, backend Backend) (*ports.ServiceResponse, exchange.Outcome) {
	cfg := j.exchangeConfig(choice)
	cfg.FirstTokenSilence = 0
	a := o.assign(choice, backend)
	return exchange.RunCall(ctx, exchange.CallConfig{
		Config: cfg,
		Request: ports.ServiceRequest{
			Method:         c.Method,
			Path:           c.Path,
			Header:         c.Header,
			Body:           c.Body,
			IdempotencyKey: c.IdempotencyKey,
		},
		Picker:   servicePicker{j, o},
		Observer: o,
		Budget:   j.gateway.budget,
	}, exchange.ServiceReservation{Upstream: a.Upstream, Service: backend, Release: a.Release})
}

// servicePicker chooses service replicas for further attempts.
type servicePicker struct {
	job      *job
	observer *observer
}

// Pick implements exchange.ServicePicker.
func (p servicePicker) Pick(_ exchange.Purpose, exclude []domain.UpstreamID) (exchange.ServiceReservation, bool) {
	choice, backend, ok := p.job.pickAgain(exclude)
	if !ok {
		return exchange.ServiceReservation{}, false
	}
	a := p.observer.assign(&choice, backend)
	return exchange.ServiceReservation{Upstream: a.Upstream, Service: backend, Release: a.Release}, true
}

// runClaimed runs a call that must not be repeated: it claims the key, sends
// the call at most once and records the outcome.
func (j *job) runClaimed(ctx context.Context, c *ServiceCall, o *observer, choice *routing.Choice, backend Backend) (*ports.ServiceResponse, *domain.Failure) {
	claimCtx, cancel := j.claimContext(ctx)
	defer cancel()
	decision := j.gateway.options.Claims.Begin(claimCtx, claims.Request{
		Key:        claims.Key{Customer: c.Customer, Key: c.IdempotencyKey},
		Digest:     claims.DigestOf([]byte(c.Service), []byte(c.Method), []byte(c.Path), c.Body),
		Call:       string(c.Request),
		WaitOutage: j.waitsForOutage(),
	})
	j.gateway.logClaim(j, c, &decision)
	if decision.Verdict != claims.Granted {
		j.gateway.drop(choice, routing.ResultCancelled)
		return claimAnswer(&decision)
	}
	if !decision.Grant.MayDispatch(time.Now()) {
		j.gateway.drop(choice, routing.ResultCancelled)
		j.settle(ctx, decision.Grant, claims.StateNotRun, nil)
		return nil, domain.NotRun(domain.CodeClaimUnavailable, "the claim was granted too late to send the call")
	}
	// The call goes on when its caller disconnects: the caller's retry then
	// gets the recorded answer instead of an unknown outcome. It ends when the
	// daemon stops, so that its outcome is recorded as unknown.
	callCtx, cancelCall := context.WithTimeout(context.WithoutCancel(ctx), claimedCallTimeout)
	defer cancelCall()
	defer context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), ErrStopping) {
			cancelCall()
		}
	})()
	response, outcome := j.exchangeCall(callCtx, c, o, choice, backend)
	state, answer := settlementOf(response, outcome)
	j.settle(ctx, decision.Grant, state, answer)
	return response, failureOf(outcome)
}

func (j *job) waitsForOutage() bool {
	return string(j.route.Class.ClaimOutage) == "wait"
}

func (j *job) claimContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if !j.waitsForOutage() {
		return ctx, func() {}
	}
	limit := j.route.Class.MaxWait
	if limit == 0 {
		limit = outageWait
	}
	return context.WithDeadline(ctx, j.arrived.Add(limit))
}

func settlementOf(response *ports.ServiceResponse, outcome exchange.Outcome) (claims.State, *claims.Answer) {
	switch {
	case outcome.Complete:
		return claims.StateRan, recorded(response)
	case outcome.Outcome == domain.OutcomeNotRun:
		return claims.StateNotRun, nil
	default:
		return claims.StateUnknown, nil
	}
}

// settle records the outcome. The caller may be gone; the record is written
// all the same.
func (j *job) settle(ctx context.Context, grant *claims.Grant, state claims.State, answer *claims.Answer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if err := j.gateway.options.Claims.Finish(ctx, grant, state, answer); err != nil {
		j.gateway.logSettle(j, state, err)
	}
}

// claimAnswer answers a call that is not dispatched now.
func claimAnswer(d *claims.Decision) (*ports.ServiceResponse, *domain.Failure) {
	switch d.Verdict {
	case claims.Replay:
		return replayed(d.Answer)
	case claims.InProgress:
		return nil, &domain.Failure{Code: domain.CodeInProgress, Outcome: domain.OutcomeUnknown, Message: "a call with this key is in progress", RetryAfter: time.Second}
	case claims.Mismatched:
		return nil, domain.NotRun(domain.CodeKeyReused, "the key was used for another call")
	case claims.Refused:
		// This call was not sent, but whether an earlier one with the key ran
		// cannot be read, and a caller acts on the key.
		return nil, &domain.Failure{Code: domain.CodeClaimUnavailable, Outcome: domain.OutcomeUnknown, Message: "this call cannot be recorded now and was not sent; whether an earlier call with this key ran is unknown", RetryAfter: time.Second}
	default:
		return nil, &domain.Failure{Code: domain.CodeOutcomeUnknown, Outcome: domain.OutcomeUnknown, Message: "an earlier call with this key may have run"}
	}
}

// recordedFields are the header fields that are kept with a recorded answer.
var recordedFields = []string{"Content-Type", "Content-Language", "Location"}

func recorded(r *ports.ServiceResponse) *claims.Answer {
	a := &claims.Answer{Status: r.Status, Header: make(map[string]string), Body: r.Body}
	for _, name := range recordedFields {
		if value := r.Header.Get(name); value != "" {
			a.Header[name] = value
		}
	}
	return a
}

// replayed returns the recorded answer of an earlier call.
func replayed(a *claims.Answer) (*ports.ServiceResponse, *domain.Failure) {
	if a == nil || a.Omitted {
		return nil, &domain.Failure{Code: domain.CodeAnswerNotKept, Outcome: domain.OutcomeRan, Message: "the call ran earlier; its answer was too large to be kept"}
	}
	r := &ports.ServiceResponse{Status: a.Status, Header: make(http.Header), Body: a.Body}
	for name, value := range a.Header {
		r.Header.Set(name, value)
	}
	r.Header.Set("Idempotent-Replayed", "true")
	return r, nil
}
