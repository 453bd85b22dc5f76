package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// Cancel stops an attempt. An attempt that the engine does not know counts as
// stopped. A try that gets no response is repeated over a new connection,
// because the reason for a cancellation is often a silent connection.
func (c *Client) Cancel(ctx context.Context, attempt domain.AttemptID) error {
	_, err := c.call(ctx, c.opts.CallTimeout/2, http.MethodDelete, streamPath(attempt), nil, nil)
	if err != nil && statusOf(err) == 0 && ctx.Err() == nil {
		err = c.cancelAnew(ctx, attempt)
	}
	if status := statusOf(err); status == http.StatusNotFound || status == http.StatusGone {
		return nil
	}
	return err
}

func (c *Client) cancelAnew(ctx context.Context, attempt domain.AttemptID) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout/2)
	defer cancel()
	_, err := c.callOn(ctx, c.probe, http.MethodDelete, streamPath(attempt), http.Header{}, nil)
	return err
}

// statusOf returns the status of a *StatusError, or 0.
func statusOf(err error) int {
	var statusErr *StatusError
	if errors.As(err, &statusErr) {
		return statusErr.Status
	}
	return 0
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context) (ports.LoadReport, error) {
	var report ports.LoadReport
	err := c.getJSON(ctx, "/load", &report)
	return report, err
}

// CacheEvents returns the cache events behind a sequence number.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]ports.CacheEvent, error) {
	var events []ports.CacheEvent
	err := c.getJSON(ctx, "/cache/events?after="+strconv.FormatUint(after, 10), &events)
	return events, err
}

func (c *Client) getJSON(ctx context.Context, path string, into any) error {
	body, err := c.call(ctx, c.opts.CallTimeout, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	return eris.Wrapf(json.Unmarshal(body, into), "response to %s", path)
}

// Order applies desired content. See ports.Engine.
func (c *Client) Order(ctx context.Context, order ports.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return eris.Wrap(err, "order")
	}
	header := http.Header{"Content-Type": {"application/json"}}
	_, err = c.call(ctx, c.opts.CallTimeout, http.MethodPost, "/orders", header, body)
	if statusOf(err) == http.StatusConflict {
		return fmt.Errorf("%w: order %s with token %d", ports.ErrStaleFencingToken, order.ID, order.Fencing)
	}
	return err
}

// ExportKV returns the KV cache of an attempt.
func (c *Client) ExportKV(ctx context.Context, attempt domain.AttemptID) ([]byte, error) {
	return c.call(ctx, c.opts.TransferTimeout, http.MethodPost, "/kv/export", attemptHeader(attempt), nil)
}

// ImportKV loads the KV cache of an attempt.
func (c *Client) ImportKV(ctx context.Context, attempt domain.AttemptID, data []byte) error {
	header := attemptHeader(attempt)
	header.Set("Content-Type", "application/octet-stream")
	_, err := c.call(ctx, c.opts.TransferTimeout, http.MethodPost, "/kv/import", header, data)
	return err
}

func attemptHeader(attempt domain.AttemptID) http.Header {
	header := http.Header{}
	header.Set(headerRequestID, string(attempt))
	return header
}

// Probe checks over a new connection that the upstream answers. Any response
// counts.
func (c *Client) Probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	resp, err := c.send(ctx, c.probe, http.MethodGet, "/health", http.Header{}, nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Call sends one call to a plain service. See ports.Service. Any response that
// is not a refusal is returned, whatever its status.
func (c *Client) Call(ctx context.Context, req *ports.ServiceRequest) (*ports.ServiceResponse, error) {
	header := req.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(headerRequestID, string(req.Attempt))
	header.Del(headerIdempotency)
	if req.IdempotencyKey != "" {
		header.Set(headerIdempotency, req.IdempotencyKey)
	}
	var body io.Reader = onceBody{http.NoBody}
	if len(req.Body) > 0 {
		body = bytes.NewReader(req.Body)
	}
	resp, err := c.send(ctx, c.http, req.Method, req.Path, header, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if refused(resp) {
		return nil, newStatusError(resp)
	}
	answer, err := c.readBody(resp.Body)
	if err != nil {
		return nil, err
	}
	return &ports.ServiceResponse{Status: resp.StatusCode, Header: resp.Header, Body: answer}, nil
}
