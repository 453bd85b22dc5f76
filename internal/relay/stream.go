package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/auburndyke/auburndyke/internal/balancer"
)

const (
	// eventBuffer is the size of the read buffer for events.
	eventBuffer = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 256 << 10
	// silenceGaps is the number of longest allowed pauses after which a stream
	// that has begun counts as silent.
	silenceGaps = 3
	// minSilence is the shortest pause that counts as silence. Engines pause
	// for the reading of long prompts.
	minSilence = 1500 * time.Millisecond
	// silenceGoals and silenceCosts are the multiples of the route's goal and of
	// the balancer's estimate after which an answer that has not begun counts as
	// lost, whichever is more, and minWait the least time. An upstream that
	// lost its answer closes no connection.
	silenceGoals = 1.5
	silenceCosts = 8
	minWait      = 500 * time.Millisecond
	// progressInterval is how often the balancer is told of a stream's pace.
	progressInterval = 200 * time.Millisecond
)

// errSilent means that a stream paused for longer than it may.
var errSilent = errors.New("stream is silent")

// stream is the caller's side of a stream, over all attempts.
type stream struct {
	started   bool
	lastEvent string
	events    int
	maxGap    time.Duration
	lastAt    time.Time
}

// relayStream relays events until the stream ends. Only complete events reach
// the caller, so that another upstream can go on behind the last one.
func (a *attempt) relayStream() result {
	q := a.q
	reader := bufio.NewReaderSize(a.answer, eventBuffer)
	var event []byte
	first := true
	for {
		if err := a.answer.SetReadDeadline(q.readDeadline()); err != nil {
			return a.streamBroken(err)
		}
		var err error
		event, err = readEvent(reader, event[:0])
		if err == io.EOF && len(event) == 0 {
			return a.streamEnded()
		}
		if err != nil {
			return a.streamBroken(err)
		}
		if first {
			first = false
			a.choice.Reservation().FirstEvent(time.Now())
		}
		if err := a.relayEvent(event); err != nil {
			return a.callerFailed(err)
		}
	}
}

// readDeadline is when the stream counts as silent.
func (q *request) readDeadline() time.Time {
	if !q.route.Repeatable() {
		return q.deadline
	}
	if !q.outcome.stream.started {
		return q.silentAt
	}
	silence := max(minSilence, silenceGaps*q.route.MaxGap)
	if at := time.Now().Add(silence); at.Before(q.deadline) {
		return at
	}
	return q.deadline
}

// awaitAnswer returns until when the answer of an attempt may begin. While
// requests wait at the upstreams, or if no further attempt may follow, that is the
// request's deadline.
func (q *request) awaitAnswer(c balancer.Choice) time.Time {
	if !q.route.Repeatable() || q.sends+1 >= q.route.MaxAttempts || c.Queueing {
		return q.deadline
	}
	wait := max(time.Duration(silenceGoals*float64(q.route.LatencyTarget)), silenceCosts*c.Cost, minWait)
	if at := time.Now().Add(wait); at.Before(q.deadline) {
		return at
	}
	return q.deadline
}

// readEvent appends one event with its closing blank line to buf. It returns
// io.EOF with an empty event at the end of the stream.
func readEvent(r *bufio.Reader, buf []byte) ([]byte, error) {
	for {
		line, err := r.ReadSlice('\n')
		buf = append(buf, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err == io.EOF && len(buf) > 0:
			return buf, io.ErrUnexpectedEOF
		case err != nil:
			return buf, err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return buf, nil
		}
		if len(buf) > maxEventBytes {
			return buf, bufio.ErrTooLong
		}
	}
}

// eventID returns the id field of an event, or nothing.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}

// relayEvent writes one event to the caller at once.
func (a *attempt) relayEvent(event []byte) error {
	q := a.q
	s := &q.outcome.stream
	if !s.started {
		q.startStream(a)
	}
	if id := eventID(event); id != "" {
		s.lastEvent = id
	}
	now := time.Now()
	if s.events > 0 {
		s.maxGap = max(s.maxGap, now.Sub(s.lastAt))
		a.progress(now)
	}
	s.lastAt = now
	s.events++
	if _, err := q.w.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(q.w).Flush()
}

// progress tells the balancer of the events since it was told last.
func (a *attempt) progress(now time.Time) {
	if a.toldAt.IsZero() {
		a.toldAt = now // the pause before it may span two attempts
		return
	}
	a.untold++
	if took := now.Sub(a.toldAt); took >= progressInterval {
		a.choice.Reservation().Progress(now, a.untold, took)
		a.toldAt, a.untold = now, 0
	}
}

// startStream writes the header of the first upstream.
func (q *request) startStream(a *attempt) {
	s := &q.outcome.stream
	s.started = true
	q.outcome.firstEvent = time.Since(q.arrived)
	q.h.Protocol.CopyResponseHeader(q.w.Header(), a.answer.Header)
	q.w.WriteHeader(a.answer.Status)
	q.outcome.answered(a.answer.Status)
}

// streamEnded handles the regular end of a stream.
func (a *attempt) streamEnded() result {
	q := a.q
	a.result = balancer.OK
	if !q.outcome.stream.started {
		q.startStream(a)
	}
	return delivered
}

// streamBroken handles a stream that broke off or went silent. The caller's
// stream goes on at another upstream where the route allows it.
func (a *attempt) streamBroken(err error) result {
	q := a.q
	if a.callerLeft() {
		return gone
	}
	switch {
	case q.ctx.Err() != nil:
		err = q.ctx.Err() // the end of the time closed the connection
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = errSilent
	}
	a.cause = err.Error() + " after " + strconv.Itoa(q.outcome.stream.events) + " events"
	q.logAttempt(a)
	s := &q.outcome.stream
	if s.started && s.lastEvent != "" {
		q.caller.LastEventID = s.lastEvent
	}
	return unknown
}
