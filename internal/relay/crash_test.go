package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/platform/standin"
)

const (
	// deadlyPart crashes the replicas of a test that begin to answer on it, and
	// sharedPart stands before it and in sound prompts.
	deadlyPart = "dead"
	sharedPart = "5a"
)

// prompt sends a request with a prompt of these parts and one of its own.
func (s *fixture) prompt(path, id string, parts ...string) reply {
	req := s.request(http.MethodPost, path, id, "x")
	req.Header.Set("X-Prompt-Prefix", strings.Join(append(parts, id), ":100,")+":100")
	req.Header.Set("X-Token-Count", "300,20")
	return s.do(req)
}

// crashes returns how many replicas requests have ended.
func (s *fixture) crashes() int {
	n := 0
	for _, r := range s.replicas {
		if r.Crashed() {
			n++
		}
	}
	return n
}

// Guards against a part that crashes upstreams at another point of the response than
// right behind its header, and is not found.
func TestCrashingPartIsFoundAtAnyPointOfTheResponse(t *testing.T) {
	for name, c := range map[string]struct {
		behaviour standin.Behaviour
		path      string
	}{
		"before the header":       {standin.Behaviour{DeadlyWithoutHeader: true}, "/resume/"},
		"behind the header":       {standin.Behaviour{}, "/resume/"},
		"behind the first event":  {standin.Behaviour{DeadlyEvents: 1}, "/resume/"},
		"behind the third event":  {standin.Behaviour{DeadlyEvents: 3}, "/resume/"},
		"in a body":               {standin.Behaviour{DeadlyEvents: 1}, "/again/"},
		"at a single attempt":     {standin.Behaviour{DeadlyEvents: 1}, "/events/"},
		"unsent, single attempts": {standin.Behaviour{DeadlyWithoutHeader: true}, "/events/"},
	} {
		t.Run(name, func(t *testing.T) {
			s := startRelay(t, 14)
			c.behaviour.Events, c.behaviour.DeadlyPart = 12, deadlyPart
			s.setBehaviour(c.behaviour)
			assert.Equal(t, s.prompt("/resume/", "a0", sharedPart).status, http.StatusOK)
			for i := range 12 {
				s.prompt(c.path, fmt.Sprintf("d%d", i), sharedPart, deadlyPart)
			}
			// The users allow no more than five crashes and three requests behind them.
			assert.Assert(t, s.crashes() <= 5, "%d upstreams crashed", s.crashes())
			got := s.prompt("/resume/", "b0", sharedPart)
			assert.Check(t, got.err == nil && got.status == http.StatusOK && got.body == wantEvents("b0", 1, 12), "%+v", got)
		})
	}
}

// Guards against requests with one common part that crash one upstream after the other.
func TestCrashingPartEndsFewUpstreams(t *testing.T) {
	s := startRelay(t, 12)
	s.setBehaviour(standin.Behaviour{Events: 5, DeadlyPart: deadlyPart})
	assert.Equal(t, s.prompt("/resume/", "a0", sharedPart).status, http.StatusOK)
	for i := range 8 {
		s.prompt("/resume/", fmt.Sprintf("d%d", i), sharedPart, deadlyPart)
	}
	assert.Assert(t, s.crashes() <= 3, "%d upstreams crashed", s.crashes())

	var wait sync.WaitGroup
	for i := range 10 {
		wait.Go(func() {
			id := fmt.Sprintf("b%d", i)
			got := s.prompt("/resume/", id, sharedPart)
			assert.Check(t, got.err == nil && got.status == http.StatusOK && got.body == wantEvents(id, 1, 5), "%+v", got)
		})
	}
	wait.Wait()
	time.Sleep(50 * time.Millisecond)
	assert.Assert(t, s.crashes() <= 3, "%d upstreams crashed", s.crashes())
}
