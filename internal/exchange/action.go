package exchange

import (
	"cmp"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// ActionStart starts attempt Attempt on Upstream with Suffix and Skip.
	ActionStart ActionKind = iota + 1
	// ActionReconnect reads the stream of Attempt again over new connection
	// Conn, behind event index Last. The previous connection is closed.
	ActionReconnect
	// ActionCancel closes the connection of Attempt and cancels it at its
	// upstream.
	ActionCancel
	// ActionProbe checks over a new connection that Upstream responds and
	// reports the result with Exchange.Probed.
	ActionProbe
	// ActionPick asks for an upstream for Purpose outside Exclude. The result
	// is reported with Exchange.Picked or Exchange.NotPicked.
	ActionPick
	// ActionEmit sends Event to the caller.
	ActionEmit
	// ActionFirstToken reports that Attempt gave its first event after
	// Duration.
	ActionFirstToken
	// ActionInterTokenGap reports that an event of Attempt with Tokens tokens
	// arrived Duration after the previous event.
	ActionInterTokenGap
	// ActionAttemptEnded reports that Attempt ended with Result after Duration
	// and Tokens tokens. Each started attempt ends exactly once.
	ActionAttemptEnded
	// ActionWaste reports Tokens wasted tokens for Cause.
	ActionWaste
	// ActionReadmit asks for readmission after a preemption. The reservation
	// has been released; the text sent so far is kept, and Exchange.Admitted
	// resumes behind it.
	ActionReadmit
	// ActionTimer asks for Exchange.Tick at time At. It replaces the previous
	// timer.
	ActionTimer
	// ActionComplete ends the request: the caller has the whole response.
	ActionComplete
	// ActionFail ends the request with Outcome, Reason and Err.
	ActionFail
)

// Purpose is why an upstream is needed.
type Purpose uint8

const (
	// PurposeFirst is the first attempt after admission.
	PurposeFirst Purpose = iota
	// PurposeRetry replaces an attempt that gave the caller nothing.
	PurposeRetry
	// PurposeResume sends the rest of a response that the caller has in part.
	PurposeResume
	// PurposeHedge races the running attempt to the first event.
	PurposeHedge
	// PurposeMove takes a running response away from a draining upstream.
	PurposeMove
)

// Result is how one attempt ended.
type Result uint8

const (
	ResultFinished Result = iota + 1
	ResultNotSent
	ResultRefused
	ResultBroken
	ResultSilent
	ResultMismatch
	// ResultCancelled is an attempt that was cancelled for a reason other than
	// a failure of its upstream.
	ResultCancelled
)

// Reason is why a request failed. It is empty for a complete one.
type Reason string

const (
	ReasonRefused            Reason = "refused"
	ReasonNotSent            Reason = "not_sent"
	ReasonBroken             Reason = "stream_broken"
	ReasonSilent             Reason = "stream_silent"
	ReasonMismatch           Reason = "answer_mismatched"
	ReasonIncomplete         Reason = "answer_incomplete"
	ReasonDeadline           Reason = "deadline"
	ReasonCallerDisconnected Reason = "caller_gone"
	ReasonNotReadmitted      Reason = "withdrawn"
)

// Action is one step that the owner of an Exchange executes. Of the fields
// only those named at its kind are meaningful.
type Action struct {
	Kind     ActionKind
	Purpose  Purpose
	Result   Result
	Attempt  int // number of the attempt, from 0
	Conn     int // connection of the attempt, from 0
	Last     int // event index to read behind; -1 for the beginning
	Skip     int // tokens in Suffix
	Tokens   int
	ID       domain.AttemptID
	Upstream domain.UpstreamID
	Suffix   string
	// Exclude is valid until the next call of a method of the Exchange.
	Exclude []domain.UpstreamID
	// Event is valid until the next call of a method of the Exchange. Its
	// CompletionTokens counts the whole response; its Data is as the upstream
	// sent it.
	Event    *ports.Event
	Duration time.Duration
	At       time.Time
	Cause    domain.WasteCause
	Outcome  domain.Outcome
	Reason   Reason
	Err      error
}

const (
	defaultMaxRetries        = 4
	defaultMaxReconnects     = 2
	defaultMinSilence        = time.Second
	defaultFirstTokenSilence = 15 * time.Second
	defaultProbeTimeout      = time.Second
	minRetryBackoff          = 25 * time.Millisecond
	defaultRecoveryTimeout   = 10 * time.Second
	defaultMoveMargin        = 3 * time.Second
	maxRetryBackoff          = time.Second
)

// Config describes one request to an Exchange. A field that is zero takes its
// default.
type Config struct {
	Request domain.RequestID
	// Repeatable allows another attempt after one that may have run.
	Repeatable bool
	// Reconnectable allows reading an attempt's stream again over a new
	// connection.
	Reconnectable bool
	// HedgeDelay is how long the first event may take before a second attempt
	// races the first. The gateway derives it from the target for the first
	// token, the replay from a quantile of observed times to first token. Zero
	// means no hedging.
	HedgeDelay time.Duration
	// Deadline is when the request fails unless it is complete. Zero means
	// never.
	Deadline time.Time
	// MaxRetries bounds the attempts that follow failed ones. Default 4.
	MaxRetries int
	// MaxReconnects bounds the reconnects of an attempt without an event in
	// between. Default 2.
	MaxReconnects int
	// FirstTokenSilence is how long the first event may take before the
	// upstream is probed. Default 15 s.
	FirstTokenSilence time.Duration
	// InterTokenLatency is the expected gap between events. It is used until the
	// stream has enough gaps of its own. Zero means unknown.
	InterTokenLatency time.Duration
	// MinSilence is the shortest inter-token gap that counts as silence.
	// Default 1 s.
	MinSilence time.Duration
	// ProbeTimeout bounds a probe. Default 1 s.
	ProbeTimeout time.Duration
	// RecoveryTimeout is how long a request without a running attempt waits for
	// an eligible upstream or the retry budget. Default 10 s.
	RecoveryTimeout time.Duration
	// MoveMargin is how long before a draining upstream's deadline a stream is
	// moved to another one. Default 3 s.
	MoveMargin time.Duration
}

func (c *Config) setDefaults() {
	c.MaxRetries = cmp.Or(c.MaxRetries, defaultMaxRetries)
	c.MaxReconnects = cmp.Or(c.MaxReconnects, defaultMaxReconnects)
	c.MinSilence = cmp.Or(c.MinSilence, defaultMinSilence)
	c.FirstTokenSilence = cmp.Or(c.FirstTokenSilence, defaultFirstTokenSilence)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, defaultProbeTimeout)
	c.RecoveryTimeout = cmp.Or(c.RecoveryTimeout, defaultRecoveryTimeout)
	c.MoveMargin = cmp.Or(c.MoveMargin, defaultMoveMargin)
}
