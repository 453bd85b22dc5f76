package origin

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

var onlyNew = map[string][]string{service: {"new"}}

// Guards against a process that started after a release and takes the version that it
// lists for the only one that ever was in service, when it can't read the rows of others.
func TestStartedAfterRelease(t *testing.T) {
	for _, heard := range []time.Duration{0, time.Second, time.Minute} {
		for _, connected := range []bool{true, false} {
			t.Run(fmt.Sprint("after ", heard, " connected ", connected), func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) {
					table := newMemoryTable()
					a := startProcess(t, table, "a", mixed)
					defer a.kill()
					a.begin("1", "old")
					time.Sleep(time.Second)
					a.Observe(time.Now(), onlyNew)
					// With heard = 0 the platform is away before the process has read the rows.
					table.setAway(heard == 0)
					b := startProcess(t, table, "b", onlyNew)
					defer b.kill()
					time.Sleep(heard)
					table.setAway(true)
					if heard < 15*time.Second {
						a.begin("2", "old")
					}
					if connected {
						connect(t, a, b)
					}
					time.Sleep(time.Second)
					for _, id := range []string{"1", "2"} {
						want := "old"
						if !connected || heard >= 15*time.Second {
							want = "unknown" // or forgotten: callers wait for 15 s
						}
						assert.Equal(t, b.resolve(t, id), want, "stream %s", id)
					}
				})
			})
		}
	}
}

// Guards against a process whose word is taken for that of the whole fleet when it reaches
// the smaller part of it only.
func TestSmallerPartOfFleetDecidesNothing(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		fleet := startFleet(t, table, 8, onlyNew)
		// No process has read the rows for long enough, but one has.
		table.setAway(true)
		assert.Equal(t, fleet[0].resolve(t, "x"), "unknown")
		table.setAway(false)
		time.Sleep(2 * settleTime)
		table.setAway(true)
		assert.Equal(t, fleet[0].resolve(t, "x"), "new")
		for i := range 5 {
			fleet[7-i].cut.Store(true)
		}
		late := startProcess(t, table, "late", onlyNew)
		defer late.kill()
		connect(t, append([]*process{late}, fleet[:3]...)...)
		late.SetPeers([]string{fleet[0].o.Address, fleet[1].o.Address, fleet[2].o.Address}, nil, 9)
		assert.Equal(t, late.resolve(t, "x"), "unknown")
		late.SetPeers([]string{fleet[0].o.Address, fleet[1].o.Address, fleet[2].o.Address}, nil, 4)
		assert.Equal(t, late.resolve(t, "x"), "new")
	})
}

// Guards against a version that all have heard of but one, and against a service that is
// mixed for good because daemons repeat each other's word.
func TestReportedVersionsAreForgotten(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		a := startProcess(t, table, "a", mixed)
		defer a.kill()
		time.Sleep(time.Second)
		a.Observe(time.Now(), onlyNew)
		b := startProcess(t, table, "b", onlyNew)
		defer b.kill()
		time.Sleep(time.Second)
		b.begin("1", "new")
		assert.Equal(t, b.resolve(t, "x"), "unknown")
		time.Sleep(time.Second)
		b.kill()
		c := startProcess(t, table, "c", onlyNew)
		defer c.kill()
		assert.Equal(t, c.resolve(t, "1"), "new", "a daemon does not write down its streams of a service that others know to be mixed")
		time.Sleep(2*Memory + time.Second)
		assert.Equal(t, c.resolve(t, "x"), "new")
		assert.Equal(t, a.resolve(t, "x"), "new")
	})
}

var onlyOld = map[string][]string{service: {"old"}}

// Guards against a daemon that is cut off from the others and from the platform while
// upstreams of another version join, and that takes its silence for proof that none did.
func TestCutOffDaemonDoesNotGuess(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		reach := &cuttableTable{Table: table}
		cut := startKeeper(t, Options{
			Daemon: "cut", Address: nextAddress(), Table: reach, Confirm: reach.confirm, Log: telemetry.NopLog(),
		}, onlyOld)
		defer cut.kill()
		fleet := []*process{cut}
		for i := range 7 {
			p := startProcess(t, table, fmt.Sprint(i), onlyOld)
			defer p.kill()
			fleet = append(fleet, p)
		}
		connect(t, fleet...)
		time.Sleep(2 * Memory)

		cut.cut.Store(true)
		reach.cut.Store(true)
		cut.begin("own", "old")
		fleet[1].begin("old", "old")
		for _, p := range fleet[1:] {
			p.Observe(time.Now(), mixed)
		}
		time.Sleep(time.Second)
		fleet[1].begin("new", "new")
		time.Sleep(time.Second)
		assert.Equal(t, cut.resolve(t, "own"), "old")
		assert.Equal(t, cut.resolve(t, "old"), "unknown")
		started := time.Now()
		assert.Equal(t, cut.resolve(t, "new"), "unknown")
		assert.Assert(t, time.Since(started) < time.Second, "a caller is refused after %s", time.Since(started))

		cut.cut.Store(false) // the platform is still out of reach
		assert.Equal(t, cut.resolve(t, "old"), "old")
		assert.Equal(t, cut.resolve(t, "new"), "new")
		assert.Equal(t, cut.resolve(t, "x"), "unknown")
		reach.cut.Store(false)
		cut.Observe(time.Now(), mixed)
		time.Sleep(readPause)
		assert.Equal(t, cut.resolve(t, "new"), "new")
	})
}

// Guards against refusing streams while the platform is away although all daemons have
// heard of one version only, and against asking when nothing is in doubt.
func TestOneVersionWhileThePlatformIsAway(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		fleet := startFleet(t, table, 8, onlyOld)
		time.Sleep(time.Second)
		asked := fleet[0].number
		assert.Equal(t, fleet[0].resolve(t, "x"), "old")
		assert.Equal(t, fleet[0].number, asked, "peers are asked although the platform answers")
		table.setAway(true)
		time.Sleep(2 * readMaxAge) // the rows that were read are too old then
		fleet[3].begin("1", "old")
		started := time.Now()
		assert.Equal(t, fleet[0].resolve(t, "1"), "old")
		assert.Assert(t, time.Since(started) < 100*time.Millisecond, "%s", time.Since(started))
		for _, p := range fleet[4:7] {
			p.kill()
		}
		assert.Equal(t, fleet[0].resolve(t, "x"), "old")
		fleet[3].Observe(time.Now(), mixed)
		assert.Equal(t, fleet[0].resolve(t, "x"), "unknown", "one daemon has heard of another version")
	})
}

// Guards against a list of upstreams that is taken for complete since nothing was heard,
// and against versions that came and went in a gap of the list.
func TestListIsConfirmed(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var p *process
		var current atomic.Value
		current.Store(onlyOld)
		var failing atomic.Bool
		confirm := func(context.Context, time.Time) error {
			if failing.Load() {
				return ports.ErrUnavailable
			}
			p.Observe(time.Now(), current.Load().(map[string][]string))
			return nil
		}
		p = startKeeper(t, Options{Daemon: "a", Address: nextAddress(), Table: newMemoryTable(), Confirm: confirm, Log: telemetry.NopLog()}, onlyOld)
		defer p.kill()
		time.Sleep(2 * Memory)
		assert.Equal(t, p.resolve(t, "x"), "old")
		failing.Store(true)
		assert.Equal(t, p.resolve(t, "x"), "unknown", "the list could not be confirmed")
		failing.Store(false)
		current.Store(mixed)
		assert.Equal(t, p.resolve(t, "x"), "unknown", "the list was not confirmed")
		current.Store(onlyOld)
		p.Observe(time.Now(), onlyOld)
		time.Sleep(Memory)
		assert.Equal(t, p.resolve(t, "x"), "old")

		p.Gap(time.Now())
		_, all := p.versionsKnown(time.Now())
		assert.Assert(t, !all)
		time.Sleep(time.Second)
		_, all = p.versionsKnown(time.Now())
		assert.Assert(t, all, "the rows of others tell of the gap")
	})
}

// Guards against a first start that costs a call of each daemon, and against a later gap
// that is overlooked because of it.
func TestFirstStartKnowsAllVersions(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		p := startKeeper(t, Options{Daemon: "a", Address: nextAddress(), Table: table, FirstStart: true, Log: telemetry.NopLog()}, onlyOld)
		defer p.kill()
		time.Sleep(time.Second)
		reads, _ := table.calls()
		assert.Equal(t, reads, 0)
		assert.Equal(t, p.resolve(t, "x"), "old")
		table.setAway(true)
		p.Gap(time.Now())
		_, all := p.versionsKnown(time.Now())
		assert.Assert(t, !all)
		time.Sleep(time.Second)
		assert.Equal(t, p.resolve(t, "x"), "unknown")
	})
}

// Guards against a peer that stood still and answers a question of an earlier process,
// which is taken for the answer to one of this process about another service.
func TestLateAnswerToEarlierProcess(t *testing.T) {
	q := newInquiries(NewBook(), "127.0.0.1:1")
	earlier := newInquiries(NewBook(), "127.0.0.1:1")
	for _, one := range []*inquiries{earlier, q} {
		one.SetPeers([]string{"127.0.0.1:2"}, nil, 2)
	}
	question := earlier.ask("other", 1)
	r := q.ask(service, 1)
	q.begin(r)
	q.Receive(&Message{Sender: "127.0.0.1:2", Round: question.number, Answer: &Answer{Listed: true, Complete: true}})
	assert.Equal(t, len(r.answers), 0)
}

// cuttableTable is a Table that a daemon may not reach.
type cuttableTable struct {
	Table
	cut atomic.Bool
}

func (c *cuttableTable) ReadAll(ctx context.Context) ([]Row, error) {
	if c.cut.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return c.Table.ReadAll(ctx)
}

func (c *cuttableTable) Put(ctx context.Context, part, daemon string, value []byte) error {
	if c.cut.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return c.Table.Put(ctx, part, daemon, value)
}

func (c *cuttableTable) confirm(ctx context.Context, _ time.Time) error {
	if c.cut.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// Guards against messages of peers that crash a daemon.
func FuzzMessage(f *testing.F) {
	b := NewBook()
	now := time.Unix(1_800_000_000, 0)
	b.Observe(now, mixed)
	b.Begin(now, "1", Origin{Service: service, SoftwareVersion: "old"}, now.Add(time.Minute))
	for _, m := range []Message{
		{Sender: "127.0.0.1:1", Round: 1, Question: &Question{Service: service, Streams: []uint64{uint64(keyOf("1")), 2}}},
		{Sender: "127.0.0.1:1", Round: 1, Answer: b.answer(now, &Question{Service: service, Streams: []uint64{uint64(keyOf("1"))}})},
	} {
		data, err := cbor.Marshal(&m)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Message
		if cbor.Unmarshal(data, &m) != nil {
			return
		}
		q := newInquiries(b, "127.0.0.1:2")
		q.SetPeers([]string{m.Sender}, nil, 2)
		r := q.ask(service, keyOf("1"))
		q.begin(r)
		q.Receive(&m)
		for _, d := range q.Outgoing() {
			if d.Message.Answer != nil {
				assert.Assert(t, d.Message.valid())
			}
		}
		q.only(now, r)
	})
}

// panickingTable panics when it is read.
type panickingTable struct{ Table }

func (panickingTable) ReadAll(context.Context) ([]Row, error) { panic("a row") }

// Guards against a row or an upstream that ends the whole process when a caller takes a
// stream up, and against callers that wait for a reading that has panicked.
func TestPanicsOfReadingsAreContained(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		confirm := func(context.Context, time.Time) error { panic("an upstream") }
		p := startKeeper(t, Options{
			Daemon: "a", Address: nextAddress(), Table: panickingTable{}, Confirm: confirm, Log: telemetry.NopLog(),
		}, onlyOld)
		defer p.kill()
		for range 3 {
			assert.Equal(t, p.resolve(t, "x"), "unknown")
		}
	})
}
