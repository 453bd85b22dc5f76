package hostile

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/standin/process"
)

const (
	// callers is the number of hostile callers at once.
	callers = 600
	// attackTime is how long they go on. It is above the time that a header may take.
	attackTime = 7 * time.Second
	// headerBytes is the size of a header, just under the limit of the configuration.
	headerBytes = 64_000

	requestLine = "GET /x HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: h\r\n"
)

// lines repeats lines up to headerBytes. Each line is made from its number.
func lines(line func(i int) string) string {
	var b strings.Builder
	b.WriteString(requestLine)
	for i := 0; b.Len() < headerBytes; i++ {
		b.WriteString(line(i))
	}
	return b.String()
}

// attack is what one kind of hostile caller does with a new connection.
type attack struct {
	name string
	// send is written at once, and then repeat until the connection ends. Empty means
	// nothing.
	send, repeat string
	// pause is the time between two repetitions.
	pause time.Duration
	// noRead leaves the responses unread.
	noRead bool
}

func attacks() []attack {
	shortLine := func(i int) string { return fmt.Sprintf("%04x:\r\n", i) }
	trailerNames := func() string {
		var b strings.Builder
		b.WriteString("POST /x HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: h\r\nTransfer-Encoding: chunked\r\nTrailer: a")
		for i := 0; b.Len() < headerBytes; i++ {
			fmt.Fprintf(&b, ",%04x", i)
		}
		return b.String() + "\r\n\r\n"
	}
	drip := 500 * time.Millisecond
	return []attack{
		{name: "complete_short_lines", send: lines(shortLine) + "\r\n"},
		{name: "unfinished_short_lines", send: lines(shortLine)},
		{name: "complete_lines", send: lines(func(i int) string { return fmt.Sprintf("X-%04d: %0120d\r\n", i, i) }) + "\r\n"},
		{name: "unfinished_lines", send: lines(func(i int) string { return fmt.Sprintf("X-%04d: %0120d\r\n", i, i) })},
		{name: "folded_lines", send: requestLine + "X-A: b\r\n" + strings.Repeat(" v\r\n", headerBytes/4)},
		{name: "lines_without_colon", send: lines(func(i int) string { return fmt.Sprintf("%04x\r\n", i) })},
		{name: "empty_values", send: requestLine + strings.Repeat("a:\n", headerBytes/3)},
		{name: "long_names", send: requestLine + strings.Repeat(strings.Repeat("n", 4000)+": v\r\n", headerBytes/4005)},
		{name: "one_endless_line", send: requestLine + "X-A: ", repeat: strings.Repeat("v", 4096)},
		{name: "dripping_header", send: requestLine, repeat: "X-A: b\r\n", pause: drip},
		{name: "empty_lines", repeat: strings.Repeat("\r\n", 2048)},
		{name: "dripping_empty_lines", repeat: "\r\n", pause: drip},
		{
			name: "empty_lines_after_request", send: "POST /x HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: h\r\nContent-Length: 1\r\n\r\nx",
			repeat: "\r\n", pause: drip,
		},
		{
			name: "dripping_body", send: "POST /x HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: h\r\nContent-Length: 1000000\r\n\r\n",
			repeat: "x", pause: drip,
		},
		{
			name: "dripping_chunks", send: "POST /x HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: h\r\nTransfer-Encoding: chunked\r\n\r\n",
			repeat: "1\r\nx\r\n", pause: drip,
		},
		{name: "trailer_names", send: trailerNames()},
		{name: "opened_and_left"},
		{name: "pipelined_without_reading", repeat: strings.Repeat(requestLine+"\r\n", 50), noRead: true},
	}
}

// run plays one caller until the end: it connects again when its connection has ended.
func (a attack) run(address string, end time.Time) {
	for time.Now().Before(end) {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		a.play(c, end)
		_ = c.Close() // the daemon may have closed it
		time.Sleep(50 * time.Millisecond)
	}
}

func (a attack) play(c net.Conn, end time.Time) {
	_ = c.SetDeadline(end) // a closed connection fails at the next call
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if a.noRead {
			time.Sleep(time.Until(end))
			return
		}
		_, _ = io.Copy(io.Discard, c) // the caller only watches for the end
	}()
	if _, err := io.WriteString(c, a.send); err != nil {
		return
	}
	for a.repeat != "" {
		select {
		case <-ended:
			return
		default:
		}
		if _, err := io.WriteString(c, a.repeat); err != nil {
			return
		}
		time.Sleep(a.pause)
	}
	<-ended
}

func build(t *testing.T) string {
	t.Helper()
	if os.Getenv("AUBURNDYKE_HOSTILE") == "" {
		t.Skip("AUBURNDYKE_HOSTILE is not set")
	}
	binary, err := process.Build(t.Context(), t.TempDir())
	assert.NilError(t, err)
	return binary
}

// Guards against callers that make the daemon exceed its VM's memory or descriptors, end
// it, or keep ordinary callers out for good.
func TestHostileCallers(t *testing.T) {
	binary := build(t)
	for _, a := range attacks() {
		t.Run(a.name, func(t *testing.T) {
			d := start(t, binary)
			end := time.Now().Add(attackTime)
			var all sync.WaitGroup
			for range callers {
				all.Go(func() { a.run(d.callers, end) })
			}
			all.Wait()
			d.check()
		})
	}
}

// Guards against a limit on the number of lines, and against an account of memory, that a
// single legal request reaches.
func TestSingleLegalHeader(t *testing.T) {
	d := start(t, build(t))
	for name, header := range map[string]string{
		"short lines":    lines(func(i int) string { return fmt.Sprintf("%04x:\r\n", i) }),
		"shortest lines": requestLine + strings.Repeat("a:\n", headerBytes/3),
		"one line":       requestLine + "X-A: " + strings.Repeat("v", headerBytes) + "\r\n",
		"folded lines":   requestLine + "X-A: b\r\n" + strings.Repeat(" v\r\n", headerBytes/4),
	} {
		c, err := net.Dial("tcp", d.callers)
		assert.NilError(t, err)
		assert.NilError(t, c.SetDeadline(time.Now().Add(awaitTime)))
		_, err = io.WriteString(c, header+"\r\n")
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err, name)
		var body bytes.Buffer
		_, err = body.ReadFrom(resp.Body)
		assert.NilError(t, err, name)
		assert.Check(t, resp.StatusCode == http.StatusOK, "%s: %s %s", name, resp.Status, body.String())
		assert.NilError(t, c.Close())
	}
	d.check()
}
