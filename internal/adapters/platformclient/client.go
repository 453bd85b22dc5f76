package platformclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/adapters/httpsend"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

var _ ports.Platform = (*Client)(nil)

const (
	headerClient = "X-Client-Name"
	headerNotRun = "X-Not-Run"
)

// Options sets up a Client. Zero values take the defaults given with each
// field.
type Options struct {
	// Name is sent in X-Client-Name.
	Name string
	// Token returns the bearer token. It is called for each request, so that a
	// replaced credential takes effect. Nil sends none.
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
	setDefault(&o.ReadTimeout, time.Second)
	setDefault(&o.WriteTimeout, 2*time.Second)
	setDefault(&o.ReadTries, 3)
	setDefault(&o.Backoff, 50*time.Millisecond)
	setDefault(&o.MaxBody, 64<<20)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Client implements ports.Platform. Its methods may be called concurrently.
type Client struct {
	base      string
	opts      Options
	transport *http.Transport
	http      *http.Client
}

// New returns a client for the platform at base. It opens no connection.
func New(base string, opts Options) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, eris.Wrapf(err, "platform address %q", base)
	}
	if u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, eris.Errorf("platform address %q is not an http URL", base)
	}
	opts = opts.withDefaults()
	transport := httpsend.NewTransport(opts.Transport)
	return &Client{
		base:      strings.TrimSuffix(base, "/"),
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

// onceBody is a body that the transport cannot rewind and send again.
type onceBody struct{ io.Reader }

// send makes one try and returns the body of a successful response.
func (c *Client) send(ctx context.Context, k call) ([]byte, error) {
	ctx, tracker := httpsend.Track(ctx)
	req, err := http.NewRequestWithContext(ctx, k.method, c.base+k.path, onceBody{bytes.NewReader(k.body)})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ports.ErrUnavailable, err)
	}
	req.ContentLength = int64(len(k.body))
	req.Header.Set(headerClient, c.opts.Name)
	if c.opts.Token != nil {
		token, err := c.opts.Token()
		if err != nil {
			return nil, fmt.Errorf("%w: bearer token: %w", ports.ErrUnavailable, err)
		}
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if tracker.NotSent() {
			return nil, fmt.Errorf("%w: %w", ports.ErrUnavailable, err)
		}
		return nil, k.unclear(err)
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
		return &ports.ConflictError{Keys: f.Error.Keys}
	case http.StatusNotFound:
		if f.Error.Code == "not_found" {
			return fmt.Errorf("%w: %w", ports.ErrNotFound, status)
		}
	case http.StatusTooManyRequests:
		return fmt.Errorf("%w: %w", ports.ErrThrottled, status)
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden:
		return fmt.Errorf("%w: %w", ports.ErrUnavailable, status)
	case http.StatusServiceUnavailable:
		if resp.Header.Get(headerNotRun) == "true" {
			return fmt.Errorf("%w: %w", ports.ErrUnavailable, status)
		}
	}
	return k.unclear(status)
}

// read tries a read several times.
func (c *Client) read(ctx context.Context, k call) ([]byte, error) {
	longest := c.opts.Backoff
	for try := 1; ; try++ {
		body, err := c.readOnce(ctx, k)
		if err == nil || try == c.opts.ReadTries || !retryable(err) || ctx.Err() != nil {
			return body, err
		}
		if !wait(ctx, rand.N(longest)) {
			return nil, err
		}
		longest *= 2
	}
}

func (c *Client) readOnce(ctx context.Context, k call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ReadTimeout)
	defer cancel()
	return c.send(ctx, k)
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

func (c *Client) write(ctx context.Context, k call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.WriteTimeout)
	defer cancel()
	k.write = true
	return c.send(ctx, k)
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

type rowsResponse struct {
	Rows []ports.Row `json:"rows"`
}

type getRequest struct {
	Keys []string `json:"keys"`
}

// Get implements ports.Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]ports.Row, error) {
	var answer rowsResponse
	err := c.post(ctx, "/v1/table/get", getRequest{keys}, &answer)
	return answer.Rows, err
}

type scanRequest struct {
	Prefix string        `json:"prefix"`
	After  string        `json:"after"`
	Limit  int           `json:"limit"`
	Since  ports.Version `json:"since"`
}

// Scan implements ports.Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int, since ports.Version) ([]ports.Row, error) {
	var answer rowsResponse
	err := c.post(ctx, "/v1/table/scan", scanRequest{prefix, after, limit, since}, &answer)
	return answer.Rows, err
}

type commitRequest struct {
	Writes []ports.Write `json:"writes"`
}

type commitResponse struct {
	Version ports.Version `json:"version"`
}

// Commit implements ports.Table. It is sent once.
func (c *Client) Commit(ctx context.Context, writes ...ports.Write) (ports.Version, error) {
	body, err := json.Marshal(commitRequest{writes})
	if err != nil {
		return 0, eris.Wrap(err, "platform request")
	}
	answer, err := c.write(ctx, call{method: http.MethodPost, path: "/v1/table/commit", body: body})
	if err != nil {
		return 0, err
	}
	var parsed commitResponse
	if err := json.Unmarshal(answer, &parsed); err != nil || parsed.Version == 0 {
		return 0, fmt.Errorf("%w: response %q has no version", ports.ErrUnknownOutcome, answer)
	}
	return parsed.Version, nil
}

// Put implements ports.Objects. It is sent once; repeating it is safe, because
// a name is never reused for other content.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	_, err := c.write(ctx, call{method: http.MethodPut, path: "/v1/objects/" + escape(name), body: data})
	return err
}

// Read implements ports.Objects.
func (c *Client) Read(ctx context.Context, name string) ([]byte, error) {
	return c.read(ctx, call{method: http.MethodGet, path: "/v1/objects/" + escape(name)})
}

// escape keeps the slashes of a name.
func escape(name string) string {
	parts := strings.Split(name, "/")
	for i := range parts {
		parts[i] = url.PathEscape(parts[i])
	}
	return strings.Join(parts, "/")
}

// VMs implements ports.VMList.
func (c *Client) VMs(ctx context.Context) ([]domain.VM, error) {
	var vms []domain.VM
	err := c.get(ctx, "/v1/vms", &vms)
	return vms, err
}

type weightsResponse struct {
	Size int64 `json:"size"`
}

// Size implements ports.WeightStore.
func (c *Client) Size(ctx context.Context, artefact string) (int64, error) {
	var answer weightsResponse
	err := c.get(ctx, "/v1/weights/"+escape(artefact), &answer)
	return answer.Size, err
}
