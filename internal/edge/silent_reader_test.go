package edge_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/edge"
	"github.com/auburndyke/auburndyke/platform/standin"
)

// leaveTime and configTime are the tightest bounds that users state on upstreams that leave
// and on changes of the configuration.
const (
	leaveTime  = 2500 * time.Millisecond
	configTime = 2500 * time.Millisecond
)

// storeLink is the path between a daemon and the store.
type storeLink struct {
	listener net.Listener
	store    string

	mu sync.Mutex
	// whole is closed while bytes pass.
	whole chan struct{}
	// polled is when the daemon last asked for changes of a table.
	polled map[string]time.Time
	conns  []net.Conn
}

func startStoreLink(t *testing.T, store string) *storeLink {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	k := &storeLink{listener: l, store: store, whole: make(chan struct{}), polled: make(map[string]time.Time)}
	close(k.whole)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // closed
			}
			go k.relay(c)
		}
	}()
	t.Cleanup(k.close)
	return k
}

func (k *storeLink) close() {
	_ = k.listener.Close()
	k.setCut(false)
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.conns {
		_ = c.Close()
	}
}

func (k *storeLink) relay(daemon net.Conn) {
	defer daemon.Close()
	store, err := net.Dial("tcp", k.store)
	if err != nil {
		return
	}
	defer store.Close()
	k.mu.Lock()
	k.conns = append(k.conns, daemon, store)
	k.mu.Unlock()
	var answers sync.WaitGroup
	answers.Go(func() { k.pass(store, daemon, func([]byte) {}) })
	k.pass(daemon, store, k.observe)
	_ = store.Close()
	answers.Wait()
}

// pass copies bytes until either side closes, and holds them while the link is cut.
func (k *storeLink) pass(from, to net.Conn, observe func([]byte)) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		observe(buffer[:n])
		k.mu.Lock()
		whole := k.whole
		k.mu.Unlock()
		<-whole
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (k *storeLink) observe(request []byte) {
	if !bytes.Contains(request, []byte("rows-feed")) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, table := range []string{"servers", "op"} {
		if bytes.Contains(request, []byte("table="+table)) {
			k.polled[table] = time.Now()
		}
	}
}

func (k *storeLink) lastPoll(table string) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.polled[table]
}

// setCut makes the link silent in both directions, or whole again.
func (k *storeLink) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	select {
	case <-k.whole:
		if cut {
			k.whole = make(chan struct{})
		}
	default:
		if !cut {
			close(k.whole)
		}
	}
}

// awaitReader waits until one daemon only asks the store for changes of a table, and returns
// its index.
func awaitReader(t *testing.T, links []*storeLink, table string) int {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		reader, quiet := -1, 0
		for i, k := range links {
			polled := k.lastPoll(table)
			switch age := time.Since(polled); {
			case age < 300*time.Millisecond:
				reader = i
			case !polled.IsZero() && age > 6*time.Second: // longer than a call that a daemon makes for itself
				quiet++
			}
		}
		if reader >= 0 && quiet == len(links)-1 {
			return reader
		}
	}
	t.Fatal("no daemon reads for the others")
	return 0
}

// Guards against requests to a replica later than it may still get them, through daemons
// that reach the store, because the daemon that reads for them does not. A replica whose
// entry is only removed is the last resort for some time.
func TestSilentReaderDelaysNoLeaving(t *testing.T) {
	for name, c := range map[string]struct {
		replicas int
		leave    func(*standin.Store, *standin.Replica)
	}{
		"draining": {3, func(s *standin.Store, r *standin.Replica) {
			s.Put("servers", r.ID, r.Registration("app", "a", "draining"))
		}},
		"removed": {1, func(s *standin.Store, r *standin.Replica) { s.Drop("servers", r.ID) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testLeaving(t, c.replicas, c.leave)
		})
	}
}

// startLinkedFleet starts the fewest daemons of a zone with a reader, each with a link of its
// own to the store.
func startLinkedFleet(t *testing.T, store *standin.Store) (fleet []*fixture, links []*storeLink) {
	t.Helper()
	const daemons = 4
	server := httptest.NewServer(store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	for i := range daemons {
		link := startStoreLink(t, server.Listener.Addr().String())
		links = append(links, link)
		fleet = append(fleet, startWithStore(t, store, func(s *edge.Settings) {
			s.Daemon, s.PlatformAddress = daemonName(i), link.listener.Addr().String()
			s.RemovalTimeout, s.ConfigTimeout = leaveTime, configTime
		}))
	}
	return fleet, links
}

func testLeaving(t *testing.T, number int, leave func(*standin.Store, *standin.Replica)) {
	const callers = 3 // of each daemon
	store := standin.NewStore()
	fleet, links := startLinkedFleet(t, store)
	fleet[0].configure(1, "/a/")
	var replicas []*standin.Replica
	for i := range number {
		r, err := standin.StartReplica(fmt.Sprint("app-", i))
		assert.NilError(t, err)
		t.Cleanup(r.Close)
		r.Set(standin.Behaviour{Work: 30 * time.Millisecond})
		replicas = append(replicas, r)
		store.Put("servers", r.ID, r.Registration("app", "a", "ready"))
	}
	for _, d := range fleet {
		d.awaitStatus(d.callerURL("/a/"), "h.example", http.StatusOK)
	}

	silent := awaitReader(t, links, "servers")
	links[silent].setCut(true)
	time.Sleep(100 * time.Millisecond)
	leaving := replicas[0]
	leave(store, leaving)
	accepted := time.Now()
	var load sync.WaitGroup
	for i, d := range fleet {
		if i == silent {
			continue
		}
		for range callers {
			load.Go(func() {
				for time.Since(accepted) < 2*leaveTime {
					status, _ := d.get(d.callerURL("/a/"), "h.example")
					assert.Check(t, status == http.StatusOK || number == 1, "status %d", status)
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	load.Wait()
	late := 0
	var latest time.Duration
	for _, run := range leaving.Runs() {
		after := run.At.Sub(accepted)
		latest = max(latest, after)
		if after > leaveTime {
			late++
		}
	}
	assert.Check(t, late == 0, "%d requests reached the replica later than %s after it has left, the last one %s after it", late, leaveTime, latest)
	assert.Check(t, latest > 0, "no daemon relied on the silent one")
	t.Logf("the last request reached the replica %s after it has left", latest)
}

// Guards against requests that are handled as a configuration says that is no longer in
// force, at daemons that reach the store, because the daemon that reads for them does not.
func TestSilentReaderDelaysNoConfiguration(t *testing.T) {
	t.Parallel()
	store := standin.NewStore()
	fleet, links := startLinkedFleet(t, store)
	fleet[0].configure(1, "/a/")
	store.Put("servers", "replica-0", fleet[0].replica.Registration("app", "a", "ready"))
	for _, d := range fleet {
		d.awaitStatus(d.callerURL("/a/"), "h.example", http.StatusOK)
	}

	silent := awaitReader(t, links, "op")
	links[silent].setCut(true)
	time.Sleep(100 * time.Millisecond)
	fleet[0].configure(2, "/b/")
	accepted := time.Now()
	var load sync.WaitGroup
	for i, d := range fleet {
		if i == silent {
			continue
		}
		load.Go(func() {
			for status := 0; status != http.StatusNotFound; {
				sent := time.Since(accepted)
				if status, _ = d.get(d.callerURL("/a/"), "h.example"); status == http.StatusOK {
					assert.Check(t, sent <= configTime, "daemon %d serves a route that was dropped, %s after that", i, sent)
				}
				if sent > 2*configTime {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	load.Wait()
	t.Logf("no daemon serves the dropped route %s after that", time.Since(accepted))
}
