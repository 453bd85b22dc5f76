package relay

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/memlimit"
)

// Guards against events that are changed, lost or joined while they are read, against an
// unfinished event that counts as a whole one, and against events without a bound.
func FuzzReadEvent(f *testing.F) {
	for _, seed := range []string{
		"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n", ": comment\n\n\n\n", "id: 1\ndata: unfinished", "\r\n", "data\n\rdata\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := &eventReader{reader: bufio.NewReaderSize(bytes.NewReader(data), 16), memory: bodyMemory{&memlimit.Limit{}}}
		defer func() {
			reader.release()
			assert.Equal(t, reader.memory.Used(), int64(0))
		}()
		var read []byte
		for {
			event, err := reader.next()
			assert.Assert(t, len(event) <= maxEventBytes+16)
			if err == io.EOF && len(event) == 0 {
				assert.Equal(t, string(read), string(data), "the stream ended before its bytes")
				return
			}
			if err != nil {
				return
			}
			read = append(read, event...)
			assert.Assert(t, bytes.HasPrefix(data, read))
			assert.Assert(t, bytes.HasSuffix(event, []byte("\n")))
			lines := bytes.SplitAfter(event, []byte("\n"))
			for _, line := range lines[:len(lines)-2] {
				assert.Assert(t, len(bytes.TrimRight(line, "\r\n")) > 0, "two events joined: %q", event)
			}
			eventID(event)
			isFiller(event)
		}
	})
}
