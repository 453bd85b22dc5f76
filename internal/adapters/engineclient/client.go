package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/adapters/httpsend"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

var (
	_ ports.Engine  = (*Client)(nil)
	_ ports.Service = (*Client)(nil)
)

// Client speaks to one upstream. Its methods may be called concurrently.
type Client struct {
	base      string
	opts      Options
	transport *http.Transport
	probes    *http.Transport
	http      *http.Client
	probe     *http.Client
}

// New returns a client for the upstream at base, for example
// http://10.0.0.1:8000. It opens no connection.
func New(base string, opts Options) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, eris.Wrapf(err, "upstream address %q", base)
	}
	if u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, eris.Errorf("upstream address %q is not an http URL", base)
	}
	opts = opts.withDefaults()
	c := &Client{
		base:      strings.TrimSuffix(base, "/"),
		opts:      opts,
		transport: httpsend.NewTransport(opts.Transport),
		probes:    httpsend.NewTransport(opts.Transport),
	}
	c.probes.DisableKeepAlives = true
	c.http = &http.Client{Transport: c.transport, CheckRedirect: noRedirect}
	c.probe = &http.Client{Transport: c.probes, CheckRedirect: noRedirect}
	return c, nil
}

func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close closes idle connections. Streams in use stay open.
func (c *Client) Close() {
	c.ResetPool()
	c.probes.CloseIdleConnections()
}

// ResetPool closes idle connections, so that the next request opens a new one.
// Use it when a connection to the upstream went silent, because others may be
// silent too. A timed out request does so by itself.
func (c *Client) ResetPool() {
	c.transport.CloseIdleConnections()
}

// Generate starts an attempt. See ports.Engine. A response with another status
// is a *StatusError.
func (c *Client) Generate(ctx context.Context, req *ports.GenerateRequest) (ports.Stream, error) {
	body, err := requestBody(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ports.ErrNotSent, err)
	}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set("Accept", "text/event-stream")
	header.Set(headerRequestID, string(req.Attempt))
	return c.openStream(ctx, http.MethodPost, string(req.Endpoint), header, body, req.Attempt, 0)
}

// Reconnect continues a stream over a new connection. See ports.Engine.
func (c *Client) Reconnect(ctx context.Context, attempt domain.AttemptID, last int) (ports.Stream, error) {
	header := http.Header{}
	header.Set("Accept", "text/event-stream")
	if last >= 0 {
		header.Set(headerLastEventID, string(attempt)+":"+strconv.Itoa(last))
	}
	return c.openStream(ctx, http.MethodGet, streamPath(attempt), header, nil, attempt, max(last+1, 0))
}

func streamPath(attempt domain.AttemptID) string {
	return "/v1/streams/" + url.PathEscape(string(attempt))
}

// openStream sends a request whose answer is an event stream. Resumption uses
// the probe transport, because a pooled connection may be silent.
func (c *Client) openStream(ctx context.Context, method, path string, header http.Header, body []byte, attempt domain.AttemptID, first int) (ports.Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	client := c.http
	if method == http.MethodGet {
		client = c.probe
	}
	resp, err := c.send(ctx, client, method, path, header, bodyReader(body))
	if err != nil {
		cancel(nil)
		return nil, err
	}
	if err := checkStreamResponse(resp); err != nil {
		_ = resp.Body.Close()
		cancel(nil)
		return nil, err
	}
	return newStream(attempt, first, resp.Body, cancel, c.opts), nil
}

func checkStreamResponse(resp *http.Response) error {
	switch {
	case resp.Request.Method == http.MethodGet && (resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusGone):
		return fmt.Errorf("%w: status %d", ports.ErrStreamGone, resp.StatusCode)
	case resp.StatusCode != http.StatusOK:
		return newStatusError(resp)
	case !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		return fmt.Errorf("%w: content type %q is not an event stream", ports.ErrStreamBroken, resp.Header.Get("Content-Type"))
	}
	return nil
}

// send returns the response or an error that wraps ErrNotSent or
// ErrStreamBroken.
func (c *Client) send(ctx context.Context, client *http.Client, method, path string, header http.Header, body io.Reader) (*http.Response, error) {
	ctx, tracker := httpsend.Track(ctx)
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ports.ErrNotSent, err)
	}
	req.Header = header
	req.GetBody = nil
	resp, err := client.Do(req)
	if err != nil {
		if timedOut(err) {
			c.ResetPool()
		}
		return nil, sendError(tracker, err)
	}
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("%w: response has the invalid status %d", ports.ErrStreamBroken, resp.StatusCode)
	}
	return resp, nil
}

// minStatus and maxStatus bound the statuses that exist. net/http takes any three digits.
const (
	minStatus = 100
	maxStatus = 599
)

func timedOut(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func bodyReader(body []byte) io.Reader {
	if body == nil {
		return nil
	}
	return bytes.NewReader(body)
}

// onceBody is a body that the transport cannot rewind. The transport would
// send a request without a body twice if it has an Idempotency-Key and its
// connection breaks after the first write.
type onceBody struct{ io.Reader }

func readPrefix(r io.Reader) []byte {
	body, _ := io.ReadAll(io.LimitReader(r, maxErrorBody))
	return body
}

// requestBody returns the caller's body with the client's fields set.
func requestBody(req *ports.GenerateRequest) ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(req.Body, &fields); err != nil {
		return nil, eris.Wrap(err, "request body")
	}
	set := func(name string, value any) {
		fields[name], _ = json.Marshal(value)
	}
	set("stream", true)
	set("stream_options", streamOptions{IncludeUsage: true})
	set("priority", req.Priority)
	if req.Model != "" {
		set("model", req.Model)
	}
	if req.Adapter != "" {
		set("adapter", req.Adapter)
	}
	delete(fields, "prompt_suffix")
	if req.PromptSuffix != "" {
		set("prompt_suffix", req.PromptSuffix)
	}
	if err := reduceLimits(fields, req.SkipTokens); err != nil {
		return nil, err
	}
	return json.Marshal(fields)
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// reduceLimits takes the tokens already sent off the engine's token budget.
func reduceLimits(fields map[string]json.RawMessage, skip int) error {
	if skip == 0 {
		return nil
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		raw, ok := fields[name]
		if !ok || string(raw) == "null" {
			continue
		}
		limit, err := strconv.Atoi(string(raw))
		if err != nil {
			return eris.Wrapf(err, "field %s", name)
		}
		fields[name] = strconv.AppendInt(nil, int64(max(limit-skip, 0)), 10)
	}
	return nil
}

// call sends a short request and returns the whole response body.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, header http.Header, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if header == nil {
		header = http.Header{}
	}
	return c.callOn(ctx, c.http, method, path, header, body)
}

func (c *Client) callOn(ctx context.Context, client *http.Client, method, path string, header http.Header, body []byte) ([]byte, error) {
	resp, err := c.send(ctx, client, method, path, header, bodyReader(body))
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, newStatusError(resp)
	}
	return c.readBody(resp.Body)
}

// readBody reads a whole response within the size limit.
func (c *Client) readBody(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, c.opts.MaxBody+1))
	if err != nil {
		return nil, fmt.Errorf("%w: response body: %w", ports.ErrStreamBroken, err)
	}
	if int64(len(body)) > c.opts.MaxBody {
		return nil, fmt.Errorf("%w: response body over %d bytes: %w", ports.ErrStreamBroken, c.opts.MaxBody, errTooLong)
	}
	return body, nil
}
