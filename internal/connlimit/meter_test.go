package connlimit_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/auburndyke/auburndyke/internal/connlimit"
)

func cost(text string) int64 {
	var m connlimit.Meter
	m.Add([]byte(text))
	return m.Cost()
}

// Guards against bytes of a body that are charged as a header, and against a pipelined
// header that is not charged, wherever the bytes are divided.
func TestMeterFindsHeaders(t *testing.T) {
	const first = "\r\nPOST / HTTP/1.1\r\nA: b\r\nContent-Length: 9\r\n\r\n"
	const body = "x\n,\r\n\r\n\r\n"
	second := "GET / HTTP/1.1\nHost: h\n" + strings.Repeat("a:\n", 20) + "\n"
	rapid.Check(t, func(t *rapid.T) {
		var m connlimit.Meter
		add := func(text string) {
			for text != "" {
				n := rapid.IntRange(1, len(text)).Draw(t, "n")
				m.Add([]byte(text[:n]))
				text = text[n:]
			}
		}
		early := rapid.IntRange(0, len(body)+len(second)).Draw(t, "early")
		all := body + second
		add(first + all[:early])
		assert.Equal(t, m.Cost(), cost(first))
		m.Serve(int64(len(body)))
		rest := all[early:]
		if late := len(rest) - len(second); late > 0 {
			add(rest[:late])
			rest = rest[late:]
		}
		m.Next()
		add(rest)
		assert.Equal(t, m.Cost(), cost(second))
	})
}

// Guards against headers behind a chunked body, whose length the meter does not know,
// that are not charged because they arrived together with it.
func TestMeterChargesRestOfChunkedBody(t *testing.T) {
	next := "GET / HTTP/1.1\r\n" + strings.Repeat("a:\n", 1000)
	var m connlimit.Meter
	m.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n" + next[:1000]))
	m.Serve(-1)
	m.Add([]byte(next[1000:]))
	m.Next()
	assert.Assert(t, m.Cost() >= cost(next))
	m.Add([]byte("a:\n"))
	assert.Assert(t, m.Cost() >= cost(next+"a:\n"))
}

// Guards against a header that is taken for complete too early, so that the rest is never
// charged.
func TestMeterChargesEverythingBeforeTheRequest(t *testing.T) {
	var m connlimit.Meter
	const many = 30_000
	m.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	for range many {
		m.Add([]byte("a:\n"))
	}
	assert.Assert(t, m.Cost() > cost(strings.Repeat("a:\n", many-3000)))
}
