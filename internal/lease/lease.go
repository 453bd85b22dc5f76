package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const keyPrefix = "lease/"

// Owner is one run of one daemon.
type Owner struct {
	Daemon      domain.DaemonID    `json:"daemon"`
	Incarnation domain.Incarnation `json:"incarnation"`
}

// Record is the value of a lease row.
type Record struct {
	// Holder is the zero Owner after a release.
	Holder Owner               `json:"holder,omitzero"`
	Token  domain.FencingToken `json:"token"`
	// Term is how long the lease lasts after each renewal.
	Term time.Duration `json:"term_ns"`
	// WriteID identifies the write that produced the row.
	WriteID string `json:"write"`
}

// Config configures a Lease.
type Config struct {
	// Name completes the row key lease/<name>.
	Name  string
	Owner Owner
	// Term is how long the lease lasts after each renewal. Default 15 s.
	Term time.Duration
	// MaxClockDrift is the largest deviation of a clock's rate, as a fraction.
	// Default 0.02.
	MaxClockDrift float64
	// Margin is how long before its end the holder stops acting, so that what
	// it has sent arrives before a successor acts. Calls made under the lease
	// must end within it. Default 1 s.
	Margin time.Duration
}

func (c Config) withDefaults() Config {
	if c.Term == 0 {
		c.Term = 15 * time.Second
	}
	if c.MaxClockDrift == 0 {
		c.MaxClockDrift = 0.02
	}
	if c.Margin == 0 {
		c.Margin = time.Second
	}
	return c
}

// validFor is how long a holder may act, measured by its own clock from when
// it sent the renewal.
func (c Config) validFor() time.Duration {
	return time.Duration(float64(c.Term)*(1-c.MaxClockDrift)) - c.Margin
}

// takeoverAfter is how long a candidate waits, measured by its own clock from
// when it saw the row, before it takes over a lease that is not renewed.
func (c Config) takeoverAfter(term time.Duration) time.Duration {
	return time.Duration(float64(term) * (1 + c.MaxClockDrift))
}

// Term is one holder's time under one token. The zero value is not held.
type Term struct {
	Token domain.FencingToken
	// RenewedAt is when the latest renewal was sent.
	RenewedAt time.Time
	// ValidFor is how long the holder may act after RenewedAt.
	ValidFor time.Duration
}

// Held reports whether the holder may act. The wall clock is checked too,
// because the monotonic clock may stand still while a VM is suspended.
func (t Term) Held(now time.Time) bool {
	if t.Token == 0 {
		return false
	}
	monotonic := now.Sub(t.RenewedAt)
	wall := now.Round(0).Sub(t.RenewedAt.Round(0))
	return max(monotonic, wall) < t.ValidFor
}

// end returns when the term ends unless it is renewed.
func (t Term) end() time.Time { return t.RenewedAt.Add(t.ValidFor) }

// Event is an input of a Lease.
type Event interface{ leaseEvent() }

type (
	// Tick lets time pass.
	Tick struct{}
	// RowRead answers ReadRow. Record is nil when the row does not exist.
	RowRead struct {
		Record  *Record
		Version ports.Version
		Err     error
	}
	// Committed answers CommitRow.
	Committed struct {
		Version ports.Version
		Err     error
	}
	// ReleaseRequested gives the lease up and ends the state machine.
	ReleaseRequested struct{}
)

func (Tick) leaseEvent()         {}
func (RowRead) leaseEvent()      {}
func (Committed) leaseEvent()    {}
func (ReleaseRequested) leaseEvent() {}

// Action is an output of a Lease.
type Action interface{ leaseAction() }

type (
	// ReadRow asks to read the lease row.
	ReadRow struct{ Key string }
	// CommitRow asks for one conditional write.
	CommitRow struct{ Write ports.Write }
	// Acquired reports a new term.
	Acquired struct{ Token domain.FencingToken }
	// Lost reports the end of a term.
	Lost struct {
		Token  domain.FencingToken
		Reason string
	}
)

func (ReadRow) leaseAction()   {}
func (CommitRow) leaseAction() {}
func (Acquired) leaseAction()  {}
func (Lost) leaseAction()      {}

// retryBackoff bounds the delay between tries while the table fails.
var retryBackoff = backoff.Policy{Floor: 200 * time.Millisecond, Cap: 4 * time.Second}

// Lease competes for a lease, renews it and notices its loss.
type Lease struct {
	cfg Config
	rng *rand.Rand

	term     Term
	version  ports.Version // of the row that term rests on
	next     time.Time
	busy     bool
	released bool
	failures int

	// The commit under way, or one whose outcome is not known yet.
	writes  int
	sent    time.Time
	written Record

	// The row of another holder, and when it was first seen.
	seen      ports.Version
	seenSince time.Time
}

// New returns the state machine of one candidate.
func New(cfg Config, rng *rand.Rand) *Lease { return &Lease{cfg: cfg.withDefaults(), rng: rng} }

// Term returns the current term. Use Term.Held to ask whether it still runs.
func (l *Lease) Term() Term { return l.term }

// Deadline returns when the next Tick is due. It is false while the next step
// waits for an answer.
func (l *Lease) Deadline() (due time.Time, ok bool) {
	if l.term.Token != 0 {
		due, ok = l.term.end(), true
	}
	if !l.busy && !l.released && (!ok || l.next.Before(due)) {
		due, ok = l.next, true
	}
	return due, ok
}

// Step handles an event and returns what to do.
func (l *Lease) Step(now time.Time, event Event) []Action {
	out := l.expire(now)
	switch e := event.(type) {
	case RowRead:
		l.busy = false
		out = append(out, l.onRow(now, e)...)
	case Committed:
		l.busy = false
		out = append(out, l.onCommitted(now, e)...)
	case ReleaseRequested:
		return append(out, l.release(now)...)
	}
	return append(out, l.due(now)...)
}

func (l *Lease) expire(now time.Time) []Action {
	if l.term.Token == 0 || l.term.Held(now) {
		return nil
	}
	return l.lose("not renewed in time")
}

func (l *Lease) lose(reason string) []Action {
	lost := Lost{Token: l.term.Token, Reason: reason}
	l.term = Term{}
	// A renewal that is answered later must not revive the token: actions
	// started before the loss would pass as covered.
	l.written = Record{}
	return []Action{lost}
}

// due starts the next read or renewal.
func (l *Lease) due(now time.Time) []Action {
	if l.busy || l.released || now.Before(l.next) {
		return nil
	}
	if l.term.Token != 0 && l.failures == 0 {
		return l.write(now, l.cfg.Owner, l.term.Token, l.version)
	}
	l.busy = true
	return []Action{ReadRow{l.key()}}
}

func (l *Lease) key() string { return keyPrefix + l.cfg.Name }

func (l *Lease) write(now time.Time, holder Owner, token domain.FencingToken, expect ports.Version) []Action {
	l.busy = true
	l.writes++
	l.sent = now
	l.written = Record{
		Holder: holder,
		Token:  token,
		Term:   l.cfg.Term,
		WriteID:  fmt.Sprintf("%s.%d.%d", l.cfg.Owner.Daemon, l.cfg.Owner.Incarnation, l.writes),
	}
	return []Action{CommitRow{ports.Write{Key: l.key(), Value: encode(l.written), Expect: expect}}}
}

func (l *Lease) onCommitted(now time.Time, e Committed) []Action {
	if l.released {
		return nil
	}
	if e.Err == nil && l.written.WriteID != "" {
		return l.hold(now, e.Version)
	}
	if e.Err == nil {
		l.next = now
		return nil
	}
	var conflict *ports.ConflictError
	l.failures++
	l.next = now
	if !errors.As(e.Err, &conflict) {
		l.next = now.Add(retryBackoff.Delay(l.failures, l.rng))
	}
	return nil
}

// hold starts or extends the term by the write that was sent at l.sent.
func (l *Lease) hold(now time.Time, version ports.Version) []Action {
	acquired := l.term.Token != l.written.Token
	l.term = Term{Token: l.written.Token, RenewedAt: l.sent, ValidFor: l.cfg.validFor()}
	l.version = version
	l.failures = 0
	l.next = l.sent.Add(l.cfg.Term / 3)
	if !l.term.Held(now) {
		// The answer came after the end of the term that it grants.
		l.term = Term{}
		l.next = now
		return nil
	}
	if acquired {
		return []Action{Acquired{l.term.Token}}
	}
	return nil
}

// onRow decides by what the row says: the write with unknown outcome took
// effect, the lease can be taken, or another daemon holds it.
func (l *Lease) onRow(now time.Time, e RowRead) []Action {
	if e.Err != nil {
		l.failures++
		l.next = now.Add(retryBackoff.Delay(l.failures, l.rng))
		return nil
	}
	row := Record{}
	if e.Record != nil {
		row = *e.Record
	}
	if row.WriteID != "" && row.WriteID == l.written.WriteID && l.withinTerm(now) {
		return l.hold(now, e.Version)
	}
	if l.term.Token != 0 {
		return l.recheck(now, row, e.Version)
	}
	if row.Holder == (Owner{}) || row.Holder == l.cfg.Owner {
		return l.write(now, l.cfg.Owner, row.Token+1, e.Version)
	}
	return l.observe(now, row, e.Version)
}

// withinTerm reports whether the last write can still grant a term.
func (l *Lease) withinTerm(now time.Time) bool {
	return Term{Token: l.written.Token, RenewedAt: l.sent, ValidFor: l.cfg.validFor()}.Held(now)
}

// recheck continues a term after a failed renewal.
func (l *Lease) recheck(now time.Time, row Record, version ports.Version) []Action {
	if row.Holder != l.cfg.Owner || row.Token != l.term.Token {
		return l.lose("taken by another holder")
	}
	return l.write(now, l.cfg.Owner, row.Token, version)
}

// observe waits until the other holder has not renewed for a whole term.
func (l *Lease) observe(now time.Time, row Record, version ports.Version) []Action {
	l.failures = 0
	if version != l.seen {
		l.seen = version
		l.seenSince = now
	}
	free := l.seenSince.Add(l.cfg.takeoverAfter(row.Term))
	if !now.Before(free) {
		return l.write(now, l.cfg.Owner, row.Token+1, version)
	}
	// Candidates look twice a term, so that they notice a release, at times
	// that differ, so that few of them race.
	look := now.Add(row.Term/3 + time.Duration(l.rng.Int64N(int64(row.Term/3)+1)))
	l.next = look
	if free.Before(look) {
		l.next = free
	}
	return nil
}

// release ends the term before the row says so. When the write fails, the
// lease ends by itself.
func (l *Lease) release(now time.Time) []Action {
	l.released = true
	if l.term.Token == 0 {
		return nil
	}
	token, version := l.term.Token, l.version
	out := l.lose("released")
	return append(out, l.write(now, Owner{}, token, version)...)
}

func encode(r Record) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		// A Record holds only strings and numbers.
		panic(err)
	}
	return data
}

func decode(row ports.Row) (Record, error) {
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, eris.Wrapf(err, "row %s cannot be decoded", row.Key)
	}
	return r, nil
}
