package peers

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// readingTable is a Table that is read from the platform, and counts calls of Refresh.
type readingTable struct {
	fixedTable
	changes   []ports.Row
	refreshes chan struct{}
}

func (*readingTable) ReadsPlatform(time.Time) bool { return true }
func (t *readingTable) Refresh()                   { t.refreshes <- struct{}{} }

func (t *readingTable) Since(ports.Version) ([]ports.Row, follow.Versions, bool) {
	return t.changes, t.Versions(), true
}

func newReadingNode(versions follow.Versions) (*Node, *readingTable) {
	table := &readingTable{fixedTable: fixedTable{copy: follow.NewSnapshot(nil, versions)}, refreshes: make(chan struct{}, 1)}
	n := New(Config{
		Daemon: "a", Address: "a:1", Local: idleState{}, Tables: map[string]Table{"t": table},
		Rand: rand.New(rand.NewPCG(1, 2)), Log: telemetry.NopLog(),
	})
	n.group.readers = map[string]bool{"old:1": true, "new:1": true}
	n.group.dependents = []string{"z:1"}
	return n, table
}

// Guards against a daemon that knows of a change and relies on readers that lack it, one
// after the other, and against one that announces its own copy as current then.
func TestReaderWithoutKnownChangeIsRefused(t *testing.T) {
	n, _ := newReadingNode(follow.Versions{AsOf: 160, Changed: 150})
	now := time.Now()
	n.acceptReader(now, TableState{Name: "t", Changed: 150, AsOf: 160, From: 1}, "old:1")
	assert.Assert(t, n.DelegatedFor("t", now) > 0)
	n.ForgetReaders()

	n.mu.Lock()
	n.updateBacklog(now, "t", 161) // a peer has it
	n.mu.Unlock()
	n.acceptReader(now, TableState{Name: "t", Changed: 150, AsOf: 160, From: 1}, "old:1")
	assert.Assert(t, n.DelegatedFor("t", now) <= 0, "the reader lacks a change that a peer has")
	tables, _ := n.tablesReadForGroup(now)
	assert.Equal(t, len(tables), 0, "the daemon announces a copy that lacks a change")
	n.acceptReader(now, TableState{Name: "t", Changed: 161, AsOf: 161, From: 1}, "new:1")
	assert.Assert(t, n.DelegatedFor("t", now) > 0)
}

// Guards against a daemon that goes on relying on another one, and waits for the next
// announcement, after it could not read a change from a peer.
func TestFailedReadOfPeerAsksPlatform(t *testing.T) {
	n, table := newReadingNode(follow.Versions{AsOf: 160, Changed: 150})
	now := time.Now()
	n.acceptReader(now, TableState{Name: "t", Changed: 150, AsOf: 160, From: 1}, "new:1")
	assert.Assert(t, n.DelegatedFor("t", now) > 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	peer := l.Addr().String()
	assert.NilError(t, l.Close()) // refuses
	n.fetch(t.Context(), "t", lag{changed: 161, since: now, peer: peer})
	assert.Equal(t, len(table.refreshes), 1)
	assert.Assert(t, n.DelegatedFor("t", time.Now()) <= 0)
	n.acceptReader(time.Now(), TableState{Name: "t", Changed: 161, AsOf: 161, From: 1}, "new:1")
	assert.Assert(t, n.DelegatedFor("t", time.Now()) <= 0)
}

// Guards against a reader whose link is taken by a large change that its whole group reads
// from it at once, so that none of them gets it in time.
func TestLargeChangeIsSentToFewAtOnce(t *testing.T) {
	n, table := newReadingNode(follow.Versions{AsOf: 161, Changed: 161})
	router := echo.New()
	router.GET(TablePath, n.ServeTable)
	status := func() int {
		w := httptest.NewRecorder()
		router.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/peers/tables/t?after=160", nil))
		return w.Code
	}
	for range maxFullCopies {
		n.fullCopies <- struct{}{} // is being sent
	}
	table.changes = []ports.Row{{Key: "config", Value: make([]byte, largeCopyBytes-100), Version: 161}}
	assert.Equal(t, status(), http.StatusOK)
	table.changes = []ports.Row{{Key: "config", Value: make([]byte, largeCopyBytes), Version: 161}}
	assert.Equal(t, status(), http.StatusServiceUnavailable)
	<-n.fullCopies
	assert.Equal(t, status(), http.StatusOK)
}
