package edge_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/platform/standin"
)

// Guards against requests that are refused for seconds because the list still has
// processes that crashed and whose addresses their successors have taken over.
// Eight callers send requests that allow one attempt only; three of four upstreams
// crash and restart under new names. The second and third registration arrive
// within the 1.3 s that the daemon waits after a change of the list.
func TestUpstreamsRestartUnderLoad(t *testing.T) {
	const (
		callers = 8
		crashed = 3
	)
	s := startWithRemovalTimeout(t, 4*time.Second)
	s.configure(1, "/a/")
	var replicas []*standin.Replica
	for _, id := range []string{"a-0", "a-1", "a-2", "a-3"} {
		r, err := standin.StartReplica(id)
		assert.NilError(t, err)
		t.Cleanup(r.Close)
		r.Set(standin.Behaviour{Work: 5 * time.Millisecond})
		replicas = append(replicas, r)
		s.store.Put("servers", id, r.Registration("app", "a", "ready"))
	}
	s.awaitStatus(s.callerURL("/a/"), "h.example", http.StatusOK)
	time.Sleep(3 * time.Second) // the list has settled

	for i, r := range replicas[:crashed] {
		next, err := r.Restart([]string{"b-0", "b-1", "b-2"}[i])
		assert.NilError(t, err)
		t.Cleanup(next.Close)
		replicas[i] = next
	}
	var mu sync.Mutex
	responses := make(map[int]int) // by status
	end := time.Now().Add(1200 * time.Millisecond)
	var load sync.WaitGroup
	for range callers {
		load.Go(func() {
			for time.Now().Before(end) {
				status, _ := s.get(s.callerURL("/a/"), "h.example")
				mu.Lock()
				responses[status]++
				mu.Unlock()
			}
		})
	}
	for _, r := range replicas[:crashed] {
		s.store.Put("servers", r.ID, r.Registration("app", "a", "ready"))
		time.Sleep(100 * time.Millisecond)
	}
	load.Wait()

	// For each ended process one request is refused, and those in transit then.
	refused := responses[http.StatusServiceUnavailable]
	assert.Assert(t, refused <= crashed+callers, "%v", responses)
	assert.Assert(t, responses[http.StatusOK] > 100, "%v", responses)
	assert.Equal(t, len(responses), 2, "%v", responses)
	for _, r := range replicas[:crashed] {
		assert.Assert(t, len(r.Runs()) > 0, "%s got no requests", r.ID)
	}
	t.Logf("responses by status: %v", responses)
}
