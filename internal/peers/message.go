package peers

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// ageUnit is the unit of ages in a message.
const ageUnit = 50 * time.Millisecond

// Demand is the work that one daemon brings to a service, as of its sequence
// number.
type Demand struct {
	_ struct{} `cbor:",toarray"`
	// Origin and Service are hashes of the names.
	Origin  uint32
	Service uint32
	// Boot and Seq order the demands of one origin. A later start has a higher
	// Boot.
	Boot uint64
	Seq  uint32
	// Interactive and Other are engine time per second, in milliseconds.
	Interactive uint32
	Other       uint32
}

// Load is the load that an upstream stated.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Upstream uint32   // hash of the upstream's id
	Running  uint32
	Waiting  uint32
	// Age is how old the statement is, in units of ageUnit.
	Age uint32
}

// Message is one datagram.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Sender is the address at which the sender receives.
	Sender string
	// Peers are addresses of other daemons that were heard lately.
	Peers   []string
	Demands []Demand
	Loads   []Load
}

// maxMessageBytes keeps a message within one Ethernet frame.
const maxMessageBytes = 1400

func encode(m *Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "encoding a message to a peer")
	}
	if len(data) > maxMessageBytes {
		return nil, eris.Errorf("message to a peer has %d bytes, over %d", len(data), maxMessageBytes)
	}
	return data, nil
}

func decode(data []byte) (*Message, error) {
	var m Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, eris.Wrap(err, "decoding a message of a peer")
	}
	return &m, nil
}
