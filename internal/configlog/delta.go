package configlog

import (
	"bytes"

	"github.com/rotisserie/eris"
)

// maxDeltaBytes bounds the inserted text of a stored delta. Larger changes
// are read from the object store.
const maxDeltaBytes = 4096

// Delta replaces one stretch of a document.
type Delta struct {
	// Offset is where the replaced stretch starts, in bytes.
	Offset int `cbor:"1,keyasint" json:"offset"`
	// Remove is the length of the replaced stretch, in bytes.
	Remove int    `cbor:"2,keyasint" json:"remove"`
	Insert []byte `cbor:"3,keyasint,omitempty" json:"insert,omitempty"`
}

// DeltaBetween returns the smallest single replacement that turns from into
// to, or nil when its text exceeds maxDeltaBytes.
func DeltaBetween(from, to []byte) *Delta {
	prefix := commonPrefix(from, to)
	suffix := commonSuffix(from[prefix:], to[prefix:])
	insert := to[prefix : len(to)-suffix]
	if len(insert) > maxDeltaBytes {
		return nil
	}
	return &Delta{
		Offset: prefix,
		Remove: len(from) - prefix - suffix,
		Insert: bytes.Clone(insert),
	}
}

// Apply returns the changed document.
func (d Delta) Apply(from []byte) ([]byte, error) {
	if d.Offset < 0 || d.Remove < 0 || d.Offset > len(from)-d.Remove {
		return nil, eris.Errorf("delta replaces bytes %d to %d of a document of %d bytes", d.Offset, d.Offset+d.Remove, len(from))
	}
	to := make([]byte, 0, len(from)-d.Remove+len(d.Insert))
	to = append(to, from[:d.Offset]...)
	to = append(to, d.Insert...)
	return append(to, from[d.Offset+d.Remove:]...), nil
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[len(a)-1-i] != b[len(b)-1-i] {
			return i
		}
	}
	return n
}
