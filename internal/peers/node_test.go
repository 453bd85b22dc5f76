package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// memoryDirectory is a Directory in memory.
type memoryDirectory struct {
	mu   sync.Mutex
	rows map[string][]byte
	puts int
}

func (d *memoryDirectory) Put(_ context.Context, key string, value []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rows[key] = value
	d.puts++
	return nil
}

func (d *memoryDirectory) Remove(_ context.Context, row ports.Row) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.rows, row.Key)
	return nil
}

func (d *memoryDirectory) ReadPage(context.Context, string) (follow.Page, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []ports.Row
	for key, value := range d.rows {
		out = append(out, ports.Row{Key: key, Value: value})
	}
	return follow.Page{Rows: out, Version: 1}, nil
}

// idleState has nothing to report.
type idleState struct{}

func (idleState) WorkByService(time.Time) map[string]balancer.Work {
	return map[string]balancer.Work{"model": {}}
}
func (idleState) SetTotal(string, balancer.Work, int)         {}
func (idleState) TakeReports() map[uint32]balancer.LoadReport { return nil }
func (idleState) MergeReports(map[uint32]balancer.LoadReport) {}

// fixedTable is a Table that changes only through Offer.
type fixedTable struct {
	mu   sync.Mutex
	copy follow.Snapshot
}

func (t *fixedTable) Versions() follow.Versions { return t.Snapshot().Versions }

func (t *fixedTable) Snapshot() follow.Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.copy
}

func (t *fixedTable) Offer(s follow.Snapshot) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.copy.Behind(s.Versions) {
		return false
	}
	t.copy = s
	return true
}

func (*fixedTable) Since(ports.Version) ([]ports.Row, follow.Versions, bool) {
	return nil, follow.Versions{}, false
}

func (*fixedTable) OfferChanges(ports.Version, []ports.Row, follow.Versions) bool { return false }
func (*fixedTable) ReadsPlatform(time.Time) bool                                  { return false }

func (*fixedTable) Age(time.Time) time.Duration  { return 0 }
func (*fixedTable) Unavailable(time.Time) bool   { return false }
func (*fixedTable) SetWait(follow.Wait)          {}
func (*fixedTable) CoalesceDelay() time.Duration { return 0 }
func (*fixedTable) Refresh()                     {}
func (*fixedTable) RepeatCall()                  {}

// startNode runs a node and serves its copies over HTTP at the address at which
// it receives datagrams.
func startNode(t *testing.T, name string, d *memoryDirectory, table Table) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n := New(Config{
		Daemon: name, Address: l.Addr().String(), Directory: d, Local: idleState{},
		Tables: map[string]Table{"configuration": table}, Rand: rand.New(rand.NewPCG(1, 2)), Log: telemetry.NopLog(),
	})
	router := echo.New()
	router.GET(TablePath, n.ServeTable)
	server := httptest.NewUnstartedServer(router)
	assert.NilError(t, server.Listener.Close())
	server.Listener = l
	server.Start()
	t.Cleanup(server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(func() { cancel(); assert.NilError(t, <-done) })
}

// Guards against a daemon that keeps an old configuration, because the platform
// rejects its calls, although its peers have a newer one.
func TestCopyComesFromPeer(t *testing.T) {
	d := &memoryDirectory{rows: make(map[string][]byte)}
	rows := []ports.Row{{Key: "config", Value: []byte("new"), Version: 9}}
	ahead := &fixedTable{copy: follow.NewSnapshot(rows, follow.Versions{AsOf: 12, Changed: 9})}
	behind := &fixedTable{copy: follow.NewSnapshot(nil, follow.Versions{AsOf: 5, Changed: 3})}
	startNode(t, "ahead", d, ahead)
	startNode(t, "behind", d, behind)
	// The required bound is 8.5 s for a daemon whose calls the store rejects.
	for deadline := time.Now().Add(8 * time.Second); behind.Versions().AsOf != 12; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the peer's copy was not adopted")
	}
	copied := behind.Snapshot()
	assert.DeepEqual(t, copied.Rows(), rows)
}

// A request for a table that the node does not have must be answered 404.
func TestUnknownTableIsNotFound(t *testing.T) {
	n := New(Config{Tables: map[string]Table{}, Rand: rand.New(rand.NewPCG(1, 2))})
	router := echo.New()
	router.GET(TablePath, n.ServeTable)
	w := httptest.NewRecorder()
	router.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/peers/tables/other", nil))
	assert.Equal(t, w.Code, http.StatusNotFound)
}

// countingState records the number of daemons that SetTotal reports.
type countingState struct {
	idleState
	daemons int
}

func (o *countingState) SetTotal(_ string, _ balancer.Work, daemons int) { o.daemons = daemons }

// Guards against daemons that each claim the slack of the whole retry budget
// because their datagrams reach no peer: daemons in the directory must count
// although they were not heard from.
func TestUnheardDaemonsAreCounted(t *testing.T) {
	d := &memoryDirectory{rows: make(map[string][]byte)}
	o := new(countingState)
	var nodes []*Node
	for _, name := range []string{"d-1", "d-2", "d-3"} {
		n := New(Config{
			Daemon: name, Address: "127.0.0.1:1" + name[2:], Directory: d, Local: o,
			Rand: rand.New(rand.NewPCG(1, 2)), Log: telemetry.NopLog(),
		})
		for range 2 { // the first one registers the daemon
			_, err := n.syncDirectory(t.Context())
			assert.NilError(t, err)
		}
		nodes = append(nodes, n)
	}
	_, _, err := nodes[2].compose(time.Now())
	assert.NilError(t, err)
	assert.Equal(t, o.daemons, 3)
}

// blockingTable is a Table whose Snapshot blocks until release is closed.
type blockingTable struct {
	fixedTable
	reading chan struct{}
	release chan struct{}
}

func (t *blockingTable) Snapshot() follow.Snapshot {
	t.reading <- struct{}{}
	<-t.release
	return t.fixedTable.Snapshot()
}

// Guards against a seed that exhausts its memory and its link because it sends
// full copies to all daemons that start at the same time.
func TestConcurrentFullCopiesAreBounded(t *testing.T) {
	table := &blockingTable{reading: make(chan struct{}, 2*maxFullCopies), release: make(chan struct{})}
	n := New(Config{Tables: map[string]Table{"configuration": table}, Rand: rand.New(rand.NewPCG(1, 2)), Log: telemetry.NopLog()})
	router := echo.New()
	router.GET(TablePath, n.ServeTable)
	request := func() int {
		response := httptest.NewRecorder()
		router.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/peers/tables/configuration?after=0", nil))
		return response.Code
	}
	var first sync.WaitGroup
	for range maxFullCopies {
		first.Go(func() { assert.Check(t, request() == http.StatusOK) })
		<-table.reading
	}
	assert.Equal(t, request(), http.StatusServiceUnavailable)
	close(table.release)
	first.Wait()
	assert.Equal(t, request(), http.StatusOK)
}
