package domain

import "time"

// FailureCode is a stable code that callers can branch on.
type FailureCode string

const (
	CodeInvalidRequest   FailureCode = "invalid_request"
	CodeUnauthorized     FailureCode = "invalid_api_key"
	CodeUnknownModel     FailureCode = "model_not_found"
	CodeUnknownClass     FailureCode = "class_not_found"
	CodeUnknownService   FailureCode = "service_not_found"
	CodeNoRoute          FailureCode = "no_route"
	CodeNoUpstream       FailureCode = "no_upstream_available"
	CodeRateLimited      FailureCode = "rate_limit_exceeded"
	CodeOverloaded       FailureCode = "overloaded"
	CodeDeadline         FailureCode = "deadline_exceeded"
	CodeUpstreamFailed   FailureCode = "upstream_failed"
	CodeClaimUnavailable FailureCode = "claim_unavailable"
	CodeKeyRequired      FailureCode = "idempotency_key_required"
	CodeKeyReused        FailureCode = "idempotency_key_reused"
	CodeInProgress       FailureCode = "request_in_progress"
	CodeAnswerNotKept    FailureCode = "answer_not_kept"
	CodeOutcomeUnknown   FailureCode = "outcome_unknown"
	CodeShuttingDown     FailureCode = "shutting_down"
	CodeNotReady         FailureCode = "not_ready"
	CodeCallerGone       FailureCode = "caller_gone"
)

// Failure is an answer that is not the requested one. Its Outcome says
// whether the request ran.
type Failure struct {
	Code    FailureCode
	Outcome Outcome
	Message string
	// RetryAfter is how long the caller should wait. Zero means no advice.
	RetryAfter time.Duration
}

// Error returns the message with its code.
func (f *Failure) Error() string {
	return string(f.Code) + ": " + f.Message
}

// NotRun returns a Failure whose request is known not to have run.
func NotRun(code FailureCode, message string) *Failure {
	return &Failure{Code: code, Outcome: OutcomeNotRun, Message: message}
}
