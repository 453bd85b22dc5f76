package relay

import (
	"io"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/memlimit"
)

var (
	errTooLarge = eris.New("request body exceeds the size limit")
	errNoMemory = eris.New("request bodies in progress use all the memory reserved for bodies")
)

// minReadBytes is the size of the first buffer for a response.
const minReadBytes = 4 << 10

// bodyMemory bounds the total size of bodies in memory: of requests, which are kept
// until the request ends since it may be retried, and of what is kept of responses until
// it is relayed.
type bodyMemory struct{ *memlimit.Limit }

// read reads a body of at most limit bytes; length is -1 if unknown. The
// returned number of bytes stays reserved, also after an error.
func (m bodyMemory) read(body io.Reader, length, limit int64) (data []byte, reserved int64, err error) {
	if length > 0 {
		if !m.Reserve(length) {
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
	memory   bodyMemory
	reserved int64
}

func (r *reservingReader) Read(p []byte) (int, error) {
	n, err := r.inner.Read(p)
	if n > 0 {
		if !r.memory.Reserve(int64(n)) {
			return 0, errNoMemory
		}
		r.reserved += int64(n)
	}
	return n, err
}

// readUpTo reads a body to its end. If it is longer than limit bytes, or no memory is
// left for it, readUpTo returns what it has read and errTooLarge. The returned number
// of bytes stays reserved, also after an error.
func (m bodyMemory) readUpTo(body io.Reader, limit int) (data []byte, reserved int64, err error) {
	for {
		if len(data) == cap(data) {
			grown := min(max(2*cap(data), minReadBytes), limit)
			if len(data) >= limit || !m.Reserve(int64(grown-cap(data))) {
				return data, reserved, errTooLarge
			}
			reserved += int64(grown - cap(data))
			data = append(make([]byte, 0, grown), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, reserved, nil
		}
		if err != nil {
			return data, reserved, err
		}
	}
}
