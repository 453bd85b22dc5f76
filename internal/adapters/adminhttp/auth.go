package adminhttp

import (
	"errors"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// maxTokenBytes bounds the tokens that are hashed.
const maxTokenBytes = 512

const (
	metricChanges = "auburndyke_admin_changes_total"
	metricRefused = "auburndyke_admin_refused_total"
)

// authorized authenticates a call, bounds the calls at once and refuses what a
// token may not call at all.
func (s *server) authorized(r route) echo.HandlerFunc {
	return func(c echo.Context) error {
		who, err := s.authenticate(c, bearerToken(c.Request()))
		if err != nil {
			return err
		}
		if err := permit(r, who); err != nil {
			return s.refuse(c, who, err)
		}
		select {
		case s.running <- struct{}{}:
			defer func() { <-s.running }()
		default:
			return errBusy
		}
		return s.refuse(c, who, r.serve(c, who))
	}
}

func permit(r route, who administration.Principal) error {
	switch {
	case r.access == accessOperator:
		return who.RequireOperator("this through " + r.method + " " + r.path)
	case r.access == accessChange && !who.CanChange():
		return who.RequireOperator("the configuration")
	}
	return nil
}

func bearerToken(r *http.Request) string {
	scheme, token, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

func (s *server) authenticate(c echo.Context, token string) (administration.Principal, error) {
	if token != "" && len(token) <= maxTokenBytes {
		if who, ok := s.authenticator().Authenticate(token); ok {
			return who, nil
		}
	}
	s.options.Metrics.Counter(metricRefused, "reason", "unauthenticated").Inc(1)
	if !s.failed.Allow() {
		return administration.Principal{}, echo.ErrTooManyRequests
	}
	s.options.Log.Event(telemetry.AdminRefused).Str("reason", "unauthenticated").
		Str("call", call(c)).Str("remote", c.Request().RemoteAddr).Msg("")
	return administration.Principal{}, &administration.ErrorResponse{
		Code:    administration.CodeUnauthenticated,
		Message: "the administration token is missing or unknown",
	}
}

func (s *server) authenticator() administration.Authenticator {
	a := administration.Authenticator{Bootstrap: s.options.Bootstrap}
	if current, ok := s.control.Current(); ok {
		a.Policy = current.Policy
	}
	return a
}

// refuse records an error that means a lack of scope, and passes all errors on.
func (s *server) refuse(c echo.Context, who administration.Principal, err error) error {
	var scope *administration.ScopeError
	if !errors.As(err, &scope) {
		return err
	}
	s.options.Metrics.Counter(metricRefused, "reason", "out_of_scope").Inc(1)
	s.options.Log.Event(telemetry.AdminRefused).Str("reason", "out_of_scope").Str("principal", who.ID).
		Str("role", string(who.Role)).Str("team", who.Team).Str("what", scope.Target).
		Str("call", call(c)).Str("remote", c.Request().RemoteAddr).Msg("")
	return err
}

// call names the route of a request. The URL itself may hold what clients put
// there by mistake, so it is not logged.
func call(c echo.Context) string { return c.Request().Method + " " + c.Path() }
