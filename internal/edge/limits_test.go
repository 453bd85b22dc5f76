package edge_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/platform/standin"
)

// Guards against callers that occupy connections with headers that never end, and
// against a header timeout that closes the connection of a request in progress.
func TestHeaderTimeout(t *testing.T) {
	s := start(t)
	s.configure(1, "/a/")
	s.store.Put("servers", "replica-0", s.replica.Registration("app", "a", "ready"))
	s.awaitStatus(s.callerURL("/a/"), "h.example", http.StatusOK)

	// The configured timeout is 300 ms, that of the server 5 s.
	c, err := net.Dial("tcp", s.settings.Load().CallerAddress)
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /a/ HTTP/1.1\r\nHost: h.example\r\nX-")
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(3*time.Second)))
	_, err = c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)

	s.replica.Set(standin.Behaviour{Work: 700 * time.Millisecond})
	status, _ := s.get(s.callerURL("/a/"), "h.example")
	assert.Equal(t, status, http.StatusOK)
}
