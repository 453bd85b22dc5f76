package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/exchange"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/routing"
)

// Generate runs one generation and emits its events in order. It returns nil
// after the whole answer was emitted.
func (g *Gateway) Generate(ctx context.Context, r *Generation, sink Sink) *domain.Failure {
	j, failure := g.newJob(r.Request, r.Customer, r.Class)
	if failure != nil {
		return failure
	}
	if failure := g.enter(); failure != nil {
		return failure
	}
	defer g.active.end(j.id)
	if failure := j.generation(r); failure != nil {
		return failure
	}
	permit, failure := j.limit()
	if failure != nil {
		return failure
	}
	j.enqueue("model/" + string(r.Model))
	observer := newObserver(j, sink)
	failure = stopped(ctx, j.runGeneration(ctx, r, observer))
	permit.Release(observer.spent())
	observer.finish(failure)
	return failure
}

// enter counts a request in, unless the daemon is stopping.
func (g *Gateway) enter() *domain.Failure {
	g.active.begin()
	if g.stopping.Load() {
		g.active.count.Add(-1)
		return domain.NotRun(domain.CodeShuttingDown, "the daemon is shutting down; another one serves this request")
	}
	return nil
}

// generation fills in what routing needs to know of a generation.
func (j *job) generation(r *Generation) *domain.Failure {
	model := j.policy.Models[r.Model]
	if model == nil {
		return domain.NotRun(domain.CodeUnknownModel, "model "+string(r.Model)+" does not exist")
	}
	limit := j.route.Class.MaxTokens
	if r.MaxTokens > 0 && (limit == 0 || r.MaxTokens < limit) {
		limit = r.MaxTokens
	}
	j.query = routing.Request{
		Route:        j.route,
		Model:        r.Model,
		Adapter:      r.Adapter,
		Policy:       j.policy,
		PromptTokens: len(r.Prompt)/bytesPerToken + 1,
		Prefix:       routing.PrefixHashes(nil, promptText(r.Endpoint, r.Prompt)),
	}
	j.query.OutputTokens = j.gateway.lengths.Expected(j.lengthKey(), limit)
	j.query.Bytes = int64(len(r.Body) + j.query.OutputTokens*j.policy.Routing.BytesPerToken)
	return nil
}

func (j *job) runGeneration(ctx context.Context, r *Generation, o *observer) *domain.Failure {
	choice, failure := j.pool.admit(ctx, j.waiter)
	if failure != nil {
		return failure
	}
	defer j.pool.finish(j.waiter)
	demand := j.gateway.demandOf(j)
	demand.running.Add(1)
	defer demand.running.Add(-1)
	backend, ok := j.backend(&choice)
	if !ok {
		return domain.NotRun(domain.CodeNoUpstream, "the chosen upstream has no usable address")
	}
	runner := exchange.NewRunner(exchange.RunnerConfig{
		Config: j.exchangeConfig(&choice),
		Request: ports.GenerateRequest{
			Endpoint: r.Endpoint,
			Model:    r.Model,
			Adapter:  r.Adapter,
			Body:     r.Body,
			Priority: j.route.Tier.Rank,
		},
		Emitter:  o,
		Picker:   enginePicker{j, o},
		Observer: o,
		Readmit: func(ctx context.Context, _ int) (exchange.Reservation, error) {
			return j.readmit(ctx, o)
		},
		Budget: j.gateway.budget,
	})
	j.running(runner)
	defer j.running(nil)
	outcome := runner.Run(ctx, o.assign(&choice, backend))
	return failureOf(outcome)
}

// running makes the request's runner known to preemption and drain.
func (j *job) running(runner *exchange.Runner) {
	j.pool.mu.Lock()
	j.waiter.runner = runner
	j.pool.mu.Unlock()
	if runner != nil {
		j.gateway.active.track(j.id, runner)
	}
}

func (j *job) readmit(ctx context.Context, o *observer) (exchange.Reservation, error) {
	choice, failure := j.pool.readmit(ctx, j.waiter)
	if failure != nil {
		return exchange.Reservation{}, failure
	}
	backend, ok := j.backend(&choice)
	if !ok {
		return exchange.Reservation{}, ports.ErrNotSent
	}
	return o.assign(&choice, backend), nil
}

// enginePicker chooses engines for further attempts of a running request.
type enginePicker struct {
	job      *job
	observer *observer
}

// Pick implements exchange.Picker.
func (p enginePicker) Pick(_ exchange.Purpose, exclude []domain.UpstreamID) (exchange.Reservation, bool) {
	choice, backend, ok := p.job.pickAgain(exclude)
	if !ok {
		return exchange.Reservation{}, false
	}
	return p.observer.assign(&choice, backend), true
}

// pickAgain chooses an upstream for a further attempt.
func (j *job) pickAgain(exclude []domain.UpstreamID) (routing.Choice, Backend, bool) {
	choice, ok := j.pick(time.Now(), j.gateway.rng(), exclude)
	if !ok {
		return choice, nil, false
	}
	backend, ok := j.backend(&choice)
	return choice, backend, ok
}

// failureOf tells the caller how an incomplete exchange ended.
func failureOf(o exchange.Outcome) *domain.Failure {
	if o.Complete {
		return nil
	}
	f := &domain.Failure{Code: domain.CodeUpstreamFailed, Outcome: o.Outcome, Message: "the answer could not be completed: " + string(o.Reason)}
	switch o.Reason {
	case exchange.ReasonRefused, exchange.ReasonNotSent:
		f.Code = domain.CodeNoUpstream
		f.RetryAfter = time.Second
	case exchange.ReasonDeadline:
		f.Code = domain.CodeDeadline
	case exchange.ReasonCallerDisconnected:
		f.Code = domain.CodeCallerGone
	case exchange.ReasonNotReadmitted:
		f.Code = domain.CodeOverloaded
	}
	return f
}

// promptText returns the text whose leading blocks engines name in their cache
// events: the prompt itself, or each message as role:length:content and a line
// feed. A prompt in another form has no text, and so no expected cache hits.
func promptText(endpoint ports.Endpoint, raw []byte) []byte {
	if endpoint == ports.EndpointCompletion {
		var text string
		if json.Unmarshal(raw, &text) != nil {
			return nil
		}
		return []byte(text)
	}
	var messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	if len(raw) < routing.PrefixBlockBytes || json.Unmarshal(raw, &messages) != nil {
		return nil
	}
	var text []byte
	for _, m := range messages {
		text = fmt.Appendf(text, "%s:%d:%s\n", m.Role, len(m.Content), m.Content)
	}
	return text
}
