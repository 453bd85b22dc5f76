package peers

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/duty"
	"github.com/auburndyke/auburndyke/internal/quarantine"
)

// ageUnit is the unit of ages in messages.
const ageUnit = 50 * time.Millisecond

// WorkReport is the work that one process of a daemon sends to a service.
type WorkReport struct {
	// Origin is a hash of the daemon and its process. A restarted daemon counts
	// twice until the report of its earlier process expires.
	Origin uint32
	// Seq orders the reports of one origin; it wraps around.
	Seq uint16
	// Interactive and Other are milliseconds of engine time per second.
	Interactive uint16
	Other       uint16
	// Age is the age of the report in units of ageUnit.
	Age uint8
}

// newer reports whether sequence number a comes after b.
func newer(a, b uint16) bool { return int16(a-b) > 0 }

// workReportBytes is the encoded size of a work report.
const workReportBytes = 11

// packWorkReports encodes reports with a fixed size each. A datagram holds
// nearly twice as many of them as in CBOR.
func packWorkReports(reports []WorkReport) []byte {
	out := make([]byte, 0, len(reports)*workReportBytes)
	for _, d := range reports {
		out = binary.BigEndian.AppendUint32(out, d.Origin)
		out = binary.BigEndian.AppendUint16(out, d.Seq)
		out = binary.BigEndian.AppendUint16(out, d.Interactive)
		out = binary.BigEndian.AppendUint16(out, d.Other)
		out = append(out, d.Age)
	}
	return out
}

// unpackWorkReports decodes the output of packWorkReports and ignores an
// incomplete last report.
func unpackWorkReports(data []byte) []WorkReport {
	var out []WorkReport
	for ; len(data) >= workReportBytes; data = data[workReportBytes:] {
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

// ServiceWork holds the work reports for one service.
type ServiceWork struct {
	_       struct{} `cbor:",toarray"`
	Name    uint32   // hash
	Reports []byte   // as packWorkReports writes them
}

// LoadReport is the load that an upstream reported.
type LoadReport struct {
	_        struct{} `cbor:",toarray"`
	Upstream uint32   // hash of the upstream's id
	Running  uint32
	Waiting  uint32
	// Age is the age of the report in units of ageUnit.
	Age uint32
}

// TableState describes the version of the sender's copy of a table.
type TableState struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Changed uint64
	// AsOf is the version up to which the copy is complete if the sender reads
	// the table for its group, and zero otherwise.
	AsOf uint64
	// From is the earliest version since which the sender knows all changes.
	From uint64
	// Age is the time since the platform last answered the daemon that reads the table.
	// Only announcements carry it.
	Age time.Duration `cbor:"-"`
}

// Message is the content of one datagram.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Sender is the address at which the sender receives datagrams.
	Sender string
	// Peers are addresses of other daemons that were heard from recently.
	Peers    []string
	Services []ServiceWork
	Loads    []LoadReport
	Tables   []TableState
	// Return says that the platform returned recently. Nil means that it did not.
	Return *PlatformReturn
}

// PlatformReturn says that the platform responds again after an outage.
type PlatformReturn struct {
	_ struct{} `cbor:",toarray"`
	// Age is the time since then in units of ageUnit.
	Age uint8
}

// plainMessage is the encoding of a Message without Return. Daemons of versions
// that do not know Return can read it.
type plainMessage struct {
	_        struct{} `cbor:",toarray"`
	Sender   string
	Peers    []string
	Services []ServiceWork
	Loads    []LoadReport
	Tables   []TableState
}

// maxMessageBytes keeps a message within one Ethernet frame.
const maxMessageBytes = 1400

// encode returns a message that fits into a datagram. Until it does, encode
// drops the older half of the load reports.
func encode(m *Message) ([]byte, error) {
	for {
		data, err := marshal(m)
		if err != nil {
			return nil, eris.Wrap(err, "encoding a peer message")
		}
		if len(data) <= maxMessageBytes {
			return data, nil
		}
		if len(m.Loads) == 0 {
			return nil, eris.Errorf("peer message has %d bytes, more than the limit of %d", len(data), maxMessageBytes)
		}
		m.Loads = m.Loads[:len(m.Loads)/2]
	}
}

func marshal(m *Message) ([]byte, error) {
	if m.Return != nil {
		return cbor.Marshal(m)
	}
	return cbor.Marshal(&plainMessage{Sender: m.Sender, Peers: m.Peers, Services: m.Services, Loads: m.Loads, Tables: m.Tables})
}

// encodeEvidence returns a datagram with evidence on parts of prompts.
func encodeEvidence(r *quarantine.Report) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, eris.Wrap(err, "encoding evidence")
	}
	if len(data) > maxMessageBytes {
		return nil, eris.Errorf("evidence has %d bytes, more than the limit of %d", len(data), maxMessageBytes)
	}
	return data, nil
}

// decodeEvidence decodes a datagram with evidence. It returns false for a Message, which
// has another number of elements.
func decodeEvidence(data []byte) (*quarantine.Report, bool) {
	var r quarantine.Report
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, false
	}
	return &r, true
}

// decode decodes a message with or without Return.
func decode(data []byte) (*Message, error) {
	var p plainMessage
	if err := cbor.Unmarshal(data, &p); err == nil {
		return &Message{Sender: p.Sender, Peers: p.Peers, Services: p.Services, Loads: p.Loads, Tables: p.Tables}, nil
	}
	var m Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, eris.Wrap(err, "decoding a peer message")
	}
	return &m, nil
}

// announcement tells the daemons of a group what their reader knows of the tables. Its
// number of elements tells it from the other datagrams. Daemons of versions that do not
// know it read the tables themselves.
type announcement struct {
	_      struct{} `cbor:",toarray"`
	Sender string
	Tables []TableState
	// Ages are those of Tables, in units of ageUnit.
	Ages []uint8
}

func encodeAnnouncement(sender string, tables []TableState) ([]byte, error) {
	a := announcement{Sender: sender, Tables: tables}
	for _, state := range tables {
		a.Ages = append(a.Ages, uint8(min(max(state.Age, 0)/ageUnit, math.MaxUint8)))
	}
	data, err := cbor.Marshal(&a)
	if err != nil {
		return nil, eris.Wrap(err, "encoding an announcement of tables")
	}
	if len(data) > maxMessageBytes {
		return nil, eris.Errorf("announcement of tables has %d bytes, more than the limit of %d", len(data), maxMessageBytes)
	}
	return data, nil
}

// decodeAnnouncement returns false for datagrams of other kinds.
func decodeAnnouncement(data []byte) (*Message, bool) {
	var a announcement
	if err := cbor.Unmarshal(data, &a); err != nil || len(a.Ages) != len(a.Tables) {
		return nil, false
	}
	for i, age := range a.Ages {
		// Rounded up, since a belief must not look younger than it is.
		a.Tables[i].Age = (time.Duration(age) + 1) * ageUnit
	}
	return &Message{Sender: a.Sender, Tables: a.Tables}, true
}

// candidateMessage says which daemons may hold the duties. Its number of elements tells
// it from the other datagrams.
type candidateMessage struct {
	_         struct{} `cbor:",toarray"`
	Sightings []duty.Sighting
}

func encodeCandidates(sightings []duty.Sighting) ([]byte, error) {
	data, err := cbor.Marshal(&candidateMessage{Sightings: sightings})
	if err != nil {
		return nil, eris.Wrap(err, "encoding candidates")
	}
	if len(data) > maxMessageBytes {
		return nil, eris.Errorf("candidates have %d bytes, more than the limit of %d", len(data), maxMessageBytes)
	}
	return data, nil
}

// decodeCandidates returns false for datagrams of other kinds.
func decodeCandidates(data []byte) ([]duty.Sighting, bool) {
	var m candidateMessage
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, false
	}
	return m.Sightings, true
}
