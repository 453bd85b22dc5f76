package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// exchange is one request at a replica, whose body has not been read.
type exchange struct {
	r      *replica
	conn   net.Conn
	reader *bufio.Reader
	req    *http.Request
	id     string
}

// replica is a stand-in of a server. It checks X-Expect-Replica as the page says and
// leaves the rest to handle, which reports whether the connection goes on.
type replica struct {
	w                          *world
	id, service, zone, version string
	slots                      int
	// running and waiting are what the report says.
	running, waiting int
	born             int64
	listener         net.Listener
	handle           func(e *exchange) bool
	mu               sync.Mutex
	conns            map[net.Conn]bool
	ended            bool
	seq              int
	// receiveBuffer is the size of the connections' receive buffers; zero leaves it.
	receiveBuffer int
}

func (w *world) startReplica(r *replica) error {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if r.receiveBuffer == 0 {
			return nil
		}
		var set error
		err := raw.Control(func(fd uintptr) {
			set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, r.receiveBuffer)
		})
		if err != nil {
			return err
		}
		return set
	}}
	l, err := config.Listen(w.context(), "tcp", w.ip+":0")
	if err != nil {
		return err
	}
	r.w, r.listener, r.conns, r.born = w, l, make(map[net.Conn]bool), time.Now().UnixMilli()
	w.onClose(r.end)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // it has ended
			}
			go r.serve(c)
		}
	}()
	return nil
}

// register writes the replica's entry into the store.
func (r *replica) register(state string) {
	r.seq++
	data, err := json.Marshal(map[string]any{
		"service": r.service, "addr": r.listener.Addr().String(), "zone": r.zone, "version": r.version,
		"slots": r.slots, "state": state, "cold_left_ms": 0, "seq": r.seq, "born": r.born,
	})
	if err != nil {
		panic(err) // a map of plain values encodes
	}
	r.w.store.Put("servers", r.id, data)
	r.w.record("%s (%s %s): entry with state %s", r.id, r.service, r.version, state)
}

// unregister removes the replica's entry.
func (r *replica) unregister() {
	r.w.store.Drop("servers", r.id)
	r.w.record("%s: entry removed", r.id)
}

// end ends the replica with all its connections.
func (r *replica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended {
		r.ended = true
		_ = r.listener.Close()
	}
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *replica) serve(c net.Conn) {
	r.mu.Lock()
	ended := r.ended
	r.conns[c] = true
	r.mu.Unlock()
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for !ended {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		e := &exchange{r: r, conn: c, reader: reader, req: req, id: req.Header.Get("X-Attempt-Id")}
		if !r.answer(e) {
			return
		}
	}
}

func (r *replica) answer(e *exchange) bool {
	switch {
	case e.req.URL.Path == "/report":
		body := fmt.Sprintf(`{"stage":"mixed","busy":false,"seq":1,"waiting":%d,"running":%d,"kv_used":1000,"kv_total":713967,"handles":0}`, r.waiting, r.running)
		return e.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	case e.req.Header.Get("X-Expect-Replica") != r.id:
		_, _ = io.Copy(io.Discard, e.req.Body) // an error shows at the next read
		return e.write(fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id, r.id))
	}
	return r.handle(e)
}

// readBody reads the request's body to its end.
func (e *exchange) readBody() (int64, error) { return io.Copy(io.Discard, e.req.Body) }

func (e *exchange) write(text string) bool {
	_, err := io.WriteString(e.conn, text)
	return err == nil
}

// head begins a stream.
func (e *exchange) head() bool {
	return e.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", e.id, e.r.id, e.id))
}

// event sends one event of a stream.
func (e *exchange) event(n int) bool {
	text := fmt.Sprintf("id: %d\ndata: part %d by %s of %s\n\n", n, n, e.r.id, e.r.version)
	return e.write(fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
}

// endStream ends a stream as complete.
func (e *exchange) endStream() bool { return e.write("0\r\n\r\n") }
