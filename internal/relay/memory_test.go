package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/platform/standin"
)

// Guards against successes that lose the header of their upstream while responses that
// are being read take all the memory for them, whether they have a length or not.
func TestResponsesKeepTheirHeaderWithoutMemory(t *testing.T) {
	for name, b := range map[string]standin.Behaviour{
		"length":       {},
		"unframed":     {Unframed: true},
		"server error": {Status: http.StatusInternalServerError},
	} {
		for _, path := range []string{"/once/", "/again/"} {
			t.Run(name+path, func(t *testing.T) {
				s := startRelay(t, 2)
				s.handler.SetResponseMemoryLimit(1)
				s.setBehaviour(b)
				got := s.do(s.request(http.MethodPost, path, "r1", "x"))
				assert.NilError(t, got.err)
				assert.Assert(t, strings.HasPrefix(got.header.Get("X-Replica-Seal"), "replica-"), "status %d, header %v", got.status, got.header)
				assert.Equal(t, got.header.Get("X-Attempt-Id"), "r1")
				assert.Equal(t, got.header.Get("Content-Length"), strconv.Itoa(len(got.body)))
				assert.Equal(t, got.body, fmt.Sprintf("answer of %s to r1", got.header.Get("X-Replica-Seal")))
			})
		}
	}
}

// Guards against long responses that keep the memory for responses until they end,
// although what was read of them has been relayed.
func TestLongResponsesReleaseMemory(t *testing.T) {
	s := startRelay(t, 1)
	s.handler.SetResponseMemoryLimit(300 << 10)
	// Each of them is read up to 256 KB and then goes on.
	endless := startRaw(t, soundHead+"\r\n", strings.Repeat("x", 32<<10), 5*time.Millisecond)
	s.registerRaw([]*rawUpstream{endless})
	for i := range 4 {
		go func() {
			resp, err := http.DefaultClient.Do(s.request(http.MethodPost, "/once/", fmt.Sprintf("long%d", i), "x"))
			if err == nil {
				time.Sleep(time.Second)
				_ = resp.Body.Close()
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	assert.Assert(t, s.handler.ResponseMemory() < 64<<10, "%d bytes are reserved", s.handler.ResponseMemory())
}

// Guards against unfinished events and headers that take the memory of the daemon all
// together, although each of them is within its bound. The bound is that of the garbage
// collector on the smallest VM, 0.6 of 112 MB.
func TestUnfinishedResponsesShareOneMemoryLimit(t *testing.T) {
	const (
		smallestVM = 112 << 20
		heapBound  = 64 << 20
		callers    = 500
	)
	for name, c := range map[string]struct{ path, prefix string }{
		"events":   {"/events/", soundHead + "\r\nid: 1\ndata: " + strings.Repeat("x", 250<<10)},
		"comments": {"/events/", soundHead + "\r\n" + strings.Repeat(": "+strings.Repeat("x", 1<<10)+"\n\n", 15)},
		"headers":  {"/once/", "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 30<<10)},
		"bodies":   {"/once/", soundHead + "Content-Length: 260000\r\n\r\n" + strings.Repeat("x", 250<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			s := startRelay(t, 1)
			s.handler.SetResponseMemoryLimit(smallestVM / 10)
			s.registerRaw([]*rawUpstream{startRaw(t, c.prefix, "x", 100*time.Millisecond)})
			runtime.GC()
			var before runtime.MemStats
			runtime.ReadMemStats(&before)
			// The route's timeout ends the requests.
			var load sync.WaitGroup
			for i := range callers {
				load.Go(func() { s.abandon(s.request(http.MethodPost, c.path, fmt.Sprintf("r%d", i), "x")) })
			}
			var most uint64
			for end := time.Now().Add(2200 * time.Millisecond); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				most = max(most, m.HeapAlloc-min(before.HeapAlloc, m.HeapAlloc))
			}
			load.Wait()
			t.Logf("heap at most %d KB larger", most>>10)
			assert.Check(t, most < heapBound, "heap of %d MB", most>>20)
			assert.Equal(t, s.handler.ResponseMemory(), int64(0))
		})
	}
}

// abandon sends a request and reads its response, whatever becomes of it.
func (s *fixture) abandon(r *http.Request) {
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return // the daemon has closed the connection
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
