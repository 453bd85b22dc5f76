package relay

import (
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

var (
	errTooLarge = eris.New("body exceeds the limit")
	errNoMemory = eris.New("bodies in progress take all the memory for them")
)

// bodyMemory bounds the bytes of all request bodies that are held at one time.
// A body is kept until its request ends, since it may be sent again.
type bodyMemory struct {
	limit atomic.Int64 // zero means no bound
	used  atomic.Int64
}

// take reserves n bytes. It reports false if they are not to be had.
func (m *bodyMemory) take(n int64) bool {
	used := m.used.Add(n)
	if limit := m.limit.Load(); limit > 0 && used > limit {
		m.used.Add(-n)
		return false
	}
	return true
}

func (m *bodyMemory) give(n int64) { m.used.Add(-n) }

// read reads a body of at most limit bytes; length is -1 if unknown. The
// returned number of bytes stays reserved, also after an error.
func (m *bodyMemory) read(body io.Reader, length, limit int64) (data []byte, reserved int64, err error) {
	if length > 0 {
		if !m.take(length) {
			return nil, 0, errNoMemory
		}
		data = make([]byte, length)
		_, err = io.ReadFull(body, data)
		return data, length, err
	}
	r := &reservingReader{inner: io.LimitReader(body, limit+1), memory: m}
	data, err = io.ReadAll(r)
	if err == nil && int64(len(data)) > limit {
		err = errTooLarge
	}
	return data, r.reserved, err
}

// reservingReader reserves memory for what it reads.
type reservingReader struct {
	inner    io.Reader
	memory   *bodyMemory
	reserved int64
}

func (r *reservingReader) Read(p []byte) (int, error) {
	n, err := r.inner.Read(p)
	if n > 0 {
		if !r.memory.take(int64(n)) {
			return 0, errNoMemory
		}
		r.reserved += int64(n)
	}
	return n, err
}
