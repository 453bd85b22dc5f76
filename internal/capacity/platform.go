package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/auburndyke/auburndyke/internal/configlog"
	"github.com/auburndyke/auburndyke/internal/drain"
	"github.com/auburndyke/auburndyke/internal/lease"
	"github.com/auburndyke/auburndyke/internal/membership"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/platform"
)

const (
	// scanPage is the number of rows that one scan call returns.
	scanPage = 1000
	// stepInterval is the time between two events of the simulated daemons.
	stepInterval = 100 * time.Millisecond
	// recordInterval is how often a daemon that hears its peers reads changed
	// drain records; see internal/daemon.
	recordInterval = 4 * time.Second
)

// tableFleet runs the platform's periodic users of a fleet in virtual time:
// membership, the configuration follower and the candidates of the leases.
type tableFleet struct {
	now    time.Time
	table  *platform.Client
	cores  []*membership.Core
	follow []*configlog.Follower
	leases []*candidate
	head   configlog.Document
	// version is that of the last write; a scan behind it returns nothing.
	version ports.Version
	down    bool
	reads   []int // by second since the start
	writes  []int
	start   time.Time
}

type candidate struct {
	lease *lease.Lease
	due   time.Time
}

// leaseNames are the leases that daemons compete for: those of placement by the
// daemons of the region, that of drains by all.
var leaseNames = []string{"placement/region-0", "placement/region-1", "placement/region-2", "drain"}

func newTableFleet(n int, document configlog.Document) *tableFleet {
	p := platform.New(platform.Config{})
	f := &tableFleet{
		now: time.Unix(1_700_000_000, 0), table: p.Client("fleet"), head: document,
	}
	f.start = f.now
	for i := range n {
		f.add(i)
	}
	return f
}

// add starts a daemon, as after a restart.
func (f *tableFleet) add(i int) {
	self := roster(i + 1)[i]
	self.Incarnation = 0
	rng := func(k uint64) *rand.Rand { return rand.New(rand.NewPCG(uint64(i), k+uint64(f.now.UnixNano()))) }
	core := membership.NewCore(membership.Config{Self: self, Boot: fmt.Sprint(i, f.now.UnixNano()), Rand: rng(1)})
	follower := configlog.NewFollower(self.Daemon, self.Region, rng(2))
	if i < len(f.cores) {
		f.cores[i], f.follow[i] = core, follower
	} else {
		f.cores, f.follow = append(f.cores, core), append(f.follow, follower)
	}
	for k, name := range leaseNames {
		if k < 3 && regionOf(k) != self.Region {
			continue
		}
		l := lease.New(lease.Config{Name: name, Owner: lease.Owner{Daemon: self.Daemon}}, rng(uint64(k)+3))
		f.leases = append(f.leases, &candidate{lease: l, due: f.now})
	}
}

func (f *tableFleet) count(list *[]int) {
	second := int(f.now.Sub(f.start) / time.Second)
	for len(*list) <= second {
		*list = append(*list, 0)
	}
	(*list)[second]++
}

// run lets virtual time pass.
func (f *tableFleet) run(d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); f.now = f.now.Add(stepInterval) {
		for i := range f.cores {
			if f.now.Sub(f.start)%time.Second == time.Duration(i%10)*stepInterval {
				f.core(i, membership.Tick{})
			}
			if f.now.Sub(f.start)%recordInterval == time.Duration(i%40)*stepInterval {
				_, _ = f.scan(drain.RecordPrefix, f.version)
			}
			if due, ok := f.follow[i].Deadline(); ok && !f.now.Before(due) {
				f.step(i, configlog.Tick{})
			}
		}
		for _, c := range f.leases {
			if due, ok := c.lease.Deadline(); ok && !f.now.Before(due) {
				f.compete(c, lease.Tick{})
			}
		}
	}
}

func (f *tableFleet) core(i int, event membership.Event) {
	c := f.cores[i]
	for _, action := range c.Handle(f.now, event) {
		switch a := action.(type) {
		case membership.Read:
			rows, err := f.get(a.Keys...)
			f.core(i, membership.ReadResult{Read: a, Rows: rows, Err: err, At: f.now})
		case membership.Commit:
			version, err := f.commit(a.Writes...)
			f.core(i, membership.CommitResult{Commit: a, Version: version, Err: err, At: f.now})
		case membership.Scan:
			rows, err := f.scan(a.Prefix, a.Since)
			f.core(i, membership.ScanResult{Scan: a, Rows: rows, Err: err, At: f.now})
		}
	}
}

func (f *tableFleet) step(i int, event configlog.FollowEvent) {
	for _, action := range f.follow[i].Step(f.now, event) {
		switch action.(type) {
		case configlog.PollHead:
			_, err := f.get("config/head")
			polled := configlog.HeadPolled{Err: err}
			if err == nil {
				polled.Head = &configlog.Head{Revision: f.head.Revision, Digest: f.head.Digest}
			}
			f.step(i, polled)
		case configlog.Fetch:
			// A daemon that has an earlier revision reads its deltas, a new one
			// the object.
			_, err := f.get("config/rev")
			f.step(i, configlog.Fetched{Document: f.head, Err: err})
		}
	}
}

func (f *tableFleet) compete(c *candidate, event lease.Event) {
	for _, action := range c.lease.Step(f.now, event) {
		switch a := action.(type) {
		case lease.ReadRow:
			rows, err := f.get(a.Key)
			read := lease.RowRead{Err: err}
			if err == nil && len(rows) > 0 {
				read = leaseRow(rows[0])
			}
			f.compete(c, read)
		case lease.CommitRow:
			version, err := f.commit(a.Write)
			f.compete(c, lease.Committed{Version: version, Err: err})
		}
	}
}

func leaseRow(row ports.Row) lease.RowRead {
	var record lease.Record
	err := json.Unmarshal(row.Value, &record)
	return lease.RowRead{Record: &record, Version: row.Version, Err: err}
}

func (f *tableFleet) get(keys ...string) ([]ports.Row, error) {
	f.count(&f.reads)
	if f.down {
		return nil, ports.ErrUnavailable
	}
	return f.table.Get(context.Background(), keys...)
}

func (f *tableFleet) commit(writes ...ports.Write) (ports.Version, error) {
	f.count(&f.writes)
	if f.down {
		return 0, ports.ErrUnavailable
	}
	version, err := f.table.Commit(context.Background(), writes...)
	f.version = max(f.version, version)
	return version, err
}

func (f *tableFleet) scan(prefix string, since ports.Version) ([]ports.Row, error) {
	var all []ports.Row
	for after := ""; ; after = all[len(all)-1].Key {
		f.count(&f.reads)
		if f.down {
			return nil, ports.ErrUnavailable
		}
		rows, err := f.table.Scan(context.Background(), prefix, after, scanPage, since)
		all = append(all, rows...)
		if err != nil || len(rows) < scanPage {
			return all, err
		}
	}
}

// rates returns the mean rates of the last seconds.
func (f *tableFleet) rates(last int) (reads, writes float64) {
	return mean(f.reads, last), mean(f.writes, last)
}

func mean(counts []int, last int) float64 {
	sum := 0
	for _, n := range counts[max(len(counts)-last, 0):] {
		sum += n
	}
	return float64(sum) / float64(last)
}

// peak returns the highest rate of any second from a second on.
func peak(counts []int, from int) float64 {
	most := 0
	for _, n := range counts[min(from, len(counts)):] {
		most = max(most, n)
	}
	return float64(most)
}

func (f *tableFleet) seconds() int { return int(f.now.Sub(f.start) / time.Second) }

// outage is long enough for every backoff to reach its longest delay.
const outage = 2 * time.Minute

// measureTables measures the periodic platform calls of a fleet, and its peaks
// after a platform outage and after the restart of a zone.
func measureTables(ctx context.Context, r *recorder) error {
	sizes := []int{8, 32, 128, 330}
	switch {
	case r.options.smoke:
		sizes = sizes[:1]
	case r.options.Quick:
		sizes = sizes[:3]
	}
	content := []byte("# configuration\n")
	head := configlog.Document{Revision: 1, Digest: configlog.DigestOf(content), Content: content}
	for _, n := range sizes {
		if err := ctx.Err(); err != nil {
			return err
		}
		measureTablesAt(r, n, head)
	}
	return measureChange(ctx, r)
}

func measureTablesAt(r *recorder, n int, head configlog.Document) {
	daemons := float64(n)
	f := newTableFleet(n, head)
	f.run(30 * time.Second)
	steady := 120
	used := readUsage()
	f.run(time.Duration(steady) * time.Second)
	cost := readUsage().since(used)
	reads, writes := f.rates(steady)
	r.add("platform/reads", daemons, reads)
	r.add("platform/writes", daemons, writes)
	r.add("platform/core-cpu", daemons, 100*cost.cpu.Seconds()/daemons/float64(steady))

	f.down = true
	f.run(outage)
	f.down = false
	from := f.seconds()
	f.run(30 * time.Second)
	r.add("platform/recovery-reads", daemons, peak(f.reads, from))
	r.add("platform/recovery-writes", daemons, peak(f.writes, from))

	zone := max(n/7, 1)
	from = f.seconds()
	for i := range zone {
		f.add(i)
	}
	f.run(30 * time.Second)
	r.add("platform/restart-reads", float64(zone), peak(f.reads, from)-reads)
	r.add("platform/restart-writes", float64(zone), peak(f.writes, from)-writes)
}

// measureChange counts the platform calls and the bytes of one configuration
// change at the planned size of the document.
func measureChange(ctx context.Context, r *recorder) error {
	for _, customers := range []int{10, 500, 1000, 2000} {
		s := Planned()
		s.Upstreams = s.Upstreams * customers / s.Customers
		s.Customers = customers
		s.Upstreams = max(s.Upstreams, poolCount)
		d, err := document(s)
		if err != nil {
			return err
		}
		content := d.Encode()
		r.add("operators/document", float64(s.Customers+s.Upstreams), float64(len(content)))
		if customers == 2000 || r.options.smoke {
			next, err := d.SetLabel("upstreams", string(upstreamID(7)), "rental", "night")
			if err != nil {
				return err
			}
			return changeCalls(ctx, r, content, next.Encode())
		}
	}
	return nil
}

func changeCalls(ctx context.Context, r *recorder, first, second []byte) error {
	p := platform.New(platform.Config{})
	store := p.Client("operator")
	seed := func() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }
	proposer := configlog.NewProposer(store, nil, seed)
	result, err := proposer.Propose(ctx, configlog.Change{ID: "first", Author: "capacity", Content: first})
	if err != nil {
		return err
	}
	before := p.Counters()
	result, err = proposer.Propose(ctx, configlog.Change{ID: "second", Author: "capacity", Base: result.Document.Revision, Content: second})
	if err != nil {
		return err
	}
	if !result.Accepted() {
		return errors.New("the second change was not accepted")
	}
	after := p.Counters()
	r.add("platform/change-reads", 1, float64(after.Reads-before.Reads))
	r.add("platform/change-writes", 1, float64(after.Writes-before.Writes))
	rows, err := store.Scan(ctx, "config/rev/", "", scanPage, 0)
	if err != nil {
		return err
	}
	r.add("operators/delta", 1, float64(len(rows[len(rows)-1].Value)))
	return nil
}
