package callerhttp

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// HeaderOutcome tells the caller whether its request ran.
const HeaderOutcome = "Auburndyke-Outcome"

// HeaderClass names the request class.
const HeaderClass = "Auburndyke-Class"

// errorBody is the protocol's error object.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string             `json:"message"`
	Type    string             `json:"type"`
	Code    domain.FailureCode `json:"code"`
	Param   *string            `json:"param"`
	Outcome domain.Outcome     `json:"outcome"`
}

var statusOf = map[domain.FailureCode]int{
	domain.CodeInvalidRequest:   http.StatusBadRequest,
	domain.CodeUnauthorized:     http.StatusUnauthorized,
	domain.CodeUnknownModel:     http.StatusNotFound,
	domain.CodeUnknownClass:     http.StatusBadRequest,
	domain.CodeUnknownService:   http.StatusNotFound,
	domain.CodeNoRoute:          http.StatusForbidden,
	domain.CodeNoUpstream:       http.StatusServiceUnavailable,
	domain.CodeRateLimited:      http.StatusTooManyRequests,
	domain.CodeOverloaded:       http.StatusServiceUnavailable,
	domain.CodeDeadline:         http.StatusGatewayTimeout,
	domain.CodeUpstreamFailed:   http.StatusBadGateway,
	domain.CodeClaimUnavailable: http.StatusServiceUnavailable,
	domain.CodeKeyRequired:      http.StatusBadRequest,
	domain.CodeKeyReused:        http.StatusUnprocessableEntity,
	domain.CodeInProgress:       http.StatusConflict,
	domain.CodeAnswerNotKept:    http.StatusConflict,
	domain.CodeOutcomeUnknown:   http.StatusBadGateway,
	domain.CodeShuttingDown:     http.StatusServiceUnavailable,
	domain.CodeNotReady:         http.StatusServiceUnavailable,
	domain.CodeCallerGone:       499,
}

// errorType maps a status to the protocol's error type.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

func describe(f *domain.Failure) (int, errorBody) {
	status := statusOf[f.Code]
	if status == 0 {
		status = http.StatusInternalServerError
	}
	return status, errorBody{errorDetail{Message: f.Message, Type: errorType(status), Code: f.Code, Outcome: f.Outcome}}
}

// writeFailure answers with the protocol's error object.
func writeFailure(c echo.Context, f *domain.Failure) error {
	status, body := describe(f)
	header := c.Response().Header()
	header.Set(HeaderOutcome, string(f.Outcome))
	if f.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(retrySeconds(f.RetryAfter)))
	}
	return c.JSON(status, body)
}

func retrySeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

// failureEvent returns the server-sent event that ends a stream which already
// began and cannot be completed.
func failureEvent(f *domain.Failure) []byte {
	_, body := describe(f)
	data, err := json.Marshal(body)
	if err != nil {
		return nil
	}
	return append(append([]byte("data: "), data...), '\n', '\n')
}
