package peers

import (
	"encoding/binary"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// ageUnit is the unit of ages in a message.
const ageUnit = 50 * time.Millisecond

// WorkReport is the work that one start of a daemon brings to a service.
type WorkReport struct {
	// Origin is a hash of the daemon and its start. A daemon that starts again
	// counts twice until its earlier demand expires.
	Origin uint32
	// Seq orders the demands of one origin; it wraps around.
	Seq uint16
	// Interactive and Other are engine time per second, in milliseconds.
	Interactive uint16
	Other       uint16
	// Age is how old the demand is, in units of ageUnit.
	Age uint8
}

// newer reports whether a sequence number is behind another one.
func newer(a, b uint16) bool { return int16(a-b) > 0 }

// demandBytes is the size of a demand in a message.
const demandBytes = 11

// packDemands writes demands with a fixed size, of which a datagram holds
// nearly twice as many as in CBOR.
func packDemands(demands []WorkReport) []byte {
	out := make([]byte, 0, len(demands)*demandBytes)
	for _, d := range demands {
		out = binary.BigEndian.AppendUint32(out, d.Origin)
		out = binary.BigEndian.AppendUint16(out, d.Seq)
		out = binary.BigEndian.AppendUint16(out, d.Interactive)
		out = binary.BigEndian.AppendUint16(out, d.Other)
		out = append(out, d.Age)
	}
	return out
}

// unpackDemands reads what packDemands wrote; an incomplete last demand is
// left out.
func unpackDemands(data []byte) []WorkReport {
	var out []WorkReport
	for ; len(data) >= demandBytes; data = data[demandBytes:] {
		out = append(out, WorkReport{
			Origin:      binary.BigEndian.Uint32(data),
			Seq:         binary.BigEndian.Uint16(data[4:]),
			Interactive: binary.BigEndian.Uint16(data[6:]),
			Other:       binary.BigEndian.Uint16(data[8:]),
			Age:         data[10],
		})
	}
	return out
}

// ServiceWork is the demand for one service.
type ServiceWork struct {
	_       struct{} `cbor:",toarray"`
	Name    uint32   // hash
	Reports []byte   // as packDemands writes them
}

// LoadReport is the load that an upstream stated.
type LoadReport struct {
	_        struct{} `cbor:",toarray"`
	Upstream uint32   // hash of the upstream's id
	Running  uint32
	Waiting  uint32
	// Age is how old the statement is, in units of ageUnit.
	Age uint32
}

// TableState is how far the sender's copy of a table reaches.
type TableState struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Changed uint64
	// AsOf is the version up to which the copy is complete, if the sender reads
	// the table for its group. Zero otherwise.
	AsOf uint64
	// From is the earliest version behind which the sender knows all changes.
	From uint64
}

// Message is one datagram.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Sender is the address at which the sender receives.
	Sender string
	// Peers are addresses of other daemons that were heard lately.
	Peers    []string
	Services []ServiceWork
	Loads    []LoadReport
	Tables   []TableState
}

// maxMessageBytes keeps a message within one Ethernet frame.
const maxMessageBytes = 1400

// encode returns a message that fits into a datagram. It leaves out the older
// half of the loads as often as it takes.
func encode(m *Message) ([]byte, error) {
	for {
		data, err := cbor.Marshal(m)
		if err != nil {
			return nil, eris.Wrap(err, "encoding a message to a peer")
		}
		if len(data) <= maxMessageBytes {
			return data, nil
		}
		if len(m.Loads) == 0 {
			return nil, eris.Errorf("message to a peer has %d bytes, over %d", len(data), maxMessageBytes)
		}
		m.Loads = m.Loads[:len(m.Loads)/2]
	}
}

func decode(data []byte) (*Message, error) {
	var m Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, eris.Wrap(err, "decoding a message of a peer")
	}
	return &m, nil
}
