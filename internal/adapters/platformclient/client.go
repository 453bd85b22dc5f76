package platformclient

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/adapters/httpsend"
	"github.com/auburndyke/auburndyke/internal/ports"
)

var _ ports.Platform = (*Client)(nil)

const (
	headerClient = "X-Client-Name"
	headerNotRun = "X-Not-Run"
)

var (
	errUnauthorized = errors.New("credential was not accepted")
	// errNotSent means that no byte of the request was written.
	errNotSent = errors.New("request was not sent")
)

// Options sets up a Client. Zero values take the defaults given with each
// field.
type Options struct {
	// Name is sent in X-Client-Name.
	Name string
	// Token returns the bearer token; see FileToken. It is called for each
	// request, and a request that was rejected with 401 is sent again if the
	// token has changed. Nil sends none.
	Token func() (string, error)
	// Transport holds pool sizes and connection timeouts.
	Transport httpsend.Options
	// ReadTimeout bounds one try of a read. Default 1 s.
	ReadTimeout time.Duration
	// WriteTimeout bounds a write. Default 2 s.
	WriteTimeout time.Duration
	// ReadTries is how often a read is tried. Default 3.
	ReadTries int
	// Backoff is the longest wait before the second try of a read; it doubles
	// with each further try. The wait is uniform between zero and that.
	// Default 50 ms.
	Backoff time.Duration
	// MaxBody bounds a response. Default 64 MiB.
	MaxBody int64
}

func (o Options) withDefaults() Options {
	o.ReadTimeout = cmp.Or(o.ReadTimeout, time.Second)
	o.WriteTimeout = cmp.Or(o.WriteTimeout, 2*time.Second)
	o.ReadTries = cmp.Or(o.ReadTries, 3)
	o.Backoff = cmp.Or(o.Backoff, 50*time.Millisecond)
	o.MaxBody = cmp.Or(o.MaxBody, 64<<20)
	return o
}

// Client implements ports.Platform. Its methods may be called concurrently.
type Client struct {
	points    []*accessPoint
	opts      Options
	transport *http.Transport
	http      *http.Client
}

// New returns a client for the platform at base. It opens no connection.
func New(base string, opts Options) (*Client, error) {
	return NewFailover([]string{base}, opts)
}

// NewFailover returns a client for equivalent access points in order of
// preference. It opens no connection.
func NewFailover(bases []string, opts Options) (*Client, error) {
	points, err := newAccessPoints(bases)
	if err != nil {
		return nil, err
	}
	opts = opts.withDefaults()
	opts.ReadTries = max(opts.ReadTries, len(points))
	transport := httpsend.NewTransport(opts.Transport)
	return &Client{
		points:    points,
		opts:      opts,
		transport: transport,
		http:      &http.Client{Transport: transport, CheckRedirect: noRedirect},
	}, nil
}

func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// call describes one request.
type call struct {
	method string
	path   string
	body   []byte
	write  bool
}

// send makes one try and returns the body of a successful response.
func (c *Client) send(ctx context.Context, k call, to *accessPoint) ([]byte, error) {
	body, err := c.sendTo(ctx, k, to)
	to.note(time.Now(), err)
	return body, err
}

func (c *Client) sendTo(ctx context.Context, k call, to *accessPoint) ([]byte, error) {
	token, err := c.token()
	if err != nil {
		return nil, err
	}
	body, err := c.sendAs(ctx, k, to, token)
	if !errors.Is(err, errUnauthorized) {
		return body, err
	}
	// The platform rejected the credential before any effect.
	fresh, tokenErr := c.token()
	if tokenErr != nil || fresh == token {
		return nil, err
	}
	return c.sendAs(ctx, k, to, fresh)
}

func (c *Client) token() (string, error) {
	if c.opts.Token == nil {
		return "", nil
	}
	token, err := c.opts.Token()
	if err != nil {
		return "", fmt.Errorf("%w: bearer token: %w", ports.ErrUnavailable, err)
	}
	return token, nil
}

func (c *Client) sendAs(ctx context.Context, k call, to *accessPoint, token string) ([]byte, error) {
	ctx, tracker := httpsend.Track(ctx)
	req, err := http.NewRequestWithContext(ctx, k.method, to.base+k.path, bytes.NewReader(k.body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ports.ErrUnavailable, err)
	}
	if k.write {
		// Without GetBody the transport cannot send a write twice.
		req.GetBody = nil
		req.Body = io.NopCloser(req.Body)
	}
	req.Header.Set(headerClient, c.opts.Name)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, c.sendError(tracker, k, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.opts.MaxBody+1))
	if err != nil {
		return nil, k.unclear(err)
	}
	if int64(len(body)) > c.opts.MaxBody {
		return nil, k.unclear(eris.Errorf("response over %d bytes", c.opts.MaxBody))
	}
	return body, k.check(resp, body)
}

// sendError classifies a failure without a response. After a timeout the
// pooled connections may be silent, so the next call opens a new one.
func (c *Client) sendError(tracker *httpsend.Tracker, k call, err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		c.transport.CloseIdleConnections()
	}
	if tracker.NotSent() {
		return fmt.Errorf("%w: %w: %w", ports.ErrUnavailable, errNotSent, err)
	}
	return k.unclear(err)
}

// unclear classifies a failure after the request may have been sent. A read
// has no effect.
func (k call) unclear(err error) error {
	if k.write {
		return fmt.Errorf("%w: %w", ports.ErrUnknownOutcome, err)
	}
	return fmt.Errorf("%w: %w", ports.ErrUnavailable, err)
}

type failure struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Code    string   `json:"code"`
	Message string   `json:"message"`
	Keys    []string `json:"keys"`
}

// check maps a response's status to an error. The platform answers 400, 401,
// 403, 409 and 429 before any effect; a 503 only with X-Not-Run.
func (k call) check(resp *http.Response, body []byte) error {
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	var f failure
	_ = json.Unmarshal(body, &f)
	status := fmt.Errorf("platform answered %d %s: %s", resp.StatusCode, f.Error.Code, f.Error.Message)
	switch resp.StatusCode {
	case http.StatusConflict:
		if f.Error.Code == "conflict" {
			return &ports.ConflictError{Keys: f.Error.Keys}
		}
	case http.StatusNotFound:
		if f.Error.Code == "not_found" {
			return fmt.Errorf("%w: %w", ports.ErrNotFound, status)
		}
	case http.StatusTooManyRequests:
		return fmt.Errorf("%w: %w", ports.ErrThrottled, status)
	case http.StatusUnauthorized:
		return fmt.Errorf("%w: %w: %w", ports.ErrUnavailable, errUnauthorized, status)
	case http.StatusBadRequest, http.StatusForbidden:
		return fmt.Errorf("%w: %w", ports.ErrUnavailable, status)
	case http.StatusServiceUnavailable:
		if resp.Header.Get(headerNotRun) == "true" {
			return fmt.Errorf("%w: %w", ports.ErrUnavailable, status)
		}
	}
	return k.unclear(status)
}

// read tries a read several times, each time at the next access point.
func (c *Client) read(ctx context.Context, k call) ([]byte, error) {
	longest := c.opts.Backoff
	order := c.order(time.Now())
	for try := 1; ; try++ {
		body, err := c.readOnce(ctx, k, order[(try-1)%len(order)])
		if err == nil || try == c.opts.ReadTries || !retryable(err) || ctx.Err() != nil {
			return body, err
		}
		if !wait(ctx, rand.N(longest)) {
			return nil, err
		}
		longest *= 2
	}
}

func (c *Client) readOnce(ctx context.Context, k call, to *accessPoint) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ReadTimeout)
	defer cancel()
	return c.send(ctx, k, to)
}

func retryable(err error) bool {
	return errors.Is(err, ports.ErrUnavailable) || errors.Is(err, ports.ErrThrottled)
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// write sends to one access point, and to another one only if no byte of the
// request was written before.
func (c *Client) write(ctx context.Context, k call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.WriteTimeout)
	defer cancel()
	k.write = true
	var body []byte
	var err error
	for _, to := range c.order(time.Now()) {
		body, err = c.send(ctx, k, to)
		if !errors.Is(err, errNotSent) || ctx.Err() != nil {
			break
		}
	}
	return body, err
}

// post sends a JSON read and decodes the answer.
func (c *Client) post(ctx context.Context, path string, request, into any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return eris.Wrap(err, "platform request")
	}
	answer, err := c.read(ctx, call{method: http.MethodPost, path: path, body: body})
	if err != nil {
		return err
	}
	return parse(answer, into)
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	answer, err := c.read(ctx, call{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	return parse(answer, into)
}

func parse(answer []byte, into any) error {
	if err := json.Unmarshal(answer, into); err != nil {
		return fmt.Errorf("%w: response: %w", ports.ErrUnavailable, err)
	}
	return nil
}
