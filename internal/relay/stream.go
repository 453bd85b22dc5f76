package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/auburndyke/auburndyke/internal/balancer"
)

const (
	// maxFillerBytes bounds the comments and blank lines between two events.
	maxFillerBytes = 16 << 10
	// streamIdleGaps is the multiple of the route's longest inter-token gap after
	// which a stream that has begun counts as broken.
	streamIdleGaps = 3
	// minStreamIdle is the least pause for which a stream counts as broken. Engines
	// pause their streams during the prefill of long prompts.
	minStreamIdle = 1500 * time.Millisecond
	// startTimeoutTargets and startTimeoutCosts are the multiples of the route's
	// latency target and of the balancer's estimated cost after which a response that
	// has not begun counts as lost. The longer time applies, and at least
	// minStartTimeout. An upstream that has lost its response does not close the
	// connection.
	startTimeoutTargets = 1.5
	startTimeoutCosts   = 8
	minStartTimeout     = 500 * time.Millisecond
	// progressInterval is how often a stream's progress is reported to the
	// balancer.
	progressInterval = 200 * time.Millisecond
)

var (
	// errStreamIdle means that a stream paused for too long.
	errStreamIdle = errors.New("stream is idle for too long")
	// errNoEvents means that a stream whose end is that of its connection had no event.
	errNoEvents = errors.New("connection ended before the stream's first event")
	// errNoProgress means that a stream sent more than maxFillerBytes without an
	// event.
	errNoProgress = errors.New("stream sends bytes but no events")
)

// stream is the state of a caller's stream across all attempts.
type stream struct {
	started     bool
	lastEventID string
	events      int
	maxGap      time.Duration
	lastAt      time.Time
}

// relayStream relays events until the stream ends. Only complete events reach the
// caller, so that another upstream can resume after the last one.
func (a *attempt) relayStream() result {
	q := a.q
	reader := newEventReader(a.response, q.h.responses)
	defer reader.release()
	first := true
	if err := a.response.SetReadDeadline(q.deadline); err != nil {
		return a.streamBroken(err)
	}
	idle := a.watchIdle()
	defer idle.stop()
	// filler is what was received since the last event, and pending the part of it
	// that waits for the stream's first event.
	filler := 0
	var pending []byte
	for {
		// Filler is no progress: the time for the next event goes on.
		if filler == 0 {
			idle.reset()
		}
		event, err := reader.next()
		if err == io.EOF && len(event) == 0 {
			if a.endedUnbegun() {
				return a.streamBroken(errNoEvents)
			}
			return a.streamEnded(pending)
		}
		if err == nil {
			err = a.countUnsized(len(event))
		}
		if err != nil {
			return a.streamBroken(err)
		}
		if isFiller(event) {
			if filler += len(event); filler > maxFillerBytes {
				return a.streamBroken(errNoProgress)
			}
			if !q.outcome.stream.started {
				if err := reader.keep(len(event)); err != nil {
					return a.streamBroken(err)
				}
				pending = append(pending, event...)
				continue
			}
			if err := a.write(event); err != nil {
				return a.callerWriteFailed(err)
			}
			continue
		}
		filler = 0
		if len(pending) > 0 {
			event, pending = append(pending, event...), nil
		}
		if first {
			first = false
			q.countUsage()
			a.choice.Reservation().FirstEvent(time.Now())
		}
		if err := a.relayEvent(event); err != nil {
			return a.callerWriteFailed(err)
		}
	}
}

// endedUnbegun reports whether the stream has ended with its connection before its first
// event: its upstream has most likely ended, and nothing else marks the end. A caller
// that resumes a stream may have all its events already.
func (a *attempt) endedUnbegun() bool {
	return a.response.Unframed && a.events.Load() == 0 && a.q.info.LastEventID == ""
}

// write writes a part of a stream to the caller and flushes it.
func (a *attempt) write(part []byte) error {
	if _, err := a.q.w.Write(part); err != nil {
		return err
	}
	return http.NewResponseController(a.q.w).Flush()
}

// attemptStartDeadline returns the time by which the response of an attempt must
// begin. That is the request's deadline while requests wait at the upstreams, or
// if no further attempt may follow.
func (q *request) attemptStartDeadline(c balancer.Choice) time.Time {
	if !q.route.Repeatable() || q.sends+1 >= q.route.MaxAttempts || c.Queueing || c.Eligible < 2 {
		return q.deadline
	}
	timeout := max(time.Duration(startTimeoutTargets*float64(q.route.LatencyTarget)), startTimeoutCosts*c.Cost, minStartTimeout)
	if at := time.Now().Add(timeout); at.Before(q.deadline) {
		return at
	}
	return q.deadline
}

// relayEvent writes one event to the caller and flushes it.
func (a *attempt) relayEvent(event []byte) error {
	q := a.q
	s := &q.outcome.stream
	if !s.started {
		q.startStream(a)
	}
	if id := eventID(event); id != "" {
		s.lastEventID = id
	}
	now := time.Now()
	if a.events.Add(1) == soundEvents {
		a.recordSound()
	}
	if s.events > 0 {
		s.maxGap = max(s.maxGap, now.Sub(s.lastAt))
		a.reportProgress(now)
	}
	s.lastAt = now
	s.events++
	return a.write(event)
}

// reportProgress reports the events since the last report to the balancer.
func (a *attempt) reportProgress(now time.Time) {
	if a.progressAt.IsZero() {
		a.progressAt = now // the gap before this event may span two attempts
		return
	}
	a.progressEvents++
	if elapsed := now.Sub(a.progressAt); elapsed >= progressInterval {
		a.choice.Reservation().Progress(now, a.progressEvents, elapsed)
		a.progressAt, a.progressEvents = now, 0
	}
}

// startStream writes the response header of the first upstream to the caller.
func (q *request) startStream(a *attempt) {
	s := &q.outcome.stream
	s.started = true
	q.pin(a.choice.Upstream.SoftwareVersion)
	q.recordOrigin(a.choice.Upstream.SoftwareVersion)
	q.outcome.firstEventLatency = time.Since(q.arrived)
	q.h.Protocol.CopyResponseHeader(q.w.Header(), a.response.Header)
	q.writeHeader(a.response.Status)
}

// pin limits the rest of the stream to upstreams of one software version: what two versions
// write does not fit together.
func (q *request) pin(softwareVersion string) {
	q.pinned, q.softwareVersion = true, softwareVersion
}

// streamEnded handles the end of a complete stream. pending is what a stream without
// events consists of.
func (a *attempt) streamEnded(pending []byte) result {
	q := a.q
	a.result = balancer.OK
	a.recordSound()
	if !q.outcome.stream.started {
		q.startStream(a)
	}
	if len(pending) > 0 {
		if err := a.write(pending); err != nil {
			return a.callerWriteFailed(err)
		}
	}
	if q.resumable() {
		q.h.Origins.End(time.Now(), q.originID())
	}
	return delivered
}

// streamBroken handles a stream that broke off or was idle for too long. The
// caller's stream resumes on another upstream if the route allows it.
func (a *attempt) streamBroken(err error) result {
	q := a.q
	if a.callerGone() {
		return callerDisconnected
	}
	err = a.endCause(err)
	a.recordCrash(err)
	a.recordCause(err)
	a.cause += " after " + strconv.Itoa(q.outcome.stream.events) + " events"
	q.logAttempt(a)
	s := &q.outcome.stream
	if s.started && s.lastEventID != "" {
		q.info.LastEventID = s.lastEventID
	}
	return unknown
}
