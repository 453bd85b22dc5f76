package upstreamhttp

import (
	"errors"
	"io"

	"github.com/auburndyke/auburndyke/internal/memlimit"
)

const (
	// maxHeaderBytes bounds the header of an answer, with all informational
	// answers before it.
	maxHeaderBytes = 32 << 10
	// maxStrayBytes bounds the body of an answer to another request, which is
	// skipped while the caller waits.
	maxStrayBytes = 256 << 10
	// freeHeaderBytes is the part of a header for which no memory is reserved. It covers
	// usual headers with what is read ahead of their bodies.
	freeHeaderBytes = 2 * bufferBytes
	// headerMemory is the memory that a byte of a header takes, while it is read and as
	// fields.
	headerMemory = 2
)

var (
	// ErrHeaderTooLong means that the header of an answer exceeds maxHeaderBytes.
	ErrHeaderTooLong = errors.New("answer's header exceeds the size limit")
	// ErrStrayTooLong means that an answer to another request exceeds
	// maxStrayBytes.
	ErrStrayTooLong = errors.New("answer to another request exceeds the size limit")
	// ErrNoMemory means that the long headers of all answers together exceed the memory
	// for them.
	ErrNoMemory = errors.New("long headers use all the memory reserved for them")
)

// boundedReader reads from a connection until a limit is used up. It counts what
// a buffered reader behind it reads ahead, which is at most one buffer.
type boundedReader struct {
	inner io.Reader
	// left is the number of bytes that may be read if exceeded is set, and keeps tells
	// that they are kept in memory.
	left     int
	exceeded error
	keeps    bool
	// hit is set if a read was beyond the limit.
	hit bool
	// memory bounds what all readers keep. kept is the number of bytes that this one has
	// kept since the last release, and reserved the memory for them.
	memory   *memlimit.Limit
	kept     int
	reserved int64
}

// cause returns the exceeded limit if err comes from a read beyond it. Parsers report
// some cut lines as malformed.
func (r *boundedReader) cause(err error) error {
	if r.hit {
		return r.exceeded
	}
	return err
}

// keep reserves the memory for n more bytes.
func (r *boundedReader) keep(n int) error {
	r.kept += n
	needed := int64(headerMemory*max(r.kept-freeHeaderBytes, 0)) - r.reserved
	if needed <= 0 {
		return nil
	}
	if !r.memory.Reserve(needed) {
		r.hit, r.exceeded = true, ErrNoMemory
		return ErrNoMemory
	}
	r.reserved += needed
	return nil
}

// release returns the reserved memory.
func (r *boundedReader) release() {
	r.memory.Release(r.reserved)
	r.kept, r.reserved = 0, 0
}

// limit lets n more bytes be read, after which reads return exceeded. keeps tells that
// they are kept in memory until release is called.
func (r *boundedReader) limit(n int, exceeded error, keeps bool) {
	r.left, r.exceeded, r.keeps, r.hit = n, exceeded, keeps, false
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
	if r.keeps && err == nil {
		err = r.keep(n)
	}
	return n, err
}
