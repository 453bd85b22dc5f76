package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// replica is a server of the deployment. It speaks HTTP/1.1 on raw connections, so that
// it can break off and send bytes without end.
type replica struct {
	s       *stage
	id      string
	service string
	zone    string
	address string
	slots   int
	// handle answers a request that the replica takes. It returns false if the connection
	// ends with the answer.
	handle func(*arrival) bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	born     int64
	seq      int
	running  int
	waiting  int
}

// arrival is one request at a replica.
type arrival struct {
	replica *replica
	conn    net.Conn
	reader  *bufio.Reader
	request *http.Request
	id      string
}

// startReplica starts a replica and registers it in the store.
func (s *stage) startReplica(id, service, zone string, slots int, handle func(*arrival) bool) (*replica, error) {
	r := &replica{s: s, id: id, service: service, zone: zone, address: "127.0.0.1:0", slots: slots, handle: handle}
	if err := r.start(); err != nil {
		return nil, err
	}
	s.onClose(r.crash)
	return r, nil
}

// start listens, at the same address as before if the replica has crashed, and registers
// the replica. Each start has its own born.
func (r *replica) start() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listener, r.address, r.conns = l, l.Addr().String(), make(map[net.Conn]bool)
	r.born, r.seq, r.running, r.waiting = time.Now().UnixMilli(), 1, 0, 0
	r.mu.Unlock()
	r.s.logf("replica %s of %s starts at %s", r.id, r.service, r.address)
	go r.accept(l)
	return r.register()
}

func (r *replica) register() error {
	data, err := json.Marshal(map[string]any{
		"service": r.service, "addr": r.address, "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": "ready", "cold_left_ms": 0, "seq": r.seq, "born": r.born,
		"stage": "mixed", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	})
	if err != nil {
		return err
	}
	r.s.store.Put("servers", r.id, data)
	return nil
}

// crash ends the replica: its port refuses connections and the open ones are reset.
func (r *replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close() // it accepts nothing from here on
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // bytes that are not sent yet are lost
		}
		_ = c.Close() // the other side sees it
	}
}

func (r *replica) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return // closed
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

func (r *replica) serve(c net.Conn) {
	defer func() {
		_ = c.Close() // ends the connection whatever happened
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !r.answer(&arrival{replica: r, conn: c, reader: reader, request: req, id: req.Header.Get("X-Attempt-Id")}) {
			return
		}
	}
}

// answer answers one request. It returns false if the connection ends with the answer.
func (r *replica) answer(a *arrival) bool {
	switch {
	case a.request.URL.Path == "/report":
		r.mu.Lock()
		body := fmt.Sprintf(`{"stage":"mixed","busy":false,"seq":%d,"waiting":%d,"running":%d,"kv_used":41000,"kv_total":430979,"handles":0,"born":%d}`,
			r.seq, r.waiting, r.running, r.born)
		r.mu.Unlock()
		return a.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	case a.request.Header.Get("X-Expect-Replica") != r.id:
		return a.write(fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", a.id, r.id))
	}
	return r.handle(a)
}

func (a *arrival) write(text string) bool {
	_, err := io.WriteString(a.conn, text)
	return err == nil
}

// head returns the status line and the header that all answers of a replica bear.
func (a *arrival) head(status int) string {
	r := a.replica
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: seal-%s-%s\r\nX-Replica-Load: %d,%d,%d\r\n",
		status, http.StatusText(status), a.id, r.id, a.id, r.running, r.waiting, r.slots)
}

// refuse says that the replica is full and has not run the request.
func (a *arrival) refuse() bool {
	a.replica.s.logf("replica %s refuses %s (503, X-Not-Executed)", a.replica.id, a.id)
	return a.write(fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nX-Replica-Load: %d,%d,%d\r\nContent-Length: 0\r\n\r\n",
		a.id, a.replica.slots, 3*a.replica.slots, a.replica.slots))
}

// complete answers with a short body.
func (a *arrival) complete(status int, body string) bool {
	return a.write(a.head(status) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
}

// sleep waits, and returns false if the daemon closes the connection meanwhile.
func (a *arrival) sleep(d time.Duration) bool {
	if err := a.conn.SetReadDeadline(time.Now().Add(d)); err != nil {
		return false
	}
	_, err := a.reader.Peek(1)
	if reset := a.conn.SetReadDeadline(time.Time{}); reset != nil {
		return false
	}
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// eventStream is a stream that is being sent.
type eventStream struct {
	a *arrival
	// head is what is sent before the next event.
	head string
}

// begin begins a stream. Its head is sent with the first event.
func (a *arrival) begin() *eventStream {
	return &eventStream{a, a.head(http.StatusOK) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"}
}

// event sends event n. It returns false if the channel is closed.
func (e *eventStream) event(n int) bool {
	text := fmt.Sprintf("id: %d\ndata: %s part %d\n\n", n, e.a.id, n)
	ok := e.a.write(e.head + fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
	e.head = ""
	return ok
}

// end sends the end of a complete stream.
func (e *eventStream) end() bool { return e.a.write(e.head + "0\r\n\r\n") }

// stream sends a stream of events, one each gap, beginning after Last-Event-Id. Before
// event pauseAt it is silent for pause.
func (a *arrival) stream(events int, gap time.Duration, pauseAt int, pause time.Duration) bool {
	first := 1
	if last, err := strconv.Atoi(a.request.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	out := a.begin()
	for n := first; n <= events; n++ {
		if n == pauseAt && pause > 0 && !a.sleep(pause) || !a.sleep(gap) {
			a.replica.s.logf("replica %s: the daemon has closed the connection of %s before event %d", a.replica.id, a.id, n)
			return false
		}
		if !out.event(n) {
			return false
		}
	}
	return out.end()
}

// desk answers status questions and bookings as a sound replica of the booking application.
func desk(a *arrival) bool {
	if !a.sleep(15 * time.Millisecond) {
		return false
	}
	a.replica.s.logf("replica %s runs %s", a.replica.id, a.id)
	body := fmt.Sprintf("%-800s", "answer to "+a.id)
	return a.complete(http.StatusOK, body)
}
