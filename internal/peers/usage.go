package peers

import (
	"net"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/telemetry"
	"github.com/auburndyke/auburndyke/internal/usage"
)

// Usage is what daemons tell each other of the usage of customers.
type Usage interface {
	// SetPeers receives the addresses of the known daemons, and of those of the daemon's
	// zone.
	SetPeers(all, zone []string)
	// Receive handles a peer's message.
	Receive(m *usage.Message)
	// Outgoing returns the datagrams to send.
	Outgoing() []usage.Datagram
	// Updated receives a value when there are datagrams to send.
	Updated() <-chan struct{}
}

// encodeUsage returns a datagram with usage.
func encodeUsage(m *usage.Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "encoding usage")
	}
	if len(data) > maxMessageBytes {
		return nil, eris.Errorf("usage has %d bytes, more than the limit of %d", len(data), maxMessageBytes)
	}
	return data, nil
}

// decodeUsage decodes a datagram with usage. It returns false for other datagrams, which
// have other numbers of elements.
func decodeUsage(data []byte) (*usage.Message, bool) {
	var m usage.Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, false
	}
	return &m, true
}

// updateUsagePeers passes the known daemons on to the usage.
func (n *Node) updateUsagePeers() {
	if n.Usage == nil {
		return
	}
	all, zone, _ := n.knownDaemons()
	n.Usage.SetPeers(all, zone)
}

// sendUsage sends the datagrams with usage that are due.
func (n *Node) sendUsage(socket *net.UDPConn) {
	if n.Usage == nil {
		return
	}
	for _, d := range n.Usage.Outgoing() {
		data, err := encodeUsage(d.Message)
		if err != nil {
			n.Log.Event(telemetry.PeerMessageRejected).Err(err).Send()
			continue
		}
		n.sendTo(socket, d.To, data)
	}
}
