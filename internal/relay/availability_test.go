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
	"github.com/auburndyke/auburndyke/internal/inventory"
	"github.com/auburndyke/auburndyke/platform"
	"github.com/auburndyke/auburndyke/platform/standin"
)

// Guards against requests to an upstream that has said in a response of any kind that it
// is leaving, while its registration still says that it serves.
func TestNoRequestAfterLeaving(t *testing.T) {
	for name, c := range map[string]struct {
		path string
		last standin.Behaviour
	}{
		"success":       {"/once/", standin.Behaviour{Leaving: true}},
		"refusal":       {"/once/", standin.Behaviour{Leaving: true, Refuse: true}},
		"server error":  {"/again/", standin.Behaviour{Leaving: true, Status: http.StatusInternalServerError}},
		"broken stream": {"/resume/", standin.Behaviour{Leaving: true, Events: 5, CutAfter: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			s := startRelay(t, 2)
			s.replicas[1].Set(standin.Behaviour{Events: c.last.Events})
			s.replicas[0].Set(c.last)
			for i := 0; s.replicas[0].Arrivals() == 0; i++ {
				s.do(s.request(http.MethodPost, c.path, fmt.Sprintf("a%d", i), "x"))
			}
			for i := range 10 {
				s.do(s.request(http.MethodPost, c.path, fmt.Sprintf("b%d", i), "x"))
				s.register(s.replicas...) // its registration is read again
			}
			assert.Equal(t, s.replicas[0].Arrivals(), 1)

			// Nor if there is no other upstream.
			s.register(s.replicas[0])
			got := s.do(s.request(http.MethodPost, c.path, "c", "x"))
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			assert.Equal(t, s.replicas[0].Arrivals(), 1)
		})
	}
}

// Guards against an announcement that is read only at the end of a stream.
func TestNoRequestAfterTheHeadOfALeavingStream(t *testing.T) {
	s := startRelay(t, 2)
	s.replicas[0].Set(standin.Behaviour{Leaving: true, Events: 4, Work: 200 * time.Millisecond})
	s.replicas[1].Set(standin.Behaviour{Events: 1, Work: 100 * time.Millisecond})
	var wait sync.WaitGroup
	for i := 0; s.replicas[0].Arrivals() == 0; i++ {
		id := fmt.Sprintf("a%d", i)
		wait.Go(func() {
			got := s.do(s.request(http.MethodPost, "/events/", id, "x"))
			assert.Check(t, got.err == nil && (got.body == wantEvents(id, 1, 4) || got.body == wantEvents(id, 1, 1)), "what runs is completed: %+v", got)
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(250 * time.Millisecond) // the stream has its first event
	for i := range 10 {
		wait.Go(func() { s.do(s.request(http.MethodPost, "/events/", fmt.Sprintf("b%d", i), "x")) })
	}
	wait.Wait()
	assert.Equal(t, s.replicas[0].Arrivals(), 1)
}

// Guards against an upstream that gets no requests because an earlier process at its
// address, or of its name, was leaving.
func TestNextProcessOfALeavingUpstreamServes(t *testing.T) {
	s := startRelay(t, 1)
	s.replicas[0].Set(standin.Behaviour{Leaving: true})
	assert.Equal(t, s.do(s.request(http.MethodGet, "/again/", "r1", "")).status, http.StatusOK)
	assert.Equal(t, s.do(s.request(http.MethodGet, "/again/", "r2", "")).status, http.StatusServiceUnavailable)

	next, err := s.replicas[0].Restart("replica-next")
	assert.NilError(t, err)
	t.Cleanup(next.Close)
	s.register(s.replicas[0], next) // the earlier registration has not lapsed yet
	got := s.do(s.request(http.MethodGet, "/again/", "r3", ""))
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.header.Get("X-Replica-Seal"), "replica-next")

	next.Set(standin.Behaviour{Leaving: true})
	assert.Equal(t, s.do(s.request(http.MethodGet, "/again/", "r4", "")).status, http.StatusOK)
	time.Sleep(2 * time.Millisecond) // starts differ by a millisecond or more
	again, err := next.Restart("replica-next")
	assert.NilError(t, err)
	t.Cleanup(again.Close)
	s.register(again)
	assert.Equal(t, s.do(s.request(http.MethodGet, "/again/", "r5", "")).status, http.StatusOK)
}

// Guards against an announcement that is forgotten with a registration which lapses in
// an outage of the platform and is back later.
func TestLeavingOutlastsTheRegistration(t *testing.T) {
	s := startRelay(t, 1)
	s.replicas[0].Set(standin.Behaviour{Leaving: true})
	assert.Equal(t, s.do(s.request(http.MethodGet, "/again/", "r1", "")).status, http.StatusOK)
	s.register()
	s.register(s.replicas[0])
	assert.Equal(t, s.do(s.request(http.MethodGet, "/again/", "r2", "")).status, http.StatusServiceUnavailable)
	assert.Equal(t, s.replicas[0].Arrivals(), 1)
}

// Guards against requests to an upstream within the pause that it asked for, and against
// a pause that never ends.
func TestNoRequestWithinAPause(t *testing.T) {
	s := startRelay(t, 2)
	s.replicas[0].Set(standin.Behaviour{Refuse: true, RetryAfter: "0.4"})
	for i := 0; s.replicas[0].Arrivals() == 0; i++ {
		assert.Equal(t, s.do(s.request(http.MethodPost, "/once/", fmt.Sprintf("a%d", i), "x")).status, http.StatusOK)
	}
	paused := time.Now()
	for i := 0; time.Since(paused) < 350*time.Millisecond; i++ {
		assert.Equal(t, s.do(s.request(http.MethodPost, "/once/", fmt.Sprintf("b%d", i), "x")).status, http.StatusOK)
		s.register(s.replicas...)
	}
	assert.Equal(t, s.replicas[0].Arrivals(), 1)

	s.replicas[0].Set(standin.Behaviour{})
	s.replicas[1].Set(standin.Behaviour{Leaving: true})
	for i := 0; len(s.replicas[0].Runs()) < 5; i++ {
		assert.Assert(t, time.Since(paused) < awaitPauseEnd, "the upstream gets no requests after its pause")
		s.do(s.request(http.MethodPost, "/once/", fmt.Sprintf("c%d", i), "x"))
		time.Sleep(5 * time.Millisecond)
	}
}

const awaitPauseEnd = 3 * time.Second

// Guards against callers that are told to return before the pause of the only upstream
// ends, and against many requests that meet the upstream at once when it does.
func TestPauseOfTheOnlyUpstream(t *testing.T) {
	s := startRelay(t, 1)
	s.replicas[0].Set(standin.Behaviour{Refuse: true, RetryAfter: "0.5"})
	first := s.do(s.request(http.MethodPost, "/once/", "r1", "x"))
	paused := time.Now()
	assert.Equal(t, first.status, http.StatusServiceUnavailable)
	got := s.do(s.request(http.MethodPost, "/once/", "r2", "x"))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 0.4 && after < 0.65, "Retry-After %v", after)
	assert.Equal(t, s.replicas[0].Arrivals(), 1)

	time.Sleep(time.Until(paused.Add(700 * time.Millisecond)))
	var wait sync.WaitGroup
	for i := range 20 {
		wait.Go(func() { s.do(s.request(http.MethodPost, "/once/", fmt.Sprintf("s%d", i), "x")) })
	}
	wait.Wait()
	assert.Equal(t, s.replicas[0].Arrivals(), 2, "one request shows whether the upstream takes requests again")
}

// Guards against values of a pause that are no number of seconds, or an absurd one.
func TestPauseValues(t *testing.T) {
	for value, wantPause := range map[string]bool{
		"": false, "0": false, "-1": false, "soon": false, "NaN": false, "Wed, 21 Oct 2026 07:28:00 GMT": false,
		"0.25": true, "1": true, "1e300": true, "Inf": true, "86400": true,
	} {
		t.Run(value, func(t *testing.T) {
			s := startRelay(t, 1)
			s.replicas[0].Set(standin.Behaviour{Refuse: true, RetryAfter: value})
			s.do(s.request(http.MethodPost, "/once/", "r1", "x"))
			wait, paused := s.balancer.ResumesIn(time.Now(), "app")
			assert.Equal(t, paused, wantPause)
			assert.Assert(t, wait <= 61*time.Second, "%v", wait)
		})
	}
}

// Guards against a request that was picked for an upstream before its word arrived and
// is sent after it.
func TestNoRequestOnItsWay(t *testing.T) {
	s := startRelay(t, 1)
	pick := func() balancer.Choice {
		choice, ok := s.balancer.Pick(time.Now(), balancer.Query{Service: "app"})
		assert.Assert(t, ok)
		return choice
	}
	first, second := pick(), pick()
	first.Reservation().ObserveAvailability(time.Now(), balancer.Availability{Leaving: true})
	assert.Assert(t, !second.Reservation().Admits(time.Now()))
}

// Guards against a report of the load that is polled from an upstream within its pause.
func TestNoPollWithinAPause(t *testing.T) {
	b := balancer.New(balancer.Site{})
	var entries []inventory.Entry
	for i := range 3 {
		r, err := platform.DecodeReplica(fmt.Sprintf("u%d", i), fmt.Appendf(nil, `{"service":"app","addr":"10.0.0.%d:80","zone":"z","version":"v1","seq":1,"slots":8,"state":"ready"}`, i+1))
		assert.NilError(t, err)
		entries = append(entries, inventory.Entry{Registration: r})
	}
	now := time.Now()
	b.Update(now, entries, func(string) balancer.Engine { return balancer.Engine{KVTokens: 1000} })
	query := balancer.Query{Service: "app", Prompt: balancer.NewPrompt([]balancer.Part{{ID: 1, Tokens: 10}, {ID: 2, Tokens: 10}})}
	for range 50 {
		b.ObserveLoad(now.Add(-time.Second), "u0", balancer.Load{Waiting: 3, Running: 8})
	}
	assert.Assert(t, len(b.PollTargets(now, query)) > 0)
	for i := range 3 {
		b.ObserveAvailability(now, entries[i].ID, balancer.Availability{Pause: time.Second})
	}
	assert.Equal(t, len(b.PollTargets(now, query)), 0)
	assert.Assert(t, len(b.PollTargets(now.Add(2*time.Second), query)) > 0)
}
