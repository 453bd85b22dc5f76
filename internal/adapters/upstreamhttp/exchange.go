package upstreamhttp

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// inlineBody is the largest body that is written before the answer is
	// read. A larger one is written beside the reading, because an upstream
	// may answer before it has read the body.
	inlineBody = 8 << 10
	// maxStray is the number of answers to other requests that are skipped on
	// one connection before it is given up.
	maxStray = 3
	// maxInformational bounds the 1xx answers before the final one.
	maxInformational = 5
	// minStatus and maxStatus are the least and the greatest status of HTTP.
	minStatus = 100
	maxStatus = 599
	// writtenTimeout is how long the request may still be written after the end of the
	// connection's other direction, if that is to end the answer.
	writtenTimeout = time.Second
)

// errNotWritten means that the connection ended before the request was written.
var errNotWritten = errors.New("connection ended before the request was written")

// ErrForeignAnswer means that the answer on the connection belongs to another
// request.
var ErrForeignAnswer = errors.New("answer belongs to another request")

// ErrInvalidStatus means that the connection brought a status that is none of HTTP.
var ErrInvalidStatus = errors.New("answer's status is none of HTTP")

// SendError is a request that got no answer.
type SendError struct {
	// Sent reports whether any byte of the request may have been sent.
	Sent bool
	Err  error
}

func (e *SendError) Error() string {
	if e.Sent {
		return "after sending: " + e.Err.Error()
	}
	return "before sending: " + e.Err.Error()
}

func (e *SendError) Unwrap() error { return e.Err }

// Request is one request to an upstream. It is written as it stands.
type Request struct {
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdleAge bounds how long a reused connection may have been idle.
	MaxIdleAge time.Duration
	// Mine reports whether an answer belongs to the request. Nil accepts all.
	Mine func(http.Header) bool
	// Allowed returns an error if the request must not be sent any more. It is called
	// when a connection is open. Nil allows all.
	Allowed func() error
	// HeaderDeadline bounds the wait for the answer's header.
	HeaderDeadline time.Time
}

// Answer is an answer whose body has not been read. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Length is the announced length of the body, or -1.
	Length int64
	// Unframed tells that the body has neither a length nor chunks, so that only the end
	// of the connection ends it.
	Unframed bool
	// Fresh tells that the connection was opened for this request.
	Fresh bool

	body      io.ReadCloser
	conn      *conn
	pool      *Pool
	stop      func() bool
	written   <-chan error // nil when the request was written, or has failed, with writeErr
	writeErr  error
	keepAlive time.Duration
	reusable  bool
	complete  bool
}

// Do sends a request once. The answer's connection closes when ctx ends. A
// failure is a *SendError.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Answer, error) {
	c, fresh, err := p.get(ctx, address, r.MaxIdleAge)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	if r.Allowed != nil {
		if err := r.Allowed(); err != nil {
			_ = c.Close() // nothing was sent
			return nil, &SendError{Err: err}
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	a, sent, err := p.exchange(c, r)
	if err != nil {
		stop()
		c.bounded.release()
		_ = c.Close() // its state is unknown
		if cause := ctx.Err(); cause != nil {
			err = cause
		}
		return nil, &SendError{Sent: sent, Err: err}
	}
	a.stop, a.Fresh = stop, fresh
	return a, nil
}

// exchange writes the request and reads the answer's header. sent reports
// whether any byte may have reached the upstream.
func (p *Pool) exchange(c *conn, r *Request) (answer *Answer, sent bool, err error) {
	if err := c.SetDeadline(r.HeaderDeadline); err != nil {
		return nil, false, err
	}
	a := &Answer{conn: c, pool: p}
	head := encodeHead(r)
	var writeErr error
	if len(r.Body) <= inlineBody {
		var n int
		n, writeErr = c.Write(append(head, r.Body...))
		if writeErr != nil && n == 0 {
			return nil, false, writeErr
		}
	} else {
		a.written = writeBeside(c.Conn, head, r.Body)
	}
	resp, err := readAnswer(c, r)
	if err != nil {
		if writeErr != nil {
			err = writeErr
		}
		return nil, true, err
	}
	a.Status, a.Header, a.Length, a.body = resp.StatusCode, resp.Header, resp.ContentLength, resp.Body
	a.Unframed = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	a.keepAlive = keepAliveTime(resp.Header.Get("Keep-Alive"))
	a.reusable = !resp.Close && writeErr == nil
	return a, true, nil
}

// writeBeside writes while the answer is read. Its buffers bound the channel.
func writeBeside(w net.Conn, head, body []byte) <-chan error {
	done := make(chan error, 1)
	go func() {
		buffers := net.Buffers{head, body}
		_, err := buffers.WriteTo(w)
		done <- err
	}()
	return done
}

func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b) // a buffer does not fail
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readAnswer returns the first final answer that belongs to the request. What it
// reads before the answer's body is bounded.
func readAnswer(c *conn, r *Request) (*http.Response, error) {
	defer c.bounded.unlimit()
	method := &http.Request{Method: r.Method}
	for range maxStray {
		c.bounded.limit(maxHeaderBytes, ErrHeaderTooLong, true)
		resp, err := readFinal(c.reader, method)
		if err != nil {
			return nil, c.bounded.cause(err)
		}
		if r.Mine == nil || r.Mine(resp.Header) {
			return resp, nil
		}
		if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, ErrForeignAnswer
		}
		c.bounded.limit(maxStrayBytes, ErrStrayTooLong, false)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, eris.Wrap(err, "skipping an answer to another request")
		}
	}
	return nil, ErrForeignAnswer
}

func readFinal(reader *bufio.Reader, method *http.Request) (*http.Response, error) {
	for range maxInformational {
		resp, err := http.ReadResponse(reader, method)
		if err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode < minStatus || resp.StatusCode > maxStatus:
			return nil, eris.Wrapf(ErrInvalidStatus, "status %03d", resp.StatusCode)
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		}
	}
	return nil, eris.New("too many informational answers")
}

// Read reads the body. It returns io.EOF only at the body's end.
//
// A reset is reported once, to the reader or to the writer of a connection. The reader of
// a body that only the connection's end delimits must therefore not take it for complete
// before it knows that the writer has not got the report.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if err == io.EOF && a.Unframed {
		if cause := a.awaitWritten(writtenTimeout); cause != nil {
			return n, eris.Wrap(errors.Join(io.ErrUnexpectedEOF, cause), "reading an answer without a length")
		}
	}
	if err == io.EOF {
		a.complete = true
	}
	return n, err
}

// awaitWritten waits until the request is written and returns the error of that.
func (a *Answer) awaitWritten(timeout time.Duration) error {
	if a.written == nil {
		return a.writeErr
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case a.writeErr = <-a.written:
	case <-timer.C:
		a.writeErr = errNotWritten
	}
	a.written = nil
	return a.writeErr
}

// SetReadDeadline bounds the next reads of the body.
func (a *Answer) SetReadDeadline(t time.Time) error { return a.conn.SetReadDeadline(t) }

// Close releases the connection: to the pool if the exchange ended in order,
// otherwise by closing it, which cancels the work of most upstreams.
func (a *Answer) Close() {
	live := a.stop()
	a.conn.bounded.release()
	if live && a.complete && a.reusable && a.requestWritten() && a.conn.reader.Buffered() == 0 {
		a.pool.put(a.conn, a.keepAlive)
		return
	}
	_ = a.conn.Close() // the answer has been read or is given up
}

// requestWritten reports whether the whole request is written already.
func (a *Answer) requestWritten() bool {
	if a.written == nil {
		return a.writeErr == nil
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}
