package dev

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/standin/engine"
	"github.com/auburndyke/auburndyke/internal/standin/platform"
	"github.com/auburndyke/auburndyke/internal/standin/service"
)

const testKey = "mb-maraval-surf-school-key"

func startFleet(t *testing.T, options Options) *Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	fleet, err := Start(ctx, options)
	assert.NilError(t, err)
	t.Cleanup(fleet.Close)
	return fleet
}

// answer is what a caller received.
type answer struct {
	status   int
	outcome  string
	text     string
	complete bool
	code     string
}

func generationBody(prompt string, maxTokens int) []byte {
	body, _ := json.Marshal(map[string]any{
		"model": "lesson", "stream": true, "prompt": prompt, "max_tokens": maxTokens,
	})
	return body
}

// stream sends one streamed completion and reads the whole answer.
func stream(ctx context.Context, url, key, class string, body []byte) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	if class != "" {
		request.Header.Set("Auburndyke-Class", class)
	}
	response, err := testClient.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{status: response.StatusCode, outcome: response.Header.Get("Auburndyke-Outcome")}
	if response.StatusCode != http.StatusOK {
		return a, decodeError(response.Body, &a)
	}
	return a, a.read(response.Body)
}

var testClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1100}}

func decodeError(body io.Reader, a *answer) error {
	var e struct {
		Error struct{ Code string } `json:"error"`
	}
	err := json.NewDecoder(body).Decode(&e)
	a.code = e.Error.Code
	return err
}

func (a *answer) read(body io.Reader) error {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			a.complete = true
			break
		}
		var chunk struct {
			Choices []struct{ Text string }
			Error   *struct{ Code string }
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return err
		}
		if chunk.Error != nil {
			a.code = chunk.Error.Code
			break
		}
		if len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Text)
		}
	}
	a.text = text.String()
	return scanner.Err()
}

// Guards against a protocol that a stock client does not understand.
func TestStockClient(t *testing.T) {
	fleet := startFleet(t, Options{Speed: 20})
	client := openai.NewClient(option.WithBaseURL(fleet.Members[0].URL+"/v1"), option.WithAPIKey(testKey), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model:     "lesson",
		MaxTokens: openai.Int(12),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Is the swell up at Toco?")},
	}
	whole, err := client.Chat.Completions.New(t.Context(), params)
	assert.NilError(t, err)
	assert.Equal(t, whole.Usage.CompletionTokens, int64(12))
	var streamed strings.Builder
	events := client.Chat.Completions.NewStreaming(t.Context(), params)
	for events.Next() {
		for _, c := range events.Current().Choices {
			streamed.WriteString(c.Delta.Content)
		}
	}
	assert.NilError(t, events.Err())
	assert.Equal(t, streamed.String(), whole.Choices[0].Message.Content)
	models, err := client.Models.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, models.Data[0].ID, "lesson")
	params.Model = "unknown"
	_, err = client.Chat.Completions.New(t.Context(), params)
	var apiError *openai.Error
	assert.Assert(t, asAPIError(err, &apiError))
	assert.Equal(t, apiError.Code, "model_not_found")
	assert.Equal(t, apiError.Response.Header.Get("Auburndyke-Outcome"), "not-run")
}

func asAPIError(err error, target **openai.Error) bool {
	e, ok := err.(*openai.Error)
	*target = e
	return ok
}

// runStreams sends n requests at once and checks every answer against the
// text that its prompt determines.
func runStreams(t *testing.T, fleet *Fleet, n, tokens int, class string) (complete int, failures map[string]int) {
	t.Helper()
	var mu sync.Mutex
	var work sync.WaitGroup
	failures = make(map[string]int)
	for i := range n {
		work.Go(func() {
			body := generationBody(fmt.Sprintf("caller %d asks about board %d", i, i*7), tokens)
			want, err := engine.Expected(body)
			if err != nil {
				t.Errorf("request %d: %v", i, err)
				return
			}
			got, err := stream(t.Context(), fleet.Members[i%len(fleet.Members)].URL, testKey, class, body)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				t.Errorf("request %d: %v", i, err)
			case got.complete && got.text != want.Text:
				t.Errorf("request %d: answer differs from the engine's: %q, want %q", i, got.text, want.Text)
			case !got.complete && !strings.HasPrefix(want.Text, got.text):
				t.Errorf("request %d: partial answer is not a prefix of the engine's", i)
			case got.complete:
				complete++
			default:
				failures[got.code]++
			}
		})
	}
	work.Wait()
	return complete, failures
}

func wideOpen(d *policy.Document) *policy.Document {
	for i := range d.Tiers {
		d.Tiers[i].QueueTokens = 10_000_000
	}
	for i := range d.Classes {
		d.Classes[i].MaxWait = time.Minute
		d.Classes[i].Limits = policy.Limits{}
	}
	for i := range d.Customers {
		d.Customers[i].Limits = policy.Limits{}
	}
	return d
}

// Guards against lost, mixed-up or shortened answers when one daemon carries
// 1,000 streams at once.
func TestThousandStreams(t *testing.T) {
	fleet := startFleet(t, Options{Daemons: 1, Speed: 4, Edit: func(d *policy.Document) *policy.Document {
		d = wideOpen(d)
		for i := range d.Upstreams {
			d.Upstreams[i].Slots = 100
		}
		return d
	}, Engine: engine.Config{QueueLimit: 64}})
	complete, failures := runStreams(t, fleet, 1000, 40, "guest-question")
	assert.Equal(t, complete, 1000, "failures: %v", failures)
}

// Guards against wrong or incomplete answers when upstreams cross, duplicate,
// reorder, truncate, silence and crash streams.
func TestAnswersUnderEngineFaults(t *testing.T) {
	faults := map[string]func(*engine.Engine){
		"crossed":   func(e *engine.Engine) { e.SetFaults(engine.Faults{Crossed: true}) },
		"duplicate": func(e *engine.Engine) { e.SetFaults(engine.Faults{Duplicate: true}) },
		"late":      func(e *engine.Engine) { e.SetFaults(engine.Faults{Late: true}) },
		"truncated": func(e *engine.Engine) { e.SetFaults(engine.Faults{TruncateAfter: 9}) },
		"refusing":  func(e *engine.Engine) { e.SetFaults(engine.Faults{Refuse: true}) },
		"down":      func(e *engine.Engine) { e.SetFaults(engine.Faults{Down: true}) },
		"silent":    func(e *engine.Engine) { e.Silence() },
		"crashed":   func(e *engine.Engine) { e.Crash() },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := startFleet(t, Options{Speed: 4, Edit: wideOpen})
			go func() {
				time.Sleep(100 * time.Millisecond)
				for i, id := range fleet.engineIDs() {
					if i%4 == 0 {
						inject(fleet.Engines[id])
					}
				}
			}()
			complete, failures := runStreams(t, fleet, 60, 60, "guest-question")
			assert.Equal(t, complete, 60, "failures: %v", failures)
		})
	}
}

func (f *Fleet) engineIDs() []domain.UpstreamID {
	var ids []domain.UpstreamID
	for i := range f.Document.Upstreams {
		if id := f.Document.Upstreams[i].ID; f.Engines[id] != nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// book sends one call that must not be repeated.
func book(ctx context.Context, url, idempotencyKey string) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/services/booking/bookings", strings.NewReader(`{"lesson":7}`))
	if err != nil {
		return answer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Auburndyke-Class", "booking")
	request.Header.Set("Idempotency-Key", idempotencyKey)
	response, err := testClient.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{status: response.StatusCode, outcome: response.Header.Get("Auburndyke-Outcome")}
	data, err := io.ReadAll(response.Body)
	a.text = string(data)
	return a, err
}

func (f *Fleet) executions() map[string]int {
	total := make(map[string]int)
	for _, s := range f.Services {
		for key, n := range s.Ledger().ByKey() {
			total[key] += n
		}
	}
	return total
}

// Guards against a booking that runs twice or that is reported as not run
// although it ran, with retries through several daemons, lost answers of the
// service and of the platform, and a platform outage.
func TestBookingsRunAtMostOnce(t *testing.T) {
	fleet := startFleet(t, Options{Daemons: 3, ServiceLatency: 5 * time.Millisecond, Edit: func(d *policy.Document) *policy.Document {
		d = wideOpen(d)
		for i := range d.Classes {
			// Calls of classes that wait for the end of an outage give up early.
			d.Classes[i].MaxWait = 2 * time.Second
		}
		return d
	}})
	disturb := map[int]func(){
		1: func() { fleet.eachService(service.Faults{LoseAnswers: true}) },
		2: func() {
			fleet.eachService(service.Faults{})
			fleet.Platform.SetFaults(platform.Faults{LoseAnswers: 0.3})
		},
		3: func() {
			fleet.Platform.SetFaults(platform.Faults{Down: []platform.Service{platform.ServiceTable, platform.ServiceObjects}})
		},
		4: func() { fleet.Platform.SetFaults(platform.Faults{}) },
	}
	var mu sync.Mutex
	outcomes := make(map[string][]string)
	for phase := range 5 {
		if f := disturb[phase]; f != nil {
			f()
		}
		var work sync.WaitGroup
		for i := range 60 {
			work.Go(func() {
				key := fmt.Sprintf("booking-%d", phase*12+i%12)
				got, err := book(t.Context(), fleet.Members[i%3].URL, key)
				if err != nil {
					t.Errorf("booking %s: %v", key, err)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				outcomes[key] = append(outcomes[key], got.outcome)
			})
		}
		work.Wait()
	}
	executions := fleet.executions()
	ran := 0
	for key, list := range outcomes {
		assert.Assert(t, executions[key] <= 1, "%s ran %d times: %v", key, executions[key], list)
		for _, outcome := range list {
			if outcome == "ran" {
				assert.Equal(t, executions[key], 1, "%s was reported as run: %v", key, list)
				ran++
			}
		}
	}
	assert.Assert(t, ran > 0, "no booking was reported as run")
	for phase, want := range map[int]int{0: 12, 3: 0, 4: 12} {
		got := 0
		for i := range 12 {
			got += executions[fmt.Sprintf("booking-%d", phase*12+i)]
		}
		assert.Equal(t, got, want, "phase %d", phase)
	}
}

func (f *Fleet) eachService(faults service.Faults) {
	for _, s := range f.Services {
		s.SetFaults(faults)
	}
}
