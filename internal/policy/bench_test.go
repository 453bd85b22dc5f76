package policy

import (
	"fmt"
	"runtime"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// planned returns a configuration of the planned size: 2,000 customers, 20
// classes, 2,500 upstreams, 8 tiers, 300 rules. The first customers, as many as
// own says, have a rule that names them, so that they share no matching work.
func planned(t testing.TB, own int) *Document {
	d := &Document{Levels: []ServiceLevel{{Name: "l", Attainment: 0.95}}, Models: []Model{{ID: "m"}}}
	d.Regions = []Region{{ID: "r", Zones: []domain.AvailabilityZone{"z"}}}
	for i := range 8 {
		d.Tiers = append(d.Tiers, Tier{ID: domain.TierID(fmt.Sprintf("t%d", i)), Rank: i})
	}
	for i := range 20 {
		d.Classes = append(d.Classes, Class{ID: domain.ClassID(fmt.Sprintf("c%02d", i)), ClaimOutage: ClaimOutageRefuse})
	}
	for i := range 2000 {
		d.Customers = append(d.Customers, Customer{
			ID:      domain.CustomerID(fmt.Sprintf("customer-%04d", i)),
			Labels:  map[string]string{"group": fmt.Sprint(i % 50), "size": fmt.Sprint(i % 3)},
			Weight:  1,
			APIKeys: []KeyHash{HashKey(fmt.Sprint(i))},
		})
	}
	for i := range 2500 {
		d.Upstreams = append(d.Upstreams, Upstream{
			ID: domain.UpstreamID(fmt.Sprintf("upstream-%04d", i)), Kind: domain.KindEngine, Role: domain.RoleBoth,
			Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Region: "r", Zone: "z", Slots: 8,
			Labels: map[string]string{"pool": fmt.Sprint(i % 40), "size": fmt.Sprint(i % 2)},
			Models: []domain.ModelID{"m"},
		})
	}
	for i := range 300 {
		d.Rules = append(d.Rules, Rule{
			Name: fmt.Sprintf("rule-%03d", i), Precedence: i / 50, Level: "l",
			Tier:      domain.TierID(fmt.Sprintf("t%d", i/50)),
			Customers: mustSelector(t, fmt.Sprintf("group=%d", i%50)),
			Classes:   mustSelector(t, fmt.Sprintf("id in (c%02d, c%02d, c%02d)", i%20, (i+7)%20, (i/50+3)%20)),
			Upstreams: mustSelector(t, fmt.Sprintf("pool in (%d, %d)", i%40, (i+1)%40)),
		})
	}
	for i := range own {
		d.Rules = append(d.Rules, Rule{
			Name: fmt.Sprintf("own-%04d", i), Precedence: 10, Level: "l", Tier: "t0",
			Customers: mustSelector(t, fmt.Sprintf("id=customer-%04d", i)),
			Classes:   mustSelector(t, "id=c03"),
			Upstreams: mustSelector(t, fmt.Sprintf("pool=%d", i%40)),
		})
	}
	return d
}

func mustSelector(t testing.TB, text string) Selector {
	s, err := ParseSelector(text)
	assert.NilError(t, err)
	return s
}

func BenchmarkCompile(b *testing.B) {
	for _, own := range []int{0, 50, 2000} {
		b.Run(fmt.Sprintf("own=%d", own), func(b *testing.B) {
			d := planned(b, own)
			var p *Policy
			b.ReportAllocs()
			for b.Loop() {
				next, list := Compile(d, 1)
				assert.NilError(b, list.Err())
				p = next
			}
			b.StopTimer()
			b.ReportMetric(retained(d, &p), "B-retained")
		})
	}
}

// retained measures the memory that a compiled policy keeps beside its
// document.
func retained(d *Document, p **Policy) float64 {
	var with, without runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&with)
	runtime.KeepAlive(*p)
	*p = nil
	runtime.GC()
	runtime.ReadMemStats(&without)
	runtime.KeepAlive(d)
	return float64(int64(with.HeapAlloc) - int64(without.HeapAlloc))
}

func BenchmarkLoad(b *testing.B) {
	text := planned(b, 0).Encode()
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		_, _, list := Load(1, Source{"p.toml", text})
		assert.NilError(b, list.Err())
	}
}

func BenchmarkImpact(b *testing.B) {
	d := planned(b, 0)
	before, _ := Compile(d, 1)
	next, _ := d.SetDraining("upstream-0007", true)
	after, _ := Compile(next, 2)
	b.ReportAllocs()
	for b.Loop() {
		Impact(before, after)
	}
}

func BenchmarkRoute(b *testing.B) {
	p, _ := Compile(planned(b, 0), 1)
	customers := make([]domain.CustomerID, 2000)
	for i := range customers {
		customers[i] = domain.CustomerID(fmt.Sprintf("customer-%04d", i))
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			p.Route(customers[i%2000], "c07")
		}
	})
}

// Guards against compiling or routing that changes a document or policy which
// others read; the race detector sees such writes.
func TestConcurrentUse(t *testing.T) {
	d, p := load(t)
	var group errgroup.Group
	for range 4 {
		group.Go(func() error {
			next, err := d.SetLabel(ItemUpstream, "lesson-01", "rental", "night")
			if err != nil {
				return err
			}
			other, list := Compile(next, 2)
			Impact(p, other)
			for id := range p.Customers {
				p.Route(id, "booking")
			}
			return list.Err()
		})
	}
	assert.NilError(t, group.Wait())
}

// Guards against allocations on the request path.
func TestRouteDoesNotAllocate(t *testing.T) {
	_, p := load(t)
	key := HashKey("mb-maraval-surf-school-key")
	allocs := testing.AllocsPerRun(100, func() {
		p.Route(p.CustomerByKey(key).ID, "booking")
		p.Upstream("lesson-03")
	})
	assert.Equal(t, allocs, 0.0)
}
