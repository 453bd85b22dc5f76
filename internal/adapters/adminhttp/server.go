package adminhttp

import (
	_ "embed"
	"net/http"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/auburndyke/auburndyke/internal/administration"
)

//go:embed openapi.yaml
var openAPI []byte

// Failed authentications above this rate are answered with 429 and not logged,
// so that guessing cannot fill the log.
const (
	failedAuthPerSecond = 5
	failedAuthBurst     = 20
)

// server holds what the handlers share.
type server struct {
	control Control
	options Options
	running chan struct{}
	changes chan struct{}
	failed  *rate.Limiter
}

// access says who may make a call at all. Changes are checked further by what
// they change.
type access int

const (
	// accessRead is for every token.
	accessRead access = iota
	// accessChange is for tokens that may change something.
	accessChange
	// accessOperator is for operators.
	accessOperator
)

// handler serves an authenticated call.
type handler func(c echo.Context, who administration.Principal) error

// route is one call of the API.
type route struct {
	method string
	path   string
	access access
	serve  handler
}

// NewServer returns an HTTP server for operators. The caller of NewServer
// chooses the listener and the TLS configuration.
func NewServer(control Control, options Options) *http.Server {
	s := newServer(control, options)
	return &http.Server{
		Handler:           s.router(),
		ReadHeaderTimeout: s.options.HeaderTimeout,
		ReadTimeout:       s.options.BodyTimeout,
		WriteTimeout:      s.options.WriteTimeout,
		IdleTimeout:       s.options.IdleTimeout,
		MaxHeaderBytes:    s.options.MaxHeaderBytes,
	}
}

func newServer(control Control, options Options) *server {
	s := &server{control: control, options: options.withDefaults()}
	s.running = make(chan struct{}, s.options.MaxConcurrent)
	s.changes = make(chan struct{}, s.options.MaxChanges)
	s.failed = rate.NewLimiter(failedAuthPerSecond, failedAuthBurst)
	return s
}

// routes lists the calls of the API.
func (s *server) routes() []route {
	return []route{
		{http.MethodGet, "/admin/v1/openapi.yaml", accessRead, s.description},
		{http.MethodGet, "/admin/v1/config", accessRead, s.getConfig},
		{http.MethodPut, "/admin/v1/config", accessChange, s.replaceConfig},
		{http.MethodPatch, "/admin/v1/config", accessChange, s.applyConfig},
		{http.MethodGet, "/admin/v1/config/history", accessRead, s.history},
		{http.MethodPost, "/admin/v1/config/rollforward", accessOperator, s.rollForward},
		{http.MethodGet, "/admin/v1/items/:kind", accessRead, s.listItems},
		{http.MethodGet, "/admin/v1/items/:kind/:id", accessRead, s.getItem},
		{http.MethodPut, "/admin/v1/items/:kind/:id", accessChange, s.putItem},
		{http.MethodDelete, "/admin/v1/items/:kind/:id", accessChange, s.removeItem},
		{http.MethodPatch, "/admin/v1/items/:kind/:id/labels", accessChange, s.changeLabels},
		{http.MethodPut, "/admin/v1/items/customers/:id/weight", accessChange, s.setWeight},
		{http.MethodPost, "/admin/v1/upstreams/:id/drain", accessOperator, s.drain},
		{http.MethodPost, "/admin/v1/upstreams/:id/undrain", accessOperator, s.undrain},
		{http.MethodGet, "/admin/v1/drains", accessRead, s.drains},
		{http.MethodGet, "/admin/v1/status", accessRead, s.status},
		{http.MethodGet, "/admin/v1/explain", accessRead, s.explain},
	}
}

func (s *server) router() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.handleError
	e.Use(secureHeaders)
	e.GET("/healthz", s.health)
	e.GET("/readyz", s.ready)
	e.GET("/metrics", s.metrics)
	e.GET("/admin/", s.page)
	for _, r := range s.routes() {
		e.Add(r.method, r.path, s.authorized(r))
	}
	return e
}

// secureHeaders keeps answers out of caches and the page out of frames.
func secureHeaders(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		h := c.Response().Header()
		h.Set("Cache-Control", "no-store")
		h.Set("X-Content-Type-Options", "nosniff")
		h.Set("X-Frame-Options", "DENY")
		h.Set("Referrer-Policy", "no-referrer")
		h.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
		return next(c)
	}
}

func (s *server) health(c echo.Context) error { return c.String(http.StatusOK, "ok\n") }

func (s *server) ready(c echo.Context) error {
	if ok, reason := s.control.Ready(); !ok {
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (s *server) metrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4; charset=utf-8")
	c.Response().WriteHeader(http.StatusOK)
	return s.options.Metrics.WritePrometheus(c.Response())
}

func (s *server) description(c echo.Context, _ administration.Principal) error {
	return c.Blob(http.StatusOK, "application/yaml", openAPI)
}
