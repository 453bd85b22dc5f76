package relay_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/origin"
	"github.com/auburndyke/auburndyke/internal/telemetry"
	"github.com/auburndyke/auburndyke/platform/standin"
)

// startMixed starts a relay in front of replicas of software versions old and new, half of
// each.
func startMixed(t *testing.T, replicas int) *fixture {
	t.Helper()
	s := startRelay(t, replicas)
	for i, r := range s.replicas {
		r.SoftwareVersion = "old"
		if i >= replicas/2 {
			r.SoftwareVersion = "new"
		}
	}
	s.register(s.replicas...)
	return s
}

// versionsOf returns the software versions of the replicas that ran a request.
func (s *fixture) versionsOf(id string) map[string]int {
	out := make(map[string]int)
	for _, r := range s.replicas {
		for _, run := range r.Runs() {
			if run.ID == id {
				out[r.SoftwareVersion]++
			}
		}
	}
	return out
}

// Guards against a response that holds events of two software versions, and against a
// stream that is given up although its version can go on.
func TestStreamResumesAtItsSoftwareVersion(t *testing.T) {
	s := startMixed(t, 4)
	s.setBehaviour(standin.Behaviour{Events: 9})
	s.replicas[0].Set(standin.Behaviour{Events: 9, CutAfter: 3})
	s.replicas[2].Set(standin.Behaviour{Events: 9, CutAfter: 3})
	resumed := 0
	for i := range 12 {
		id := fmt.Sprintf("r%d", i)
		got := s.do(s.request(http.MethodPost, "/resume/", id, "x"))
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, wantEvents(id, 1, 9))
		versions := s.versionsOf(id)
		assert.Equal(t, len(versions), 1, "%s ran at %v", id, versions)
		if versions["old"]+versions["new"] > 1 {
			resumed++
		}
	}
	assert.Assert(t, resumed > 0)
}

// Guards against a stream that goes on at another version when none of its own is left,
// or that looks complete then.
func TestStreamEndsWithoutItsSoftwareVersion(t *testing.T) {
	s := startMixed(t, 2)
	s.setBehaviour(standin.Behaviour{Events: 9, CutAfter: 3})
	for i := range 6 {
		id := fmt.Sprintf("r%d", i)
		got := s.do(s.request(http.MethodPost, "/resume/", id, "x"))
		assert.Equal(t, got.body, wantEvents(id, 1, 3))
		assert.Assert(t, got.err != nil, "the stream looks complete")
		assert.Equal(t, len(s.versionsOf(id)), 1)
	}
}

// Guards against an attempt without an event that binds its request to a version.
func TestRequestWithoutEventsTakesAnySoftwareVersion(t *testing.T) {
	s := startMixed(t, 2)
	s.replicas[0].Set(standin.Behaviour{Status: http.StatusInternalServerError})
	s.replicas[1].Set(standin.Behaviour{Events: 4})
	for i := range 6 {
		id := fmt.Sprintf("r%d", i)
		got := s.do(s.request(http.MethodPost, "/resume/", id, "x"))
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, wantEvents(id, 1, 4))
	}
}

// noStreams is a table in which no other daemon has written.
type noStreams struct{}

func (noStreams) ReadAll(context.Context) ([]origin.Row, error)     { return nil, nil }
func (noStreams) Put(context.Context, string, string, []byte) error { return nil }
func (noStreams) Remove(context.Context, origin.Row) error          { return nil }

// remember makes the relay remember at which versions streams began, while both versions
// of startMixed are in service.
func (s *fixture) remember() {
	k := origin.NewKeeper(origin.Options{Daemon: "d", Table: noStreams{}, Log: telemetry.NopLog()})
	k.Observe(time.Now(), map[string][]string{"app": {"old", "new"}})
	s.handler.Origins = k
}

// takeUp resumes a stream behind its third event.
func (s *fixture) takeUp(id, resumes string) reply {
	req := s.request(http.MethodPost, "/resume/", id, "x")
	req.Header.Set("Last-Event-Id", "3")
	req.Header.Set("Resumes", resumes)
	return s.do(req)
}

// Guards against a stream that a caller takes up and that goes on at another software
// version than the one that began it, and against one that could go on and is refused.
func TestTakenUpStreamStaysAtItsSoftwareVersion(t *testing.T) {
	s := startMixed(t, 4)
	s.remember()
	for i := range 12 {
		from, to := s.replicas[:2], s.replicas[2:]
		if i%2 == 1 {
			from, to = to, from
		}
		s.setBehaviour(standin.Behaviour{Events: 9, CutAfter: 3})
		s.register(from...)
		first := fmt.Sprintf("first-%d", i)
		got := s.do(s.request(http.MethodPost, "/resume/", first, "x"))
		assert.Equal(t, got.body, wantEvents(first, 1, 3))

		s.setBehaviour(standin.Behaviour{Events: 9})
		s.register(to...)
		gone := fmt.Sprintf("gone-%d", i)
		got = s.takeUp(gone, first)
		assert.Equal(t, len(s.versionsOf(gone)), 0, "an attempt has run at another version")
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Equal(t, got.header.Get("Retry-After"), "", "a version that is gone does not come back")

		s.register(s.replicas...)
		again := fmt.Sprintf("again-%d", i)
		got = s.takeUp(again, first)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, wantEvents(again, 4, 9))
		assert.DeepEqual(t, slices.Sorted(maps.Keys(s.versionsOf(again))), slices.Sorted(maps.Keys(s.versionsOf(first))))
	}
}

// Guards against a guess at the version of a stream that nobody remembers.
func TestStreamOfUnknownSoftwareVersionIsRefused(t *testing.T) {
	s := startMixed(t, 2)
	s.setBehaviour(standin.Behaviour{Events: 9})
	s.remember()
	for _, resumes := range []string{"never", ""} {
		got := s.takeUp("a"+resumes, resumes)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Equal(t, s.executions(), 0)
	}
}
