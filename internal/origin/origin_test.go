package origin

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const service = "model"

var mixed = map[string][]string{service: {"old", "new"}}

// memoryTable is a Table in memory.
type memoryTable struct {
	mu     sync.Mutex
	rows   map[string]Row
	away   bool
	reads  int
	writes int
	bytes  int
	// written holds the times of all writes.
	written []time.Time
	// copied is a copy of rows from which restore brings them back.
	copied map[string]Row
}

// backUp keeps a copy of the rows, and restore brings the table back from it.
func (t *memoryTable) backUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.copied = maps.Clone(t.rows)
}

func (t *memoryTable) restore() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows = maps.Clone(t.copied)
}

func newMemoryTable() *memoryTable { return &memoryTable{rows: make(map[string]Row)} }

func (t *memoryTable) setAway(away bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.away = away
}

func (t *memoryTable) ReadAll(context.Context) ([]Row, error) {
	time.Sleep(5 * time.Millisecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if t.away {
		return nil, ports.ErrUnavailable
	}
	out := make([]Row, 0, len(t.rows))
	for _, row := range t.rows {
		out = append(out, row)
	}
	return out, nil
}

func (t *memoryTable) Put(_ context.Context, part, daemon string, value []byte) error {
	time.Sleep(5 * time.Millisecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	t.written = append(t.written, time.Now())
	t.bytes += len(value)
	if t.away {
		return ports.ErrUnavailable
	}
	t.rows[daemon] = Row{part, ports.Row{Key: daemon, Value: slices.Clone(value), Version: ports.Version(t.writes)}}
	return nil
}

func (t *memoryTable) Remove(_ context.Context, row Row) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows[row.Key].Version == row.Version {
		delete(t.rows, row.Key)
	}
	return nil
}

// calls returns the number of readings and writes so far.
func (t *memoryTable) calls() (reads, writes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}

// writesIn returns the number of writes in a second.
func (t *memoryTable) writesIn(from time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, at := range t.written {
		if since := at.Sub(from); since >= 0 && since < time.Second {
			n++
		}
	}
	return n
}

func (t *memoryTable) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

// process is a running Keeper.
type process struct {
	*Keeper
	ctx  context.Context
	kill func()
	// cut is set while the process reaches no other.
	cut atomic.Bool
}

func startProcess(t *testing.T, table Table, daemon string, versions map[string][]string) *process {
	t.Helper()
	return startKeeper(t, Options{Daemon: daemon, Address: nextAddress(), Table: table, Log: telemetry.NopLog()}, versions)
}

func startKeeper(t *testing.T, o Options, versions map[string][]string) *process {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	k := NewKeeper(o)
	k.Observe(time.Now(), versions)
	var running sync.WaitGroup
	running.Go(func() { assert.Check(t, k.Run(ctx)) })
	return &process{Keeper: k, ctx: ctx, kill: func() { cancel(); running.Wait() }}
}

func (p *process) begin(id, version string) {
	p.Begin(time.Now(), domain.RequestID(id), Origin{Service: service, SoftwareVersion: version}, time.Now().Add(15*time.Second))
}

func (p *process) resolve(t *testing.T, id string) string {
	t.Helper()
	version, known := p.Resolve(t.Context(), domain.RequestID(id), service)
	if !known {
		return "unknown"
	}
	return version
}

// Guards against streams whose version is forgotten with the processes that began them.
func TestOriginsOutliveAllProcesses(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		a, b := startProcess(t, table, "a", mixed), startProcess(t, table, "b", mixed)
		a.begin("1", "old")
		b.begin("2", "new")
		time.Sleep(time.Second)
		a.begin("3", "old") // not written down any more
		a.kill()
		b.kill()

		// The old version has left meanwhile.
		a, b = startProcess(t, table, "a", map[string][]string{service: {"new"}}), startProcess(t, table, "b", mixed)
		for _, p := range []*process{a, b} {
			assert.Equal(t, p.resolve(t, "1"), "old")
			assert.Equal(t, p.resolve(t, "2"), "new")
			assert.Equal(t, p.resolve(t, "3"), "unknown")
		}
		// A process that writes its row anew keeps what the one before it has written.
		b.begin("4", "new")
		time.Sleep(time.Second)
		b.kill()
		assert.Equal(t, a.resolve(t, "2"), "new")
		assert.Equal(t, a.resolve(t, "4"), "new")
		a.kill()
	})
}

// Guards against a stream that goes on at the only version that is listed although it
// began at one that has left, and against a version that is remembered for good.
func TestVersionThatHasLeft(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := startProcess(t, newMemoryTable(), "a", map[string][]string{service: {"old"}})
		defer p.kill()
		assert.Equal(t, p.resolve(t, "x"), "old")
		p.Observe(time.Now(), map[string][]string{service: {"new"}})
		assert.Equal(t, p.resolve(t, "x"), "unknown")
		time.Sleep(Memory)
		assert.Equal(t, p.resolve(t, "x"), "new")
		p.Observe(time.Now(), nil) // the registrations have lapsed
		assert.Equal(t, p.resolve(t, "x"), "new")
		time.Sleep(Memory)
		assert.Equal(t, p.resolve(t, "x"), "unknown")
	})
}

// Guards against calls to the platform while a service has one version, and against rows
// that stay when it has one again.
func TestOneVersionIsNotShared(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		p := startProcess(t, table, "a", map[string][]string{service: {"old"}})
		defer p.kill()
		p.begin("1", "old")
		time.Sleep(time.Minute)
		// The rows are read once, since they tell what was in service before the start.
		reads, writes := table.calls()
		assert.Equal(t, reads, 1)
		assert.Equal(t, writes, 0)

		p.Observe(time.Now(), mixed)
		time.Sleep(time.Second)
		assert.Equal(t, table.size(), 1)
		p.Observe(time.Now(), map[string][]string{service: {"new"}})
		time.Sleep(Memory + time.Second)
		assert.Equal(t, table.size(), 0)
		reads, writes = table.calls()
		time.Sleep(time.Minute)
		readsLater, writesLater := table.calls()
		assert.Equal(t, readsLater+writesLater, reads+writes)
	})
}

// Guards against a guess while the platform is away and several versions serve, against
// refusing streams then whose version is certain, and against callers that wait for it one
// after the other.
func TestPlatformAway(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		old := map[string][]string{service: {"old"}}
		table := newMemoryTable()
		several, late := startProcess(t, table, "a", mixed), startProcess(t, table, "b", old)
		defer several.kill()
		defer late.kill()
		connect(t, several, late)
		several.begin("1", "new")
		table.setAway(true)
		assert.Equal(t, several.resolve(t, "1"), "new")
		assert.Equal(t, several.resolve(t, "2"), "unknown")
		assert.Equal(t, late.resolve(t, "1"), "new")
		assert.Equal(t, late.resolve(t, "2"), "unknown", "a daemon that has not heard of the other version guesses")
		table.setAway(false)
		time.Sleep(readPause)
		assert.Equal(t, late.resolve(t, "1"), "new")

		// Callers share a reading.
		crowded := newMemoryTable()
		alone := startProcess(t, crowded, "d", mixed)
		defer alone.kill()
		time.Sleep(time.Second)
		crowded.setAway(true)
		assert.Equal(t, alone.resolve(t, "2"), "unknown")
		before, _ := crowded.calls()
		started := time.Now()
		var wait sync.WaitGroup
		for i := range 100 {
			wait.Go(func() { assert.Check(t, alone.resolve(t, fmt.Sprint("x", i)) == "unknown") })
		}
		wait.Wait()
		reads, _ := crowded.calls()
		assert.Assert(t, reads-before <= 1, "%d reads", reads-before)
		assert.Assert(t, time.Since(started) < time.Second)

		// In a fleet that has had one version only, streams of a daemon that is gone go on.
		single := newMemoryTable()
		var fleet []*process
		for i := range 3 {
			fleet = append(fleet, startProcess(t, single, fmt.Sprint("c", i), old))
		}
		connect(t, fleet...)
		time.Sleep(time.Second)
		single.setAway(true)
		for _, p := range fleet {
			assert.Equal(t, p.resolve(t, "2"), "old")
		}
		fleet[0].kill()
		assert.Equal(t, fleet[2].resolve(t, "2"), "old")
		fleet[1].kill()
		assert.Equal(t, fleet[2].resolve(t, "2"), "unknown", "a daemon alone speaks for three")
		fleet[2].kill()
	})
}

// Guards against a stream that counts as unknown because another daemon has not written
// it down at the moment at which it is taken up.
func TestYoungStreamIsAwaited(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		a, b := startProcess(t, table, "a", mixed), startProcess(t, table, "b", mixed)
		defer a.kill()
		defer b.kill()
		time.Sleep(10 * time.Second)
		for i := range 20 {
			id := fmt.Sprint("young-", i)
			a.begin(id, "new")
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			assert.Equal(t, b.resolve(t, id), "new")
		}
	})
}

// Guards against a record that exceeds a row, and against streams in it that are lost,
// mixed up or remembered for longer than their callers wait.
func TestRecordRoundTrip(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	b := NewBook()
	b.Observe(now, mixed)
	for i := range 2 * maxRecordStreams {
		version := []string{"old", "new"}[i%2]
		b.Begin(now, domain.RequestID(fmt.Sprint(i)), Origin{Service: service, SoftwareVersion: version}, now.Add(time.Duration(i)*time.Millisecond+time.Second))
	}
	b.Begin(now, "elsewhere", Origin{Service: "other", SoftwareVersion: "1"}, now.Add(time.Minute))
	data, _, err := b.encode(now)
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= 48<<10, "%d bytes; base64 makes 4/3 of them, a row holds 64 KB", len(data))

	r, err := decodeRecord(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, r.Mixed, []string{service})
	later := NewBook()
	later.adopt(now, r)
	assert.Equal(t, len(later.streams), maxRecordStreams)
	for i := maxRecordStreams; i < 2*maxRecordStreams; i++ {
		version, known := later.Lookup(now, domain.RequestID(fmt.Sprint(i)), service)
		assert.Assert(t, known)
		assert.Equal(t, version, []string{"old", "new"}[i%2])
	}
	_, known := later.Lookup(now, "elsewhere", "other")
	assert.Assert(t, !known)
	_, known = later.Lookup(now.Add(8*time.Second), "5999", service)
	assert.Assert(t, !known)
}

// Guards against a daemon whose memory grows with streams that nobody takes up, and
// against a complete stream that is remembered for as long as a broken one.
func TestBookIsBounded(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	b := NewBook()
	o := Origin{Service: service, SoftwareVersion: "old"}
	for i := range 2 * maxStreams {
		b.Begin(now, domain.RequestID(fmt.Sprint(i)), o, now.Add(time.Hour))
	}
	assert.Equal(t, len(b.streams), maxStreams)
	_, known := b.Lookup(now.Add(Memory), "1", service)
	assert.Assert(t, known)
	_, known = b.Lookup(now.Add(Memory+1), "1", service)
	assert.Assert(t, !known, "a stream is remembered for longer than Memory")
	b.Begin(now.Add(Memory+1), "next", o, now.Add(time.Hour))
	assert.Equal(t, len(b.streams), 1)
	b.End(now.Add(Memory+1), "next")
	_, known = b.Lookup(now.Add(Memory+endedMemory+2), "next", service)
	assert.Assert(t, !known)
}

// Guards against rows that crash a daemon.
func FuzzRecord(f *testing.F) {
	b := NewBook()
	b.Observe(time.Unix(1_800_000_000, 0), mixed)
	b.Begin(time.Unix(1_800_000_000, 0), "1", Origin{Service: service, SoftwareVersion: "old"}, time.Unix(1_800_000_009, 0))
	data, _, err := b.encode(time.Unix(1_800_000_000, 0))
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte{0x84, 0x00, 0x80, 0x80, 0x4a, 1, 2, 3, 4, 5, 6, 7, 8, 9, 9})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decodeRecord(data)
		if err != nil {
			return
		}
		NewBook().adopt(time.Unix(1_800_000_000, 0), r)
	})
}

// Guards against a fleet that exceeds the platform's rate of writes, or that of a part,
// while several versions serve.
func TestFleetStaysWithinWriteRate(t *testing.T) {
	for _, daemons := range []int{8, 134, 330} {
		rate := map[int]float64{8: 400, 134: 1200, 330: 3200}[daemons]
		parts := make(map[string]float64)
		total := 0.0
		for i := range daemons {
			o := Options{Daemon: fmt.Sprint("edge-", i), Daemons: func() int { return daemons }, WriteRate: rate}
			perSecond := 1 / o.interval().Seconds()
			parts[o.part()] += perSecond
			total += perSecond
		}
		assert.Assert(t, total <= rate*writeRateShare+1, "%d daemons make %.0f writes a second", daemons, total)
		for part, writes := range parts {
			assert.Assert(t, writes <= 200, "part %s of %d daemons takes %.0f writes a second", part, daemons, writes)
		}
	}
}

// Guards against state that grows with the fleet faster than streams do: the figures are
// those of docs/CAPACITY.md.
func TestOriginsOfLargeFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("330 daemons")
	}
	virtualtime.Test(t, func(t *testing.T) {
		const (
			daemons = 330
			rate    = 2600 // streams a second of the whole fleet
			length  = 6 * time.Second
		)
		table := newMemoryTable()
		var all []*process
		for i := range daemons {
			o := Options{
				Daemon: fmt.Sprint("edge-", i), Table: table, Log: telemetry.NopLog(),
				Daemons: func() int { return daemons }, WriteRate: 3200,
			}
			all = append(all, startKeeper(t, o, mixed))
		}
		started := time.Now()
		var running sync.WaitGroup
		for i, p := range all {
			running.Go(func() {
				for n := range int(20 * rate / daemons) {
					id := domain.RequestID(fmt.Sprint(i, "-", n))
					p.begin(string(id), "old")
					time.AfterFunc(length, func() { p.End(time.Now(), id) })
					time.Sleep(time.Second * daemons / rate)
				}
			})
		}
		running.Wait()
		elapsed := time.Since(started).Seconds()
		table.mu.Lock()
		t.Logf("%d daemons, %d streams a second: %.0f writes a second, %.0f bytes a write", daemons, rate, float64(table.writes)/elapsed, float64(table.bytes)/float64(table.writes))
		table.mu.Unlock()
		for _, p := range all {
			p.kill()
		}
		fresh := startProcess(t, table, "fresh", mixed)
		assert.Equal(t, fresh.resolve(t, "7-100"), "old")
		rows, err := fresh.read(t.Context(), time.Time{})
		assert.NilError(t, err)
		t.Logf("%d streams in the rows of all daemons", len(rows.streams))
		fresh.kill()
		synctest.Wait()
	})
}
