package usage

import "net/netip"

// Kind is what a Message is for.
type Kind uint8

const (
	// KindCounts is a part of the counts of an origin in a window.
	KindCounts Kind = iota + 1
	// KindCopy is the same; its sender wants to know what the receiver holds of the origin.
	KindCopy
	// KindHeld says what the sender holds of an origin.
	KindHeld
	// KindQuery asks for the counts of a window.
	KindQuery
	// KindAnswer says which counts of a window the sender holds, after the window has ended
	// by its clock.
	KindAnswer
)

const (
	// maxSenderBytes bounds the address of a sender.
	maxSenderBytes = 64
	// maxCountBytes bounds the encoded counts in a message. With the sender and the other
	// fields it stays under the 1,400 bytes of a datagram.
	maxCountBytes = 1200
	// countOverhead is the most that a count takes beside the name: two heads and an
	// integer of 32 bits.
	countOverhead = 9
	// maxHeld bounds the totals in a message, of up to 28 bytes each. A daemon keeps copies of
	// about two others.
	maxHeld = 40
	// maxWanted bounds the origins that are asked for, of up to 9 bytes each.
	maxWanted = 64
	// maxMessageCounts bounds the counts that are taken from a message.
	maxMessageCounts = 512
)

// Held is the total of the counts that a daemon holds of an origin in a window.
type Held struct {
	_      struct{} `cbor:",toarray"`
	Origin Origin
	Window int64
	Total  int64
}

// Message is the content of one datagram. The number of its elements differs from that
// of the other datagrams between daemons.
type Message struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	// Sender is the address at which the sender receives datagrams.
	Sender string
	Window int64
	// Origin is whose counts these are, or whose are held.
	Origin Origin
	Counts []CustomerCount
	Held   []Held
	// Wanted are the origins whose counts a query asks for. None means the receiver's own.
	Wanted []Origin
}

// Datagram is a message and the address of its receiver.
type Datagram struct {
	To      string
	Message *Message
}

// Valid reports whether the parts of a message are within their bounds.
func (m *Message) Valid() bool {
	// Answers go to the sender, whose address must not have to be looked up.
	_, err := netip.ParseAddrPort(m.Sender)
	return err == nil && m.Kind >= KindCounts && m.Kind <= KindAnswer && len(m.Sender) <= maxSenderBytes &&
		len(m.Counts) <= maxMessageCounts && len(m.Held) <= maxHeld && len(m.Wanted) <= maxWanted
}

// countMessages returns the counts of an origin in a window, divided into messages that
// fit into datagrams.
func countMessages(sender string, l *Ledger, window int64, origin Origin) []*Message {
	var out []*Message
	size := 0
	for _, c := range l.Counts(window, origin) {
		bytes := len(c.Customer) + countOverhead
		if len(out) == 0 || size+bytes > maxCountBytes {
			out = append(out, &Message{Kind: KindCounts, Sender: sender, Window: window, Origin: origin})
			size = 0
		}
		m := out[len(out)-1]
		m.Counts = append(m.Counts, c)
		size += bytes
	}
	return out
}
