package administration

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/configlog"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/findings"
	"github.com/auburndyke/auburndyke/internal/policy"
)

// Verdict is the outcome of a change.
type Verdict string

const (
	// VerdictAccepted means that the change is in the configuration log.
	VerdictAccepted Verdict = "accepted"
	// VerdictUnchanged means that the configuration already had this content.
	VerdictUnchanged Verdict = "unchanged"
	// VerdictDryRun means that the change was checked but not proposed.
	VerdictDryRun Verdict = "dry_run"
)

// ChangeResponse is the response to a configuration change.
type ChangeResponse struct {
	Verdict  Verdict         `json:"verdict"`
	ChangeID string          `json:"change_id,omitempty"`
	Base     domain.Revision `json:"base"`
	// Revision is the accepted revision, or zero in a dry run.
	Revision domain.Revision `json:"revision,omitempty"`
	// Merged reports whether other changes since Base were merged in and kept.
	Merged bool `json:"merged,omitempty"`
	// Repeated reports whether an earlier call with the same change id was
	// accepted.
	Repeated bool                 `json:"repeated,omitempty"`
	Changes  []policy.Change      `json:"changes"`
	Impact   []policy.RouteChange `json:"impact"`
	// ImpactTotal is the number of affected pairs of customer and class.
	// Impact may list only the first of them.
	ImpactTotal int           `json:"impact_total"`
	Warnings    []Warning     `json:"warnings,omitempty"`
	Findings    findings.List `json:"findings,omitempty"`
	// Conflicts lists, in a dry run, the conflicts with other changes since
	// Base.
	Conflicts []configlog.Conflict `json:"conflicts,omitempty"`
	// Drain is set for drain and undrain calls.
	Drain *Drain `json:"drain,omitempty"`
}

// ErrorCode identifies the kind of failure of an API call.
type ErrorCode string

const (
	CodeUnauthenticated ErrorCode = "unauthenticated"
	CodeForbidden       ErrorCode = "forbidden"
	CodeNotFound        ErrorCode = "not_found"
	CodeInvalid         ErrorCode = "invalid_request"
	CodeTooLarge        ErrorCode = "too_large"
	// CodeFindings means that the resulting configuration has errors.
	CodeFindings ErrorCode = "findings"
	// CodePreconditionRequired means that the call does not name a base
	// revision.
	CodePreconditionRequired ErrorCode = "precondition_required"
	// CodeBaseUnknown means that the base revision is not in the history.
	CodeBaseUnknown ErrorCode = "base_unknown"
	CodeConflict    ErrorCode = "conflict"
	// CodeForceRequired means that the change has warnings and was sent
	// without force.
	CodeForceRequired  ErrorCode = "force_required"
	CodeChangeIDReused ErrorCode = "change_id_reused"
	// CodeUnavailable means that the change was not accepted.
	CodeUnavailable ErrorCode = "unavailable"
	// CodeUnknownOutcome means that the change may have been accepted.
	// Repeating the call with the same change id returns the outcome.
	CodeUnknownOutcome ErrorCode = "unknown_outcome"
	CodeNotReady       ErrorCode = "not_ready"
	CodeInternal       ErrorCode = "internal"
)

// ErrorResponse is the response body of every failed call.
type ErrorResponse struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// ChangeID and Base are set for a change, so that the call can be repeated.
	ChangeID  string               `json:"change_id,omitempty"`
	Base      domain.Revision      `json:"base,omitempty"`
	Head      domain.Revision      `json:"head,omitempty"`
	Findings  findings.List        `json:"findings,omitempty"`
	Conflicts []configlog.Conflict `json:"conflicts,omitempty"`
	Warnings  []Warning            `json:"warnings,omitempty"`
	Drain     *Drain               `json:"drain,omitempty"`
}

// Error implements error.
func (e *ErrorResponse) Error() string { return e.Message }

// ItemResponse is one item of the configuration. Field values are TOML.
type ItemResponse struct {
	Kind   policy.ItemKind   `json:"kind"`
	ID     string            `json:"id"`
	Fields map[string]string `json:"fields"`
}

// ItemsResponse lists the items of one kind.
type ItemsResponse struct {
	Revision domain.Revision `json:"revision"`
	Items    []ItemResponse  `json:"items"`
}

// LabelsRequest sets and removes labels of an item.
type LabelsRequest struct {
	Set    map[string]string `json:"set,omitempty"`
	Remove []string          `json:"remove,omitempty"`
}

// WeightRequest sets a customer's weight.
type WeightRequest struct {
	Weight float64 `json:"weight"`
}

// RollForwardRequest names the revision whose content becomes a new revision.
type RollForwardRequest struct {
	To domain.Revision `json:"to"`
}

// HistoryEntry describes one revision.
type HistoryEntry struct {
	Revision domain.Revision `json:"revision"`
	Base     domain.Revision `json:"base"`
	ChangeID string          `json:"change_id"`
	Author   string          `json:"author"`
	Time     time.Time       `json:"time"`
	Message  string          `json:"message,omitempty"`
}

// HistoryResponse lists revisions, newest first.
type HistoryResponse struct {
	Entries []HistoryEntry `json:"entries"`
}
