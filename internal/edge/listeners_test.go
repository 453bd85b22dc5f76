package edge_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against callers that fill the listeners for probes, metrics and peers with
// connections that they leave: the oldest ones are closed, and the next caller is served.
func TestFullListenersServeNewCallers(t *testing.T) {
	s := start(t)
	s.configure(1, "/a/")
	s.awaitStatus(s.readyURL(), "", http.StatusOK)
	settings := s.settings.Load()
	for address, path := range map[string]string{
		settings.ReadinessAddress: "/readyz", settings.InternalAddress: "/metrics", settings.ControlAddress: "/metrics",
	} {
		const opened = 80 // above the limits of 16 and 64
		conns := make([]net.Conn, opened)
		for i := range conns {
			c, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			defer c.Close()
			conns[i] = c
		}
		status, _ := s.get("http://"+address+path, "")
		assert.Equal(t, status, http.StatusOK)
		// The first connection is closed long before its header timeout.
		assert.NilError(t, conns[0].SetReadDeadline(time.Now().Add(2*time.Second)))
		_, err := conns[0].Read(make([]byte, 1))
		assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	}
}

// Guards against headers at these listeners without a limit on their size.
func TestSmallListenersRefuseLargeHeaders(t *testing.T) {
	s := start(t)
	s.configure(1, "/a/")
	s.awaitStatus(s.readyURL(), "", http.StatusOK)
	for _, address := range []string{s.settings.Load().ReadinessAddress, s.settings.Load().ControlAddress} {
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer c.Close()
		assert.NilError(t, c.SetDeadline(time.Now().Add(awaitTimeout)))
		_, _ = io.WriteString(c, "GET /readyz HTTP/1.1\r\nHost: h\r\nX-A: "+strings.Repeat("v", 20_000))
		answer, _ := io.ReadAll(c) // ends by a reset if the daemon has not read everything
		assert.Assert(t, len(answer) == 0 || strings.HasPrefix(string(answer), "HTTP/1.1 431"), "%s", answer)
	}
}

// Guards against pipelined requests whose connection is taken for idle while they run,
// and against ones that are not answered.
func TestPipelinedRequestsAreServed(t *testing.T) {
	s := start(t)
	s.configure(1, "/a/")
	s.store.Put("servers", "replica-0", s.replica.Registration("app", "a", "ready"))
	s.awaitStatus(s.callerURL("/a/"), "h.example", http.StatusOK)
	c, err := net.Dial("tcp", s.settings.Load().CallerAddress)
	assert.NilError(t, err)
	defer c.Close()
	const requests = 20
	body := "POST /a/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: r\r\nContent-Length: 5\r\n\r\nx\n\r\n\n"
	chunked := "POST /a/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n\r\n\n\r\n0\r\n\r\n"
	_, err = io.WriteString(c, strings.Repeat(body+chunked, requests/2))
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(awaitTimeout)))
	answers, _ := io.ReadAll(c) // the idle timeout ends the connection
	assert.Equal(t, strings.Count(string(answers), "HTTP/1.1 200"), requests)
}
