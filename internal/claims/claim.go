package claims

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// ErrKeyReused means that the key was used for another request.
var ErrKeyReused = errors.New("idempotency key was used for another request")

// Verdict is the result of Begin.
type Verdict string

const (
	// Granted allows the holder of the Grant to dispatch the call, once.
	Granted Verdict = "granted"
	// Replay means that the call ran earlier. Decision.Answer is its answer.
	Replay Verdict = "replay"
	// InProgress means that another call with the key may be running.
	InProgress Verdict = "in_progress"
	// SettledUnknown means that an earlier call may have run and that its
	// outcome will not become known.
	SettledUnknown Verdict = "settled_unknown"
	// Unsettled means that another call with the key was claimed and that its
	// state cannot be read now. It may have run.
	Unsettled Verdict = "unsettled"
	// Refused means that the platform cannot record a claim. This call was
	// not run; whether an earlier call with the key ran could not be asked.
	Refused Verdict = "refused"
	// Mismatched means that the key was used for another request. This call
	// was not run.
	Mismatched Verdict = "mismatched"
)

// Decision says what to do with a call.
type Decision struct {
	Verdict Verdict
	// Grant is set when the verdict is Granted.
	Grant *Grant
	// Answer is set when the verdict is Replay. It may be Omitted.
	Answer *Answer
	// Holder is the owner of the claim that was found, if any.
	Holder Owner
	// Err gives the reason of Refused, Unsettled and Mismatched.
	Err error

	// fence means that a commit of this call may still take effect, although
	// the call is not going to be dispatched.
	fence bool
}

// Grant permits one dispatch.
type Grant struct {
	key     string
	record  Record
	version ports.Version
	claimed time.Time
	within  time.Duration
}

// MayDispatch reports whether the call may still be sent. It is false long
// before the row can expire, so that a daemon that was paused for the whole
// retention does not run a call whose row is gone. The wall clock is checked
// too, because the monotonic clock may stand still while a VM is suspended.
func (g *Grant) MayDispatch(now time.Time) bool {
	monotonic := now.Sub(g.claimed)
	wall := now.Round(0).Sub(g.claimed.Round(0))
	return g.record.Dispatched && max(monotonic, wall) < g.within
}

// Request is a call to be claimed.
type Request struct {
	Key Key
	// Digest is the digest of the request; see DigestOf.
	Digest string
	// Call is unique among all calls of all daemons.
	Call string
	// WaitOutage keeps trying while the platform is unavailable, until the
	// caller's context ends. Otherwise the call is refused at once.
	WaitOutage bool
	// Reserve claims the key without the right to dispatch; Dispatch obtains
	// that with a second write. A reserved call of a dead daemon is known not
	// to have run.
	Reserve bool
}

// Gone reports whether an incarnation of a daemon is known to have ended.
// Once true for an owner, it stays true.
type Gone func(Owner) bool

// ClaimEvent is an input of a Claim.
type ClaimEvent interface{ claimEvent() }

// Started begins a claim or a settlement.
type Started struct{}

// RowRead answers ReadRow. Record is nil when the row does not exist.
type RowRead struct {
	Record  *Record
	Version ports.Version
	Err     error
}

// Committed answers CommitRow.
type Committed struct {
	Version ports.Version
	Err     error
}

// Elapsed answers Pause.
type Elapsed struct{}

// Stopped ends a claim because its caller no longer waits.
type Stopped struct{ Cause error }

func (Started) claimEvent()   {}
func (RowRead) claimEvent()   {}
func (Committed) claimEvent() {}
func (Elapsed) claimEvent()   {}
func (Stopped) claimEvent()   {}

// ClaimAction is an output of a Claim or a Settlement. Each but the final one
// is answered by one event.
type ClaimAction interface{ claimAction() }

// ReadRow asks to read the claim row.
type ReadRow struct{ Key string }

// CommitRow asks for one conditional write.
type CommitRow struct{ Write ports.Write }

// Pause asks to wait.
type Pause struct{ For time.Duration }

// Decided ends a claim.
type Decided struct{ Decision Decision }

func (ReadRow) claimAction()   {}
func (CommitRow) claimAction() {}
func (Pause) claimAction()     {}
func (Decided) claimAction()   {}

// Limits bounds rows and delays.
type Limits struct {
	// AnswerBytes bounds a recorded answer. Default 4096.
	AnswerBytes int
	// Retention is how long a settled row is kept. Default 24 h.
	Retention time.Duration
	// DispatchWithin is how long a grant is valid. Default 10 s. It must be
	// far below Retention.
	DispatchWithin time.Duration
}

func (l Limits) withDefaults() Limits {
	if l.AnswerBytes == 0 {
		l.AnswerBytes = 4096
	}
	if l.Retention == 0 {
		l.Retention = 24 * time.Hour
	}
	if l.DispatchWithin == 0 {
		l.DispatchWithin = 10 * time.Second
	}
	return l
}

// claimBackoff bounds the delay between tries to claim.
var claimBackoff = backoff.Policy{Floor: 10 * time.Millisecond, Cap: time.Second}

// A call that does not wait for outages ends after so many tries.
const (
	maxClaimTries = 4
	// maxRefusals is how many refused commits are followed by another one.
	maxRefusals = 1
)

// Claim decides whether one call may be dispatched. It writes first and
// reads only when the write fails, because most keys are new. A commit with an
// unknown outcome is settled by reading before anything is decided.
type Claim struct {
	request Request
	owner   Owner
	gone    Gone
	limits  Limits
	rng     *rand.Rand

	tries    int
	refusals int
	// pending means that a commit with unknown outcome may take effect later.
	pending bool
	// contended means that a commit has met a row that was not read since.
	contended bool
	// The commit under way writes record and was sent at sent.
	record Record
	sent   time.Time
	// settling is the decision that follows the commit under way, when that
	// commit settles another owner's claim.
	settling *Decision
}

// NewClaim returns the state machine of one call.
func NewClaim(request Request, owner Owner, gone Gone, limits Limits, rng *rand.Rand) *Claim {
	return &Claim{request: request, owner: owner, gone: gone, limits: limits.withDefaults(), rng: rng}
}

// Step handles an event and returns the next action.
func (c *Claim) Step(now time.Time, event ClaimEvent) ClaimAction {
	switch e := event.(type) {
	case Started:
		return c.claim(now, 0)
	case RowRead:
		return c.onRow(now, e)
	case Committed:
		return c.onCommitted(e)
	case Stopped:
		return c.stop(e)
	}
	return c.read()
}

func (c *Claim) stop(e Stopped) ClaimAction {
	if c.settling != nil {
		return Decided{*c.settling}
	}
	return c.refuse(errors.Join(ports.ErrUnavailable, e.Cause))
}

func (c *Claim) read() ClaimAction { return ReadRow{c.request.Key.row()} }

// claim writes the row in place of the given version.
func (c *Claim) claim(now time.Time, expect ports.Version) ClaimAction {
	c.sent = now
	c.record = Record{
		State:      StateClaimed,
		Owner:      c.owner,
		Call:       c.request.Call,
		Digest:     c.request.Digest,
		Dispatched: !c.request.Reserve,
		Expires:    now.UTC().Add(c.limits.Retention),
	}
	return CommitRow{ports.Write{Key: c.request.Key.row(), Value: encode(c.record), Expect: expect}}
}

func (c *Claim) onCommitted(e Committed) ClaimAction {
	if c.settling != nil {
		// The claim that was found decides the answer, whether or not this
		// daemon's write settled it.
		return Decided{*c.settling}
	}
	var conflict *ports.ConflictError
	switch {
	case e.Err == nil:
		return c.grant(c.record, e.Version)
	case errors.As(e.Err, &conflict):
		c.contended = true
		return c.read()
	case errors.Is(e.Err, ports.ErrUnavailable), errors.Is(e.Err, ports.ErrThrottled):
		return c.onRefused()
	}
	// Any other error leaves the effect open.
	c.pending = true
	return c.read()
}

// onRefused reads after a refused commit, because an earlier call with the
// key may have run and the table may still answer reads.
func (c *Claim) onRefused() ClaimAction {
	c.refusals++
	if c.request.WaitOutage {
		return Pause{For: claimBackoff.Delay(c.refusals, c.rng)}
	}
	return c.read()
}

func (c *Claim) onRow(now time.Time, e RowRead) ClaimAction {
	if e.Err != nil {
		return c.retry(e.Err)
	}
	c.contended = false
	if e.Record == nil {
		return c.again(now, 0)
	}
	found := *e.Record
	switch {
	case found.Call == c.request.Call:
		return c.onOwn(found, e.Version)
	case found.Digest != c.request.Digest:
		return c.decide(Decision{Verdict: Mismatched, Holder: found.Owner, Err: eris.Wrapf(ErrKeyReused, "key %q", c.request.Key.Key)})
	case found.State == StateNotRun:
		return c.again(now, e.Version)
	case found.State == StateRan:
		return c.decide(Decision{Verdict: Replay, Answer: found.Answer, Holder: found.Owner})
	case found.State == StateUnknown:
		return c.decide(Decision{Verdict: SettledUnknown, Holder: found.Owner})
	case !c.gone(found.Owner):
		return c.decide(Decision{Verdict: InProgress, Holder: found.Owner})
	case !found.Dispatched:
		// The owner cannot dispatch once this write has replaced its row.
		return c.again(now, e.Version)
	}
	return c.settle(now, found, e.Version)
}

// again claims after a read. A call that does not wait gives up after a few
// tries, so that a hot key cannot hold it.
func (c *Claim) again(now time.Time, expect ports.Version) ClaimAction {
	c.tries++
	exhausted := c.tries > maxClaimTries || c.refusals > maxRefusals
	if exhausted && !c.request.WaitOutage {
		return c.refuse(eris.Wrap(ports.ErrUnavailable, "claim could not be written"))
	}
	return c.claim(now, expect)
}

// onOwn handles a row that an earlier commit of this call has written.
func (c *Claim) onOwn(found Record, version ports.Version) ClaimAction {
	if found.State == StateClaimed {
		return c.grant(found, version)
	}
	return c.refuse(eris.Errorf("claim was settled as %s before it was dispatched", found.State))
}

func (c *Claim) grant(record Record, version ports.Version) ClaimAction {
	return Decided{Decision{Verdict: Granted, Holder: c.owner, Grant: &Grant{
		key:     c.request.Key.row(),
		record:  record,
		version: version,
		claimed: c.sent,
		within:  c.limits.DispatchWithin,
	}}}
}

// settle records that a claim of an owner that is gone has no known outcome.
func (c *Claim) settle(now time.Time, found Record, version ports.Version) ClaimAction {
	settled := settledRecord(now, found, c.limits)
	c.settling = &Decision{Verdict: SettledUnknown, Holder: found.Owner, fence: c.pending}
	return CommitRow{ports.Write{Key: c.request.Key.row(), Value: encode(settled), Expect: version}}
}

// settledRecord returns the final record of a claim whose owner is gone.
func settledRecord(now time.Time, found Record, limits Limits) Record {
	found.State = StateNotRun
	if found.Dispatched {
		found.State = StateUnknown
	}
	found.Expires = now.UTC().Add(limits.Retention)
	return found
}

// retry tries again. A call that does not wait is refused at once, unless an
// earlier commit has to be settled first; then it tries a few times.
func (c *Claim) retry(err error) ClaimAction {
	c.tries++
	open := c.contended || c.pending
	if !c.request.WaitOutage && (!open || c.tries > maxClaimTries) {
		return c.refuse(err)
	}
	return Pause{For: claimBackoff.Delay(c.tries, c.rng)}
}

func (c *Claim) refuse(err error) ClaimAction {
	if c.contended {
		return c.decide(Decision{Verdict: Unsettled, Err: err})
	}
	return c.decide(Decision{Verdict: Refused, Err: err})
}

func (c *Claim) decide(d Decision) ClaimAction {
	d.fence = c.pending
	return Decided{d}
}
