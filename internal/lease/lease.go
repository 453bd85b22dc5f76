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

const (
	keyPrefix = "lease/"
	// defaultCallTimeout replaces a CallTimeout of zero.
	defaultCallTimeout = 2 * time.Second
	// pollLead is the share of PollInterval by which a candidate reads before the
	// next renewal is due. It exceeds the drift of the clocks within a third of a
	// term, so that the reads don't fall behind the renewals.
	pollLead = 0.25
)

// Owner identifies one run of one daemon.
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
	// Name is the lease's name; its row has the key lease/<name>.
	Name  string
	Owner Owner
	// Term is how long the lease lasts after each renewal. Default 15 s.
	Term time.Duration
	// MaxClockDrift is the largest deviation of a clock's rate, as a fraction.
	// Default 0.02.
	MaxClockDrift float64
	// Margin is how long before the end of the lease the holder stops acting,
	// so that what it has sent arrives before a successor acts. Calls made
	// under the lease must end within Margin. Default 1 s.
	Margin time.Duration
	// PollInterval is the longest time for which a candidate misses that the row has
	// changed, apart from the duration of its reads. It extends the time without a
	// holder after a crash. Zero means up to two thirds of the term.
	PollInterval time.Duration
	// CallTimeout bounds one call to the table. Default 2 s.
	CallTimeout time.Duration
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
	if c.CallTimeout == 0 {
		c.CallTimeout = defaultCallTimeout
	}
	return c
}

// validFor returns how long a holder may act, measured by its own clock from
// when it sent the renewal.
func (c Config) validFor() time.Duration {
	return time.Duration(float64(c.Term)*(1-c.MaxClockDrift)) - c.Margin
}

// takeoverAfter returns how long a candidate waits, measured by its own clock
// from when it first read the row's version, before it takes over a lease that
// is not renewed.
func (c Config) takeoverAfter(term time.Duration) time.Duration {
	return time.Duration(float64(term) * (1 + c.MaxClockDrift))
}

// Term is the period in which one holder may act under one fencing token. The
// zero value is not held.
type Term struct {
	Token domain.FencingToken
	// RenewedAt is when the latest renewal was sent.
	RenewedAt time.Time
	// ValidFor is how long the holder may act after RenewedAt.
	ValidFor time.Duration
	// TakenOverAt is when the holder sent the write that took the lease from another
	// holder, which did not act later than that. It is kept when the holder reacquires
	// its own expired lease. Zero means that no other holder was seen.
	TakenOverAt time.Time
}

// Held reports whether the holder may act. It checks the wall clock too,
// because the monotonic clock may stop while a VM is suspended. Times without a
// monotonic part, such as those of BootClock, are compared as they are.
func (t Term) Held(now time.Time) bool {
	if t.Token == 0 {
		return false
	}
	monotonic := now.Sub(t.RenewedAt)
	wall := now.Round(0).Sub(t.RenewedAt.Round(0))
	return max(monotonic, wall) < t.ValidFor
}

// End returns when the holder must stop acting unless the term is renewed.
func (t Term) End() time.Time { return t.RenewedAt.Add(t.ValidFor) }

// Event is an input of a Lease.
type Event interface{ leaseEvent() }

type (
	// Tick reports only that time has passed.
	Tick struct{}
	// RowRead is the result of ReadRow. Record is nil when the row does not
	// exist. Version then has the number zero.
	RowRead struct {
		Record  *Record
		Version ports.Version
		Err     error
	}
	// Committed is the result of CommitRow.
	Committed struct {
		Version ports.Version
		Err     error
	}
	// ReleaseRequested asks to release the lease and ends the state machine.
	ReleaseRequested struct{}
	// CompeteChanged says whether the daemon shall compete. One that does not makes no
	// calls, but it keeps a lease that it holds. A Lease competes at first.
	CompeteChanged struct{ Compete bool }
)

func (Tick) leaseEvent()             {}
func (RowRead) leaseEvent()          {}
func (Committed) leaseEvent()        {}
func (ReleaseRequested) leaseEvent() {}
func (CompeteChanged) leaseEvent()   {}

// Action is an output of a Lease.
type Action interface{ leaseAction() }

type (
	// ReadRow requests a read of the lease row.
	ReadRow struct{ Key string }
	// CommitRow requests one conditional write.
	CommitRow struct{ Write ports.Write }
	// Acquired reports the start of a term.
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

// retryBackoff bounds the delay between retries while calls to the table fail.
var retryBackoff = backoff.Policy{Floor: 200 * time.Millisecond, Cap: 4 * time.Second}

// Lease is the state machine of one candidate: it competes for a lease, renews
// it and detects its loss.
type Lease struct {
	cfg Config
	rng *rand.Rand

	term         Term
	version      ports.Version // of the row that granted term
	nextCallAt   time.Time
	callInFlight bool
	released     bool
	standsBack   bool // does not compete
	failures     int
	takenOverAt  time.Time
	// era is the latest one in which the row was read or written.
	era uint64

	// The latest write, which may be in flight or of unknown outcome, and the version
	// that it expects.
	writeCount int
	sentAt     time.Time
	lastWrite  Record
	expected   ports.Version

	// The version of another holder's row, and when it was first read.
	observed      ports.Version
	observedSince time.Time
}

// New returns the state machine of one candidate.
func New(cfg Config, rng *rand.Rand) *Lease { return &Lease{cfg: cfg.withDefaults(), rng: rng} }

// Term returns the current term. Term.Held reports whether it is still valid.
func (l *Lease) Term() Term { return l.term }

// Deadline returns when the next Tick is due. ok is false when no Tick is
// needed, such as while a candidate waits for the result of a call.
func (l *Lease) Deadline() (due time.Time, ok bool) {
	if l.term.Token != 0 {
		due, ok = l.term.End(), true
	}
	if !l.callInFlight && l.makesCalls() && (!ok || l.nextCallAt.Before(due)) {
		due, ok = l.nextCallAt, true
	}
	return due, ok
}

// makesCalls reports whether the candidate reads or writes the row.
func (l *Lease) makesCalls() bool {
	return !l.released && (!l.standsBack || l.term.Token != 0)
}

// Step handles an event and returns the actions to execute.
func (l *Lease) Step(now time.Time, event Event) []Action {
	out := l.expire(now)
	switch e := event.(type) {
	case RowRead:
		l.callInFlight = false
		out = append(out, l.onRow(now, e)...)
	case Committed:
		l.callInFlight = false
		out = append(out, l.onCommitted(now, e)...)
	case CompeteChanged:
		l.standsBack = !e.Compete
	case ReleaseRequested:
		return append(out, l.release(now)...)
	}
	return append(out, l.startCall(now)...)
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
	// The result of a renewal that arrives later must not make the token valid
	// again: Guard.Check would pass actions that were started before the loss.
	l.lastWrite = Record{}
	return []Action{lost}
}

// startCall starts the next read or renewal when it is due.
func (l *Lease) startCall(now time.Time) []Action {
	if l.callInFlight || !l.makesCalls() || now.Before(l.nextCallAt) {
		return nil
	}
	if l.term.Token != 0 && l.failures == 0 {
		return l.write(now, l.cfg.Owner, l.term.Token, l.version)
	}
	l.callInFlight = true
	return []Action{ReadRow{l.key()}}
}

func (l *Lease) key() string { return keyPrefix + l.cfg.Name }

func (l *Lease) write(now time.Time, holder Owner, token domain.FencingToken, expect ports.Version) []Action {
	l.callInFlight = true
	l.writeCount++
	l.sentAt = now
	l.expected = expect
	l.lastWrite = Record{
		Holder:  holder,
		Token:   token,
		Term:    l.cfg.Term,
		WriteID: fmt.Sprintf("%s.%d.%d", l.cfg.Owner.Daemon, l.cfg.Owner.Incarnation, l.writeCount),
	}
	return []Action{CommitRow{ports.Write{Key: l.key(), Value: encode(l.lastWrite), Expect: expect}}}
}

func (l *Lease) onCommitted(now time.Time, e Committed) []Action {
	if l.released {
		return nil
	}
	if e.Err == nil {
		if l.lastWrite.WriteID != "" && l.grants(e.Version) {
			return l.setTerm(now, e.Version)
		}
		l.nextCallAt = now
		return l.doubtWrite()
	}
	var conflict *ports.ConflictError
	l.failures++
	l.nextCallAt = now
	if !errors.As(e.Err, &conflict) {
		l.nextCallAt = now.Add(retryBackoff.Delay(l.failures, l.rng))
	}
	return nil
}

// grants reports whether the last write, which has led to a version, grants a term. A
// table that was restored meanwhile compared the expected version with numbers that it
// gives out again, and may have lost the row of another holder.
func (l *Lease) grants(version ports.Version) bool {
	return version.Era() == l.expected.Era()
}

// doubtWrite ends the term after a write that grants none. The row is read next.
func (l *Lease) doubtWrite() []Action {
	l.lastWrite = Record{}
	if l.term.Token == 0 {
		return nil
	}
	return l.lose("written to a restored table")
}

// setTerm starts or extends the term that the write sent at l.sentAt grants.
func (l *Lease) setTerm(now time.Time, version ports.Version) []Action {
	acquired := l.term.Token != l.lastWrite.Token
	l.term = Term{Token: l.lastWrite.Token, RenewedAt: l.sentAt, ValidFor: l.cfg.validFor(), TakenOverAt: l.takenOverAt}
	l.version = version
	l.era = max(l.era, version.Era())
	l.failures = 0
	l.nextCallAt = l.sentAt.Add(l.cfg.Term / 3)
	if !l.term.Held(now) {
		// The result arrived after the end of the term that the write granted.
		l.term = Term{}
		l.nextCallAt = now
		return nil
	}
	if acquired {
		return []Action{Acquired{l.term.Token}}
	}
	return nil
}

// onRow decides by the lease row whether a write of unknown outcome took effect,
// a failed renewal must be retried, the lease is free, or another daemon holds
// it.
func (l *Lease) onRow(now time.Time, e RowRead) []Action {
	// An answer of an earlier era than one before is out of date.
	if e.Err != nil || e.Version.Era() < l.era {
		l.failures++
		l.nextCallAt = now.Add(retryBackoff.Delay(l.failures, l.rng))
		return nil
	}
	l.era = e.Version.Era()
	row := Record{}
	if e.Record != nil {
		row = *e.Record
	}
	if row.WriteID != "" && row.WriteID == l.lastWrite.WriteID && l.lastWriteValid(now) && l.grants(e.Version) {
		return l.setTerm(now, e.Version)
	}
	if l.term.Token != 0 {
		return l.retryRenewal(now, row, e.Version)
	}
	if !l.makesCalls() {
		return nil
	}
	if row.Holder == (Owner{}) || row.Holder == l.cfg.Owner {
		released := row.Holder == (Owner{}) && row.Token != 0
		// A restored table may have lost the row of a holder whose term still runs.
		lost := e.Record == nil && l.era > 0 || row.Holder == l.cfg.Owner && l.era != l.version.Era()
		if released || lost {
			l.takenOverAt = now
		}
		return l.write(now, l.cfg.Owner, nextToken(row.Token, e.Version), e.Version)
	}
	return l.observe(now, row, e.Version)
}

// nextToken returns the token of a holder that takes over a row. Tokens that a restored
// table has lost are below all versions of its new era, and tokens of one era grow with
// the versions of the rows that they replace.
func nextToken(token domain.FencingToken, version ports.Version) domain.FencingToken {
	if version.Era() == 0 {
		return token + 1
	}
	return max(token+1, domain.FencingToken(version))
}

// lastWriteValid reports whether the last write can still grant a term.
func (l *Lease) lastWriteValid(now time.Time) bool {
	return Term{Token: l.lastWrite.Token, RenewedAt: l.sentAt, ValidFor: l.cfg.validFor()}.Held(now)
}

// retryRenewal retries a failed renewal, or ends the term when another holder
// has taken the lease over.
func (l *Lease) retryRenewal(now time.Time, row Record, version ports.Version) []Action {
	if row.Holder != l.cfg.Owner || row.Token != l.term.Token {
		return l.lose("taken over by another holder")
	}
	// Another holder may have been in an era between the two.
	if version.Era() > l.version.Era()+1 {
		return l.lose("the table was restored twice")
	}
	return l.write(now, l.cfg.Owner, row.Token, version)
}

// observe takes the lease over when the other holder has not renewed it for
// takeoverAfter; until then it schedules the next read.
func (l *Lease) observe(now time.Time, row Record, version ports.Version) []Action {
	l.failures = 0
	changed := version != l.observed
	if changed {
		l.observed = version
		l.observedSince = now
	}
	takeoverAt := l.observedSince.Add(l.cfg.takeoverAfter(row.Term))
	if !now.Before(takeoverAt) {
		l.takenOverAt = now
		return l.write(now, l.cfg.Owner, nextToken(row.Token, version), version)
	}
	nextRead := now.Add(l.readDelay(row.Term/3, changed))
	l.nextCallAt = nextRead
	if takeoverAt.Before(nextRead) {
		l.nextCallAt = takeoverAt
	}
	return nil
}

// readDelay returns when a candidate reads the row again that is renewed at an
// interval.
func (l *Lease) readDelay(renewal time.Duration, changed bool) time.Duration {
	poll := l.cfg.PollInterval
	switch {
	case poll == 0 || renewal < poll:
		// Candidates read the row about twice a term to detect a release, at random
		// times, so that few of them compete at once.
		return renewal + time.Duration(l.rng.Int64N(int64(renewal)+1))
	case changed:
		// The row has changed within the last PollInterval and does not change again
		// before the next renewal.
		return renewal - time.Duration(pollLead*float64(poll))
	default:
		return poll/2 + time.Duration(l.rng.Int64N(int64(poll/2)+1))
	}
}

// release ends the term before it writes the row without a holder. When that
// write fails, the lease expires on its own.
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
		// Unreachable: a Record holds only strings and numbers.
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
