package upstreamhttp_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/adapters/upstreamhttp"
)

// longBody is more than the buffers of a connection hold.
const longBody = 8 << 20

// serveOnce handles one connection.
func serveOnce(t *testing.T, handle func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		handle(c.(*net.TCPConn))
	}()
	return l.Addr().String()
}

// read sends a request and returns the error of the response's header or body.
func read(t *testing.T, address string, bodyBytes int) (body string, err error) {
	t.Helper()
	pool := upstreamhttp.NewPool(upstreamhttp.Options{})
	answer, err := pool.Do(t.Context(), address, &upstreamhttp.Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, bodyBytes),
		HeaderDeadline: time.Now().Add(10 * time.Second),
	})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	data, err := io.ReadAll(answer)
	return string(data), err
}

// Guards against a part of an answer that is taken for the whole, because its upstream
// reset the connection while the request was still being written.
func TestResetDuringUploadBreaksAnswer(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		for _, pause := range []time.Duration{0, 30 * time.Millisecond} {
			t.Run(fmt.Sprint(version, " ", pause), func(t *testing.T) {
				for range 10 {
					address := serveOnce(t, func(c *net.TCPConn) {
						_, _ = io.ReadFull(c, make([]byte, 2<<10))
						_, _ = io.WriteString(c, "HTTP/"+version+" 200 OK\r\nConnection: close\r\n\r\npart of the body")
						time.Sleep(pause)
						_ = c.SetLinger(0)
					})
					body, err := read(t, address, longBody)
					assert.Check(t, err != nil, "%q was taken for a complete body", body)
				}
			})
		}
	}
}

// Guards against a complete answer that is given up because it came before the upstream
// had read the request.
func TestEarlyAnswerIsComplete(t *testing.T) {
	address := serveOnce(t, func(c *net.TCPConn) {
		_, _ = io.ReadFull(c, make([]byte, 2<<10))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nthe whole body")
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
	body, err := read(t, address, longBody)
	assert.NilError(t, err)
	assert.Equal(t, body, "the whole body")
}
