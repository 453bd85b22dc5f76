package faultmatrix

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/auburndyke/auburndyke/internal/dev"
	"github.com/auburndyke/auburndyke/internal/domain"
)

const (
	callInterval    = 800 * time.Millisecond
	bookingInterval = 2 * time.Second
	// callBound is how long a caller keeps trying in all.
	callBound   = 4 * time.Minute
	retryPause  = 300 * time.Millisecond
	inspectTick = 50 * time.Millisecond
)

// call is one request of a caller with all its tries.
type call struct {
	message
	// promptTokens identifies a generation in the engines' ledgers: no two
	// tries of any calls have prompts of the same length.
	promptTokens []int
	prompts      []string
	tokens       int
	// shared means that several callers send the same idempotency key at once.
	shared bool
	tries  []try
}

// profile is one kind of traffic.
type profile struct {
	class  domain.ClassID
	apiKey string
	tokens int
}

var profiles = []profile{
	{"guest-question", "mb-maraval-surf-school-key", 15},
	{"lesson-plan", "mb-port-city-sup-key", 30},
	{"conditions-question", "mb-salybia-hire-key", 12},
	{"coaching-notes", "mb-toco-coaching-key", 35},
	{"guest-question", "mb-north-point-lessons-key", 20},
	{"season-summary", "mb-grande-riviere-camp-key", 40},
	{"pupil-report", "mb-las-cuevas-kids-key", 25},
	{"lesson-plan", "mb-tyrico-trial-key", 20},
}

// traffic sends all kinds of requests until ctx ends.
func (s *scene) traffic(ctx context.Context) {
	for i := 0; sleep(ctx, callInterval); i++ {
		p := profiles[i%len(profiles)]
		s.work.Go(func() { s.generate(p, p.tokens, nil) })
	}
}

func (s *scene) bookings(ctx context.Context) {
	for i := 0; sleep(ctx, bookingInterval); i++ {
		key := fmt.Sprintf("booking-%d", i)
		shared := i%3 == 0
		s.work.Go(func() { s.book(key, shared, nil) })
		if shared {
			s.work.Go(func() { s.book(key, shared, nil) })
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// generate sends one generation, first to a given daemon if there is one, and
// repeats it until it is answered in full.
func (s *scene) generate(p profile, tokens int, first *dev.Member) {
	s.generateWith(p, tokens, first, func(*call) {})
}

func (s *scene) generateWith(p profile, tokens int, first *dev.Member, registered func(*call)) {
	c := &call{message: message{path: "/v1/completions", class: p.class, apiKey: p.apiKey}, tokens: tokens}
	s.register(c)
	registered(c)
	s.repeat(c, first, func() { c.body = s.nextPrompt(c) }, func(t *try) bool { return t.complete })
}

// nextPrompt returns a body with a prompt that no other try uses.
func (s *scene) nextPrompt(c *call) []byte {
	s.mu.Lock()
	s.prompts++
	n := s.prompts
	s.mu.Unlock()
	prompt := fmt.Sprintf("guest %d ", n)
	prompt += strings.Repeat("s", 4*(n+basePromptTokens)-len(prompt))
	body, err := json.Marshal(map[string]any{"model": "lesson", "stream": true, "prompt": prompt, "max_tokens": c.tokens, "min_tokens": c.tokens})
	if err != nil {
		s.violate("encoding a request: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.promptTokens = append(c.promptTokens, n+basePromptTokens)
	c.prompts = append(c.prompts, string(body))
	return body
}

// basePromptTokens leaves room for the number in the prompt.
const basePromptTokens = 8

// book sends one call that must not be repeated. It is sent again with the
// same key until its outcome is settled.
func (s *scene) book(key string, shared bool, first *dev.Member) {
	c := &call{
		message: message{
			path: "/services/booking/bookings", class: "booking", apiKey: "mb-maraval-surf-school-key",
			idempotencyKey: key, body: []byte(`{"lesson":"` + key + `"}`),
		},
		shared: shared,
	}
	s.register(c)
	settled := func(t *try) bool {
		return t.complete || t.code == domain.CodeOutcomeUnknown || t.code == domain.CodeAnswerNotKept
	}
	s.repeat(c, first, func() {}, settled)
}

func (s *scene) register(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, c)
}

// repeat tries until done or the bound.
func (s *scene) repeat(c *call, first *dev.Member, prepare func(), done func(*try) bool) {
	bound := time.Now().Add(callBound)
	for n := 0; time.Now().Before(bound); n++ {
		m := first
		if n > 0 || m == nil {
			m = s.balance()
		}
		prepare()
		t := s.caller.send(context.Background(), m.ID, m.URL, &c.message)
		s.mu.Lock()
		c.tries = append(c.tries, t)
		s.mu.Unlock()
		if done(&t) {
			return
		}
		time.Sleep(retryPause)
	}
}

// balance picks the next daemon as the load balancer does: it leaves out those
// that are not ready, but learns of a crash only by a refused connection.
func (s *scene) balance() *dev.Member {
	for {
		s.mu.Lock()
		for range s.members {
			s.turn++
			m := s.members[s.turn%len(s.members)]
			if ok, _ := m.Gateway().Ready(); ok && !s.dead[m.ID] {
				s.mu.Unlock()
				return m
			}
		}
		s.mu.Unlock()
		time.Sleep(retryPause)
	}
}
