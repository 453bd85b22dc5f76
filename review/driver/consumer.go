package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// channel is a consumer's connection to a daemon, which it keeps for many requests.
type channel struct {
	s      *stage
	daemon *daemon
	conn   net.Conn
	reader *bufio.Reader
}

// call is one request of a consumer.
type call struct {
	method string
	path   string
	// limit is the consumer's time limit.
	limit  time.Duration
	prompt string
	tokens string
	body   string
}

// outcome is what a consumer has seen of one request.
type outcome struct {
	id     string
	status int
	header http.Header
	// bytes is the length of the body that arrived.
	bytes int
	// complete is set if the answer came to its end.
	complete bool
	// gaveUp is set if the consumer's time limit was over first.
	gaveUp bool
	err    error
	sent   time.Time
	took   time.Duration
}

// ended returns when the answer was complete or its channel ended.
func (o *outcome) ended() time.Time { return o.sent.Add(o.took) }

// cut reports whether the channel ended before the answer was complete.
func (o *outcome) cut() bool { return !o.complete && !o.gaveUp }

func (s *stage) open(d *daemon) (*channel, error) {
	c, err := net.DialTimeout("tcp", d.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{s: s, daemon: d, conn: c, reader: bufio.NewReader(c)}, nil
}

func (c *channel) close() { _ = c.conn.Close() } // the consumer leaves

var attempts atomic.Int64

// do sends a request and reads its answer to the end or until the time limit.
func (c *channel) do(q call) outcome {
	o := outcome{id: fmt.Sprintf("%016x", attempts.Add(1))}
	sent := time.Now()
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		q.method, q.path, host, o.id, q.limit.Milliseconds(), apiKey)
	if q.prompt != "" {
		fmt.Fprintf(&text, "X-Model: m\r\nX-Prompt-Prefix: %s\r\nX-Token-Count: %s\r\n", q.prompt, q.tokens)
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(q.body))
	}
	text.WriteString("\r\n" + q.body)
	c.s.logf("consumer sends %s %s %s to %s", o.id, q.method, q.path, c.daemon.name)
	o.err = c.exchange(q, text.String(), &o, sent.Add(q.limit))
	var timeout net.Error
	o.gaveUp = errors.As(o.err, &timeout) && timeout.Timeout()
	o.sent, o.took = sent, time.Since(sent)
	c.s.logf("consumer has %s: status %d, seal %q, %d bytes, complete=%v gave-up=%v after %.3f s: %v",
		o.id, o.status, o.header.Get("X-Replica-Seal"), o.bytes, o.complete, o.gaveUp, o.took.Seconds(), o.err)
	return o
}

func (c *channel) exchange(q call, text string, o *outcome, until time.Time) error {
	if err := c.conn.SetDeadline(until); err != nil {
		return err
	}
	if _, err := io.WriteString(c.conn, text); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return err
	}
	o.status, o.header = resp.StatusCode, resp.Header
	n, err := io.Copy(io.Discard, resp.Body)
	o.bytes = int(n)
	if err != nil {
		return err
	}
	o.complete = true
	return nil
}

// callOnce sends a request on a channel of its own.
func (s *stage) callOnce(d *daemon, q call) (outcome, error) {
	c, err := s.open(d)
	if err != nil {
		return outcome{}, err
	}
	defer c.close()
	return c.do(q), nil
}

// statusCall asks for the state of a swap, with the time limit of the sheet.
func statusCall() call {
	return call{method: http.MethodGet, path: statusPath + "2f", limit: 2500 * time.Millisecond}
}

// bookCall books a swap, with the time limit of the sheet.
func bookCall() call {
	return call{method: http.MethodPost, path: bookPath + "2f", limit: 2500 * time.Millisecond, body: strings.Repeat("x", 600)}
}

// noticeCall asks for the draft of a notice. n makes its own part of the prompt unlike
// those of others.
func noticeCall(n int) call {
	return call{
		method: http.MethodPost, path: noticePath + "2f", limit: noticeLimit,
		prompt: fmt.Sprintf("5c1e%04x:210,91bd%04x:140,e440%04x:1110", n%40, n%97, n), tokens: "1460,171",
		body: strings.Repeat("x", 1500),
	}
}

// compareCall asks for a comparison of batches, with the given parts of its prompt before
// its own.
func compareCall(n int, shared string) call {
	return call{
		method: http.MethodPost, path: comparePath + "2f", limit: 8 * time.Second,
		prompt: fmt.Sprintf("%s,e550%04x:2890", shared, n), tokens: "9190,51",
		body: strings.Repeat("x", 9200),
	}
}
