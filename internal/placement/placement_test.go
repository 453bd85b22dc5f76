package placement

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("AUBURNDYKE_TEST_SEED"), "1")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// sim runs a planner against engines that load at once and report a second
// late, and a table that never fails unless told to.
type sim struct {
	planner   *Planner
	now       time.Time
	token     domain.FencingToken
	engines   map[domain.UpstreamID]*ports.Order
	records   map[domain.UpstreamID]Record
	version   ports.Version
	versions  map[domain.UpstreamID]ports.Version
	decisions []Decision
	orders    int
	deposed   int
	// fail drops the next orders.
	fail int
}

func newSim(cfg Config, upstreams ...Upstream) *sim {
	s := &sim{
		planner:  NewPlanner(cfg),
		now:      time.Unix(1_000_000, 0),
		token:    1,
		engines:  map[domain.UpstreamID]*ports.Order{},
		records:  map[domain.UpstreamID]Record{},
		versions: map[domain.UpstreamID]ports.Version{},
	}
	for _, u := range upstreams {
		s.engines[u.ID] = &ports.Order{Models: u.Base.Models, Adapters: u.Base.Adapters, Role: u.Base.Role}
	}
	s.step(Configured{Upstreams: upstreams, Bytes: map[string]int64{"a": 100, "b": 100, "c": 100}})
	s.step(LeaseChanged{s.token})
	return s
}

func (s *sim) step(e Event) {
	for _, action := range s.planner.Step(s.now, e) {
		switch a := action.(type) {
		case ReadRecords:
			read := RecordsRead{Token: a.Token}
			for id, r := range s.records {
				read.Records = append(read.Records, r)
				read.Versions = append(read.Versions, s.versions[id])
			}
			s.step(read)
		case SaveRecord:
			s.step(s.save(a))
		case SendOrder:
			s.step(s.order(a))
		case Decide:
			s.decisions = append(s.decisions, a.Decision)
		case Deposed:
			s.deposed++
		}
	}
}

func (s *sim) save(a SaveRecord) Saved {
	if a.Write.Expect != s.versions[a.Upstream] {
		return Saved{Token: a.Token, Upstream: a.Upstream, Err: &ports.ConflictError{}}
	}
	r, _ := decode(ports.Row{Value: a.Write.Value})
	s.version++
	s.records[a.Upstream], s.versions[a.Upstream] = r, s.version
	return Saved{Token: a.Token, Upstream: a.Upstream, Version: s.version}
}

func (s *sim) order(a SendOrder) Ordered {
	out := Ordered{Token: a.Order.Fencing, Upstream: a.Upstream}
	if s.fail > 0 {
		s.fail--
		out.Err = ports.ErrNotSent
		return out
	}
	s.orders++
	*s.engines[a.Upstream] = a.Order
	return out
}

// second lets a second pass with the given demand.
func (s *sim) second(demand ...Demand) {
	s.now = s.now.Add(time.Second)
	for id, held := range s.engines {
		s.step(Reported{ports.LoadReport{
			Upstream: id, Models: held.Models, Adapters: held.Adapters, Role: held.Role, AppliedOrder: held.ID,
		}})
	}
	s.step(DemandSeen{demand})
	s.step(Tick{})
}

func (s *sim) seconds(n int, demand ...Demand) {
	for range n {
		s.second(demand...)
	}
}

func (s *sim) kinds(k Kind) (out []Decision) {
	for _, d := range s.decisions {
		if d.Kind == k {
			out = append(out, d)
		}
	}
	return out
}

func upstream(id string, maxAdapters int) Upstream {
	return Upstream{
		ID:          domain.UpstreamID(id),
		Base:        Content{Models: []string{"m"}, Role: domain.RoleBoth},
		Allowed:     []string{"a", "b", "c"},
		MaxAdapters: maxAdapters,
	}
}

func adapter(class, name string, waiting float64, running int, reach ...domain.UpstreamID) Demand {
	return Demand{
		Class:     domain.ClassID(class),
		Artefact:  Artefact{Name: name, Adapter: true, Model: "m"},
		Upstreams: reach, Waiting: waiting, Running: running,
	}
}

// Guards against a class that reaches no replica, against loads that exceed
// the weight store's limits, and against serving the less needed first.
func TestLoadsMostNeededFirstWithinStoreLimit(t *testing.T) {
	s := newSim(Config{StoreBytesPerSecond: 10, StoreLoads: 1}, upstream("u1", 2), upstream("u2", 2))
	s.seconds(8,
		adapter("low", "a", 10, 0, "u1"),
		adapter("high", "b", 1000, 0, "u1", "u2"))
	loads := s.kinds(KindLoad)
	assert.Equal(t, len(loads), 1)
	assert.Equal(t, loads[0].Artefact, "b")
	assert.Equal(t, loads[0].Reason, ReasonDemand)
	deferred := s.kinds(KindDefer)
	assert.Equal(t, deferred[len(deferred)-1].Reason, ReasonStoreBusy)
	s.seconds(20, adapter("low", "a", 10, 0, "u1"), adapter("high", "b", 0, 1, "u1", "u2"))
	assert.Equal(t, s.kinds(KindLoad)[1].Artefact, "a")
	assert.DeepEqual(t, s.engines["u1"].Adapters, []string{"a", "b"})
}

// Guards against loads and unloads that follow each swing of demand. The
// naive director changes content at each swing.
func TestDemandSwingsAreDamped(t *testing.T) {
	swing := func(cfg Config) int {
		s := newSim(cfg, upstream("u1", 1))
		for range 30 {
			s.seconds(10, adapter("x", "a", 1000, 0, "u1"))
			s.seconds(10, adapter("y", "b", 1000, 0, "u1"))
		}
		return len(s.kinds(KindLoad))
	}
	naive := swing(Config{Sustain: 1, Idle: time.Second, Dwell: 1, Advantage: 0.01})
	damped := swing(Config{})
	t.Logf("loads in 600 s of swinging demand: naive %d, damped %d", naive, damped)
	assert.Assert(t, naive > 10*damped)
}

// Guards against an order that is lost, an order of an earlier director that
// an engine without token checks obeys, and a planner that goes on after an
// engine has seen a later director.
func TestOrdersAreRepaired(t *testing.T) {
	s := newSim(Config{}, upstream("u1", 1))
	s.fail = 1
	s.seconds(20, adapter("x", "a", 10, 0, "u1"))
	assert.DeepEqual(t, s.engines["u1"].Adapters, []string{"a"})
	assert.Equal(t, s.kinds(KindRepair)[0].Reason, ReasonOrderFailed)

	*s.engines["u1"] = ports.Order{ID: "earlier director", Models: []string{"m"}, Role: domain.RoleBoth}
	s.seconds(10, adapter("x", "a", 0, 1, "u1"))
	assert.DeepEqual(t, s.engines["u1"].Adapters, []string{"a"})
	assert.Equal(t, s.kinds(KindRepair)[1].Reason, ReasonForeignOrder)

	// The next director continues from the stored content.
	s.step(LeaseChanged{0})
	s.step(LeaseChanged{2})
	before := s.orders
	s.seconds(30, adapter("x", "a", 0, 1, "u1"))
	assert.Equal(t, s.orders, before)

	s.step(Reported{ports.LoadReport{Upstream: "u1", HighestFencing: 9}})
	assert.Equal(t, s.deposed, 1)
	s.seconds(30, adapter("y", "b", 100000, 0, "u1"))
	assert.Equal(t, s.orders, before)
}

// Guards against the removal of the last replica that serves a class with
// traffic, against the removal of configured content and against engines
// that hold more than they may, under random demand, director changes and
// lost orders.
func TestNeverUnloadsLastReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []domain.UpstreamID{"u1", "u2", "u3"}
		s := newSim(Config{Idle: 20 * time.Second, Dwell: 5 * time.Second, Sustain: time.Second, LoadAt: 50},
			upstream("u1", 1), upstream("u2", 2), upstream("u3", 2))
		for range 60 {
			demand := randomDemand(t, ids)
			if rapid.IntRange(0, 9).Draw(t, "lease") == 0 {
				s.token++
				s.step(LeaseChanged{0})
				s.step(LeaseChanged{s.token})
			}
			s.fail = rapid.IntRange(0, 2).Draw(t, "fail")
			for range rapid.IntRange(1, 15).Draw(t, "seconds") {
				before := s.served(demand)
				s.second(demand...)
				after := s.served(demand)
				for i := range before {
					if before[i] && !after[i] {
						t.Fatalf("class %s lost its last replica of %s", demand[i].Class, demand[i].Artefact.Name)
					}
				}
				s.check(t)
			}
		}
	})
}

func randomDemand(t *rapid.T, ids []domain.UpstreamID) []Demand {
	var out []Demand
	for i, name := range []string{"a", "b", "c", "a"} {
		waiting := rapid.SampledFrom([]float64{0, 0, 10, 100, 1000}).Draw(t, "waiting")
		running := rapid.IntRange(0, 1).Draw(t, "running")
		if waiting == 0 && running == 0 {
			continue
		}
		out = append(out, adapter(fmt.Sprint("class", i), name, waiting, running, ids[i%3:]...))
	}
	return out
}

// served tells for each demand whether an engine that its class may reach
// holds the artefact.
func (s *sim) served(demand []Demand) []bool {
	out := make([]bool, len(demand))
	for i, d := range demand {
		out[i] = slices.ContainsFunc(d.Upstreams, func(id domain.UpstreamID) bool {
			return slices.Contains(s.engines[id].Adapters, d.Artefact.Name)
		})
	}
	return out
}

func (s *sim) check(t *rapid.T) {
	for id, held := range s.engines {
		spec := s.planner.engines[id].spec
		if !slices.Contains(held.Models, "m") || len(held.Adapters) > spec.MaxAdapters {
			t.Fatalf("%s holds %v %v", id, held.Models, held.Adapters)
		}
	}
}
