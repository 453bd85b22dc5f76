package origin

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// maxSenderBytes bounds the address of a sender, maxNameBytes the name of a service or
	// version in a message.
	maxSenderBytes = 64
	maxNameBytes   = 200
	// maxQuestionStreams bounds the streams in a question. The answer takes the most bytes,
	// about 12 a stream, and stays below the 1,400 of a datagram with versions of usual
	// length.
	maxQuestionStreams = 64
	// maxAnswerVersions bounds the versions that are named in an answer.
	maxAnswerVersions = 8
)

// Message is the content of one datagram: a question, or its answer. The number of its
// elements differs from that of the other datagrams between daemons.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Sender is the address at which the sender receives datagrams.
	Sender string
	// Round is the sender's number of a question. The answer repeats it.
	Round    uint32
	Question *Question
	Answer   *Answer
}

// Question asks at which versions streams of a service began.
type Question struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Streams []uint64
}

// Answer is what a daemon knows of the streams and of the service.
type Answer struct {
	_ struct{} `cbor:",toarray"`
	// Versions are those in service, and those at which Streams began.
	Versions []string
	// InService is the number of Versions, from the first, that are or were listed within
	// Memory.
	InService uint8
	// Listed reports whether the daemon has read the list of upstreams.
	Listed bool
	// Complete reports whether the daemon has heard of all versions that were in service
	// within Memory before its last contact with the list.
	Complete bool
	// Mixed means that the service had several versions within Memory.
	Mixed bool
	// Streams are those of the question that the daemon knows.
	Streams []KnownStream
}

// KnownStream says at which version a stream began.
type KnownStream struct {
	_      struct{} `cbor:",toarray"`
	Stream uint64
	// Version is an index of Answer.Versions.
	Version uint8
}

// Datagram is a message and the address of its receiver.
type Datagram struct {
	To      string
	Message *Message
}

// valid reports whether the parts of a message are within their bounds.
func (m *Message) valid() bool {
	// Answers go to the sender, whose address must not have to be looked up.
	if _, err := netip.ParseAddrPort(m.Sender); err != nil || len(m.Sender) > maxSenderBytes {
		return false
	}
	switch {
	case m.Question != nil:
		return len(m.Question.Service) <= maxNameBytes && len(m.Question.Streams) <= maxQuestionStreams
	case m.Answer != nil:
		a := m.Answer
		return len(a.Streams) <= maxQuestionStreams && int(a.InService) <= len(a.Versions) &&
			!slices.ContainsFunc(a.Streams, func(s KnownStream) bool { return int(s.Version) >= len(a.Versions) })
	}
	return false
}

// answer answers a peer's question.
func (b *Book) answer(now time.Time, q *Question) *Answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	versions := b.inService(now, q.Service)
	a := &Answer{Mixed: len(versions) > 1 || b.reportedMixed(now, q.Service)}
	a.Listed, a.Complete = b.versionsKnownLocked(now)
	for _, version := range versions[:min(len(versions), maxAnswerVersions)] {
		if len(version) <= maxNameBytes {
			a.Versions = append(a.Versions, version)
		}
	}
	a.InService = uint8(len(a.Versions))
	for _, stream := range q.Streams {
		version, known := b.lookup(now, key(stream), q.Service)
		if !known || len(version) > maxNameBytes {
			continue
		}
		index := slices.Index(a.Versions, version)
		if index < 0 {
			if index = len(a.Versions); index == maxAnswerVersions {
				continue
			}
			a.Versions = append(a.Versions, version)
		}
		a.Streams = append(a.Streams, KnownStream{Stream: stream, Version: uint8(index)})
	}
	return a
}
