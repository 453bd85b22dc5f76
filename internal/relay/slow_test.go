package relay_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/platform/standin"
)

// slowStream pauses for longer than a stream counts as idle, and is then completed within
// the route's time.
var slowStream = standin.Behaviour{Events: 4, PauseAfter: 1, Pause: 1700 * time.Millisecond}

// Guards against a slow but sound stream that is cut although no other upstream can take
// it over.
func TestSlowStreamIsKeptWithoutAnAlternative(t *testing.T) {
	t.Run("one upstream", func(t *testing.T) {
		s := startRelay(t, 1)
		s.setBehaviour(slowStream)
		got := s.do(s.request(http.MethodPost, "/resume/", "r1", "x"))
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, wantEvents("r1", 1, 4))
	})
	t.Run("the other one is leaving", func(t *testing.T) {
		s := startRelay(t, 2)
		s.replicas[0].Set(slowStream)
		s.replicas[1].Set(standin.Behaviour{Leaving: true, Events: 1})
		s.register(s.replicas[1])
		assert.Equal(t, s.do(s.request(http.MethodPost, "/events/", "a", "x")).status, http.StatusOK)
		s.register(s.replicas...)
		got := s.do(s.request(http.MethodPost, "/resume/", "r1", "x"))
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, wantEvents("r1", 1, 4))
	})
}

// Guards against a stalled stream that keeps its place at its upstream although another
// one could resume it.
func TestStalledStreamMovesOn(t *testing.T) {
	s := startRelay(t, 2)
	s.replicas[0].Set(standin.Behaviour{Events: 8, SilentAfter: 3})
	s.replicas[1].Set(standin.Behaviour{Events: 8})
	for i := range 3 {
		id := fmt.Sprintf("r%d", i)
		got := s.do(s.request(http.MethodPost, "/resume/", id, "x"))
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, wantEvents(id, 1, 8))
	}
	for _, run := range s.replicas[0].Runs() {
		assert.Assert(t, run.Ended, "the upstream still works on %s", run.ID)
	}
}
