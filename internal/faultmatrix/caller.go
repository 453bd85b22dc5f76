package faultmatrix

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

const (
	callerHost   = "caller"
	operatorHost = "operator"
	// tryTimeout is how long a caller waits for one answer before it gives up
	// and turns to another daemon.
	tryTimeout = 60 * time.Second
)

// try is what a caller received for one request.
type try struct {
	daemon   domain.DaemonID
	start    time.Time
	end      time.Time
	status   int
	outcome  domain.Outcome
	code     domain.FailureCode
	text     string
	complete bool
	// refused means that no connection was set up.
	refused bool
	// broken is the error of the connection.
	broken error
}

// caller sends requests over the in-memory network.
type caller struct {
	client *http.Client
}

func newCaller(n *network) *caller {
	// A new connection for each request keeps a closed idle connection from
	// looking like a cut request.
	return &caller{client: &http.Client{Transport: &http.Transport{
		DialContext:       n.Dial(callerHost),
		DisableKeepAlives: true,
	}}}
}

type message struct {
	path   string
	class  domain.ClassID
	apiKey string
	// idempotencyKey is empty for generations.
	idempotencyKey string
	body           []byte
}

func (c *caller) send(ctx context.Context, daemon domain.DaemonID, url string, m *message) try {
	t := try{daemon: daemon, start: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	t.receive(c, ctx, url, m)
	t.end = time.Now()
	return t
}

func (t *try) receive(c *caller, ctx context.Context, url string, m *message) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+m.path, bytes.NewReader(m.body))
	if err != nil {
		t.broken = err
		return
	}
	request.Header.Set("Authorization", "Bearer "+m.apiKey)
	request.Header.Set("Auburndyke-Class", string(m.class))
	if m.idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", m.idempotencyKey)
	}
	response, err := c.client.Do(request)
	if err != nil {
		t.refused = strings.Contains(err.Error(), "connection refused")
		t.broken = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	t.status = response.StatusCode
	t.outcome = domain.Outcome(response.Header.Get("Auburndyke-Outcome"))
	switch {
	case response.StatusCode != http.StatusOK:
		t.broken = t.readError(response.Body)
	case m.idempotencyKey != "":
		t.broken = t.readWhole(response.Body)
	default:
		t.broken = t.readStream(response.Body)
	}
}

type failure struct {
	Code    domain.FailureCode
	Outcome domain.Outcome
}

func (t *try) readError(body io.Reader) error {
	var e struct{ Error failure }
	err := json.NewDecoder(body).Decode(&e)
	t.code = e.Error.Code
	return err
}

func (t *try) readWhole(body io.Reader) error {
	data, err := io.ReadAll(body)
	t.text = string(data)
	t.complete = err == nil
	return err
}

func (t *try) readStream(body io.Reader) error {
	var text strings.Builder
	defer func() { t.text = text.String() }()
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			t.complete = true
			return nil
		}
		var chunk struct {
			Choices []struct{ Text string }
			Error   *failure
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return err
		}
		if chunk.Error != nil {
			t.code, t.outcome = chunk.Error.Code, chunk.Error.Outcome
			return nil
		}
		if len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Text)
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}
