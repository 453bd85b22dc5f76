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

// directory is a table in memory.
type directory struct {
	mu   sync.Mutex
	rows map[string][]byte
}

func (d *directory) Put(_ context.Context, key string, value []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rows[key] = value
	return nil
}

func (d *directory) Remove(_ context.Context, row ports.Row) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.rows, row.Key)
	return nil
}

func (d *directory) ReadPage(context.Context, string) (follow.Page, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []ports.Row
	for key, value := range d.rows {
		out = append(out, ports.Row{Key: key, Value: value})
	}
	return follow.Page{Rows: out, Version: 1}, nil
}

// quietObserver has nothing to tell.
type quietObserver struct{}

func (quietObserver) WorkByService(time.Time) map[string]balancer.Work {
	return map[string]balancer.Work{"model": {}}
}
func (quietObserver) SetTotal(string, balancer.Work, int)         {}
func (quietObserver) TakeReports() map[uint32]balancer.LoadReport { return nil }
func (quietObserver) MergeReports(map[uint32]balancer.LoadReport) {}

// fixedTable is a copy that changes by offers only.
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
func (*fixedTable) ReadsPlatform(time.Time) bool { return false }

func (*fixedTable) Unavailable(time.Time) bool { return false }
func (*fixedTable) SetWait(time.Duration)      {}

// startNode runs a node whose copies are served at the address of its
// datagrams.
func startNode(t *testing.T, name string, d *directory, table Table) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n := New(Config{
		Daemon: name, Address: l.Addr().String(), Directory: d, Local: quietObserver{},
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

// Guards against a daemon that the platform turns away and that keeps an older
// configuration although its peers have a later one.
func TestCopyComesFromPeer(t *testing.T) {
	d := &directory{rows: make(map[string][]byte)}
	rows := []ports.Row{{Key: "config", Value: []byte("new"), Version: 9}}
	ahead := &fixedTable{copy: follow.NewSnapshot(rows, follow.Versions{AsOf: 12, Changed: 9})}
	behind := &fixedTable{copy: follow.NewSnapshot(nil, follow.Versions{AsOf: 5, Changed: 3})}
	startNode(t, "ahead", d, ahead)
	startNode(t, "behind", d, behind)
	// The sheets leave 8.5 s for a daemon that the store turns away.
	for end := time.Now().Add(8 * time.Second); behind.Versions().AsOf != 12; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the copy did not come")
	}
	copied := behind.Snapshot()
	assert.DeepEqual(t, copied.Rows(), rows)
}

// Guards against copies of tables that a node does not have.
func TestUnknownTable(t *testing.T) {
	n := New(Config{Tables: map[string]Table{}, Rand: rand.New(rand.NewPCG(1, 2))})
	router := echo.New()
	router.GET(TablePath, n.ServeTable)
	w := httptest.NewRecorder()
	router.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/peers/tables/other", nil))
	assert.Equal(t, w.Code, http.StatusNotFound)
}

// countingObserver notes how many daemons it was told of.
type countingObserver struct {
	quietObserver
	daemons int
}

func (o *countingObserver) SetTotal(_ string, _ balancer.Work, daemons int) { o.daemons = daemons }

// Guards against daemons that each take the whole slack of the fleet's budget
// of repeats because their datagrams reach nobody.
func TestSilentPeersStillCount(t *testing.T) {
	d := &directory{rows: make(map[string][]byte)}
	o := new(countingObserver)
	var nodes []*Node
	for _, name := range []string{"d-1", "d-2", "d-3"} {
		n := New(Config{
			Daemon: name, Address: "127.0.0.1:1" + name[2:], Directory: d, Local: o,
			Rand: rand.New(rand.NewPCG(1, 2)), Log: telemetry.NopLog(),
		})
		announced := false
		assert.NilError(t, n.visitDirectory(t.Context(), &announced))
		nodes = append(nodes, n)
	}
	_, _, err := nodes[2].compose(time.Now())
	assert.NilError(t, err)
	assert.Equal(t, o.daemons, 3)
}

// slowTable is a copy that takes its time to be read.
type slowTable struct {
	fixedTable
	asked   chan struct{}
	release chan struct{}
}

func (t *slowTable) Snapshot() follow.Snapshot {
	t.asked <- struct{}{}
	<-t.release
	return t.fixedTable.Snapshot()
}

// Guards against a seed that sends whole copies to all daemons that start at the
// same time, which fills its memory and its link.
func TestWholeCopiesAreBounded(t *testing.T) {
	table := &slowTable{asked: make(chan struct{}, 2*maxCopies), release: make(chan struct{})}
	n := New(Config{Tables: map[string]Table{"configuration": table}, Rand: rand.New(rand.NewPCG(1, 2)), Log: telemetry.NopLog()})
	router := echo.New()
	router.GET(TablePath, n.ServeTable)
	ask := func() int {
		answer := httptest.NewRecorder()
		router.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/peers/tables/configuration?after=0", nil))
		return answer.Code
	}
	var first sync.WaitGroup
	for range maxCopies {
		first.Go(func() { assert.Check(t, ask() == http.StatusOK) })
		<-table.asked
	}
	assert.Equal(t, ask(), http.StatusServiceUnavailable)
	close(table.release)
	first.Wait()
	assert.Equal(t, ask(), http.StatusOK)
}
