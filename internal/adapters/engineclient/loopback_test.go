package engineclient

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const loopbackStreams = 32

// BenchmarkLoopback streams events over TCP to a reader that discards the
// bytes and to the client. The difference in cpu-ns/event is the client's
// processor time; both include the server and the kernel.
func BenchmarkLoopback(b *testing.B) {
	b.Run("discard", func(b *testing.B) {
		loopback(b, func(url, id string) error {
			req, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader("{}"))
			if err != nil {
				return err
			}
			req.Header.Set(headerRequestID, id)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return err
			}
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			return err
		})
		http.DefaultClient.CloseIdleConnections()
	})
	b.Run("client", func(b *testing.B) {
		loopback(b, func(url, id string) error {
			c, err := New(url, Options{})
			if err != nil {
				return err
			}
			defer c.Close()
			s, err := c.Generate(context.Background(), &ports.GenerateRequest{
				Attempt: domain.AttemptID(id), Endpoint: ports.EndpointCompletion, Body: []byte("{}"),
			})
			if err != nil {
				return err
			}
			for err == nil {
				_, err = s.Recv()
			}
			_ = s.Close()
			if err == io.EOF {
				return nil
			}
			return err
		})
	})
}

// loopback serves b.N events split over loopbackStreams streams, one flush per
// event.
func loopback(b *testing.B, read func(url, id string) error) {
	perStream := b.N/loopbackStreams + 1
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerRequestID)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range perStream {
			_, _ = io.WriteString(w, sseToken(id, i, " token"))
			w.(http.Flusher).Flush()
		}
		_, _ = io.WriteString(w, sseFinal(id, perStream, perStream)+sseEnd)
	}))
	defer server.Close()
	before := cpuTime(b)
	b.ResetTimer()
	var wg sync.WaitGroup
	for i := range loopbackStreams {
		wg.Go(func() {
			if err := read(server.URL, fmt.Sprintf("r%d.0", i)); err != nil {
				b.Error(err)
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64(cpuTime(b)-before)/float64(perStream*loopbackStreams), "cpu-ns/event")
}

// cpuTime returns the processor time of this process in nanoseconds.
func cpuTime(b *testing.B) int64 {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return usage.Utime.Nano() + usage.Stime.Nano()
}
