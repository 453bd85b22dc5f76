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
