package httpsend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an upstream that sends a header without end, which would be kept in
// memory until the response header timeout.
func TestEndlessHeaderIsBounded(t *testing.T) {
	read := make(chan int, 1) // bytes that the transport has read
	dial := func(context.Context, string, string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		go func() {
			defer theirs.Close()
			sent := 0
			if _, err := http.ReadRequest(bufio.NewReader(theirs)); err != nil {
				read <- sent
				return
			}
			_, err := io.WriteString(theirs, "HTTP/1.1 200 OK\r\nX-Long: ")
			for err == nil {
				var n int
				n, err = io.WriteString(theirs, strings.Repeat("x", 1<<10))
				sent += n
			}
			read <- sent
		}()
		return ours, nil
	}
	client := &http.Client{Transport: NewTransport(Options{Dial: dial, ResponseHeaderTimeout: 5 * time.Second})}
	resp, err := client.Get("http://upstream/")
	if err == nil {
		_ = resp.Body.Close()
	}
	assert.ErrorContains(t, err, "header")
	sent := <-read
	assert.Assert(t, sent <= 2*maxResponseHeaderBytes, "%d bytes were read", sent)
}
