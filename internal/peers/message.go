package peers

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// ageUnit is the unit of ages in a message.
const ageUnit = 50 * time.Millisecond

// Demand is the work that one start of a daemon brings to a service.
type Demand struct {
	_ struct{} `cbor:",toarray"`
	// Origin is a hash of the daemon and its start. A daemon that starts again
	// counts twice until its earlier demand expires.
	Origin uint32
	// Seq orders the demands of one origin.
	Seq uint32
	// Interactive and Other are engine time per second, in milliseconds.
	Interactive uint32
	Other       uint32
}

// Service is the demand for one service.
type Service struct {
	_       struct{} `cbor:",toarray"`
	Name    uint32   // hash
	Demands []Demand
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
	Peers    []string
	Services []Service
	Loads    []Load
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
