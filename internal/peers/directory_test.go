package peers

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

func directoryNode(name string, d *directory) *Node {
	return New(Config{
		Daemon: name, Address: "127.0.0.1:1" + name[2:], Directory: d, Local: quietObserver{},
		Rand: rand.New(rand.NewPCG(1, 2)), Log: telemetry.NopLog(),
	})
}

// Guards against a directory that grows with each daemon that ever was, which
// shrinks every daemon's share of the budget of repeats, and against the removal
// of daemons that are heard or were listed a short time ago.
func TestGoneDaemonsLeaveTheDirectory(t *testing.T) {
	n := directoryNode("d-1", nil)
	now := time.Unix(1_800_000_000, 0)
	var rows []ports.Row
	for _, name := range []string{"d-1", "d-2", "d-3"} {
		value, err := cbor.Marshal(member{Address: "127.0.0.1:1" + name[2:]})
		assert.NilError(t, err)
		rows = append(rows, ports.Row{Key: name, Value: value})
	}
	own, gone := n.takeDirectory(now, rows)
	assert.Assert(t, own)
	assert.Equal(t, len(gone), 0)
	n.seen["127.0.0.1:13"] = now.Add(goneTime / 2) // heard
	late, err := cbor.Marshal(member{Address: "127.0.0.1:14"})
	assert.NilError(t, err)
	rows = append(rows, ports.Row{Key: "d-4", Value: late})
	_, gone = n.takeDirectory(now.Add(goneTime), rows)
	assert.Equal(t, len(gone), 1)
	assert.Equal(t, gone[0].Key, "d-2")
}

// Guards against a living daemon that stays unknown because others took it for
// gone while its region was cut off.
func TestRemovedDaemonComesBack(t *testing.T) {
	d := &directory{rows: make(map[string][]byte)}
	n := directoryNode("d-1", d)
	announced := false
	assert.NilError(t, n.visitDirectory(t.Context(), &announced))
	assert.NilError(t, d.Remove(t.Context(), ports.Row{Key: "d-1"}))
	assert.NilError(t, n.visitDirectory(t.Context(), &announced))
	assert.NilError(t, n.visitDirectory(t.Context(), &announced))
	assert.Equal(t, len(d.rows), 1)
}
