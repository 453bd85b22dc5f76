package connlimit

import "bytes"

// Memory of a header from its first byte to the end of its request, as net/http decodes
// it and the relay copies it for an upstream. TestCostCoversDecodedHeaders compares the
// sum with what headers of several shapes take.
const (
	// lineCost is for one line: its entries in the decoded and in the forwarded map, each
	// with room for growth, its entry in the sorted list from which the header is written
	// and the allocations of its name and value.
	lineCost = 256
	// commaCost is for one element of a list: of names of trailers, which net/http keeps
	// in a map, or of parts of a prompt.
	commaCost = 96
	// byteCost is for one byte: in the read buffer, in the decoded name or value, and in
	// the growing buffer in which the forwarded header is written.
	byteCost = 4
)

// maxRest is the number of bytes behind a header's end that the server may have read:
// its read buffer and one byte of a background read, with a margin.
const maxRest = 8 << 10

// Meter measures the header that arrives on one connection, by the bytes that the server
// reads from it. The zero value expects a header. It is not safe for concurrent use.
type Meter struct {
	count count
	// lineBytes is the length of the unfinished line, which is blank if it consists of
	// nothing or of a carriage return.
	lineBytes int
	blank     bool
	// text is set once the header has a line that is not blank.
	text bool
	// complete is set when the header has ended. rest is what followed it.
	complete bool
	rest     []byte
	// body is the number of bytes of the request's body that have not arrived.
	body int64
	// chunked means that the length of the request's body is not known.
	chunked bool
	// recent and earlier count what arrived last while the length was not known: together
	// at least the last maxRest bytes.
	recent, earlier count
}

type count struct{ bytes, lines, commas int }

func (c *count) add(p []byte) {
	c.bytes += len(p)
	c.lines += bytes.Count(p, []byte{'\n'})
	c.commas += bytes.Count(p, []byte{','})
}

func (c count) cost() int64 {
	return int64(c.bytes)*byteCost + int64(c.lines)*lineCost + int64(c.commas)*commaCost
}

// Cost returns the memory in bytes that the header takes, as far as it has arrived.
func (m *Meter) Cost() int64 { return m.count.cost() }

// MaxCost returns the largest cost of a header of n bytes.
func MaxCost(n int) int64 {
	// The shortest line is a name of one byte, a colon and a line feed.
	return max(count{bytes: n, lines: n / 3}.cost(), count{bytes: n, commas: n}.cost())
}

// Add adds bytes that have arrived. While a request is served, these belong to its body
// or to the next request.
func (m *Meter) Add(p []byte) {
	if m.chunked {
		if m.recent.bytes+len(p) > maxRest {
			m.earlier, m.recent = m.recent, count{}
		}
		m.recent.add(p[max(len(p)-maxRest, 0):])
		return
	}
	skipped := min(m.body, int64(len(p)))
	m.body -= skipped
	p = p[skipped:]
	if m.complete {
		if len(m.rest)+len(p) <= maxRest {
			m.rest = append(m.rest, p...)
			return
		}
		// The server reads on, so the header has not ended.
		m.complete = false
		m.count.add(m.rest)
		m.rest = nil
	}
	m.addHeader(p)
}

// addHeader adds bytes of the header up to its end.
func (m *Meter) addHeader(p []byte) {
	for len(p) > 0 {
		end := bytes.IndexByte(p, '\n') + 1
		line := p
		if end > 0 {
			line = p[:end]
		}
		p = p[len(line):]
		m.count.add(line)
		if end == 0 {
			m.blank = m.blankWith(line)
			m.lineBytes += len(line)
			return
		}
		blank := m.blankWith(line[:end-1])
		m.lineBytes, m.blank = 0, false
		if blank && m.text {
			m.complete = true
			m.rest = append(m.rest, p...)
			return
		}
		m.text = m.text || !blank
	}
}

// blankWith reports whether the unfinished line and more of it are blank.
func (m *Meter) blankWith(more []byte) bool {
	switch m.lineBytes {
	case 0:
		return len(more) == 0 || len(more) == 1 && more[0] == '\r'
	case 1:
		return m.blank && len(more) == 0
	default:
		return false
	}
}

// Serve records that the server has decoded the header. length is that of the body, or
// -1 if it is not known.
func (m *Meter) Serve(length int64) {
	rest := m.rest
	*m = Meter{body: max(length, 0), chunked: length < 0}
	m.Add(rest)
}

// Next records that the response has ended. What has arrived since the request's body
// belongs to the next header.
func (m *Meter) Next() {
	if m.chunked {
		*m = Meter{count: count{
			m.recent.bytes + m.earlier.bytes, m.recent.lines + m.earlier.lines, m.recent.commas + m.earlier.commas,
		}}
	}
	m.body = 0 // the server closes connections with a body that it has not read
}
