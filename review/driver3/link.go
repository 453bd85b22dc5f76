package main

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// link forwards the connections of one daemon to the store. While it is cut, nothing
// passes in either direction, and nobody is told.
type link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	cut     chan struct{} // not nil while the link is cut; closed at its end
	polls   map[string]time.Time
	answers map[string]time.Time
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, polls: make(map[string]time.Time), answers: make(map[string]time.Time)}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

// setCut begins or ends a partition.
func (k *link) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case cut && k.cut == nil:
		k.cut = make(chan struct{})
	case !cut && k.cut != nil:
		close(k.cut)
		k.cut = nil
	}
}

// await blocks while the link is cut. It reports whether it was.
func (k *link) await() bool {
	k.mu.Lock()
	cut := k.cut
	k.mu.Unlock()
	if cut == nil {
		return false
	}
	<-cut
	return true
}

// lastPoll returns when the daemon last asked for the changes of a table, and when the
// store last answered that.
func (k *link) lastPoll(table string) (asked, answered time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.polls[table], k.answers[table]
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.forward(c)
	}
}

// forward carries one connection. What a partition has held up is lost with it.
func (k *link) forward(c net.Conn) {
	defer func() { _ = c.Close() }() // ends both directions
	if k.await() {
		return
	}
	s, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }() // ends both directions
	var mu sync.Mutex
	table := "" // of the call that waits for its answer
	go k.copy(s, c, func(p []byte) {
		request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(p)))
		if err != nil || !strings.HasPrefix(request.URL.Path, "/rows-feed") {
			return
		}
		mu.Lock()
		table = request.URL.Query().Get("table")
		k.mark(k.polls, table)
		mu.Unlock()
	})
	k.copy(c, s, func([]byte) {
		mu.Lock()
		defer mu.Unlock()
		if table != "" {
			k.mark(k.answers, table)
			table = ""
		}
	})
}

func (k *link) mark(times map[string]time.Time, table string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	times[table] = time.Now()
}

func (k *link) copy(to, from net.Conn, seen func([]byte)) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if k.await() {
				return
			}
			seen(buf[:n])
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}
