package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	streamEvents = 12
	routeTimeout = 3 * time.Second
	// answerSlack is the time beyond the route's timeout in which a final
	// answer must come. The sheets allow half a second; the rest covers a busy
	// machine.
	answerSlack = time.Second
	minClients  = 12
	pause       = 15 * time.Millisecond
	// One caller in leaving leaves after patience.
	leaving  = 25
	patience = 60 * time.Millisecond
)

// exchange is one request and what its caller saw.
type exchange struct {
	id      string
	route   string
	daemon  *daemon
	run     time.Time // start of the daemon's process
	sent    time.Time
	ended   time.Time
	status  int
	body    string
	refused bool
	// leaving is the upstream that said in the response that it leaves, and headAt when
	// the response's header arrived.
	leaving string
	headAt  time.Time
	err     error // the connection failed before the answer's end
	// resumes is the attempt whose stream this one takes up behind the event last, or nil.
	resumes *exchange
	last    int
}

// load sends requests until stopped and keeps all exchanges.
type load struct {
	fleet  *fleet
	stop   atomic.Bool
	next   atomic.Int64
	wait   sync.WaitGroup
	mu     sync.Mutex
	all    []*exchange
	prefix string
	// patient callers never leave before their answer.
	patient bool
}

// startLoad starts the callers. Patient ones stay until they have an answer.
func startLoad(f *fleet, prefix string, patient bool) *load {
	l := &load{fleet: f, prefix: prefix, patient: patient}
	routes := []string{"/once/", "/again/", "/events/", "/resume/"}
	for i := range max(minClients, len(f.daemons)) {
		l.wait.Go(func() {
			// Each client keeps its connection to one daemon until it breaks.
			d := f.daemons[i%len(f.daemons)]
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for n := i; !l.stop.Load(); n++ {
				wait := routeTimeout + answerSlack
				if n%leaving == 0 && !l.patient {
					wait = patience
				}
				e := l.sendFor(wait, client, d, routes[n%len(routes)], nil)
				l.add(e)
				if last := e.lastEvent(); e.route == "/resume/" && e.err != nil && last > 0 && last < streamEvents && wait > patience {
					// Another daemon, as after a failure of this one.
					l.add(l.sendFor(wait, client, f.daemons[(i+1)%len(f.daemons)], e.route, e))
				}
				time.Sleep(pause)
			}
		})
	}
	return l
}

func (l *load) end() []*exchange {
	l.stop.Store(true)
	l.wait.Wait()
	return l.all
}

func (l *load) add(e *exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, e)
}

// send makes one request and reads its answer to the end.
func (l *load) send(client *http.Client, d *daemon, route string) *exchange {
	return l.sendFor(routeTimeout+answerSlack, client, d, route, nil)
}

// sendFor is send by a caller who leaves after a time, and who takes up the stream of an
// earlier attempt unless that is nil.
func (l *load) sendFor(wait time.Duration, client *http.Client, d *daemon, route string, resumes *exchange) *exchange {
	e := &exchange{
		id: fmt.Sprintf("%s-%d", l.prefix, l.next.Add(1)), route: route, daemon: d, run: d.run(), sent: time.Now(), resumes: resumes,
	}
	defer func() { e.ended = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	method := http.MethodPost
	if route == "/again/" || strings.HasPrefix(route, "/version-") {
		method = http.MethodGet
	}
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(strings.Repeat("x", 20_000))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.callers+route, body)
	if err != nil {
		e.err = err
		return e
	}
	// The transport must not repeat a request by itself.
	req.GetBody = nil
	req.Host = host
	req.Header.Set("X-Attempt-Id", e.id)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if resumes != nil {
		e.last = resumes.lastEvent()
		req.Header.Set("Resumes", resumes.id)
		req.Header.Set("Last-Event-Id", strconv.Itoa(e.last))
	}
	resp, err := client.Do(req)
	if err != nil {
		e.err = err
		return e
	}
	defer resp.Body.Close()
	e.status, e.headAt = resp.StatusCode, time.Now()
	if resp.Header.Get("Server-Leaving") != "" {
		e.leaving = resp.Header.Get("X-Replica-Seal")
	}
	e.refused = resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	data, err := io.ReadAll(resp.Body)
	e.body, e.err = string(data), err
	return e
}
