package engineclient

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

var errTooLong = errors.New("line or event exceeds the size limit")

// sseEvent is one server-sent event. Its slices are valid until the next call
// of next.
type sseEvent struct {
	id   []byte
	data []byte
}

// sseReader reads server-sent events with bounded memory. Fields other than
// id and data are skipped.
type sseReader struct {
	in       *bufio.Reader
	maxLine  int
	maxEvent int
	long     []byte
	id       []byte
	data     []byte
}

// sseBuffer holds several typical events, and 1,000 streams need 4 MiB.
const sseBuffer = 4 << 10

func newSSEReader(r io.Reader, maxLine, maxEvent int) *sseReader {
	return &sseReader{in: bufio.NewReaderSize(r, sseBuffer), maxLine: maxLine, maxEvent: maxEvent}
}

// next returns the next event that has data. It returns io.EOF at a clean end
// and io.ErrUnexpectedEOF inside an event.
func (s *sseReader) next() (sseEvent, error) {
	s.id = s.id[:0]
	s.data = s.data[:0]
	hasData := false
	for {
		line, err := s.line()
		if err != nil {
			if errors.Is(err, io.EOF) && (hasData || len(line) > 0) {
				err = io.ErrUnexpectedEOF
			}
			return sseEvent{}, err
		}
		if len(line) == 0 {
			if hasData {
				return sseEvent{id: s.id, data: s.data}, nil
			}
			s.id = s.id[:0]
			continue
		}
		name, value := splitField(line)
		switch string(name) {
		case "id":
			s.id = append(s.id[:0], value...)
		case "data":
			if hasData {
				s.data = append(s.data, '\n')
			}
			s.data = append(s.data, value...)
			hasData = true
		}
		if len(s.data) > s.maxEvent {
			return sseEvent{}, fmt.Errorf("event data over %d bytes: %w", s.maxEvent, errTooLong)
		}
	}
}

// line returns the next line without its end. The slice is valid until the
// next call. At the end of the input it returns the rest with io.EOF.
func (s *sseReader) line() ([]byte, error) {
	part, err := s.in.ReadSlice('\n')
	if err == nil && len(part) <= s.maxLine {
		return trimEnd(part), nil
	}
	s.long = append(s.long[:0], part...)
	for errors.Is(err, bufio.ErrBufferFull) && len(s.long) <= s.maxLine {
		part, err = s.in.ReadSlice('\n')
		s.long = append(s.long, part...)
	}
	if len(s.long) > s.maxLine {
		return nil, fmt.Errorf("line over %d bytes: %w", s.maxLine, errTooLong)
	}
	return trimEnd(s.long), err
}

func trimEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

func splitField(line []byte) (name, value []byte) {
	colon := bytes.IndexByte(line, ':')
	if colon < 0 {
		return line, nil
	}
	return line[:colon], bytes.TrimPrefix(line[colon+1:], []byte(" "))
}
