package peers

import (
	"maps"
	"net"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/origin"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// Streams is what daemons tell each other of where streams began. It is implemented by
// origin.Keeper.
type Streams interface {
	// SetPeers receives the addresses of the known daemons, of those of the daemon's zone,
	// and the number of daemons with this one. Zero means that it is not known.
	SetPeers(all, zone []string, fleet int)
	// Receive handles a peer's message.
	Receive(m *origin.Message)
	// Outgoing returns the datagrams to send.
	Outgoing() []origin.Datagram
	// Updated receives a value when there are datagrams to send.
	Updated() <-chan struct{}
}

// encodeStreams returns a datagram with a question about streams or its answer.
func encodeStreams(m *origin.Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "encoding where streams began")
	}
	if len(data) > maxMessageBytes {
		return nil, eris.Errorf("message about streams has %d bytes, more than the limit of %d", len(data), maxMessageBytes)
	}
	return data, nil
}

// decodeStreams decodes a question about streams or its answer. It returns false for other
// datagrams, which have other numbers of elements.
func decodeStreams(data []byte) (*origin.Message, bool) {
	var m origin.Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, false
	}
	return &m, true
}

// knownDaemons returns the addresses of the daemons that were heard from or are in the
// directory, of those of the zone, and the number of daemons with this one. That is zero
// until a reading of the directory has found the daemon's own row: daemons that started
// together may have been missing from an earlier one as well.
func (n *Node) knownDaemons() (all, zone []string, fleet int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := make(map[string]struct{}, len(n.lastHeard))
	for address := range n.state.peers {
		known[address] = struct{}{}
	}
	for address := range n.lastHeard {
		known[address] = struct{}{}
	}
	if n.inDirectory {
		fleet = max(n.directorySize, len(known)+1)
	}
	return slices.Collect(maps.Keys(known)), slices.Clone(n.zonePeers), fleet
}

// updateStreamPeers passes the known daemons on to the streams.
func (n *Node) updateStreamPeers() {
	if n.Streams != nil {
		n.Streams.SetPeers(n.knownDaemons())
	}
}

// sendStreams sends the questions about streams and answers that are due.
func (n *Node) sendStreams(socket *net.UDPConn) {
	if n.Streams == nil {
		return
	}
	for _, d := range n.Streams.Outgoing() {
		data, err := encodeStreams(d.Message)
		if err != nil {
			n.Log.Event(telemetry.PeerMessageRejected).Err(err).Send()
			continue
		}
		n.sendTo(socket, d.To, data)
	}
}
