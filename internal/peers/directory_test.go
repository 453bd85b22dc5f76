package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

func newDirectoryNode(name string, d *memoryDirectory) *Node {
	return New(Config{
		Daemon: name, Address: "127.0.0.1:1" + name[2:], Directory: d, Local: idleState{},
		Rand: rand.New(rand.NewPCG(1, 2)), Log: telemetry.NopLog(),
	})
}

// The directory must not keep a row for every daemon that ever ran: that reduces
// each daemon's share of the retry budget. Rows of daemons that were heard from,
// or first listed, a short time ago must stay.
func TestStaleDirectoryRowsAreRemoved(t *testing.T) {
	n := newDirectoryNode("d-1", nil)
	now := time.Unix(1_800_000_000, 0)
	var rows []ports.Row
	for _, name := range []string{"d-1", "d-2", "d-3"} {
		value, err := cbor.Marshal(directoryEntry{Address: "127.0.0.1:1" + name[2:]})
		assert.NilError(t, err)
		rows = append(rows, ports.Row{Key: name, Value: value})
	}
	own, stale := n.applyDirectory(now, rows)
	assert.Assert(t, own)
	assert.Equal(t, len(stale), 0)
	n.lastHeard["127.0.0.1:13"] = now.Add(staleRowAge / 2) // heard from
	recent, err := cbor.Marshal(directoryEntry{Address: "127.0.0.1:14"})
	assert.NilError(t, err)
	rows = append(rows, ports.Row{Key: "d-4", Value: recent})
	_, stale = n.applyDirectory(now.Add(staleRowAge), rows)
	assert.Equal(t, len(stale), 1)
	assert.Equal(t, stale[0].Key, "d-2")
}

// Guards against a running daemon that stays unknown after other daemons removed
// its row while its region was partitioned.
func TestRemovedDaemonRegistersAgain(t *testing.T) {
	d := &memoryDirectory{rows: make(map[string][]byte)}
	n := newDirectoryNode("d-1", d)
	sync := func() (registered bool) {
		t.Helper()
		registered, err := n.syncDirectory(t.Context())
		assert.NilError(t, err)
		return registered
	}
	assert.Assert(t, !sync())
	assert.Assert(t, sync())
	assert.NilError(t, d.Remove(t.Context(), ports.Row{Key: "d-1"}))
	assert.Assert(t, !sync())
	assert.Assert(t, sync())
	assert.Equal(t, len(d.rows), 1)
}

// Guards against a fleet that writes a row for each daemon whenever it restarts,
// although the directory has them: the platform throttles writes that come together.
func TestRestartedDaemonWritesNoRow(t *testing.T) {
	d := &memoryDirectory{rows: make(map[string][]byte)}
	_, err := newDirectoryNode("d-1", d).syncDirectory(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, d.puts, 1)
	registered, err := newDirectoryNode("d-1", d).syncDirectory(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, registered)
	assert.Equal(t, d.puts, 1)
}

// Guards against a large fleet that asks thousands of times whether the platform has
// returned, and against one in which nobody asks often enough to notice soon.
func TestRetriesAreRareInLargeFleets(t *testing.T) {
	n := newDirectoryNode("d-1", nil)
	n.Tables = map[string]Table{"configuration": nil, "upstreams": nil}
	n.directorySize = 330
	assert.Equal(t, n.RetryPolicy(), follow.DefaultRetryPolicy, "a daemon without a reader asks often")
	n.group.readers = map[string]bool{"a:1": true}
	assert.Equal(t, n.RetryPolicy(), backoff.Policy{Floor: 1250 * time.Millisecond, Cap: maxRetryCap})
	n.directorySize = 7
	assert.Equal(t, n.RetryPolicy(), follow.DefaultRetryPolicy)
}

// Guards against a daemon that those which start after a restoration of the platform don't
// find, because its row is gone and nothing makes it look.
func TestDirectoryIsWrittenAgainAfterRestoration(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := &memoryDirectory{rows: make(map[string][]byte)}
		const daemons = 40
		var running sync.WaitGroup
		eras := make([]*follow.Era, daemons)
		for i := range daemons {
			eras[i] = follow.NewEra()
			n := New(Config{
				Daemon: fmt.Sprint("d-", i), Address: fmt.Sprint("127.0.0.1:", 1000+i), Directory: d, Local: idleState{}, Era: eras[i],
				Rand: rand.New(rand.NewPCG(uint64(i), 2)), Log: telemetry.NopLog(),
			})
			running.Go(func() { n.maintainDirectory(ctx) })
		}
		size := func() int {
			d.mu.Lock()
			defer d.mu.Unlock()
			return len(d.rows)
		}
		time.Sleep(10 * time.Second)
		assert.Equal(t, size(), daemons)
		for restoration := range uint64(3) {
			d.mu.Lock()
			clear(d.rows)
			d.mu.Unlock()
			for _, era := range eras {
				era.Observe(time.Now(), restoration+1)
			}
			time.Sleep(registrationSpread / 2)
			assert.Assert(t, size() < daemons, "the writes are not spread")
			time.Sleep(registrationSpread / 2)
			assert.Equal(t, size(), daemons, "rows after restoration %d", restoration)
			time.Sleep(time.Minute)
		}
		cancel()
		running.Wait()
	})
}
