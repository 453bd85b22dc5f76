package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const (
	// eventBufferSize is the size of the read buffer for events, and what a stream may keep
	// of an event, and beside it, without reserving memory.
	eventBufferSize = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 256 << 10
)

// errNoEventMemory means that unfinished events use all the memory for responses.
var errNoEventMemory = errors.New("unfinished responses use all the memory reserved for them")

// eventReader reads the events of a stream. The memory of long events counts towards a
// limit for all streams together.
type eventReader struct {
	reader *bufio.Reader
	memory bodyMemory
	event  []byte
	// reserved is the memory that is reserved for event.
	reserved int64
	// kept is the number of bytes that the user keeps, and keptReserved the memory that is
	// reserved for them.
	kept, keptReserved int64
}

func newEventReader(r io.Reader, memory bodyMemory) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, eventBufferSize), memory: memory}
}

// next returns the next event with its terminating blank line, which is valid until the
// next call. At the end of the stream it returns io.EOF and an empty event.
func (r *eventReader) next() ([]byte, error) {
	r.event = r.event[:0]
	if r.reserved > 0 { // a long event is rare
		r.event = nil
		r.memory.Release(r.reserved)
		r.reserved = 0
	}
	for {
		line, err := r.reader.ReadSlice('\n')
		if grow := r.grow(len(line)); grow != nil {
			return r.event, grow
		}
		r.event = append(r.event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err == io.EOF && len(r.event) > 0:
			return r.event, io.ErrUnexpectedEOF
		case err != nil:
			return r.event, err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return r.event, nil
		}
		if len(r.event) > maxEventBytes {
			return r.event, bufio.ErrTooLong
		}
	}
}

// grow makes room for n more bytes of the event.
func (r *eventReader) grow(n int) error {
	needed := len(r.event) + n
	if needed <= cap(r.event) {
		return nil
	}
	size := max(2*cap(r.event), needed)
	if size > eventBufferSize {
		if !r.memory.Reserve(int64(size) - r.reserved) {
			return errNoEventMemory
		}
		r.reserved = int64(size)
	}
	r.event = append(make([]byte, 0, size), r.event...)
	return nil
}

// keep reserves memory for n bytes until release is called.
func (r *eventReader) keep(n int) error {
	r.kept += int64(n)
	needed := max(r.kept-eventBufferSize, 0) - r.keptReserved
	if needed > 0 && !r.memory.Reserve(needed) {
		return errNoEventMemory
	}
	r.keptReserved += needed
	return nil
}

// release returns all reserved memory.
func (r *eventReader) release() {
	r.memory.Release(r.reserved + r.keptReserved)
	r.reserved, r.kept, r.keptReserved = 0, 0, 0
}

// isFiller reports whether a block of lines has no field: it consists of comments and
// blank lines, which keep a connection open but are no event.
func isFiller(block []byte) bool {
	for line := range bytes.Lines(block) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// eventID returns the id field of an event, or an empty string.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}
