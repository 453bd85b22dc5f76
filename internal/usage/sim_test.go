package usage

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/duty"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	simStep   = queryTick
	simWindow = 5 * time.Second
	simDue    = 10 * time.Second
	// simTolerance is the tolerated relative error of a count (bounds.usage_err).
	simTolerance = 0.05
	// simDatagramBytes is the largest datagram between daemons.
	simDatagramBytes = 1400
)

// simStart is the beginning of a window.
var simStart = time.Unix(1_800_000_000, 0)

var errNotHeld = errors.New("the duties are not held")

// simFleet is a fleet without a network in virtual time.
type simFleet struct {
	t       *testing.T
	rand    *rand.Rand
	elapsed time.Duration
	daemons []*simDaemon
	loss    float64
	// flight holds the datagrams that arrive in the next step.
	flight []simDatagram
	table  *simTable
	api    *simAPI
	// holder is the name of the holder, and token its fencing token.
	holder string
	token  domain.FencingToken
	// truth holds the requests by window in true time and customer.
	truth map[int64]map[domain.CustomerID]int64
	// datagrams and bytes are what the daemons have sent, holderReceived the bytes that the
	// holder has received, and mostAtOnce the most datagrams that it received in a step.
	datagrams, bytes, holderReceived, mostAtOnce int
}

// simDatagram is a datagram and its encoded size.
type simDatagram struct {
	Datagram
	bytes int
}

// simDaemon is one daemon.
type simDaemon struct {
	f             *simFleet
	name, address string
	zone          string
	meter         *Meter
	table         *duty.RestorationTable
	// skew is the wall clock minus true time.
	skew                       time.Duration
	dead, partitioned, stopped bool
}

func newSimFleet(t *testing.T, seed uint64, daemons, zones int) *simFleet {
	f := &simFleet{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), table: &simTable{rows: make(map[string]ports.Row)},
		api: &simAPI{reports: make(map[int64]map[domain.CustomerID]int64)}, truth: make(map[int64]map[domain.CustomerID]int64),
		// By no daemon's clock has the first window not begun yet.
		elapsed: 100 * time.Millisecond,
	}
	for i := range daemons {
		d := &simDaemon{
			f: f, name: fmt.Sprintf("d-%d", i), address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1), zone: fmt.Sprintf("z-%d", i%zones),
			skew: time.Duration(f.rand.Int64N(int64(40*time.Millisecond))) - 20*time.Millisecond,
		}
		f.daemons = append(f.daemons, d)
		d.start()
	}
	f.setPeers()
	f.hold("d-0")
	return f
}

// start starts a process of the daemon.
func (d *simDaemon) start() {
	boot := func() time.Duration { return time.Hour + d.f.elapsed }
	d.table = duty.NewRestorationTable(d.f.table, boot)
	d.meter = New(Options{
		Daemon: d.name, Address: d.address, Window: simWindow, Due: simDue,
		Wall: func() time.Time { return simStart.Add(d.f.elapsed + d.skew) }, Boot: boot,
		Duty: simDuty{d}, Table: d.table, Restored: d.table.Restored, API: d.f.api, Log: telemetry.NopLog(), Metrics: telemetry.NewMetrics(),
	})
	d.dead = false
}

// simDuty is the Duty of a daemon.
type simDuty struct{ *simDaemon }

func (d simDuty) Held() bool { return d.f.holder == d.name }

func (d simDuty) Do(ctx context.Context, act func(context.Context, ports.DutyCall) error) error {
	if !d.Held() {
		return errNotHeld
	}
	return act(ctx, ports.DutyCall{Holder: domain.DaemonID(d.name), Token: d.f.token})
}

func (f *simFleet) hold(name string) {
	f.holder = name
	f.token++
}

// setPeers tells all daemons of each other.
func (f *simFleet) setPeers() {
	var all []string
	zones := make(map[string][]string)
	for _, d := range f.daemons {
		all = append(all, d.address)
		zones[d.zone] = append(zones[d.zone], d.address)
	}
	for _, d := range f.daemons {
		d.meter.SetPeers(all, zones[d.zone])
	}
}

func (f *simFleet) window() int64 { return simStart.Add(f.elapsed).UnixNano() / int64(simWindow) }

// count counts a request at a daemon.
func (f *simFleet) count(d *simDaemon, customer domain.CustomerID) {
	d.meter.Count(customer)
	w := f.window()
	if f.truth[w] == nil {
		f.truth[w] = make(map[domain.CustomerID]int64)
	}
	f.truth[w][customer]++
}

// run advances the time. each is called before each step.
func (f *simFleet) run(length time.Duration, each func()) {
	for until := f.elapsed + length; f.elapsed < until; f.elapsed += simStep {
		if each != nil {
			each()
		}
		byAddress := make(map[string]*simDaemon, len(f.daemons))
		for _, d := range f.daemons {
			byAddress[d.address] = d
		}
		arriving := f.flight
		f.flight = nil
		atOnce := 0
		for _, g := range arriving {
			d := byAddress[g.To]
			if d == nil || d.dead || d.partitioned || d.stopped {
				continue
			}
			if d.name == f.holder {
				atOnce++
				f.holderReceived += g.bytes
			}
			d.meter.Receive(g.Message)
		}
		f.mostAtOnce = max(f.mostAtOnce, atOnce)
		for i, d := range f.daemons {
			if d.dead || d.stopped {
				continue
			}
			if d.name == f.holder || (int(f.elapsed/simStep)+i)%int(idleTick/simStep) == 0 {
				d.meter.tick()
			}
			d.meter.act(context.Background())
			for _, g := range d.meter.Outgoing() {
				data, err := cbor.Marshal(g.Message)
				assert.NilError(f.t, err)
				assert.Assert(f.t, len(data) <= simDatagramBytes, "datagram of %d bytes", len(data))
				f.datagrams++
				f.bytes += len(data)
				if !d.partitioned && f.rand.Float64() >= f.loss {
					f.flight = append(f.flight, simDatagram{g, len(data)})
				}
			}
		}
	}
}

// checkReports checks that the windows were reported, with counts near the truth, and
// that no window has two reports.
func (f *simFleet) checkReports(from, before int64) {
	f.t.Helper()
	assert.Equal(f.t, len(f.api.violations), 0, "%v", f.api.violations)
	for _, d := range f.daemons {
		assert.Equal(f.t, d.meter.missed.Count(), int64(0), "%s says that a window is missed", d.name)
	}
	for w := from; w < before; w++ {
		counts, reported := f.api.reports[w]
		assert.Assert(f.t, reported, "window %d is not reported", w-from)
		for customer, n := range f.truth[w] {
			difference := math.Abs(float64(counts[customer] - n))
			assert.Assert(f.t, difference <= simTolerance*float64(n), "window %d: %s has %d instead of %d", w-from, customer, counts[customer], n)
		}
		for customer := range counts {
			assert.Assert(f.t, f.truth[w][customer] > 0, "window %d: %s has none", w-from, customer)
		}
	}
}

// simTable is a table in memory.
type simTable struct {
	rows    map[string]ports.Row
	version ports.Version
	// era counts the restorations.
	era uint64
	// down makes calls fail without effect. loseWrites makes writes take effect without an
	// answer, and delayWrites makes them take effect only when applyLate is called.
	down, loseWrites, delayWrites bool
	late                          [][]ports.Write
	reads, commits                int
}

func (t *simTable) Get(_ context.Context, keys ...string) ([]ports.Row, error) {
	t.reads++
	if t.down {
		return nil, ports.ErrUnavailable
	}
	var out []ports.Row
	for _, key := range keys {
		if row, ok := t.rows[key]; ok {
			out = append(out, row)
		} else if t.era > 0 {
			out = append(out, ports.Row{Key: key, Version: t.versionOf(0), Deleted: true})
		}
	}
	return out, nil
}

// versionOf returns the version with a number in the table's era.
func (t *simTable) versionOf(number uint64) ports.Version {
	version, err := ports.NewVersion(t.era, number)
	if err != nil {
		panic(err)
	}
	return version
}

func (t *simTable) Scan(_ context.Context, prefix, after string, limit int, _ ports.Version) ([]ports.Row, error) {
	var out []ports.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after && len(out) < limit {
			out = append(out, row)
		}
	}
	return out, nil
}

func (t *simTable) Commit(_ context.Context, writes ...ports.Write) (ports.Version, error) {
	t.commits++
	switch {
	case t.down:
		return 0, ports.ErrUnavailable
	case t.delayWrites:
		t.late = append(t.late, writes)
		return 0, ports.ErrUnknownOutcome
	}
	version, err := t.apply(writes)
	if t.loseWrites {
		return 0, ports.ErrUnknownOutcome
	}
	return version, err
}

func (t *simTable) apply(writes []ports.Write) (ports.Version, error) {
	for _, w := range writes {
		if !w.Unconditional && t.rows[w.Key].Version.Number() != w.Expect.Number() {
			return 0, &ports.ConflictError{Keys: []string{w.Key}}
		}
	}
	t.version = t.versionOf(t.version.Number() + 1)
	for _, w := range writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = ports.Row{Key: w.Key, Value: w.Value, Version: t.version}
	}
	return t.version, nil
}

// applyLate applies the writes whose outcome was not known, if their conditions hold.
func (t *simTable) applyLate() {
	for _, writes := range t.late {
		// A write whose condition does not hold any more has no effect.
		_, _ = t.apply(writes)
	}
	t.late = nil
}

// simAPI is the platform's API in memory.
type simAPI struct {
	reports map[int64]map[domain.CustomerID]int64
	calls   int
	// down makes calls fail, and loseAnswers makes them take effect without an answer.
	down, loseAnswers bool
	violations        []string
	// before is called before a call takes effect. It may be nil.
	before func()
}

func (*simAPI) OrderUpstreams(context.Context, ports.DutyCall, ports.UpstreamOrder) error { return nil }

func (a *simAPI) ReportUsage(_ context.Context, call ports.DutyCall, r ports.UsageReport) error {
	if a.before != nil {
		a.before()
	}
	if a.down {
		return ports.ErrUnavailable
	}
	a.calls++
	if earlier, known := a.reports[r.Window]; !known {
		a.reports[r.Window] = maps.Clone(r.Counts)
	} else if !maps.Equal(earlier, r.Counts) {
		a.violations = append(a.violations, fmt.Sprintf("two reports of window %d: %v and, by %s, %v", r.Window, earlier, call.Holder, r.Counts))
	}
	if a.loseAnswers {
		return ports.ErrUnknownOutcome
	}
	return nil
}
