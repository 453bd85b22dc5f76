package relay_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/platform/standin"
)

// generationRequest returns a request for a stream of about the given number of
// tokens.
func (s *fixture) generationRequest(id string, tokens int) *http.Request {
	req := s.request(http.MethodPost, "/resume/", id, "x")
	req.Header.Set("X-Prompt-Prefix", "1:100,"+strconv.FormatInt(int64(len(id)), 16)+":50")
	req.Header.Set("X-Length-Hint", strconv.Itoa(tokens))
	return req
}

// Guards against callers that wait for a response which can't end before their
// deadline because all engines are busy, against shedding a request that has run,
// and against shedding one that resumes a stream.
func TestShedsRequestThatWouldMissDeadline(t *testing.T) {
	s := startRelay(t, 2)
	s.setBehaviour(standin.Behaviour{Events: 12, Work: 100 * time.Millisecond})
	var wait sync.WaitGroup
	for i := range 8 {
		req := s.generationRequest(fmt.Sprintf("pace-%d", i), 12)
		wait.Go(func() {
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			buf := make([]byte, 1024)
			for err == nil {
				_, err = resp.Body.Read(buf)
			}
		})
	}
	wait.Wait()
	full := balancer.Load{Running: 8, Waiting: 8, Slots: 8}
	for range 20 {
		for _, r := range s.replicas {
			s.balancer.ObserveLoad(time.Now(), domain.UpstreamID(r.ID), full)
		}
	}
	before := s.executions()
	got := s.do(s.generationRequest("long", 500))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 0.5 && after < 0.7, "a third of the route's 2 s: %v", after)
	assert.Equal(t, s.executions(), before)

	resumed := s.generationRequest("goes-on", 500)
	resumed.Header.Set("Last-Event-Id", "3")
	assert.Equal(t, s.do(resumed).status, http.StatusOK)
	assert.Equal(t, s.do(s.generationRequest("short", 5)).status, http.StatusOK)
}
