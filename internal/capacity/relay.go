package capacity

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/auburndyke/auburndyke/internal/adapters/callerhttp"
	"github.com/auburndyke/auburndyke/internal/adapters/engineclient"
	"github.com/auburndyke/auburndyke/internal/gateway"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/routing"
	"github.com/auburndyke/auburndyke/internal/standin/engine"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// probePrefix starts the prompts of the load generator; the number behind it
// identifies the stream.
const probePrefix = "stream "

// relay is a daemon's request path with stand-in engines on loopback.
type relay struct {
	engines []*engine.Engine
	servers []*http.Server
	clients map[string]*engineclient.Client
	targets []string // engines, for direct requests
	daemon  string
	caller  *http.Client
	stamps  sync.Map // stream number -> *stamps
}

// stamps are the times at which an engine wrote the events of one stream.
type stamps struct {
	mu    sync.Mutex
	times []time.Time
}

// newRelay starts engines that produce a token per interval and stream, or as
// fast as possible with a speed.
func newRelay(engines, slots int, interval time.Duration, speed float64) (*relay, error) {
	r := &relay{clients: map[string]*engineclient.Client{}, caller: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2000, MaxIdleConns: 0}}}
	d, err := wideDocument(engines, 1)
	if err != nil {
		return nil, err
	}
	for i := range engines {
		e := engine.New(engine.Config{
			ID: upstreamID(i), Models: []string{string(modelID(0))}, Slots: slots, QueueLimit: slots,
			BaseInterval: interval, IntervalSlope: time.Nanosecond, PrefillPerToken: time.Microsecond, Speed: speed,
		})
		address, err := r.serve(r.stamping(e))
		if err != nil {
			return nil, err
		}
		r.engines = append(r.engines, e)
		r.targets = append(r.targets, "http://"+address)
		d.Upstreams[i].Address, d.Upstreams[i].Slots = address, slots
		client, err := engineclient.New("http://"+address, engineclient.Options{})
		if err != nil {
			return nil, err
		}
		r.clients[address] = client
	}
	return r, r.startDaemon(d)
}

func (r *relay) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	r.servers = append(r.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

func (r *relay) startDaemon(d *policy.Document) error {
	p, err := compiled(d, nil)
	if err != nil {
		return err
	}
	g := gateway.New(gateway.Options{
		Backend: func(address string) (gateway.Backend, error) { return r.clients[address], nil },
		Log:     telemetry.NewLog(io.Discard, zerolog.InfoLevel, string(daemonID(0))),
		Metrics: telemetry.NewMetrics(),
		Seed:    1,
	})
	g.Apply(time.Now(), p, routing.Site{Daemon: daemonID(0), Region: regionOf(0), Zone: zoneOf(0)}, 1)
	g.SetReady()
	server := callerhttp.NewServer(g, callerhttp.Options{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.servers = append(r.servers, server.Server)
	r.daemon = "http://" + l.Addr().String()
	go func() { _ = server.Serve(l) }()
	return nil
}

func (r *relay) close() {
	r.caller.CloseIdleConnections()
	for _, s := range r.servers {
		_ = s.Close()
	}
	for _, c := range r.clients {
		c.Close()
	}
	for _, e := range r.engines {
		_ = e.Close()
	}
}

// stamping records when an engine writes events of streams that a latency
// measurement has registered.
func (r *relay) stamping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		if s, ok := r.stamps.Load(streamNumber(body)); ok {
			w = &stampWriter{ResponseWriter: w, stamps: s.(*stamps)}
		}
		next.ServeHTTP(w, req)
	})
}

func streamNumber(body []byte) int {
	_, rest, _ := strings.Cut(string(body), probePrefix)
	digits, _, _ := strings.Cut(rest, " ")
	n, err := strconv.Atoi(digits)
	if err != nil {
		return -1
	}
	return n
}

type stampWriter struct {
	http.ResponseWriter
	stamps *stamps
}

// Write implements http.ResponseWriter.
func (w *stampWriter) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte(`"text"`)) {
		w.stamps.mu.Lock()
		w.stamps.times = append(w.stamps.times, time.Now())
		w.stamps.mu.Unlock()
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController find the flusher.
func (w *stampWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// url returns where stream i goes. Pairs of streams share an engine, so that
// every second stream alone reaches all engines too.
func (r *relay) url(i int, direct bool) string {
	if direct {
		return r.targets[i/2%len(r.targets)]
	}
	return r.daemon
}

// stream sends one request and calls event for each event of its answer.
func (r *relay) stream(ctx context.Context, i, tokens int, direct bool, event func()) error {
	body, err := json.Marshal(map[string]any{
		"model": modelID(0), "stream": true, "prompt": fmt.Sprintf("%s%d asks for tokens", probePrefix, i),
		"max_tokens": tokens, "min_tokens": tokens,
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url(i, direct)+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+apiKey(0))
	req.Header.Set("Auburndyke-Class", string(classID(0)))
	if direct {
		req.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d-%d", "direct", i, time.Now().UnixNano()))
	}
	resp, err := r.caller.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		return fmt.Errorf("stream %d: status %d: %s", i, resp.StatusCode, text)
	}
	return readEvents(resp.Body, event)
}

func readEvents(body io.Reader, event func()) error {
	in := bufio.NewReader(body)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return fmt.Errorf("answer ended early: %w", err)
		}
		switch {
		case bytes.HasPrefix(line, []byte("data: [DONE]")):
			_, err := io.Copy(io.Discard, in)
			return err
		case bytes.HasPrefix(line, []byte("data: ")):
			event()
		}
	}
}

// measureRequests measures the cost of a request with one token.
func measureRequests(ctx context.Context, r *recorder) error {
	rel, err := newRelay(8, 64, time.Millisecond, 20)
	if err != nil {
		return err
	}
	defer rel.close()
	rounds := 4
	unit := int(400 * r.options.scale())
	if _, err := rel.requests(ctx, unit, false); err != nil {
		return err
	}
	var direct, relayed float64
	for round := 1; round <= rounds; round++ {
		n := unit * round
		a, err := rel.requests(ctx, n, true)
		if err != nil {
			return err
		}
		b, err := rel.requests(ctx, n, false)
		if err != nil {
			return err
		}
		direct, relayed = direct+millis(a.cpu), relayed+millis(b.cpu)
		r.add("relay/requests", float64(n), millis(b.cpu)-millis(a.cpu))
		r.add("relay/request-allocations", float64(n), b.allocs-a.allocs)
	}
	r.add("relay/request-ratio", 1, relayed/direct)
	return nil
}

// requests runs n requests of one token, eight at a time.
func (r *relay) requests(ctx context.Context, n int, direct bool) (spent, error) {
	const workers = 8
	var next atomic.Int64
	errs := make(chan error, workers)
	before := readUsage()
	for range workers {
		go func() {
			var err error
			for i := int(next.Add(1)); i <= n && err == nil; i = int(next.Add(1)) {
				err = r.stream(ctx, i, 1, direct, func() {})
			}
			errs <- err
		}()
	}
	var failed error
	for range workers {
		if err := <-errs; err != nil {
			failed = err
		}
	}
	return readUsage().since(before), failed
}

// window is what streams in progress cost during a window without starts and
// ends.
type window struct {
	spent
	events float64 // per second
	held   float64 // bytes held with all streams in progress
	// direct and relayed are the times between an engine's write and the
	// caller's read, sorted.
	direct, relayed []time.Duration
}

// way tells whether stream i goes to an engine directly.
type way func(i int) bool

func toEngine(int) bool { return true }

func toDaemon(int) bool { return false }

func alternately(i int) bool { return i%2 == 0 }

// streams runs n long streams and observes them for a span.
func (r *relay) streams(ctx context.Context, n int, span time.Duration, direct way, stamp bool) (window, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var events, started atomic.Int64
	var work sync.WaitGroup
	read := make([][]time.Time, n)
	held := heldBytes()
	errs := make(chan error, n)
	for i := range n {
		if stamp {
			r.stamps.Store(i, &stamps{})
		}
		work.Go(func() {
			first := true
			err := r.stream(ctx, i, 100_000, direct(i), func() {
				if first {
					first = false
					started.Add(1)
				}
				events.Add(1)
				if stamp {
					read[i] = append(read[i], time.Now())
				}
			})
			if ctx.Err() == nil {
				errs <- err
			}
		})
	}
	for deadline := time.Now().Add(30 * time.Second); int(started.Load()) < n; {
		if time.Now().After(deadline) {
			return window{}, fmt.Errorf("%d of %d streams started", started.Load(), n)
		}
		select {
		case err := <-errs:
			return window{}, err
		case <-time.After(10 * time.Millisecond):
		}
	}
	held = heldBytes() - held
	before, counted := readUsage(), events.Load()
	time.Sleep(span)
	w := window{spent: readUsage().since(before), held: held}
	w.events = float64(events.Load()-counted) / w.wall.Seconds()
	cancel()
	work.Wait()
	if stamp {
		w.direct, w.relayed = r.delays(read, direct)
	}
	// Engines end abandoned attempts when they see the closed connections.
	time.Sleep(200 * time.Millisecond)
	return w, nil
}

// delays returns the times between an engine's write and the caller's read, of
// direct and of relayed streams.
func (r *relay) delays(read [][]time.Time, way way) (direct, relayed []time.Duration) {
	for i, times := range read {
		s, ok := r.stamps.LoadAndDelete(i)
		if !ok {
			continue
		}
		written := s.(*stamps)
		written.mu.Lock()
		to := &relayed
		if way(i) {
			to = &direct
		}
		for k := range min(len(times), len(written.times)) {
			*to = append(*to, times[k].Sub(written.times[k]))
		}
		written.mu.Unlock()
	}
	slices.Sort(direct)
	slices.Sort(relayed)
	return direct, relayed
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// measureEvents measures the cost of relayed token events, at the planned
// interval between tokens.
func measureEvents(ctx context.Context, r *recorder) error {
	s := Planned()
	full := int(s.StreamsPerDaemon())
	span := r.options.part(3 * time.Second)
	var ratio float64
	loads := []int{full / 4, full / 2, full, 2 * full}
	if r.options.smoke {
		loads = loads[:1]
	}
	for _, n := range loads {
		// A fresh set of engines for each point keeps ended attempts out.
		a, b, err := pairOf(ctx, n, span, s.TokenInterval)
		if err != nil {
			return err
		}
		cpu := func(w window) float64 { return 100 * w.cpu.Seconds() / w.wall.Seconds() }
		events := (a.events + b.events) / 2
		r.add("relay/events", events, cpu(b)-cpu(a)*b.events/a.events)
		r.add("relay/event-allocations", events, b.allocs/b.wall.Seconds()-a.allocs/a.wall.Seconds()*b.events/a.events)
		ratio += cpu(b) / cpu(a) / float64(len(loads))
	}
	r.add("relay/event-ratio", 1, ratio)
	return measureDelays(ctx, r, full/2, span)
}

// delayRuns is the number of runs whose median counts, because other users of
// the machine delay single runs by far more than a daemon does.
const delayRuns = 5

// measureDelays measures the latency that a daemon adds to token events.
// Direct and relayed streams run at the same time, so that both suffer the same
// disturbance.
func measureDelays(ctx context.Context, r *recorder, streams int, span time.Duration) error {
	var p50, p99, floor []time.Duration
	events := 0.0
	runs := delayRuns
	if r.options.smoke {
		runs = 1
	}
	for range runs {
		w, err := mixed(ctx, 2*streams, span, Planned().TokenInterval)
		if err != nil {
			return err
		}
		p50 = append(p50, quantile(w.relayed, 0.5)-quantile(w.direct, 0.5))
		p99 = append(p99, quantile(w.relayed, 0.99)-quantile(w.direct, 0.99))
		floor = append(floor, quantile(w.direct, 0.99))
		events += w.events / 2 / float64(runs)
	}
	for _, list := range [][]time.Duration{p50, p99, floor} {
		slices.Sort(list)
	}
	r.add("relay/added-p50", events, millis(quantile(p50, 0.5)))
	r.add("relay/added-p99", events, millis(quantile(p99, 0.5)))
	r.add("relay/added-p99-least", events, millis(p99[0]))
	r.add("relay/direct-p99", events, millis(quantile(floor, 0.5)))
	return nil
}

// mixed runs n streams of which every other one is direct.
func mixed(ctx context.Context, n int, span, interval time.Duration) (window, error) {
	rel, err := newRelay(8, n, interval, 1)
	if err != nil {
		return window{}, err
	}
	defer rel.close()
	return rel.streams(ctx, n, span, alternately, true)
}

func pairOf(ctx context.Context, n int, span, interval time.Duration) (direct, relayed window, err error) {
	rel, err := newRelay(8, n, interval, 1)
	if err != nil {
		return direct, relayed, err
	}
	defer rel.close()
	if direct, err = rel.streams(ctx, n, span, toEngine, false); err != nil {
		return direct, relayed, err
	}
	relayed, err = rel.streams(ctx, n, span, toDaemon, false)
	return direct, relayed, err
}

// measureMemory measures the memory of streams in progress.
func measureMemory(ctx context.Context, r *recorder) error {
	counts, interval := []int{100, 400, 1000}, time.Second
	if r.options.smoke {
		counts, interval = []int{20}, 100*time.Millisecond
	}
	for _, n := range counts {
		direct, relayed, err := pairOf(ctx, n, 50*time.Millisecond, interval)
		if err != nil {
			return err
		}
		r.add("relay/memory", float64(n), relayed.held-direct.held)
	}
	return nil
}
