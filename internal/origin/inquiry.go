package origin

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// collectTime is how long streams are collected for one question.
	collectTime = 10 * time.Millisecond
	// repeatAfter is when peers that have not answered are asked again: datagrams get lost.
	repeatAfter = 100 * time.Millisecond
	// answerTimeout is how long answers are awaited. The longest way between two VMs and a
	// slow daemon take a part of it.
	answerTimeout = 250 * time.Millisecond
	// maxSample is the number of random daemons that are asked. What most of them have not
	// heard of, no connected part of the fleet has.
	maxSample = 64
	// maxZoneAsked is the number of daemons of the zone that are asked besides. Callers take
	// a stream up in the zone in which it began, as a rule.
	maxZoneAsked = 64
	// maxOutgoing bounds the datagrams that wait to be sent.
	maxOutgoing = 1024
)

// inquiries asks peers where streams began, and answers their questions. It is safe for
// concurrent use.
type inquiries struct {
	book    *Book
	address string

	mu sync.Mutex
	// peers are the addresses of the known daemons, and zone those of the daemon's zone.
	peers, zone []string
	// fleet is the number of daemons with this one. Zero means unknown.
	fleet int
	// number is that of the last round. It begins anywhere, so that a late answer to an
	// earlier process of the daemon is not taken for one to this one.
	number   uint32
	rounds   map[uint32]*round
	open     map[string]*round // rounds that are collecting streams, by service
	outgoing []Datagram
	updated  chan struct{}
}

// round is a question to peers and what they have answered.
type round struct {
	number  uint32
	service string
	streams []key
	// asked holds who was asked, and whether the daemon belongs to the random sample.
	asked map[string]bool
	// fleet is the number of daemons when the question was sent.
	fleet   int
	answers map[string]*Answer
	found   map[key]string
	// changed is closed and replaced with each answer and at the end.
	changed  chan struct{}
	finished bool
}

func newInquiries(book *Book, address string) *inquiries {
	return &inquiries{
		book: book, address: address, number: rand.Uint32(), rounds: make(map[uint32]*round), open: make(map[string]*round),
		updated: make(chan struct{}, 1),
	}
}

// SetPeers receives the addresses of the known daemons, of those of the daemon's zone, and
// the number of daemons with this one. Zero means that it is not known.
func (q *inquiries) SetPeers(all, zone []string, fleet int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.peers, q.zone, q.fleet = all, zone, fleet
}

// Updated receives a value when there are datagrams to send.
func (q *inquiries) Updated() <-chan struct{} { return q.updated }

// Outgoing returns the datagrams to send.
func (q *inquiries) Outgoing() []Datagram {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := q.outgoing
	q.outgoing = nil
	return out
}

// Receive handles a peer's message.
func (q *inquiries) Receive(m *Message) {
	if !m.valid() {
		return
	}
	if m.Question != nil {
		answer := q.book.answer(time.Now(), m.Question)
		q.mu.Lock()
		defer q.mu.Unlock()
		q.send(m.Sender, &Message{Sender: q.address, Round: m.Round, Answer: answer})
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.rounds[m.Round]
	if r == nil {
		return
	}
	if _, asked := r.asked[m.Sender]; !asked {
		return
	}
	r.answers[m.Sender] = m.Answer
	for _, s := range m.Answer.Streams {
		r.found[key(s.Stream)] = m.Answer.Versions[s.Version]
	}
	if len(r.answers) == len(r.asked) {
		q.finish(r)
		return
	}
	r.notify()
}

// ask adds a stream to the next question to peers.
func (q *inquiries) ask(service string, stream key) *round {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.open[service]
	if r == nil {
		q.number++
		r = &round{
			number: q.number, service: service, asked: make(map[string]bool), answers: make(map[string]*Answer),
			found: make(map[key]string), changed: make(chan struct{}),
		}
		q.open[service], q.rounds[r.number] = r, r
		time.AfterFunc(collectTime, func() { q.begin(r) })
	}
	r.streams = append(r.streams, stream)
	if len(r.streams) == maxQuestionStreams {
		delete(q.open, service)
	}
	return r
}

// begin sends the question of a round.
func (q *inquiries) begin(r *round) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.open[r.service] == r {
		delete(q.open, r.service)
	}
	r.fleet = q.fleet
	for i, at := range rand.Perm(len(q.peers)) {
		if i == maxSample {
			break
		}
		r.asked[q.peers[at]] = true
	}
	for _, address := range q.zone[:min(len(q.zone), maxZoneAsked)] {
		if !r.asked[address] && address != q.address {
			r.asked[address] = false
		}
	}
	if len(r.asked) == 0 {
		q.finish(r)
		return
	}
	q.sendQuestion(r)
	time.AfterFunc(repeatAfter, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		if !r.finished {
			q.sendQuestion(r)
		}
	})
	time.AfterFunc(answerTimeout, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.finish(r)
	})
}

// sendQuestion asks those that have not answered. The caller holds mu.
func (q *inquiries) sendQuestion(r *round) {
	streams := make([]uint64, 0, len(r.streams))
	for _, s := range r.streams {
		streams = append(streams, uint64(s))
	}
	m := &Message{Sender: q.address, Round: r.number, Question: &Question{Service: r.service, Streams: streams}}
	for address := range r.asked {
		if r.answers[address] == nil {
			q.send(address, m)
		}
	}
}

// send adds a datagram to those that wait. Beyond maxOutgoing it is lost. The caller holds
// mu.
func (q *inquiries) send(to string, m *Message) {
	if len(q.outgoing) >= maxOutgoing {
		return
	}
	q.outgoing = append(q.outgoing, Datagram{To: to, Message: m})
	select {
	case q.updated <- struct{}{}:
	default:
	}
}

// finish ends a round. The caller holds mu.
func (q *inquiries) finish(r *round) {
	if r.finished {
		return
	}
	r.finished = true
	delete(q.rounds, r.number)
	r.notify()
}

func (r *round) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// lookup returns the version at which a stream began, if a peer knows it.
func (q *inquiries) lookup(r *round, stream key) (softwareVersion string, known bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	softwareVersion, known = r.found[stream]
	return softwareVersion, known
}

// progress reports whether a round has ended, and returns a channel that is closed at its
// next answer or its end.
func (q *inquiries) progress(r *round) (finished bool, changed <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return r.finished, r.changed
}

// count returns how many peers were asked, how many have answered, and the size of the
// fleet.
func (q *inquiries) count(r *round) (asked, answered, fleet int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(r.asked), len(r.answers), r.fleet
}

// only returns the version of the service that is the only one that most daemons of the
// fleet have heard of, this one included. At least one of them must know all versions that
// were in service within Memory.
func (q *inquiries) only(now time.Time, r *round) (softwareVersion string, only bool) {
	version, only := q.book.Only(now, r.service)
	listed, complete := q.book.versionsKnown(now)
	if !only || !listed {
		return "", false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	heard, sample := 1, 1
	for address, inSample := range r.asked {
		if inSample {
			sample++
		}
		a := r.answers[address]
		if a == nil || !a.Listed {
			continue
		}
		if a.Mixed || a.InService > 1 || a.InService == 1 && a.Versions[0] != version {
			return "", false
		}
		complete = complete || a.Complete
		if inSample {
			heard++
		}
	}
	return version, complete && r.fleet > 0 && 2*heard > max(sample, min(r.fleet, maxSample))
}
