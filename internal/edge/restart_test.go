package edge_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/platform/standin"
)

// Guards against callers that are refused for seconds because the list still
// names processes that crashed and whose addresses their successors have. The
// load: eight callers with requests that may be sent to one upstream only, four
// upstreams, three of which crash and start again under new names. The second
// and third registration arrive while the list settles for 1.3 s.
func TestUpstreamsRestartUnderLoad(t *testing.T) {
	const (
		callers = 8
		crashed = 3
	)
	s := startWith(t, 4*time.Second)
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
	s.await(s.route("/a/"), "h.example", http.StatusOK)
	time.Sleep(3 * time.Second) // the list has settled

	for i, r := range replicas[:crashed] {
		next, err := r.Restart([]string{"b-0", "b-1", "b-2"}[i])
		assert.NilError(t, err)
		t.Cleanup(next.Close)
		replicas[i] = next
	}
	var mu sync.Mutex
	answers := make(map[int]int)
	end := time.Now().Add(1200 * time.Millisecond)
	var load sync.WaitGroup
	for range callers {
		load.Go(func() {
			for time.Now().Before(end) {
				status, _ := s.get(s.route("/a/"), "h.example")
				mu.Lock()
				answers[status]++
				mu.Unlock()
			}
		})
	}
	for _, r := range replicas[:crashed] {
		s.store.Put("servers", r.ID, r.Registration("app", "a", "ready"))
		time.Sleep(100 * time.Millisecond)
	}
	load.Wait()

	// Each process that ended refuses one request, and those on their way then.
	refused := answers[http.StatusServiceUnavailable]
	assert.Assert(t, refused <= crashed+callers, "%v", answers)
	assert.Assert(t, answers[http.StatusOK] > 100, "%v", answers)
	assert.Equal(t, len(answers), 2, "%v", answers)
	for _, r := range replicas[:crashed] {
		assert.Assert(t, len(r.Runs()) > 0, "%s got nothing", r.ID)
	}
	t.Logf("answers by status: %v", answers)
}
