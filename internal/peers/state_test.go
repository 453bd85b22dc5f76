package peers

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/quarantine"
)

var start = time.Unix(1_800_000_000, 0)

// fleet exchanges messages between states in virtual time.
type fleet struct {
	states []*State
	rng    *rand.Rand
	now    time.Time
	loss   float64
}

func newFleet(n int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(1, 2)), now: start}
	for i := range n {
		f.states = append(f.states, NewState(fmt.Sprintf("daemon-%d", i), fmt.Sprintf("10.0.0.%d:1", i), "start"))
	}
	// All start at once, and each finds the daemons in the directory that
	// registered before it.
	for i, s := range f.states {
		for j := range i + 1 {
			s.AddPeer(f.states[j].self, f.now)
		}
	}
	return f
}

// round advances the time by gossipInterval and sends one message from every
// daemon.
func (f *fleet) round(t *testing.T) {
	f.now = f.now.Add(gossipInterval)
	for i, s := range f.states {
		s.SetWork(f.now, 7, balancer.Work{Interactive: float64(i), Other: 100})
		targets := s.Targets(f.rng, gossipFanOut)
		data, err := encode(s.Compose(f.now, f.rng))
		assert.NilError(t, err)
		m, err := decode(data)
		assert.NilError(t, err)
		for _, other := range f.states {
			if slices.Contains(targets, other.self) && f.rng.Float64() >= f.loss {
				other.Receive(f.now, m)
			}
		}
	}
}

// Guards against daemons that estimate the total work from their own share:
// after a few seconds each must have enough work reports, also when datagrams
// are lost.
func TestWorkReportsSpread(t *testing.T) {
	for _, n := range []int{3, 70, 330} {
		f := newFleet(n)
		f.loss = 0.1
		for range 24 {
			f.round(t)
		}
		for _, s := range f.states {
			total, daemons := s.TotalWork(f.now, 7)
			// 40 reports give the share of a kind of work to within a tenth.
			assert.Assert(t, daemons >= min(n/2, 40), "%s of %d daemons has reports of %d", s.self, n, daemons)
			if n > 10 {
				mean := total.Interactive / float64(daemons)
				// Four standard errors of 40 draws from a uniform distribution.
				assert.Assert(t, mean > float64(n)*0.32 && mean < float64(n)*0.68, "mean %f of %d daemons", mean, n)
			}
		}
	}
}

// Guards against work reports that are old when they arrive: a pool that is
// sized by them would follow a burst that much later. The bound of 1.5 s is half
// of workTimeConstant, over which the balancer averages work.
func TestWorkReportsAreFresh(t *testing.T) {
	f := newFleet(91)
	for range 30 {
		f.round(t)
	}
	var ages time.Duration
	known := 0
	for _, s := range f.states {
		for _, d := range s.workReports {
			if age := f.now.Sub(d.reportedAt); age < workReportTTL {
				ages += age
				known++
			}
		}
	}
	mean := ages / time.Duration(known)
	assert.Assert(t, mean <= 1500*time.Millisecond, "mean age of work reports is %s", mean)
}

// Guards against the work of an ended daemon that still counts.
func TestWorkReportsExpire(t *testing.T) {
	f := newFleet(2)
	for range 4 {
		f.round(t)
	}
	s := f.states[0]
	_, daemons := s.TotalWork(f.now, 7)
	assert.Equal(t, daemons, 2)
	later := f.now.Add(workReportTTL)
	s.SetWork(later, 7, balancer.Work{})
	_, daemons = s.TotalWork(later, 7)
	assert.Equal(t, daemons, 1)
}

// Guards against an older load report that replaces a newer one, whether it came
// from the upstream or from a peer, and against ages that shrink in transit.
func TestLoadReportsKeepTheirAge(t *testing.T) {
	a, b := NewState("a", "a:1", "1"), NewState("b", "b:1", "1")
	a.SetLoadReport(1, balancer.LoadReport{Load: balancer.Load{Waiting: 3}, At: start})
	rng := rand.New(rand.NewPCG(1, 2))
	now := start.Add(time.Second)
	fresh := b.Receive(now, a.Compose(now, rng))
	assert.Equal(t, fresh[1].Waiting, 3)
	assert.Assert(t, !fresh[1].At.After(start.Add(ageUnit)))

	b.SetLoadReport(1, balancer.LoadReport{Load: balancer.Load{Waiting: 9}, At: now})
	assert.Equal(t, len(b.Receive(now, a.Compose(now, rng))), 0)
	assert.Equal(t, b.Compose(now, rng).Loads[0].Waiting, uint32(9))
	later := now.Add(loadReportTTL)
	assert.Equal(t, len(b.Compose(later, rng).Loads), 0)
}

// Guards against messages that exceed a datagram with many daemons and
// upstreams.
func TestMessageFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState("a", "255.255.255.255:65535", "1")
		for i := range rapid.IntRange(0, 400).Draw(t, "daemons") {
			s.AddPeer(fmt.Sprintf("255.255.255.%d:65535", i), start.Add(peerAdvertiseTime))
			s.Receive(start, &Message{Services: []ServiceWork{{Name: 1<<32 - 1, Reports: packWorkReports([]WorkReport{{
				Origin: uint32(i), Seq: 1, Interactive: 1 << 15, Other: 1 << 15,
			}})}}})
		}
		for i := range rapid.IntRange(0, 400).Draw(t, "loads") {
			s.SetLoadReport(uint32(1<<32-1-i), balancer.LoadReport{Load: balancer.Load{Running: 300, Waiting: 300}, At: start})
		}
		_, err := encode(s.Compose(start.Add(time.Second), rand.New(rand.NewPCG(1, 2))))
		if err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against invalid datagrams that crash the daemon.
func FuzzDecode(f *testing.F) {
	data, err := encode(&Message{Sender: "a:1", Loads: []LoadReport{{Upstream: 1}}})
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		m, err := decode(data)
		if err == nil {
			NewState("a", "a:1", "1").Receive(start, m)
		}
	})
}

// Guards against evidence of peers that crashes the daemon or grows without bound.
func FuzzDecodeEvidence(f *testing.F) {
	data, err := encodeEvidence(&quarantine.Report{
		Crashes: []quarantine.CrashReport{{Part: 1, Upstream: 2, Stage: quarantine.Begun, Age: 3, SentAge: 9}},
		Sound:   []quarantine.SoundReport{{Part: 4, Age: 5}},
	})
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		received, ok := decodeEvidence(data)
		if !ok {
			return
		}
		tracker := quarantine.New(rand.New(rand.NewPCG(1, 2)), nil)
		for i := range 3 {
			tracker.Merge(start.Add(time.Duration(i)*time.Second), received)
		}
		if report := tracker.Report(start.Add(3 * time.Second)); report != nil {
			_, err := encodeEvidence(report)
			assert.NilError(t, err)
		}
	})
}

// Guards against copies of peers that crash the daemon.
func FuzzDecodeCopy(f *testing.F) {
	data, err := cbor.Marshal(tableCopy{Rows: []copyRow{{Key: "a", Value: []byte("x"), Version: 3}}, AsOf: 4})
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var c tableCopy
		if cbor.Unmarshal(data, &c) == nil {
			follow.NewSnapshot(c.rows(), follow.Versions{AsOf: ports.Version(c.AsOf), Changed: ports.Version(c.Changed)})
		}
	})
}

// Guards against evidence that is too large for a datagram when it is complete.
func TestEvidenceFitsIntoADatagram(t *testing.T) {
	tracker := quarantine.New(rand.New(rand.NewPCG(1, 2)), nil)
	for i := range 100 {
		part := quarantine.Part(math.MaxUint64 - uint64(i))
		tracker.Crash(start, domain.UpstreamID(fmt.Sprint(i)), start, quarantine.Begun, []quarantine.Part{part})
		tracker.Sound(start.Add(time.Second), []quarantine.Part{part})
		tracker.Crash(start.Add(2*time.Second), domain.UpstreamID(fmt.Sprint(i)), start, quarantine.Begun, []quarantine.Part{part})
	}
	data, err := encodeEvidence(tracker.Report(start.Add(2 * time.Second)))
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 700, "%d bytes", len(data))
}
