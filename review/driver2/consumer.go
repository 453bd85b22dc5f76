package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// attempt is one try of a consumer and what came of it.
type attempt struct {
	id     string
	sent   time.Time
	ended  time.Time
	status int
	header http.Header
	body   string
	// err is nil if the answer was complete.
	err error
}

// request is what a consumer sends.
type request struct {
	method, path string
	header       map[string]string
	body         []byte
	// limit is the time for which the consumer waits.
	limit time.Duration
}

// send sends a request on a new channel and reads the answer.
func send(address, id string, r request) *attempt {
	a := &attempt{id: id, sent: time.Now()}
	defer func() { a.ended = time.Now() }()
	c, err := net.DialTimeout("tcp", address, probeTime)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = c.Close() }()
	if a.err = c.SetDeadline(a.sent.Add(r.limit)); a.err != nil {
		return a
	}
	if a.err = writeRequest(c, id, r); a.err != nil {
		return a
	}
	a.read(bufio.NewReader(c), r.method)
	return a
}

// channel is a channel that a consumer keeps for further requests.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (c *channel) close() {
	if c != nil {
		_ = c.conn.Close() // the daemon may have closed it
	}
}

// sendOn sends a request on a kept channel, or on a new one if kept is nil. It returns the
// channel if it can be kept.
func sendOn(kept *channel, address, id string, r request) (*attempt, *channel) {
	a := &attempt{id: id, sent: time.Now()}
	defer func() { a.ended = time.Now() }()
	if kept == nil {
		conn, err := net.DialTimeout("tcp", address, probeTime)
		if err != nil {
			a.err = err
			return a, nil
		}
		kept = &channel{conn, bufio.NewReader(conn)}
	}
	if a.err = kept.conn.SetDeadline(a.sent.Add(r.limit)); a.err == nil {
		a.err = writeRequest(kept.conn, id, r)
	}
	if a.err == nil {
		a.read(kept.reader, r.method)
	}
	if a.err != nil || a.header.Get("Connection") == "close" {
		kept.close()
		return a, nil
	}
	return a, kept
}

func writeRequest(c net.Conn, id string, r request) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", r.method, r.path, host, id, r.limit.Milliseconds(), apiKey)
	for name, value := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	if _, err := io.WriteString(c, b.String()); err != nil {
		return err
	}
	_, err := c.Write(r.body)
	return err
}

func (a *attempt) read(reader *bufio.Reader, method string) {
	resp, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return
	}
	a.status, a.header = resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	a.body, a.err = string(body), err
}

func (a *attempt) String() string {
	text := fmt.Sprintf("%s: status %d after %.2f s, %d bytes", a.id, a.status, a.ended.Sub(a.sent).Seconds(), len(a.body))
	if a.err != nil {
		text += ", broken off: " + shortError(a.err)
	}
	return text
}

// shortError leaves out the addresses, which differ from run to run.
func shortError(err error) string {
	var op *net.OpError
	if errors.As(err, &op) {
		return op.Op + ": " + op.Err.Error()
	}
	return err.Error()
}

var eventPattern = regexp.MustCompile(`id: (\d+)\ndata: part (\d+) by (\S+) of (\S+)\n\n`)

// lastEvent returns the number of the last complete event, or zero.
func (a *attempt) lastEvent() int {
	all := eventPattern.FindAllStringSubmatch(a.body, -1)
	if len(all) == 0 {
		return 0
	}
	n, _ := strconv.Atoi(all[len(all)-1][1]) // digits
	return n
}

// versions returns the software versions that wrote the events, in order.
func (a *attempt) versions() []string {
	var out []string
	for _, m := range eventPattern.FindAllStringSubmatch(a.body, -1) {
		if len(out) == 0 || out[len(out)-1] != m[4] {
			out = append(out, m[4])
		}
	}
	return out
}
