package upstreamhttp

import (
	"errors"
	"io"
)

const (
	// maxHeaderBytes bounds the header of an answer, with all informational
	// answers before it.
	maxHeaderBytes = 32 << 10
	// maxStrayBytes bounds the body of an answer to another request, which is
	// skipped while the caller waits.
	maxStrayBytes = 256 << 10
)

var (
	// ErrHeaderTooLong means that the header of an answer exceeds maxHeaderBytes.
	ErrHeaderTooLong = errors.New("answer's header exceeds the size limit")
	// ErrStrayTooLong means that an answer to another request exceeds
	// maxStrayBytes.
	ErrStrayTooLong = errors.New("answer to another request exceeds the size limit")
)

// boundedReader reads from a connection until a limit is used up. It counts what
// a buffered reader behind it reads ahead, which is at most one buffer.
type boundedReader struct {
	inner io.Reader
	// left is the number of bytes that may be read if exceeded is set.
	left     int
	exceeded error
	// hit is set if a read was beyond the limit.
	hit bool
}

// cause returns the exceeded limit if err comes from a read beyond it. Parsers report
// some cut lines as malformed.
func (r *boundedReader) cause(err error) error {
	if r.hit {
		return r.exceeded
	}
	return err
}

// limit lets n more bytes be read, after which reads return exceeded.
func (r *boundedReader) limit(n int, exceeded error) {
	r.left, r.exceeded, r.hit = n, exceeded, false
}

// unlimit removes the limit.
func (r *boundedReader) unlimit() { r.exceeded = nil }

func (r *boundedReader) Read(p []byte) (int, error) {
	if r.exceeded == nil {
		return r.inner.Read(p)
	}
	if r.left <= 0 {
		r.hit = true
		return 0, r.exceeded
	}
	n, err := r.inner.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}
