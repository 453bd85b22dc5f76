package relay_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

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
