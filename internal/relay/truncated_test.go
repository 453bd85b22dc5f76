package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/platform/standin"
)

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
