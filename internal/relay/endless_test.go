package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/inventory"
	"github.com/auburndyke/auburndyke/platform"
	"github.com/auburndyke/auburndyke/platform/standin"
)

// rawUpstream is an upstream that responds with bytes as they are given.
type rawUpstream struct {
	address string
	sent    atomic.Int64
}

// startRaw starts an upstream that answers each request with prefix, in which ID stands
// for the request's id, and then writes part until the connection closes. It pauses
// between parts.
func startRaw(t *testing.T, prefix, part string, pause time.Duration) *rawUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	u := &rawUpstream{address: l.Addr().String()}
	// All connections share the bytes behind the head, in which no id stands, so that the
	// memory of the upstream does not count as the daemon's.
	head := prefix[:min(len(prefix), maxRawHead)]
	rest := []byte(prefix[len(head):])
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c, head, rest, part, pause)
		}
	}()
	return u
}

func (u *rawUpstream) serve(c net.Conn, head string, rest []byte, part string, pause time.Duration) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, err = io.WriteString(c, strings.ReplaceAll(head, "ID", r.Header.Get("X-Attempt-Id")))
	if err == nil {
		_, err = c.Write(rest)
	}
	for err == nil {
		var n int
		n, err = io.WriteString(c, part)
		u.sent.Add(int64(n))
		time.Sleep(pause)
	}
}

// registerRaw makes upstreams known to the balancer, beside replicas.
func (s *fixture) registerRaw(raw []*rawUpstream, replicas ...*standin.Replica) {
	var entries []inventory.Entry
	for _, r := range replicas {
		registration, err := platform.DecodeReplica(r.ID, r.Registration("app", "here", "ready"))
		assert.NilError(s.t, err)
		entries = append(entries, inventory.Entry{Registration: registration})
	}
	for i, u := range raw {
		entries = append(entries, inventory.Entry{Registration: inventory.Registration{
			SoftwareVersion: "v1",
			ID:              domain.UpstreamID(fmt.Sprintf("raw-%03d", i)), Service: "app", Address: u.address, Zone: "here", Slots: 8,
		}})
	}
	s.balancer.Update(time.Now(), entries, func(string) balancer.Engine { return balancer.Engine{} })
}

// maxRawHead is the part of a raw upstream's prefix that may hold ids.
const maxRawHead = 1 << 10

const soundHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Replica-Seal: s\r\n"

// Guards against upstreams in trouble whose bytes without end take the memory of the
// daemon: 100 of them, in five ways, beside sound upstreams. The bound is that of the
// garbage collector on the smallest VM, 0.6 of 112 MB.
func TestEndlessUpstreamsLeaveMemoryToOthers(t *testing.T) {
	const (
		broken     = 100
		heapBound  = 64 << 20
		callers    = 40
		smallestVM = 112 << 20
	)
	block := strings.Repeat("x", 32<<10)
	s := startRelay(t, 4)
	s.handler.SetResponseMemoryLimit(smallestVM / 10)
	s.handler.SetUnsizedResponseRate(10e6 / 8 / 4)
	var raw []*rawUpstream
	for i := range broken {
		switch i % 5 {
		case 0:
			raw = append(raw, startRaw(t, "HTTP/1.1 200 OK\r\nX-Long: ", block, 0))
		case 1:
			raw = append(raw, startRaw(t, "", "HTTP/1.1 100 Continue\r\n\r\n", 0))
		case 2:
			raw = append(raw, startRaw(t, soundHead+"\r\n", block, 0))
		case 3:
			raw = append(raw, startRaw(t, "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 999999999\r\n\r\n", block, 0))
		case 4:
			raw = append(raw, startRaw(t, soundHead+"Content-Length: 250000\r\n\r\n", "x", 20*time.Millisecond))
		}
	}
	s.registerRaw(raw, s.replicas...)

	// Below the bound, so that the heap above it is in use and not garbage.
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(heapBound * 3 / 4))
	var most atomic.Uint64
	stop := make(chan struct{})
	var sampling sync.WaitGroup
	sampling.Go(func() {
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			most.Store(max(most.Load(), m.HeapAlloc))
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	var load sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	var served []time.Duration
	end := time.Now().Add(5 * time.Second)
	for i := range callers {
		load.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				started := time.Now()
				req := s.request(http.MethodPost, "/again/", fmt.Sprintf("r%d-%d", i, k), "x")
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					continue
				}
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				mu.Lock()
				statuses[resp.StatusCode]++
				if err == nil && strings.HasPrefix(string(body), "answer of replica-") {
					served = append(served, time.Since(started))
				}
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	load.Wait()
	close(stop)
	sampling.Wait()
	assert.Assert(t, len(served) > 100, "%d requests were served, %v", len(served), statuses)
	slices.Sort(served)
	t.Logf("heap at most %d MB; %d served, p50 %s, p99 %s; statuses %v",
		most.Load()>>20, len(served), served[len(served)/2], served[len(served)*99/100], statuses)
	assert.Assert(t, most.Load() < heapBound, "heap of %d MB", most.Load()>>20)
}

// Guards against streams that send comments, blank lines or an event in drips without
// ever an event: they must free their place within the idle time of the route (1.5 s),
// and the caller must be served by another upstream.
func TestStreamWithoutEventsIsGivenUp(t *testing.T) {
	head := soundHead + "Content-Type: text/event-stream\r\n\r\n"
	for name, u := range map[string]struct {
		prefix, part string
		pause        time.Duration
	}{
		"comments":          {head, ": still here\n\n", time.Millisecond},
		"a comment at ease": {head, ": still here\n\n", 300 * time.Millisecond},
		"blank lines":       {head, "\n", 300 * time.Millisecond},
		"drip":              {head + "id: 1\ndata: ", "x", 100 * time.Millisecond},
		"comments behind":   {head + "id: 1\ndata: ID part 1\n\n", ":\n\n", 200 * time.Millisecond},
		"one event":         {head + "id: 1\ndata: ", strings.Repeat("x", 8192), 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startRelay(t, 1)
			s.replicas[0].Set(standin.Behaviour{Events: 8, Work: 20 * time.Millisecond})
			raw := []*rawUpstream{startRaw(t, u.prefix, u.part, u.pause)}
			s.registerRaw(raw, s.replicas...)
			var callers sync.WaitGroup
			for i := range 12 { // at once, so that some go to the broken upstream
				callers.Go(func() {
					id := fmt.Sprintf("r%d", i)
					got := s.do(s.request(http.MethodPost, "/resume/", id, "x"))
					assert.Check(t, got.err)
					assert.Check(t, got.status == http.StatusOK, "status %d", got.status)
					events := strings.ReplaceAll(strings.ReplaceAll(got.body, ": still here\n\n", ""), ":\n\n", "")
					assert.Check(t, strings.TrimLeft(events, "\n") == wantEvents(id, 1, 8), "%q", got.body)
				})
			}
			callers.Wait()
			assert.Assert(t, raw[0].sent.Load() > 0, "the broken upstream got no request")
		})
	}
}

// Guards against a sound stream that is changed: comments and blank lines reach the
// caller, before the first event as well.
func TestCommentsAreRelayed(t *testing.T) {
	s := startRelay(t, 0)
	body := ": hello\n\nid: 1\ndata: a\n\n: between\n\nid: 2\ndata: b\n\n"
	s.registerRaw([]*rawUpstream{startRawOnce(t, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", soundHead, len(body), body))})
	got := s.do(s.request(http.MethodPost, "/resume/", "r1", "x"))
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, body)
}

// startRawOnce starts an upstream that answers with the given bytes and stays silent.
func startRawOnce(t *testing.T, answer string) *rawUpstream {
	t.Helper()
	return startRaw(t, answer, "", 10*time.Millisecond)
}

// Guards against long sound responses without a length that are cut or changed because
// others are endless.
func TestLongResponseWithoutLengthIsComplete(t *testing.T) {
	s := startRelay(t, 0)
	s.handler.SetUnsizedResponseRate(4 << 20)
	size := 3 << 20
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("y", size))
	s.registerRaw([]*rawUpstream{startRawOnce(t, soundHead+"Transfer-Encoding: chunked\r\n\r\n"+chunk+"0\r\n\r\n")})
	got := s.do(s.request(http.MethodPost, "/once/", "r1", "x"))
	assert.NilError(t, got.err)
	assert.Equal(t, len(got.body), size)
}
