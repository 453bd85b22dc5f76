package callerhttp

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/gateway"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// Options bounds what one caller can take.
type Options struct {
	// MaxBodyBytes bounds a request's body. Default 4 MiB.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds a request's header. Default 32 KiB.
	MaxHeaderBytes int
	// HeaderTimeout bounds the time to send a header. Default 5 s.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time to send a request. Default 30 s.
	BodyTimeout time.Duration
	// WriteTimeout bounds each write to a caller. Default 10 s.
	WriteTimeout time.Duration
	// IdleTimeout closes idle connections. Default 2 min.
	IdleTimeout time.Duration
}

func (o Options) withDefaults() Options {
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = 4 << 20
	}
	if o.MaxHeaderBytes == 0 {
		o.MaxHeaderBytes = 32 << 10
	}
	if o.HeaderTimeout == 0 {
		o.HeaderTimeout = 5 * time.Second
	}
	if o.BodyTimeout == 0 {
		o.BodyTimeout = 30 * time.Second
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = 10 * time.Second
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = 2 * time.Minute
	}
	return o
}

// server holds what the handlers share.
type server struct {
	gateway Gateway
	options Options
}

// NewServer returns an HTTP server for callers. The caller of NewServer
// chooses the listener and the TLS configuration.
func NewServer(gateway Gateway, options Options) *Server {
	s := &server{gateway: gateway, options: options.withDefaults()}
	router := s.routes()
	out := &Server{served: make(chan struct{})}
	router.Use(out.closeWhenDraining)
	out.Server = &http.Server{
		Handler:           router,
		ConnState:         out.onConnState,
		ReadHeaderTimeout: s.options.HeaderTimeout,
		IdleTimeout:       s.options.IdleTimeout,
		MaxHeaderBytes:    s.options.MaxHeaderBytes,
	}
	return out
}

func (s *server) routes() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		if !c.Response().Committed {
			_ = writeFailure(c, httpFailure(err))
		}
	}
	e.GET("/healthz", s.health)
	e.GET("/readyz", s.ready)
	e.GET("/v1/models", s.models)
	e.POST(string(ports.EndpointChat), s.generate(ports.EndpointChat))
	e.POST(string(ports.EndpointCompletion), s.generate(ports.EndpointCompletion))
	e.Any("/services/:service/*", s.call)
	return e
}

// httpFailure turns an error of the HTTP library, such as an unknown path,
// into the protocol's error.
func httpFailure(err error) *domain.Failure {
	var known *echo.HTTPError
	if errors.As(err, &known) && known.Code < http.StatusInternalServerError {
		return invalid(http.StatusText(known.Code))
	}
	return &domain.Failure{Code: domain.CodeUpstreamFailed, Outcome: domain.OutcomeUnknown, Message: "internal error"}
}

func (s *server) health(c echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

func (s *server) ready(c echo.Context) error {
	if ok, reason := s.gateway.Ready(); !ok {
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (s *server) models(c echo.Context) error {
	customer, failure := s.authenticate(c)
	if failure != nil {
		return writeFailure(c, failure)
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, id := range s.gateway.Models(customer) {
		list.Data = append(list.Data, modelEntry{ID: string(id), Object: "model", OwnedBy: "auburndyke"})
	}
	return c.JSON(http.StatusOK, list)
}

func (s *server) authenticate(c echo.Context) (domain.CustomerID, *domain.Failure) {
	if ok, reason := s.gateway.Accepting(); !ok {
		return "", domain.NotRun(domain.CodeNotReady, reason)
	}
	scheme, key, found := strings.Cut(c.Request().Header.Get("Authorization"), " ")
	if found && strings.EqualFold(scheme, "Bearer") {
		if customer, ok := s.gateway.Authenticate(strings.TrimSpace(key)); ok {
			return customer, nil
		}
	}
	return "", domain.NotRun(domain.CodeUnauthorized, "the API key is missing or unknown")
}

func (s *server) generate(endpoint ports.Endpoint) echo.HandlerFunc {
	return func(c echo.Context) error {
		customer, failure := s.authenticate(c)
		if failure != nil {
			return writeFailure(c, failure)
		}
		data, failure := s.readBody(c)
		if failure != nil {
			return writeFailure(c, failure)
		}
		generation, failure := ParseGeneration(endpoint, data)
		if failure != nil {
			return writeFailure(c, failure)
		}
		generation.Request = newRequestID()
		generation.Customer = customer
		generation.Class = domain.ClassID(c.Request().Header.Get(HeaderClass))
		if generation.Stream {
			return s.stream(c, generation)
		}
		return s.whole(c, generation)
	}
}

func (s *server) stream(c echo.Context, g *gateway.Generation) error {
	sink := newStreamSink(c, g.Request, s.options.WriteTimeout)
	failure := s.gateway.Generate(c.Request().Context(), g, sink)
	switch {
	case failure == nil:
		return sink.finish()
	case sink.started:
		return sink.fail(failure)
	default:
		return writeFailure(c, failure)
	}
}

func (s *server) whole(c echo.Context, g *gateway.Generation) error {
	sink := &wholeSink{}
	if failure := s.gateway.Generate(c.Request().Context(), g, sink); failure != nil {
		return writeFailure(c, failure)
	}
	header := c.Response().Header()
	header.Set("X-Request-Id", string(g.Request))
	header.Set(HeaderOutcome, string(domain.OutcomeRan))
	return c.JSON(http.StatusOK, sink.completion(g, time.Now()))
}

func (s *server) call(c echo.Context) error {
	customer, failure := s.authenticate(c)
	if failure != nil {
		return writeFailure(c, failure)
	}
	data, failure := s.readBody(c)
	if failure != nil {
		return writeFailure(c, failure)
	}
	request := c.Request()
	path := "/" + c.Param("*")
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	answer, failure := s.gateway.Call(request.Context(), &gateway.ServiceCall{
		Request:        newRequestID(),
		Customer:       customer,
		Class:          domain.ClassID(request.Header.Get(HeaderClass)),
		Service:        c.Param("service"),
		Method:         request.Method,
		Path:           path,
		Header:         forwardedHeader(request.Header),
		Body:           data,
		IdempotencyKey: request.Header.Get("Idempotency-Key"),
	})
	if failure != nil {
		return writeFailure(c, failure)
	}
	return writeAnswer(c, answer)
}

// forwardedHeader keeps the header fields that describe the body. Credentials
// of the caller stay here.
func forwardedHeader(in http.Header) http.Header {
	out := make(http.Header)
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language"} {
		if values := in.Values(name); len(values) > 0 {
			out[name] = values
		}
	}
	return out
}

func writeAnswer(c echo.Context, answer *ports.ServiceResponse) error {
	header := c.Response().Header()
	for _, name := range []string{"Content-Type", "Content-Language", "Location", "Idempotent-Replayed"} {
		if value := answer.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	header.Set(HeaderOutcome, string(domain.OutcomeRan))
	c.Response().WriteHeader(answer.Status)
	_, err := c.Response().Write(answer.Body)
	return err
}

// readBody reads a bounded body within the body timeout.
func (s *server) readBody(c echo.Context) ([]byte, *domain.Failure) {
	control := http.NewResponseController(c.Response().Writer)
	// Test recorders have no connection; the limit on size still applies.
	_ = control.SetReadDeadline(time.Now().Add(s.options.BodyTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body := http.MaxBytesReader(c.Response().Writer, c.Request().Body, s.options.MaxBodyBytes)
	data, err := io.ReadAll(body)
	if err == nil {
		return data, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, invalid("the body is larger than the limit")
	}
	return nil, invalid(eris.Wrap(err, "the body could not be read").Error())
}

func newRequestID() domain.RequestID {
	return domain.RequestID("req-" + uuid.NewString())
}
