package upstreamhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/adapters/upstreamhttp"
)

// serveRaw starts an upstream that reads a request's header and then runs respond.
func serveRaw(t testing.TB, respond func(w io.Writer)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					respond(c)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// endless writes prefix once and then part until the connection closes.
func endless(prefix, part string) func(io.Writer) {
	block := []byte(strings.Repeat(part, 1+8192/len(part)))
	return func(w io.Writer) {
		_, err := io.WriteString(w, prefix)
		for err == nil {
			_, err = w.Write(block)
		}
	}
}

func request(timeout time.Duration) *upstreamhttp.Request {
	return &upstreamhttp.Request{
		Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, MaxIdleAge: time.Second,
		Mine:           func(h http.Header) bool { return h.Get("X-Id") == "mine" },
		HeaderDeadline: time.Now().Add(timeout),
	}
}

// Guards against upstreams in trouble whose bytes without end fill the memory of every
// daemon that sends them a request: 1 GB in two seconds for one request. Each case must
// end long before its deadline, after no more than the bounds of a header or of a
// skipped answer.
func TestEndlessBytesAreBounded(t *testing.T) {
	const (
		deadline = 20 * time.Second
		// Reading 32 KB of header or skipping 256 KB takes no more than this.
		allocBound = 4 << 20
	)
	for name, c := range map[string]struct {
		respond func(io.Writer)
		cause   error
	}{
		"one header line":  {endless("HTTP/1.1 200 OK\r\nX-Long: ", "x"), upstreamhttp.ErrHeaderTooLong},
		"header lines":     {endless("HTTP/1.1 200 OK\r\n", "X-Line: y\r\n"), upstreamhttp.ErrHeaderTooLong},
		"status line":      {endless("HTTP/1.1 200 ", "OK"), upstreamhttp.ErrHeaderTooLong},
		"informational":    {endless("", "HTTP/1.1 100 Continue\r\nX-Long: "+strings.Repeat("z", 12<<10)+"\r\n\r\n"), upstreamhttp.ErrHeaderTooLong},
		"stray body":       {endless("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 9999999999\r\n\r\n", "x"), upstreamhttp.ErrStrayTooLong},
		"stray chunks":     {endless("HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"), upstreamhttp.ErrStrayTooLong},
		"stray answers":    {endless("", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nok"), upstreamhttp.ErrForeignAnswer},
		"no protocol":      {endless("", "\x00\xff"), nil},
		"stray, no length": {endless("HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", "x"), upstreamhttp.ErrForeignAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			pool := upstreamhttp.NewPool(upstreamhttp.Options{})
			address := serveRaw(t, c.respond)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			started := time.Now()
			_, err := pool.Do(context.Background(), address, request(deadline))
			runtime.ReadMemStats(&after)
			assert.Assert(t, err != nil)
			if c.cause != nil {
				assert.ErrorIs(t, err, c.cause)
			}
			assert.Assert(t, time.Since(started) < deadline/2, "ended after %s", time.Since(started))
			allocated := after.TotalAlloc - before.TotalAlloc
			assert.Assert(t, allocated < allocBound, "%d bytes were allocated", allocated)
		})
	}
}

// Guards against chunk extensions and trailers without end, which hide in a body whose
// header was sound.
func TestEndlessFramingIsBounded(t *testing.T) {
	const allocBound = 4 << 20
	head := "HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, respond := range map[string]func(io.Writer){
		"chunk extension": endless(head+"4;x=", "y"),
		"extensions":      endless(head, "1;"+strings.Repeat("e", 1000)+"\r\na\r\n"),
		"trailer line":    endless(head+"0\r\nX-T: ", "y"),
		"trailer lines":   endless(head+"0\r\n", "X-T: y\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			pool := upstreamhttp.NewPool(upstreamhttp.Options{})
			a, err := pool.Do(context.Background(), serveRaw(t, respond), request(5*time.Second))
			assert.NilError(t, err)
			defer a.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			n, err := io.Copy(io.Discard, a)
			runtime.ReadMemStats(&after)
			assert.Assert(t, err != nil, "%d bytes were taken for a complete body", n)
			assert.Assert(t, after.TotalAlloc-before.TotalAlloc < allocBound)
		})
	}
}

// Guards against an answer to an earlier request, sent a second time and late, that
// the next request on the connection takes for its own: before that request is written
// and after, whole, in two parts, and in one segment with the right answer.
func TestSecondCopyOfAnAnswer(t *testing.T) {
	answer := func(id string) string {
		return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 4\r\n\r\n" + (id + "....")[:4]
	}
	for name, second := range map[string]func(io.Writer){
		"at once": func(w io.Writer) { _, _ = io.WriteString(w, answer("r1")) },
		"in two parts": func(w io.Writer) {
			_, _ = io.WriteString(w, answer("r1")[:20])
			time.Sleep(30 * time.Millisecond)
			_, _ = io.WriteString(w, answer("r1")[20:])
		},
		"without an id": func(w io.Writer) { _, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nr1..") },
		"not at all":    func(io.Writer) {},
	} {
		for _, late := range []time.Duration{0, 20 * time.Millisecond} {
			t.Run(name, func(t *testing.T) {
				requests := 0
				address := serveRequests(t, func(w io.Writer, id string) {
					requests++
					if requests == 2 {
						second(w) // crosses the second request
					}
					_, _ = io.WriteString(w, answer(id))
					if requests == 1 && late > 0 {
						time.Sleep(late)
						second(w) // arrives while the connection is idle
					}
				})
				pool := upstreamhttp.NewPool(upstreamhttp.Options{})
				for _, id := range []string{"r1", "r2", "r3"} {
					r := request(time.Second)
					r.Header.Set("X-Id", id)
					r.Mine = func(h http.Header) bool { return h.Get("X-Id") == id }
					a, err := pool.Do(context.Background(), address, r)
					assert.NilError(t, err)
					body, err := io.ReadAll(a)
					assert.NilError(t, err)
					assert.Equal(t, string(body), (id + "....")[:4])
					a.Close()
					time.Sleep(3 * late)
				}
			})
		}
	}
}

// serveRequests starts an upstream that runs respond for each request, with its id.
// Connections share no state but what respond has.
func serveRequests(t testing.TB, respond func(w io.Writer, id string)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					break
				}
				respond(c, r.Header.Get("X-Id"))
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}
