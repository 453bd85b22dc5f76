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
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// BenchmarkLoopback streams events over TCP to a reader that discards the
// bytes and to the client. The difference in cpu-ns/event is the client's
// processor time; both include the server and the kernel. The paced streams
// send 3,000 events/s together, so that each event wakes its reader.
func BenchmarkLoopback(b *testing.B) {
	loads := []struct {
		name    string
		streams int
		pace    time.Duration
	}{
		{"saturated", 32, 0},
		{"paced", 150, 50 * time.Millisecond},
	}
	for _, l := range loads {
		b.Run(l.name+"/discard", func(b *testing.B) { loopback(b, l.streams, l.pace, discardStream) })
		b.Run(l.name+"/client", func(b *testing.B) { loopback(b, l.streams, l.pace, receiveStream) })
	}
	http.DefaultClient.CloseIdleConnections()
}

func discardStream(url, id string) error {
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
}

func receiveStream(url, id string) error {
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
}

// loopback serves b.N events split over streams, one flush per event.
func loopback(b *testing.B, streams int, pace time.Duration, read func(url, id string) error) {
	perStream := b.N/streams + 1
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerRequestID)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range perStream {
			_, _ = io.WriteString(w, sseToken(id, i, " token"))
			w.(http.Flusher).Flush()
			time.Sleep(pace)
		}
		_, _ = io.WriteString(w, sseFinal(id, perStream, perStream)+sseEnd)
	}))
	defer server.Close()
	before := cpuTime(b)
	b.ResetTimer()
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			if err := read(server.URL, fmt.Sprintf("r%d.0", i)); err != nil {
				b.Error(err)
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64(cpuTime(b)-before)/float64(perStream*streams), "cpu-ns/event")
}

// cpuTime returns the processor time of this process in nanoseconds.
func cpuTime(b *testing.B) int64 {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return usage.Utime.Nano() + usage.Stime.Nano()
}
