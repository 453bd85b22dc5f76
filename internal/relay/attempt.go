package relay

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/internal/adapters/upstreamhttp"
	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/httproute"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// repeatableMaxIdleAge bounds the idle time of a connection that is reused for
	// a request which may run more than once.
	repeatableMaxIdleAge = 10 * time.Second
	// nonRepeatableMaxIdleAge is the same for requests that run at most once. They
	// are lost if the upstream has closed the connection meanwhile.
	nonRepeatableMaxIdleAge = 3 * time.Second
	// minAttemptTime is the least remaining time for which a retry is made.
	minAttemptTime = 50 * time.Millisecond
)

// errUnavailable means that the upstream has said, while the request was on its way to
// it, that it takes no requests.
var errUnavailable = errors.New("the upstream is leaving or paused")

// result is how an attempt ended.
type result uint8

const (
	// delivered means that the caller has its final response.
	delivered result = iota
	// notRun means that the upstream has not run the request.
	notRun
	// unknown means that the upstream may have run the request.
	unknown
	// failedResponse means that the upstream ran the request and responded with a
	// server error that is saved for the caller.
	failedResponse
	callerDisconnected
)

// attempt is one send to one upstream.
type attempt struct {
	q        *request
	choice   balancer.Choice
	response *upstreamhttp.Answer
	info     ResponseInfo
	result   balancer.Result
	cause    string
	sentAt   time.Time
	// sent reports whether the upstream may have received the request.
	sent bool
	// progressEvents is the number of events since progressAt, when the stream's
	// progress was last reported to the balancer.
	progressEvents int
	progressAt     time.Time
	// events is the number of events that the upstream has sent.
	events atomic.Int32
	// ctx ends with the attempt, and cancel ends it.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// unsizedBytes is the size so far of a response without a stated length.
	unsizedBytes int64
}

// run makes attempts until the caller has a final response.
func (q *request) run() {
	ctx, cancel := context.WithDeadline(q.r.Context(), q.deadline)
	defer cancel()
	q.ctx = ctx
	q.setWriteDeadline(q.deadline.Add(writeSlack))
	defer q.setWriteDeadline(time.Time{})
	q.prompt = balancer.NewPrompt(q.info.Prompt)
	q.parts = partsOf(q.r, q.info.Prompt, q.body)
	if q.refuseBlocked() {
		return
	}
	q.h.Balancer.RecordArrival(q.arrived, q.query())
	if q.shedIfLate() || !q.pinToOrigin() {
		return
	}
	for {
		if q.awaitCopies() {
			q.giveUp(reasonCrashesUpstreams)
			return
		}
		choice, ok := q.pick()
		if !ok {
			q.giveUp(reasonNoUpstream)
			return
		}
		a := &attempt{q: q, choice: choice}
		switch a.send(ctx) {
		case delivered, callerDisconnected:
			return
		case unknown, failedResponse:
			q.mayHaveRun = true
		case notRun:
		}
		if reason := q.noRetryReason(); reason != "" {
			q.giveUp(reason)
			return
		}
		if q.stillBlocked() {
			q.giveUp(reasonCrashesUpstreams)
			return
		}
	}
}

// shedIfLate sheds a request whose response is predicted to end after the
// deadline, and reports whether it did. A caller that resumes a stream expects
// fewer events than the stated length, so no prediction is made for it.
func (q *request) shedIfLate() bool {
	if q.info.LastEventID != "" {
		return false
	}
	predicted, late := q.h.Balancer.PredictLate(time.Now(), q.query(), q.remaining())
	if late {
		q.shed(predicted)
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
		OutputTokens: q.info.OutputTokens,
		Tried:        q.tried,

		Pinned: q.pinned, SoftwareVersion: q.softwareVersion,
	}
}

func (q *request) pick() (balancer.Choice, bool) {
	query := q.query()
	q.h.pollLoads(q.ctx, q.h.Balancer.PollTargets(time.Now(), query))
	choice, ok := q.h.Balancer.Pick(time.Now(), query)
	if ok {
		q.logPick(choice)
	}
	return choice, ok
}

// noRetryReason returns why the request must not be retried, or an empty string.
func (q *request) noRetryReason() string {
	switch {
	case q.stopping():
		return reasonStopping
	case q.mayHaveRun && !q.route.Repeatable():
		return reasonMayHaveRun
	case q.sends >= q.route.MaxAttempts:
		return reasonAttemptsUsed
	case q.remaining() < minAttemptTime:
		return reasonTimeout
	case q.ctx.Err() != nil:
		return reasonTimeout
	case q.sends > 0 && !q.h.Retries.Withdraw(time.Now(), q.service):
		return reasonRetryBudget
	}
	return ""
}

// send sends the request to the picked upstream and relays its response.
func (a *attempt) send(ctx context.Context) result {
	q := a.q
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	defer a.cancel(nil)
	q.h.open.add(a)
	defer q.h.open.remove(a)
	a.result = balancer.Failed
	q.startDeadline = q.attemptStartDeadline(a.choice)
	reservation := a.choice.Reservation()
	defer func() { reservation.Done(time.Now(), a.result) }()

	a.sentAt = time.Now()
	response, err := q.h.Pool.Do(a.ctx, a.choice.Upstream.Address, a.upstreamRequest())
	if err != nil {
		return a.sendFailed(err)
	}
	defer response.Close()
	q.recordSend(a)
	a.response = response
	a.info = q.h.Protocol.ParseResponse(response.Status, response.Header)
	if !a.info.AddressReused {
		leaving, pause := reservation.ObserveAvailability(time.Now(), a.info.Availability)
		q.h.logAvailability(a.choice.Upstream.ID, q.id(), leaving, pause, a.info)
	}
	q.h.recordInvalidLoad(a.choice.Upstream.ID, a.info.InvalidLoad)
	if a.info.HasLoad {
		reservation.ObserveLoad(time.Now(), a.info.Load)
	}
	if !a.info.NotRun && q.route.Type != httproute.Stream {
		q.countUsage()
	}
	switch {
	case a.info.NotRun:
		return a.refused()
	case !a.info.Genuine:
		return a.brokenResponse("response is not marked as the upstream's own")
	case response.Header.Get("Content-Encoding") != "":
		return a.brokenResponse("response has a content encoding")
	case q.route.Type == httproute.Stream && response.Status == http.StatusOK:
		return a.relayStream()
	case q.outcome.stream.started:
		// Only events can follow those that the caller has.
		return a.brokenResponse("status " + strconv.Itoa(response.Status) + " in place of the rest of a stream")
	default:
		if err := response.SetReadDeadline(q.deadline); err != nil {
			return a.brokenResponse(err.Error())
		}
		return a.relayResponse()
	}
}

func (a *attempt) upstreamRequest() *upstreamhttp.Request {
	q := a.q
	maxIdleAge := nonRepeatableMaxIdleAge
	if q.route.Repeatable() {
		maxIdleAge = repeatableMaxIdleAge
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
			LastEventID: q.info.LastEventID,
		}),
		Body:       q.body,
		MaxIdleAge: maxIdleAge,
		Mine:       func(h http.Header) bool { return q.h.Protocol.MatchesRequest(h, q.info.ID) },
		Allowed: func() error {
			if !a.choice.Reservation().Admits(time.Now()) {
				return errUnavailable
			}
			return nil
		},
		HeaderDeadline: q.startDeadline,
	}
}

// recordSend records that the upstream may have received the request.
func (q *request) recordSend(a *attempt) {
	a.sent = true
	q.sends++
	q.tried = append(q.tried, a.choice.Upstream.ID)
}

func (a *attempt) sendFailed(err error) result {
	q := a.q
	var sendErr *upstreamhttp.SendError
	sent := !errors.As(err, &sendErr) || sendErr.Sent
	if sent {
		q.recordSend(a)
	} else {
		q.tried = append(q.tried, a.choice.Upstream.ID)
	}
	if a.callerGone() {
		return callerDisconnected
	}
	cause := a.canceledByDaemon()
	switch {
	case cause != nil:
		err = cause
	case errors.Is(err, errUnavailable), errors.Is(err, upstreamhttp.ErrNoMemory):
		a.result = balancer.Abandoned
	case sent:
		a.recordCrash(err)
	}
	a.recordCause(err)
	q.logAttempt(a)
	if sent {
		return unknown
	}
	return notRun
}

// endCause returns why reading the response has failed: the daemon's own reason if it
// has closed the connection, and otherwise err.
func (a *attempt) endCause(err error) error {
	cause := a.canceledByDaemon()
	switch {
	case cause != nil:
		return cause
	case errors.Is(err, errNoEventMemory):
		a.result = balancer.Abandoned // other streams may hold the memory
		return err
	case a.q.ctx.Err() != nil:
		return a.q.ctx.Err() // the connection was closed at the deadline
	case errors.Is(context.Cause(a.ctx), errStreamIdle):
		return errStreamIdle
	}
	return err
}

// recordCause records why the attempt failed, and counts an upstream that exceeded a
// bound.
func (a *attempt) recordCause(err error) {
	a.cause = err.Error()
	if bound := exceededBound(err); bound != "" {
		a.q.h.Metrics.boundExceeded(bound)
		a.q.h.Log.Event(telemetry.UpstreamExceededBound).Str("request", string(a.q.id())).
			Str("upstream", string(a.choice.Upstream.ID)).Str("bound", bound).Send()
	}
}

// exceededBound names the bound that an upstream's response exceeded, or returns an
// empty string.
func exceededBound(err error) string {
	switch {
	case errors.Is(err, upstreamhttp.ErrHeaderTooLong):
		return "header"
	case errors.Is(err, upstreamhttp.ErrStrayTooLong):
		return "stray"
	case errors.Is(err, errResponseTooLong):
		return "body"
	case errors.Is(err, bufio.ErrTooLong):
		return "event"
	case errors.Is(err, errNoProgress):
		return "filler"
	case errors.Is(err, errNoEventMemory), errors.Is(err, upstreamhttp.ErrNoMemory):
		return "memory"
	}
	return ""
}

// callerGone reports whether the caller has disconnected, which ends the attempt
// and says nothing about the upstream.
func (a *attempt) callerGone() bool {
	if !a.q.callerGone() {
		return false
	}
	a.result = balancer.Abandoned
	a.q.outcome.setEnded(outcomeCallerDisconnected, "")
	return true
}

// callerGone reports whether the caller has disconnected.
func (q *request) callerGone() bool { return q.r.Context().Err() != nil && !q.stopping() }

// stopping reports whether the request has to end because the daemon stops.
func (q *request) stopping() bool { return errors.Is(context.Cause(q.r.Context()), ErrStopping) }

// canceledByDaemon returns the reason for which the daemon itself has canceled the
// attempt, which says nothing about the upstream, or nil.
func (a *attempt) canceledByDaemon() error {
	cause := context.Cause(a.ctx)
	if !errors.Is(cause, errBlocked) && !errors.Is(cause, ErrStopping) {
		return nil
	}
	a.result = balancer.Abandoned
	return cause
}

// refused handles a response that says the request has not run.
func (a *attempt) refused() result {
	a.result = balancer.Refused
	a.cause = "refused"
	if a.info.AddressReused {
		a.result = balancer.AddressReused
		a.cause = "another upstream responded at the address"
		if a.q.h.OnListOutdated != nil {
			a.q.h.OnListOutdated()
		}
	}
	a.drainBody()
	a.q.logAttempt(a)
	return notRun
}

// brokenResponse handles a response that can't be relayed.
func (a *attempt) brokenResponse(cause string) result {
	a.cause = cause
	a.q.logAttempt(a)
	return unknown
}
