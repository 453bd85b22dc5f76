package claims

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

var start = time.Unix(1_000_000, 0)

func submit(b *batch, id int, key string) []batchAction {
	return b.step(start, submitted{member{memberID(id), []ports.Write{{Key: key}}}})
}

// Guards against one conflicting claim that fails the claims of others in its
// batch, and against a transaction that names a key twice.
func TestBatchTakesOutConflicts(t *testing.T) {
	b := newBatch()
	for i, key := range []string{"x", "y", "x", "z"} {
		assert.Equal(t, len(submit(b, i, key)), 0)
	}
	out := b.step(start.Add(batchWindow), windowEnded{})
	assert.Equal(t, len(out), 2) // the second x is in a transaction of its own
	first := out[0].(commitBatch)
	assert.Equal(t, len(first.writes), 3)

	out = b.step(start, batchCommitted{id: first.id, err: &ports.ConflictError{Keys: []string{"y"}}})
	assert.Equal(t, out[0].(reply).id, memberID(1))
	second := out[1].(commitBatch)
	assert.Equal(t, len(second.writes), 2)
	out = b.step(start, batchCommitted{id: second.id, version: 7})
	assert.Equal(t, out[0].(reply).version, ports.Version(7))
	assert.NilError(t, out[1].(reply).err)
}

// Guards against an endless loop when the table names a key that is in no
// member, and against batches that wait behind one that is never answered.
func TestBatchAlwaysProgresses(t *testing.T) {
	b := newBatch()
	now := start
	for i := range maxBatchesInFlight {
		submit(b, i, fmt.Sprint(i))
		now = now.Add(batchWindow)
		assert.Equal(t, len(b.step(now, windowEnded{})), 1)
	}
	submit(b, 9, "nine")
	_, due := b.deadline()
	assert.Assert(t, !due)
	out := b.step(now.Add(time.Second), batchCommitted{id: 1, err: &ports.ConflictError{Keys: []string{"other"}}})
	assert.Equal(t, out[0].(reply).id, memberID(0))
	assert.Equal(t, len(out[1].(commitBatch).writes), 1)
}

// Guards against a roster change that moves the claims of unaffected daemons,
// and against uneven load on batchers.
func TestBatcherForMovesFewKeys(t *testing.T) {
	var roster []domain.DaemonID
	for i := range 110 {
		roster = append(roster, domain.DaemonID(fmt.Sprint("daemon-", i)))
	}
	used := map[domain.DaemonID]int{}
	moved := 0
	gone := BatcherFor(roster, "0", 3)
	without := slices.DeleteFunc(slices.Clone(roster), func(d domain.DaemonID) bool { return d == gone })
	for i := range 3000 {
		key := fmt.Sprint(i)
		before := BatcherFor(roster, key, 3)
		used[before]++
		if after := BatcherFor(without, key, 3); after != before {
			moved++
			assert.Equal(t, before, gone)
		}
	}
	assert.Assert(t, len(used) <= 3)
	assert.Equal(t, moved, used[gone])
	assert.Equal(t, BatcherFor(nil, "k", 3), domain.DaemonID(""))
}
