package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/auburndyke/auburndyke/internal/adapters/upstreamhttp"
	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/httproute"
)

const (
	// repeatableIdleAge bounds the idle time of a connection that is used
	// again for a request which may be repeated.
	repeatableIdleAge = 10 * time.Second
	// singleIdleAge is the same for requests that run at most once: a
	// connection that the upstream has dropped meanwhile loses them.
	singleIdleAge = 3 * time.Second
	// minAttempt is the least time that another attempt is worth.
	minAttempt = 50 * time.Millisecond
)

// result is what became of one attempt.
type result uint8

const (
	// delivered means that the caller has its final answer.
	delivered result = iota
	// notRun means that the upstream has not run the request.
	notRun
	// unknown means that the upstream may have run the request.
	unknown
	// failedAnswer means that the upstream ran the request and answered with a
	// failure that is kept for the caller.
	failedAnswer
	// gone means that the caller has left.
	gone
)

// attempt is one send to one upstream.
type attempt struct {
	q      *request
	choice balancer.Choice
	answer *upstreamhttp.Answer
	// verdict is that of the answer.
	verdict ResponseInfo
	result  balancer.Result
	cause   string
	// sent tells that the upstream may have seen the request.
	sent bool
	// untold is the number of events since the balancer was told of the stream's
	// pace at toldAt.
	untold int
	toldAt time.Time
}

// run makes attempts until the caller has a final answer.
func (q *request) run() {
	ctx, cancel := context.WithDeadline(q.r.Context(), q.deadline)
	defer cancel()
	q.ctx = ctx
	q.boundWrites(q.deadline.Add(writeSlack))
	defer q.boundWrites(time.Time{})
	q.prompt = balancer.NewPrompt(q.caller.Prompt)
	q.h.Balancer.RecordArrival(q.arrived, q.query())
	if q.outlasts() {
		return
	}
	for {
		choice, ok := q.pick()
		if !ok {
			q.giveUp(reasonNoUpstream)
			return
		}
		a := &attempt{q: q, choice: choice}
		switch a.send(ctx) {
		case delivered, gone:
			return
		case unknown, failedAnswer:
			q.mayHaveRun = true
		case notRun:
		}
		if reason := q.mayRetry(); reason != "" {
			q.giveUp(reason)
			return
		}
	}
}

// outlasts refuses a request whose answer would most likely end after its time.
// A caller that goes on behind an event is owed less than the stated length, so
// that nothing can be forecast for it.
func (q *request) outlasts() bool {
	if q.caller.LastEventID != "" {
		return false
	}
	forecast, late := q.h.Balancer.PredictLate(time.Now(), q.query(), q.remaining())
	if late {
		q.shed(forecast)
	}
	return late
}

func (q *request) query() balancer.Query {
	return balancer.Query{
		Service:      q.service,
		Prompt:       q.prompt,
		Route:        q.route.Name,
		Rank:         int(q.rank),
		MaxGap:       q.route.MaxGap,
		OutputTokens: q.caller.OutputTokens,
		Tried:        q.tried,
	}
}

func (q *request) pick() (balancer.Choice, bool) {
	query := q.query()
	q.h.askLoads(q.ctx, q.h.Balancer.PollTargets(time.Now(), query))
	choice, ok := q.h.Balancer.Pick(time.Now(), query)
	if ok {
		q.logPick(choice)
	}
	return choice, ok
}

// mayRetry returns why there must be no further attempt, or nothing.
func (q *request) mayRetry() string {
	switch {
	case q.mayHaveRun && !q.route.Repeatable():
		return reasonMayHaveRun
	case q.sends >= q.route.MaxAttempts:
		return reasonAttempts
	case q.remaining() < minAttempt:
		return reasonTimeout
	case q.ctx.Err() != nil:
		return reasonTimeout
	case q.sends > 0 && !q.h.Retries.Withdraw(time.Now(), q.service):
		return reasonBudget
	}
	return ""
}

// send sends the request to the chosen upstream and relays its answer.
func (a *attempt) send(ctx context.Context) result {
	q := a.q
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.result = balancer.Failed
	q.silentAt = q.awaitAnswer(a.choice)
	lease := a.choice.Reservation()
	defer func() { lease.Done(time.Now(), a.result) }()

	answer, err := q.h.Pool.Do(ctx, a.choice.Upstream.Address, a.encode())
	if err != nil {
		return a.sendFailed(err)
	}
	defer answer.Close()
	q.sent(a)
	a.answer = answer
	a.verdict = q.h.Protocol.ParseResponse(answer.Status, answer.Header)
	if a.verdict.HasLoad {
		lease.ObserveLoad(time.Now(), a.verdict.Load)
	}
	switch {
	case a.verdict.NotRun:
		return a.refused()
	case !a.verdict.Genuine:
		return a.broken("answer is not marked as the upstream's")
	case answer.Header.Get("Content-Encoding") != "":
		return a.broken("answer is encoded")
	case q.route.Type == httproute.Stream && answer.Status == http.StatusOK:
		return a.relayStream()
	default:
		if err := answer.SetReadDeadline(q.deadline); err != nil {
			return a.broken(err.Error())
		}
		return a.relayWhole()
	}
}

func (a *attempt) encode() *upstreamhttp.Request {
	q := a.q
	idleAge := singleIdleAge
	if q.route.Repeatable() {
		idleAge = repeatableIdleAge
	}
	return &upstreamhttp.Request{
		Method: q.r.Method,
		Target: q.r.RequestURI,
		Host:   q.r.Host,
		Header: q.h.Protocol.ForwardHeader(q.r.Header, ForwardInfo{
			Upstream:    a.choice.Upstream.ID,
			Customer:    q.customer,
			Remaining:   max(q.remaining()-returnMargin, time.Millisecond),
			Urgency:     q.table.ScaleRank(q.rank, q.h.Protocol.MaxUrgency()),
			Engine:      q.engine,
			FetchFrom:   a.choice.FetchFrom,
			LastEventID: q.caller.LastEventID,
		}),
		Body:           q.body,
		MaxIdleAge:     idleAge,
		Mine:           func(h http.Header) bool { return q.h.Protocol.MatchesRequest(h, q.caller.ID) },
		HeaderDeadline: q.silentAt,
	}
}

// sent counts a request that reached its upstream.
func (q *request) sent(a *attempt) {
	a.sent = true
	q.sends++
	q.tried = append(q.tried, a.choice.Upstream.ID)
}

func (a *attempt) sendFailed(err error) result {
	q := a.q
	var failure *upstreamhttp.SendError
	wasSent := !errors.As(err, &failure) || failure.Sent
	if wasSent {
		q.sent(a)
	} else {
		q.tried = append(q.tried, a.choice.Upstream.ID)
	}
	if a.callerLeft() {
		return gone
	}
	a.cause = err.Error()
	q.logAttempt(a)
	if wasSent {
		return unknown
	}
	return notRun
}

// callerLeft reports whether the caller has left, which ends the attempt and says
// nothing about the upstream.
func (a *attempt) callerLeft() bool {
	if a.q.r.Context().Err() == nil {
		return false
	}
	a.result = balancer.Abandoned
	a.q.outcome.set(outcomeCallerGone, "")
	return true
}

// refused handles an answer that says the request has not run.
func (a *attempt) refused() result {
	a.result = balancer.Refused
	a.cause = "refused"
	if a.verdict.Misdirected {
		a.result = balancer.AddressReused
		a.cause = "another upstream is at the address"
		if a.q.h.OnListOutdated != nil {
			a.q.h.OnListOutdated()
		}
	}
	a.drain()
	a.q.logAttempt(a)
	return notRun
}

func (a *attempt) broken(cause string) result {
	a.cause = cause
	a.q.logAttempt(a)
	return unknown
}
