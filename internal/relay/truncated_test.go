package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/platform/standin"
)

// cutUpstream answers each request with the first bytes of an answer and closes the
// connection, with a reset if reset is set.
func cutUpstream(t *testing.T, answer string, length int, reset bool) *rawUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				text := strings.ReplaceAll(answer, "ID", r.Header.Get("X-Attempt-Id"))
				_, _ = io.WriteString(c, text[:length])
			}
			if tcp, ok := c.(*net.TCPConn); ok && reset {
				time.Sleep(5 * time.Millisecond) // the bytes before it arrive
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	return &rawUpstream{address: l.Addr().String()}
}

// Guards against an answer of an upstream that ends early, at any byte, and reaches the
// caller as if it were complete.
func TestTruncatedAnswerNeverLooksComplete(t *testing.T) {
	const (
		event   = "id: 1\ndata: a\n\n"
		head    = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Replica-Seal: s\r\n"
		id      = "r0"
		unknown = -1
	)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
	for name, c := range map[string]struct {
		paths  []string
		answer string
		// complete is the number of bytes from which on the end of the connection may be
		// the end of the answer.
		complete int
	}{
		"length":           {[]string{"/once/", "/again/", "/events/", "/resume/"}, head + "Content-Length: 15\r\n\r\n" + event, unknown},
		"chunks":           {[]string{"/once/", "/again/", "/events/", "/resume/"}, head + "Transfer-Encoding: chunked\r\n\r\n" + chunk + chunk + "0\r\n\r\n", unknown},
		"unframed":         {[]string{"/once/", "/again/"}, head + "\r\n" + event, len(head) + 2},
		"unframed stream":  {[]string{"/events/", "/resume/"}, head + "\r\n" + event, len(head) + 2 + len(event)},
		"informational":    {[]string{"/again/"}, "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 0\r\n\r\n", unknown},
		"early, no length": {[]string{"/again/"}, "HTTP/1.0 200 OK\r\nX-Attempt-Id: ID\r\nX-Replica-Seal: s\r\n\r\n", unknown},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset=%v", name, reset), func(t *testing.T) {
				t.Parallel()
				whole := len(strings.ReplaceAll(c.answer, "ID", id))
				complete := c.complete
				if complete == unknown || reset {
					complete = whole
				}
				for length := 0; length < complete; length++ {
					for _, path := range c.paths {
						s := startRelay(t, 0)
						s.registerRaw([]*rawUpstream{cutUpstream(t, c.answer, length, reset)})
						got := s.do(s.request(http.MethodPost, path, id, "x"))
						assert.Check(t, got.err != nil || got.status >= 500, "%s, %d of %d bytes: status %d, body %q", path, length, whole, got.status, got.body)
						s.server.Close()
					}
				}
			})
		}
	}
}

// Guards against a caller that has ended its side of the connection, reads on, and gets
// an empty response or the beginning of one as if it were complete.
func TestCallerThatEndsItsSideGetsNoFalseAnswer(t *testing.T) {
	for path, b := range map[string]standin.Behaviour{
		"/once/":   {Work: 300 * time.Millisecond},
		"/again/":  {Work: 300 * time.Millisecond},
		"/events/": {Work: 100 * time.Millisecond, Events: 5},
		"/resume/": {Work: 100 * time.Millisecond, Events: 5},
	} {
		t.Run(path, func(t *testing.T) {
			s := startRelay(t, 2)
			s.setBehaviour(b)
			c, err := net.Dial("tcp", s.server.Listener.Addr().String())
			assert.NilError(t, err)
			defer c.Close()
			_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer %s\r\nX-Attempt-Id: r1\r\nContent-Length: 1\r\n\r\nx", path, testKey)
			assert.NilError(t, err)
			time.Sleep(150 * time.Millisecond)
			assert.NilError(t, c.(*net.TCPConn).CloseWrite())
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(3*time.Second)))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				return // the connection ended without a response
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			whole := string(body) == wantEvents("r1", 1, 5)
			assert.Check(t, err != nil || resp.StatusCode >= 500 || whole, "status %d, complete body %q", resp.StatusCode, body)
		})
	}
}
