package processrun

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/internal/standin/engine"
)

const (
	// requestTime bounds one request with all its tries.
	requestTime = 25 * time.Second
	// silence ends a try at a daemon that sends nothing, as a caller's read
	// timeout does.
	silence = 5 * time.Second
	// balanceInterval is how often the load balancer asks for readiness.
	balanceInterval = 250 * time.Millisecond
	tries           = 12
)

// traffic is one kind of request.
type traffic struct {
	class, key string
	tokens     int
	booking    bool
}

var mix = []traffic{
	{class: "guest-question", key: "mb-maraval-surf-school-key", tokens: 60},
	{class: "guest-question", key: "mb-north-point-lessons-key", tokens: 40},
	{class: "conditions-question", key: "mb-north-point-lessons-key", tokens: 60},
	{class: "lesson-plan", key: "mb-port-city-sup-key", tokens: 120},
	{class: "pupil-report", key: "mb-maraval-surf-school-key", tokens: 100},
	{class: "season-summary", key: "mb-north-point-lessons-key", tokens: 120},
	{class: "booking", key: "mb-maraval-surf-school-key", booking: true},
	{class: "board-hire", key: "mb-north-point-lessons-key", booking: true},
}

// try is one answer to a request.
type try struct {
	Daemon  string `json:"daemon"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	Code    string `json:"code,omitempty"`
	Broken  string `json:"broken,omitempty"` // how the connection failed
}

// record is what a caller knows of one request.
type record struct {
	Class    string        `json:"class"`
	Key      string        `json:"key,omitempty"` // idempotency key
	Tries    []try         `json:"tries"`
	Complete bool          `json:"complete"`
	Took     time.Duration `json:"took_ns"`
	Wrong    string        `json:"wrong,omitempty"`
	body     string
	answer   string
}

// load sends requests through all daemons.
type load struct {
	fleet   *fleet
	client  *http.Client
	next    atomic.Int64
	healthy atomic.Pointer[[]*member]

	mu      sync.Mutex
	records []record
}

func newLoad(f *fleet) *load {
	l := &load{fleet: f, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	l.healthy.Store(&f.daemons)
	return l
}

// balance keeps the list of daemons that say they are ready.
func (l *load) balance(ctx context.Context) {
	for ctx.Err() == nil {
		ready := make([]bool, len(l.fleet.daemons))
		var work sync.WaitGroup
		for i, m := range l.fleet.daemons {
			work.Go(func() {
				status, _ := fetch(m.caller + "/readyz")
				ready[i] = status == http.StatusOK
			})
		}
		work.Wait()
		var healthy []*member
		for i, m := range l.fleet.daemons {
			if ready[i] {
				healthy = append(healthy, m)
			}
		}
		if len(healthy) > 0 {
			l.healthy.Store(&healthy)
		}
		time.Sleep(balanceInterval)
	}
}

// run sends requests from all workers until ctx ends and waits for the rest.
func (l *load) run(ctx context.Context) {
	var work sync.WaitGroup
	for w := range l.fleet.size.workers {
		work.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(w)))
			for n := 0; ctx.Err() == nil; n++ {
				l.one(mix[(w+n)%len(mix)], fmt.Sprintf("%d-%d", w, n), rng)
				time.Sleep(time.Duration(rng.Int64N(int64(300 * time.Millisecond))))
			}
		})
	}
	work.Wait()
}

// one sends one request until it is answered. A booking is also sent twice at
// once from time to time, as an impatient caller does.
func (l *load) one(kind traffic, id string, rng *rand.Rand) {
	if !kind.booking {
		l.add(l.generate(kind, id))
		return
	}
	copies := 1 + rng.IntN(5)/4
	var work sync.WaitGroup
	for range copies {
		work.Go(func() { l.add(l.book(kind, id)) })
	}
	work.Wait()
}

func (l *load) add(r record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

// pick rotates through the daemons as a load balancer does.
func (l *load) pick() *member {
	healthy := *l.healthy.Load()
	return healthy[int(l.next.Add(1))%len(healthy)]
}

func (l *load) generate(kind traffic, id string) record {
	began := time.Now()
	streamed := len(id)%2 == 0
	body, _ := json.Marshal(map[string]any{
		"model": "lesson", "stream": streamed, "prompt": "request " + id + " of " + kind.class, "max_tokens": kind.tokens,
	})
	want, _ := engine.Expected(body)
	r := record{Class: kind.class}
	l.repeat(&r, func(ctx context.Context, m *member) bool {
		t, text := l.send(ctx, m, kind, "/v1/completions", "", body, streamed)
		r.Tries = append(r.Tries, t)
		r.Complete = t.Status == http.StatusOK && t.Broken == "" && t.Code == ""
		switch {
		case r.Complete && text != want.Text:
			r.Wrong = fmt.Sprintf("got %q, want %q", text, want.Text)
		case !strings.HasPrefix(want.Text, text):
			r.Wrong = fmt.Sprintf("part %q is no prefix of %q", text, want.Text)
		}
		return r.Complete || r.Wrong != ""
	})
	r.Took = time.Since(began)
	return r
}

func (l *load) book(kind traffic, id string) record {
	began := time.Now()
	r := record{Class: kind.class, Key: "key-" + id, body: fmt.Sprintf(`{"lesson":%q}`, id)}
	l.repeat(&r, func(ctx context.Context, m *member) bool {
		t, text := l.send(ctx, m, kind, "/services/booking/bookings", r.Key, []byte(r.body), false)
		r.Tries = append(r.Tries, t)
		r.Complete = t.Status == http.StatusOK && t.Broken == ""
		r.answer = text
		return r.Complete || t.Broken == "" && t.Outcome != "not-run" && t.Code != "call_in_progress" && t.Status != http.StatusConflict
	})
	r.Took = time.Since(began)
	return r
}

// repeat tries one daemon after the other until done or the time is over.
func (l *load) repeat(r *record, attempt func(ctx context.Context, m *member) (done bool)) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTime)
	defer cancel()
	for n := 0; n < tries && ctx.Err() == nil; n++ {
		if attempt(ctx, l.pick()) {
			return
		}
		time.Sleep(time.Duration(50*(n+1)) * time.Millisecond)
	}
}

// send makes one try and returns the text that arrived, whole or in part.
func (l *load) send(ctx context.Context, m *member, kind traffic, path, key string, body []byte, streamed bool) (try, string) {
	t := try{Daemon: m.id}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(silence, cancel)
	defer watchdog.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, m.caller+path, bytes.NewReader(body))
	if err != nil {
		t.Broken = err.Error()
		return t, ""
	}
	request.Header.Set("Authorization", "Bearer "+kind.key)
	request.Header.Set("Auburndyke-Class", kind.class)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := l.client.Do(request)
	if err != nil {
		t.Broken = err.Error()
		return t, ""
	}
	defer func() { _ = response.Body.Close() }()
	t.Status, t.Outcome = response.StatusCode, response.Header.Get("Auburndyke-Outcome")
	reader := &watched{response.Body, watchdog}
	if streamed && t.Status == http.StatusOK {
		return t, readStream(reader, &t)
	}
	data, err := io.ReadAll(reader)
	if err != nil {
		t.Broken = err.Error()
	}
	return t, wholeText(data, &t)
}

// watched restarts the watchdog with each read.
type watched struct {
	io.Reader
	watchdog *time.Timer
}

func (w *watched) Read(p []byte) (int, error) {
	n, err := w.Reader.Read(p)
	w.watchdog.Reset(silence)
	return n, err
}

// message is a chunk, a whole answer or an error.
type message struct {
	Choices []struct{ Text string }
	Error   *struct{ Code, Outcome string }
}

func readStream(body io.Reader, t *try) string {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return text.String()
		}
		text.WriteString(wholeText([]byte(data), t))
		if t.Code != "" {
			return text.String()
		}
	}
	t.Broken = fmt.Sprintf("stream ended early: %v", scanner.Err())
	return text.String()
}

// wholeText returns the text of a generation, or the body of another answer.
func wholeText(data []byte, t *try) string {
	var m message
	if err := json.Unmarshal(data, &m); err != nil {
		return string(data)
	}
	if m.Error != nil {
		t.Code = m.Error.Code
		if t.Outcome == "" {
			t.Outcome = m.Error.Outcome
		}
		return ""
	}
	if len(m.Choices) > 0 {
		return m.Choices[0].Text
	}
	if m.Choices != nil {
		return ""
	}
	return string(data)
}
