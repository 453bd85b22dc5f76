package relay

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/auburndyke/auburndyke/internal/balancer"
)

const (
	// bufferedAnswer is the largest answer that is read in full before any of
	// it is relayed, so that a broken one can be replaced.
	bufferedAnswer = 256 << 10
	// drainBytes bounds what is read of an unused answer to keep its
	// connection.
	drainBytes = 16 << 10
	// drainTimeout bounds the reading of an unused answer.
	drainTimeout = 50 * time.Millisecond
	// copyBytes is the size of the buffer for longer answers.
	copyBytes = 16 << 10
)

// keptAnswer is a failure of an upstream that is relayed if no other attempt
// succeeds.
type keptAnswer struct {
	status int
	header http.Header
	body   []byte
}

// relayWhole relays an answer that is not a stream.
func (a *attempt) relayWhole() result {
	if a.answer.Length > bufferedAnswer {
		return a.relayLong()
	}
	body, err := io.ReadAll(io.LimitReader(a.answer, bufferedAnswer+1))
	if err != nil {
		return a.bodyFailed(err)
	}
	if len(body) > bufferedAnswer {
		return a.relayRest(body)
	}
	if a.answer.Status >= http.StatusInternalServerError {
		return a.failure(body)
	}
	a.result = balancer.OK
	a.q.deliver(keptAnswer{a.answer.Status, a.answer.Header, body})
	return delivered
}

// failure handles a complete answer with a server error.
func (a *attempt) failure(body []byte) result {
	a.cause = "status " + strconv.Itoa(a.answer.Status)
	a.q.logAttempt(a)
	a.q.outcome.kept = &keptAnswer{a.answer.Status, a.answer.Header, body}
	return failedAnswer
}

func (a *attempt) bodyFailed(err error) result {
	if a.callerLeft() {
		return gone
	}
	if cause := a.q.ctx.Err(); cause != nil {
		err = cause // the end of the time closed the connection
	}
	return a.broken("answer broke off: " + err.Error())
}

// deliver writes a complete answer to the caller.
func (q *request) deliver(k keptAnswer) {
	header := q.w.Header()
	q.h.Protocol.CopyResponseHeader(header, k.header)
	if q.r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(k.body)))
	}
	q.w.WriteHeader(k.status)
	q.outcome.answered(k.status)
	if _, err := q.w.Write(k.body); err != nil {
		q.outcome.set(outcomeCallerGone, err.Error())
	}
}

// relayLong relays an announced long answer as it arrives.
func (a *attempt) relayLong() result {
	header := a.q.w.Header()
	a.q.h.Protocol.CopyResponseHeader(header, a.answer.Header)
	header.Set("Content-Length", strconv.FormatInt(a.answer.Length, 10))
	return a.relayRest(nil)
}

// relayRest relays read bytes and the rest of an answer. What breaks off here
// ends the caller's connection, so that it does not look complete.
func (a *attempt) relayRest(read []byte) result {
	q := a.q
	if read != nil {
		q.h.Protocol.CopyResponseHeader(q.w.Header(), a.answer.Header)
	}
	q.w.WriteHeader(a.answer.Status)
	q.outcome.answered(a.answer.Status)
	if _, err := q.w.Write(read); err != nil {
		return a.callerFailed(err)
	}
	buf := make([]byte, copyBytes)
	for {
		n, err := a.answer.Read(buf)
		if n > 0 {
			if _, werr := q.w.Write(buf[:n]); werr != nil {
				return a.callerFailed(werr)
			}
		}
		if err == io.EOF {
			a.result = balancer.OK
			return delivered
		}
		if err != nil {
			a.cause = err.Error()
			q.logAttempt(a)
			return q.cut(reasonBrokenAnswer)
		}
	}
}

// callerFailed handles a caller that takes no more bytes.
func (a *attempt) callerFailed(err error) result {
	a.result = balancer.Abandoned
	a.q.outcome.set(outcomeCallerGone, err.Error())
	a.q.outcome.aborted = true
	return gone
}

// drain reads an unused short answer, so that its connection can be kept.
func (a *attempt) drain() {
	if a.answer.Length < 0 || a.answer.Length > drainBytes {
		return
	}
	if err := a.answer.SetReadDeadline(time.Now().Add(drainTimeout)); err != nil {
		return // the connection is closed by Close
	}
	// A failed read leaves the answer incomplete, so Close drops the connection.
	_, _ = io.Copy(io.Discard, a.answer)
}
