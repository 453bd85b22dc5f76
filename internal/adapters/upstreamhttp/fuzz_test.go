package upstreamhttp

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/memlimit"
)

// bytesConn is a connection from which an upstream's bytes are read.
type bytesConn struct {
	net.Conn
	read *bytes.Reader
}

func (c bytesConn) Read(p []byte) (int, error)      { return c.read.Read(p) }
func (c bytesConn) Write(p []byte) (int, error)     { return len(p), nil }
func (c bytesConn) SetDeadline(time.Time) error     { return nil }
func (c bytesConn) SetReadDeadline(time.Time) error { return nil }
func (c bytesConn) Close() error                    { return nil }

// Guards against bytes of an upstream that crash the daemon, that are taken for the
// answer to another request, or that are read beyond the bounds on a header.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nothesHTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\nrest",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nT: x\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nX-Id: mine\r\nRetry-After: 1\r\nConnection: close\r\n\r\n",
		"HTTP/1.0 204 No Content\r\nX-Id: mine\r\n\r\n", "\x00\xff", "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: -1\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		source := bytes.NewReader(data)
		bounded := &boundedReader{inner: source, memory: &memlimit.Limit{}}
		c := &conn{Conn: bytesConn{read: source}, bounded: bounded, reader: bufio.NewReaderSize(bounded, bufferBytes)}
		answer, _, err := NewPool(Options{}).exchange(c, &Request{
			Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
			Mine: func(h http.Header) bool { return h.Get("X-Id") == "mine" },
		})
		if err != nil {
			consumed := len(data) - source.Len()
			assert.Assert(t, consumed <= maxStray*(maxHeaderBytes+maxStrayBytes)+bufferBytes, "%d bytes read", consumed)
			return
		}
		assert.Equal(t, answer.Header.Get("X-Id"), "mine")
		body, err := io.ReadAll(answer)
		assert.Assert(t, len(body) <= len(data))
		if err == nil && answer.Length >= 0 {
			assert.Equal(t, int64(len(body)), answer.Length)
		}
	})
}
