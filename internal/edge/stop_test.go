package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/edge"
	"github.com/auburndyke/auburndyke/platform/standin"
)

// Guards against a planned stop that cuts requests whose header is still being read,
// or that were accepted at the last moment: new connections until the load balancer has
// taken the daemon out, 2 s after the signal, and headers that arrive in two parts.
func TestStopAnswersWhatItAccepted(t *testing.T) {
	s := startWithStore(t, standin.NewStore(), func(s *edge.Settings) {
		s.RemovalTimeout, s.ShutdownTimeout = time.Second, 6*time.Second
	})
	// Requests with a header timeout above the pause between the parts.
	s.store.Put("op", "config", []byte(`{"version":1,"limits":{"idle_timeout_ms":5000,"header_timeout_ms":5000},"services":[{"name":"app"}],"routes":[
		{"name":"r","host":"h.example","prefix":"/a/","type":"idempotent","service":"app","attempts":1,"timeout_ms":1000}]}`))
	s.store.Put("servers", "replica-0", s.replica.Registration("app", "a", "ready"))
	s.awaitStatus(s.callerURL("/a/"), "h.example", http.StatusOK)
	s.replica.Set(standin.Behaviour{Work: 30 * time.Millisecond})

	var callers sync.WaitGroup
	var mu sync.Mutex
	var cut []string
	call := func(name string, pause time.Duration) {
		if err := s.callInParts(pause); err != nil {
			mu.Lock()
			defer mu.Unlock()
			cut = append(cut, fmt.Sprintf("%s: %v", name, err))
		}
	}
	for i := range 8 {
		callers.Go(func() { call("two parts", 2400*time.Millisecond+time.Duration(i)*80*time.Millisecond) })
	}
	time.Sleep(50 * time.Millisecond)
	signalled := time.Now()
	assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	for range 8 {
		callers.Go(func() {
			for time.Since(signalled) < 2*time.Second {
				call("new connection", 0)
			}
		})
	}
	callers.Wait()
	assert.Equal(t, len(cut), 0, "%v", cut)
	select {
	case err := <-s.done:
		assert.NilError(t, err)
		s.done <- nil
	case <-time.After(6 * time.Second):
		t.Fatal("the daemon did not stop")
	}
}

// callInParts sends a request's header in two parts with a pause between them. It
// returns an error if the connection ends without an answer.
func (s *fixture) callInParts(pause time.Duration) error {
	c, err := net.Dial("tcp", s.settings.Load().CallerAddress)
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := io.WriteString(c, "GET /a/ HTTP/1.1\r\nHost: h.example\r\n"); err != nil {
		return err
	}
	time.Sleep(pause)
	if _, err := io.WriteString(c, "X-Attempt-Id: r1\r\nX-Deadline-Ms: 800\r\n\r\n"); err != nil {
		return err
	}
	if err := c.SetReadDeadline(time.Now().Add(awaitTimeout)); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
