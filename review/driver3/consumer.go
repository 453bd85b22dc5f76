package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// consumer sends requests to one daemon over kept channels.
type consumer struct {
	name   string
	front  string
	prefix string
	method string
	// header returns further headers of the n-th request.
	header func(n int) map[string]string
	// events is the number of events after which the consumer's channel breaks. Zero means
	// that it does not.
	events int
	wait   time.Duration
	client *http.Client
	sent   atomic.Int64
}

// outcome is how a request ended for its consumer.
type outcome struct {
	id     string
	sentAt time.Time
	status int
	sealed bool
	body   string
	err    error
}

func newConsumer(name, front, prefix string, wait time.Duration) *consumer {
	return &consumer{
		name: name, front: front, prefix: prefix, method: http.MethodPost, wait: wait,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
	}
}

// send sends one request and reads its answer.
func (c *consumer) send(ctx context.Context) (o outcome) {
	n := int(c.sent.Add(1))
	o = outcome{id: fmt.Sprintf("%s-%d", c.name, n), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, c.wait+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.front+c.prefix+"2f", strings.NewReader("a request of "+o.id))
	if err != nil {
		o.err = err
		return o
	}
	req.GetBody = nil // the client must not repeat requests by itself
	req.Host = host
	req.Header.Set("X-Attempt-Id", o.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(c.wait.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if c.header != nil {
		for name, value := range c.header(n) {
			req.Header.Set(name, value)
		}
	}
	resp, err := c.client.Do(req)
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	o.status, o.sealed = resp.StatusCode, resp.Header.Get("X-Replica-Seal") != ""
	o.body, o.err = c.read(resp.Body)
	return o
}

// read reads an answer to its end, or as many events as the consumer gets before its channel
// breaks.
func (c *consumer) read(answer io.Reader) (string, error) {
	if c.events == 0 {
		body, err := io.ReadAll(answer)
		return string(body), err
	}
	var body strings.Builder
	lines := bufio.NewReader(answer)
	for ends := 0; ends < c.events; {
		line, err := lines.ReadString('\n')
		body.WriteString(line)
		if err != nil {
			return body.String(), err
		}
		if line == "\n" {
			ends++
		}
	}
	return body.String(), nil
}

// outcomes collects how requests ended.
type outcomes struct {
	mu  sync.Mutex
	all []outcome
}

func (s *outcomes) add(o outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, o)
}

func (s *outcomes) list() []outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]outcome(nil), s.all...)
}

// sendEvery sends requests at an interval until ctx ends, each in its own time, and waits
// for their ends. At most limit are in progress.
func (c *consumer) sendEvery(ctx context.Context, interval time.Duration, limit int, s *outcomes) {
	var wait sync.WaitGroup
	defer wait.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	slots := make(chan struct{}, limit)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		select {
		case slots <- struct{}{}:
		default:
			continue
		}
		wait.Go(func() {
			defer func() { <-slots }()
			s.add(c.send(context.WithoutCancel(ctx)))
		})
	}
}
