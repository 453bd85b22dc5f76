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

// stoppingConfig has a route of each kind of request, with timeouts beyond the
// shutdown timeout of the tests.
const stoppingConfig = `{"version":1,"limits":{"idle_timeout_ms":9000,"header_timeout_ms":5000},"services":[{"name":"app"}],"routes":[
	{"name":"once","host":"h.example","prefix":"/once/","type":"non_idempotent","service":"app","attempts":1,"timeout_ms":20000},
	{"name":"again","host":"h.example","prefix":"/again/","type":"idempotent","service":"app","attempts":2,"timeout_ms":20000},
	{"name":"events","host":"h.example","prefix":"/events/","type":"stream","service":"app","attempts":1,"timeout_ms":20000},
	{"name":"resume","host":"h.example","prefix":"/resume/","type":"stream","resumable":true,"service":"app","attempts":2,"timeout_ms":20000}]}`

const stoppingShutdownTimeout = 4 * time.Second

// startStopping starts a daemon in front of a replica that works for a long time.
func startStopping(t *testing.T) *fixture {
	t.Helper()
	s := startWithStore(t, standin.NewStore(), func(s *edge.Settings) {
		s.RemovalTimeout, s.ShutdownTimeout = time.Second, stoppingShutdownTimeout
	})
	s.store.Put("op", "config", []byte(stoppingConfig))
	s.store.Put("servers", "replica-0", s.replica.Registration("app", "a", "ready"))
	s.awaitStatus(s.callerURL("/again/"), "h.example", http.StatusOK)
	s.replica.Set(standin.Behaviour{Work: 15 * time.Second})
	return s
}

// ending is how a caller's connection ended.
type ending struct {
	path   string
	sent   time.Time
	after  time.Duration
	status int   // zero without a complete response
	err    error // of the connection or of the response
}

// call sends a request on a connection of its own.
func (s *fixture) call(path, id string, deadline time.Duration) ending {
	e := ending{path: path, sent: time.Now()}
	e.status, e.err = s.callOnNewConn(path, id, deadline)
	e.after = time.Since(e.sent)
	return e
}

func (s *fixture) callOnNewConn(path, id string, deadline time.Duration) (int, error) {
	c, err := net.Dial("tcp", s.settings.Load().CallerAddress)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return 0, err
	}
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 1\r\n\r\nx", path, id, deadline.Milliseconds()); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}

// Guards against a planned stop that closes the connections of requests which still
// wait at an upstream, so that their callers get no answer.
func TestStopAnswersRequestsThatWaitAtUpstreams(t *testing.T) {
	s := startStopping(t)
	endings := make(chan ending, 16)
	var callers sync.WaitGroup
	for i, path := range []string{"/once/", "/again/", "/events/", "/resume/"} {
		for k := range 3 {
			callers.Go(func() { endings <- s.call(path, fmt.Sprintf("r%d-%d", i, k), 15*time.Second) })
		}
	}
	time.Sleep(200 * time.Millisecond)
	signalled := time.Now()
	assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	callers.Wait()
	close(endings)
	for e := range endings {
		assert.Check(t, e.err == nil && e.status == http.StatusBadGateway, "%s: status %d, %v, %v after it was sent", e.path, e.status, e.err, e.after)
		// A silent upstream is no reason to end a request much before the end of the
		// shutdown timeout.
		ended := e.sent.Add(e.after).Sub(signalled)
		assert.Check(t, ended > stoppingShutdownTimeout*5/6 && ended < stoppingShutdownTimeout, "%s: ended %v after the signal", e.path, ended)
	}
	assert.NilError(t, <-s.done)
	s.done <- nil
}

// Guards against requests that are accepted late in a planned stop and are then cut at
// its end: each gets an answer, and one that says it has not run has not reached an
// upstream.
func TestStopCutsNoRequestsThatCameLate(t *testing.T) {
	s := startStopping(t)
	signalled := time.Now()
	assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	endings := make(chan ending, 1024)
	var callers sync.WaitGroup
	n := 0
	for time.Since(signalled) < 3500*time.Millisecond {
		for _, path := range []string{"/once/", "/again/", "/events/"} {
			// Deadlines up to and beyond the end of the shutdown timeout.
			for _, deadline := range []time.Duration{300 * time.Millisecond, stoppingShutdownTimeout - 350*time.Millisecond - time.Since(signalled), 15 * time.Second} {
				n++
				id := fmt.Sprintf("late%d", n)
				callers.Go(func() { endings <- s.call(path, id, max(deadline, 50*time.Millisecond)) })
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	callers.Wait()
	close(endings)
	refused := 0
	for e := range endings {
		assert.Check(t, e.err == nil && (e.status == http.StatusBadGateway || e.status == http.StatusGatewayTimeout || e.status == http.StatusServiceUnavailable),
			"%s: status %d, %v, sent %v after the signal, ended %v later", e.path, e.status, e.err, e.sent.Sub(signalled), e.after)
		if e.status == http.StatusServiceUnavailable {
			refused++
		}
	}
	assert.Check(t, refused > 0, "no request was refused")
	assert.Check(t, len(s.replica.Runs())-1 <= n-refused, "%d of %d requests ran, %d were refused", len(s.replica.Runs()), n, refused)
	assert.NilError(t, <-s.done)
	s.done <- nil
}
