package adminhttp

import (
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/configlog"
	"github.com/auburndyke/auburndyke/internal/findings"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/ports"
)

var statusOf = map[administration.ErrorCode]int{
	administration.CodeUnauthenticated:      http.StatusUnauthorized,
	administration.CodeForbidden:            http.StatusForbidden,
	administration.CodeNotFound:             http.StatusNotFound,
	administration.CodeInvalid:              http.StatusBadRequest,
	administration.CodeTooLarge:             http.StatusRequestEntityTooLarge,
	administration.CodeFindings:             http.StatusUnprocessableEntity,
	administration.CodePreconditionRequired: http.StatusPreconditionRequired,
	administration.CodeBaseUnknown:          http.StatusPreconditionFailed,
	administration.CodeConflict:             http.StatusConflict,
	administration.CodeForceRequired:        http.StatusConflict,
	administration.CodeChangeIDReused:       http.StatusUnprocessableEntity,
	administration.CodeUnavailable:          http.StatusServiceUnavailable,
	administration.CodeUnknownOutcome:       http.StatusGatewayTimeout,
	administration.CodeNotReady:             http.StatusServiceUnavailable,
	administration.CodeInternal:             http.StatusInternalServerError,
}

// errBusy refuses a call before it has any effect.
var errBusy = &administration.ErrorResponse{
	Code:    administration.CodeUnavailable,
	Message: "too many calls are running; nothing was changed",
}

func invalid(message string) error {
	return &administration.ErrorResponse{Code: administration.CodeInvalid, Message: message}
}

// handleError answers a failed call.
func (s *server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var library *echo.HTTPError
	if errors.As(err, &library) {
		_ = c.JSON(library.Code, administration.ErrorResponse{Code: codeOf(library.Code), Message: http.StatusText(library.Code)})
		return
	}
	answer := answerOf(err)
	status := statusOf[answer.Code]
	if status == http.StatusServiceUnavailable {
		c.Response().Header().Set("Retry-After", "1")
	}
	if status == http.StatusUnauthorized {
		c.Response().Header().Set(echo.HeaderWWWAuthenticate, `Bearer realm="auburndyke"`)
	}
	_ = c.JSON(status, answer)
}

// codeOf maps a status that the HTTP library chose.
func codeOf(status int) administration.ErrorCode {
	switch {
	case status == http.StatusNotFound:
		return administration.CodeNotFound
	case status >= http.StatusInternalServerError:
		return administration.CodeInternal
	}
	return administration.CodeInvalid
}

// answerOf turns an error into the body of a failed call. Errors that the API
// does not know are not shown to the client, because they may quote what the
// platform answered.
func answerOf(err error) *administration.ErrorResponse {
	var (
		answer  *administration.ErrorResponse
		scope   *administration.ScopeError
		missing *policy.NotFoundError
		list    findings.List
		tooBig  *http.MaxBytesError
	)
	switch {
	case errors.As(err, &answer):
		return answer
	case errors.As(err, &scope):
		return &administration.ErrorResponse{Code: administration.CodeForbidden, Message: scope.Error()}
	case errors.As(err, &missing):
		return &administration.ErrorResponse{Code: administration.CodeNotFound, Message: missing.Error()}
	case errors.As(err, &list):
		return &administration.ErrorResponse{Code: administration.CodeFindings, Message: "the configuration would have errors", Findings: list}
	case errors.As(err, &tooBig):
		return &administration.ErrorResponse{Code: administration.CodeTooLarge, Message: "the request body is too large"}
	}
	return controlAnswer(err)
}

// controlAnswer turns an error of Control into the body of a failed call.
func controlAnswer(err error) *administration.ErrorResponse {
	switch {
	case errors.Is(err, configlog.ErrChangeIDReused):
		return &administration.ErrorResponse{Code: administration.CodeChangeIDReused, Message: "the change id was used for another change"}
	case errors.Is(err, configlog.ErrBaseUnknown):
		return &administration.ErrorResponse{Code: administration.CodeBaseUnknown, Message: "the revision is not in the history"}
	case errors.Is(err, ports.ErrUnknownOutcome):
		return &administration.ErrorResponse{
			Code:    administration.CodeUnknownOutcome,
			Message: "the change may have been accepted; repeat the same call with the same change id to find out",
		}
	case errors.Is(err, ports.ErrUnavailable), errors.Is(err, ports.ErrThrottled):
		return &administration.ErrorResponse{
			Code:    administration.CodeUnavailable,
			Message: "the platform cannot be reached; nothing was changed",
		}
	}
	return &administration.ErrorResponse{Code: administration.CodeInternal, Message: "internal error"}
}
