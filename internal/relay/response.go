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
	// maxBufferedBytes is the size of the largest response that is read in full
	// before any of it is relayed, so that a broken one can be replaced.
	maxBufferedBytes = 256 << 10
	// maxDrainBytes bounds what is read of a discarded response to keep its
	// connection.
	maxDrainBytes = 16 << 10
	// drainTimeout bounds the reading of a discarded response.
	drainTimeout = 50 * time.Millisecond
	// copyBufferSize is the size of the copy buffer for larger responses.
	copyBufferSize = 16 << 10
)

// bufferedResponse is a complete response of an upstream.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// relayResponse relays a response that is not a stream.
func (a *attempt) relayResponse() result {
	if a.response.Length > maxBufferedBytes {
		return a.relayUnbuffered(nil, 0)
	}
	memory := a.q.h.responses
	body, reserved, err := memory.readUpTo(a.response, maxBufferedBytes)
	if errors.Is(err, errTooLarge) {
		return a.relayUnbuffered(body, reserved)
	}
	defer memory.Release(reserved)
	if err != nil {
		return a.bodyReadFailed(err)
	}
	if a.response.Status >= http.StatusInternalServerError {
		return a.serverError(body)
	}
	a.result = balancer.OK
	a.recordSound()
	a.q.deliver(bufferedResponse{a.response.Status, a.response.Header, body})
	return delivered
}

// serverError handles a complete response with a server error, which is relayed
// if no other attempt succeeds.
func (a *attempt) serverError(body []byte) result {
	a.cause = "status " + strconv.Itoa(a.response.Status)
	a.q.logAttempt(a)
	a.q.outcome.lastFailure = &bufferedResponse{a.response.Status, a.response.Header, body}
	return failedResponse
}

func (a *attempt) bodyReadFailed(err error) result {
	if a.callerGone() {
		return callerDisconnected
	}
	err = a.endCause(err)
	a.recordCrash(err)
	return a.brokenResponse("response broke off: " + err.Error())
}

// deliver writes a complete response to the caller.
func (q *request) deliver(response bufferedResponse) {
	header := q.w.Header()
	q.h.Protocol.CopyResponseHeader(header, response.header)
	if q.r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(response.body)))
	}
	q.writeHeader(response.status)
	if _, err := q.w.Write(response.body); err != nil {
		q.outcome.setEnded(outcomeCallerDisconnected, err.Error())
	}
}

// relayUnbuffered relays the header of a response, the bytes that were read of its body,
// whose reserved memory it releases, and the rest of it as it arrives. A response that
// breaks off here closes the caller's connection, so that it does not look complete.
func (a *attempt) relayUnbuffered(read []byte, reserved int64) result {
	q := a.q
	header := q.w.Header()
	q.h.Protocol.CopyResponseHeader(header, a.response.Header)
	if a.response.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(a.response.Length, 10))
	}
	q.writeHeader(a.response.Status)
	_, err := q.w.Write(read)
	q.h.responses.Release(reserved)
	if err != nil {
		return a.callerWriteFailed(err)
	}
	buf := make([]byte, copyBufferSize)
	for {
		n, err := a.response.Read(buf)
		if n > 0 {
			if _, werr := q.w.Write(buf[:n]); werr != nil {
				return a.callerWriteFailed(werr)
			}
		}
		if bound := a.countUnsized(n); bound != nil && err == nil {
			err = bound
		}
		if err == io.EOF {
			a.result = balancer.OK
			a.recordSound()
			return delivered
		}
		if err != nil {
			return a.restBroken(err)
		}
	}
}

// restBroken handles a response that broke off after its header was relayed.
func (a *attempt) restBroken(err error) result {
	if a.callerGone() {
		return callerDisconnected
	}
	err = a.endCause(err)
	a.recordCrash(err)
	a.recordCause(err)
	a.q.logAttempt(a)
	if a.q.stopping() {
		return a.q.abort(reasonStopping)
	}
	return a.q.abort(reasonBrokenResponse)
}

// callerWriteFailed handles a failed write to the caller.
func (a *attempt) callerWriteFailed(err error) result {
	a.result = balancer.Abandoned
	a.q.outcome.setEnded(outcomeCallerDisconnected, err.Error())
	return callerDisconnected
}

// drainBody reads a discarded short response, so that its connection can be kept.
func (a *attempt) drainBody() {
	if a.response.Length < 0 || a.response.Length > maxDrainBytes {
		return
	}
	if err := a.response.SetReadDeadline(time.Now().Add(drainTimeout)); err != nil {
		return // Close closes the connection
	}
	// A failed read leaves the response incomplete, so Close closes the connection.
	_, _ = io.Copy(io.Discard, a.response)
}
