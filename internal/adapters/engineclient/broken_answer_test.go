package engineclient_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/adapters/engineclient"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// serveRaw answers each connection with answer once it has read a part of its request, and
// resets it after a pause.
func serveRaw(t *testing.T, answer string, pause time.Duration) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var running sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		running.Wait()
	})
	running.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			running.Go(func() {
				_, _ = io.ReadFull(conn, make([]byte, 2<<10))
				_, _ = io.WriteString(conn, answer)
				time.Sleep(pause)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			})
		}
	})
	return l.Addr().String()
}

// Guards against the part of an answer that counts as complete because the upstream reset
// the connection while the request was still being written.
func TestAnswerResetDuringUploadIsBroken(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, pause := range []time.Duration{0, 30 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s after %s", version, pause), func(t *testing.T) {
				address := serveRaw(t, version+" 200 OK\r\n\r\na part of the bo", pause)
				for i := range 10 {
					client, err := engineclient.New("http://"+address, engineclient.Options{})
					assert.NilError(t, err)
					response, err := client.Call(t.Context(), &ports.ServiceRequest{
						Attempt: "r.0", Method: "POST", Path: "/bookings", Body: bytes.Repeat([]byte("x"), 8<<20),
					})
					client.Close()
					assert.Check(t, err != nil, "try %d: %v", i, response)
				}
			})
		}
	}
}

// Guards against an answer of an upstream in trouble whose status does not exist.
func TestAnswersWithInvalidStatusAreBroken(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		address := serveRaw(t, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 2\r\n\r\nok", 30*time.Millisecond)
		client, err := engineclient.New("http://"+address, engineclient.Options{})
		assert.NilError(t, err)
		response, err := client.Call(t.Context(), &ports.ServiceRequest{
			Attempt: "r.0", Method: "POST", Path: "/bookings", Body: bytes.Repeat([]byte("x"), 4<<10),
		})
		client.Close()
		assert.Check(t, err != nil, "status %s: %v", status, response)
	}
}
