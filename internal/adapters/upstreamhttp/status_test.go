package upstreamhttp_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against bytes of an upstream in trouble that are taken for an answer because they
// have the form of a status line.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			address := serveOnce(t, func(c *net.TCPConn) {
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, strings.Repeat("HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\nok", 2)+"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			})
			body, err := read(t, address, 10)
			assert.Assert(t, err != nil, "an answer with status %s was taken: %q", status, body)
		})
	}
}
