package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/rs/zerolog"

	"github.com/auburndyke/auburndyke/internal/admission"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/routing"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// compiled returns the policy of a document.
func compiled(d *policy.Document, err error) (*policy.Policy, error) {
	if err != nil {
		return nil, err
	}
	p, list := policy.Compile(d, 1)
	return p, list.Err()
}

// bench is a router with observed upstreams and a request that may use all.
type bench struct {
	router  *routing.Router
	request *routing.Request
	now     time.Time
	rng     *rand.Rand
}

func newBench(upstreams, models, subset int) (*bench, error) {
	p, err := compiled(wideDocument(upstreams, models))
	if err != nil {
		return nil, err
	}
	route, ok := p.Route(customerID(0), classID(0))
	if !ok {
		return nil, fmt.Errorf("customer %s has no route", customerID(0))
	}
	site := routing.Site{Daemon: daemonID(0), Region: regionOf(0), Zone: zoneOf(0)}
	for i := range subset {
		site.Subset = append(site.Subset, upstreamID(i*upstreams/subset))
	}
	b := &bench{now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(1, 1))}
	b.router = routing.NewRouter(routing.NewTable(b.now, nil, p, site))
	b.observe()
	b.request = &routing.Request{
		Route: route, Model: modelID(0), PromptTokens: 500, OutputTokens: 380,
		Prefix: routing.PrefixHashes(nil, make([]byte, 8*routing.PrefixBlockBytes)),
	}
	return b, nil
}

// observe gives the upstreams load reports and finished work.
func (b *bench) observe() {
	for _, u := range b.router.Table().Members() {
		u.State.Report(b.now, ports.LoadReport{ActiveTokens: b.rng.IntN(20_000), Slots: slotsPerUp}, 4)
		for i := range 10 {
			slot := u.State.Acquire(b.now, slotsPerUp, 100, float64(i)*100)
			if slot == nil {
				break
			}
			slot.ObserveFirstToken(b.now.Add(time.Duration(100+b.rng.IntN(100)) * time.Millisecond))
			slot.Release(b.now.Add(time.Second), routing.ResultOK)
		}
	}
	b.now = b.now.Add(2 * time.Second)
}

func (b *bench) pick() {
	if c, ok := b.router.Pick(b.now, b.request, b.rng); ok {
		c.Slot.Release(b.now, routing.ResultCancelled)
	}
}

// measureDecisions measures the decision code of one request.
func measureDecisions(ctx context.Context, r *recorder) error {
	least := r.options.part(100 * time.Millisecond)
	planned := Planned()
	sizes := []int{8, 32, 128, 512, 2500}
	if r.options.smoke {
		sizes = sizes[:2]
	}
	for _, n := range sizes {
		all, err := newBench(n, 1, 0)
		if err != nil {
			return err
		}
		cpu, allocs := perCall(least, all.pick)
		r.add("routing/all", float64(n), micros(cpu))
		r.add("routing/all-allocations", float64(n), allocs)
		subset, err := newBench(n, planned.Models, min(n, int(planned.SubsetSize())))
		if err != nil {
			return err
		}
		cpu, _ = perCall(least, subset.pick)
		r.add("routing/subset", float64(n), micros(cpu))
		logged, bytes := subset.logged(least)
		r.add("log/subset", float64(n), micros(logged-cpu))
		r.add("log/subset-bytes", float64(n), bytes)
		cpu, _ = perCall(least, func() { subset.request.Group() })
		r.add("routing/group", float64(n), micros(cpu))
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	if err := measureLog(r, least); err != nil {
		return err
	}
	measureAdmission(r, least)
	return measureLookups(r, least)
}

// measureLog measures a picked upstream with its log line at 32 candidates.
func measureLog(r *recorder, least time.Duration) error {
	for _, n := range []int{8, 16, 32, 64} {
		b, err := newBench(n, 1, 0)
		if err != nil {
			return err
		}
		silent, _ := perCall(least, b.pick)
		logged, _ := b.logged(least)
		r.add("log/routing", float64(n), micros(logged-silent))
	}
	return nil
}

// logged returns the processor time of a decision with its log line, and the
// line's size.
func (b *bench) logged(least time.Duration) (cpu time.Duration, bytes float64) {
	var out counter
	lines := 0
	log := telemetry.NewLog(&out, zerolog.InfoLevel, string(daemonID(0)))
	cpu, _ = perCall(least, func() {
		e := &routing.Explanation{}
		b.request.Explain = e
		b.pick()
		logDecision(log, e)
		lines++
	})
	b.request.Explain = nil
	return cpu, float64(out) / float64(lines)
}

// counter counts the bytes written to it.
type counter int64

// Write implements io.Writer.
func (c *counter) Write(p []byte) (int, error) {
	*c += counter(len(p))
	return len(p), nil
}

// logDecision writes a line with the fields of the gateway's routing line.
func logDecision(log *telemetry.Log, e *routing.Explanation) {
	scored := zerolog.Arr()
	for i := range e.Candidates {
		c := &e.Candidates[i]
		scored.Dict(zerolog.Dict().Str("upstream", string(c.Upstream)).Float64("cost", c.Cost).Floats64("scores", c.Scores))
	}
	excluded := zerolog.Arr()
	for i := range e.Excluded {
		x := &e.Excluded[i]
		excluded.Dict(zerolog.Dict().Str("upstream", string(x.Upstream)).Str("reason", x.Reason.String()))
	}
	log.Event(telemetry.RoutingDecision).Str("request", "request-0123456789").Uint64("revision", 1).
		Str("class", "class-00").Str("tier", "tier-0").Str("upstream", "upstream-0007").Bool("remote", false).
		Float64("cost_seconds", 0.1).Dur("predicted_first_token", time.Second).Int("near", e.NearBest).
		Array("candidates", scored).Array("excluded", excluded).Msg("")
}

// measureAdmission measures a request's way through a queue in which others
// wait.
func measureAdmission(r *recorder, least time.Duration) {
	var tiers []policy.Tier
	for i := range Planned().Tiers {
		tiers = append(tiers, policy.Tier{ID: domain.TierID(fmt.Sprint("tier-", i)), Rank: i, MinShare: 0.02})
	}
	counts := []int{10, 100, 1000, 10_000}
	if r.options.smoke {
		counts = counts[:2]
	}
	for _, waiting := range counts {
		q := admission.NewQueue(tiers)
		now := time.Unix(1_700_000_000, 0)
		id := 0
		offer := func() {
			id++
			q.Offer(now, &admission.Request{
				Rank: id % len(tiers), Tokens: 100 + id%900, Group: uint64(id % 6), Customer: customerID(id % 2000),
				Weight: 1, Arrived: now, Deadline: now.Add(time.Duration(1+id%7) * time.Hour),
			})
		}
		for range waiting {
			offer()
		}
		cpu, _ := perCall(least, func() {
			now = now.Add(time.Millisecond)
			offer()
			if d, ok := q.Next(now, nil); ok {
				q.Finish(now, d.Request)
			}
		})
		r.add("admission/queue", float64(waiting), micros(cpu))
	}
}

// measureLookups measures limiter and policy lookups against the number of
// customers.
func measureLookups(r *recorder, least time.Duration) error {
	counts := []int{10, 500, 2000}
	if r.options.smoke {
		counts = counts[:1]
	}
	for _, n := range counts {
		s := Planned()
		s.Customers, s.Upstreams = n, 100
		p, err := compiled(document(s))
		if err != nil {
			return err
		}
		limiter := admission.NewLimiter(nil, p, 1)
		now, i := time.Unix(1_700_000_000, 0), 0
		cpu, _ := perCall(least, func() {
			i++
			now = now.Add(time.Millisecond)
			if permit, _ := limiter.Admit(now, customerID(i%10), classID(0), 400); permit != nil {
				permit.Release(380)
			}
		})
		r.add("admission/limiter", float64(n), micros(cpu))
		cpu, _ = perCall(least, func() {
			i++
			customer := p.CustomerByKey(policy.HashKey("key-of-customer-0007"))
			p.Route(customer.ID, classID(i%classCount))
		})
		r.add("policy/lookup", float64(n), micros(cpu))
	}
	return nil
}

// measureControl measures what a daemon spends on a new configuration and a
// changed fleet.
func measureControl(ctx context.Context, r *recorder) error {
	shares := []int{8, 4, 2, 1}
	if r.options.smoke {
		shares = shares[:1]
	}
	for _, share := range shares {
		s := Planned()
		s.Customers /= share
		s.Upstreams /= share
		if err := measureConfiguration(r, s); err != nil {
			return err
		}
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	return nil
}

func measureConfiguration(r *recorder, s Size) error {
	d, err := document(s)
	if err != nil {
		return err
	}
	text := d.Encode()
	least := r.options.part(200 * time.Millisecond)
	x := float64(s.Upstreams)
	var keep *policy.Policy
	decode, _ := perCall(least, func() { d, _ = policy.Decode("revision", text) })
	compile, _ := perCall(least, func() { keep, _ = policy.Compile(d, 1) })
	r.add("configuration/decode", x, millis(decode))
	r.add("configuration/compile", x, millis(compile))
	next, err := d.SetDraining(upstreamID(7), true)
	if err != nil {
		return err
	}
	changed, _ := policy.Compile(next, 2)
	impact, _ := perCall(least, func() { policy.Impact(keep, changed) })
	r.add("operators/impact", x, millis(impact))
	keep, d, next, changed = nil, nil, nil, nil
	empty := heldBytes()
	d, _ = policy.Decode("revision", text)
	keep, _ = policy.Compile(d, 1)
	r.add("configuration/memory", x, heldBytes()-empty+float64(len(text)))
	runtime.KeepAlive(d)
	site := routing.Site{Daemon: daemonID(0), Region: regionOf(0), Zone: zoneOf(0)}
	subset := int(s.SubsetSize())
	for i := range subset {
		site.Subset = append(site.Subset, upstreamID(i*s.Upstreams/subset))
	}
	now := time.Unix(1_700_000_000, 0)
	table := routing.NewTable(now, nil, keep, site)
	rebuild, _ := perCall(least, func() { table = routing.NewTable(now, table, keep, site) })
	r.add("configuration/table", x, millis(rebuild))
	limiter, _ := perCall(least, func() { admission.NewLimiter(nil, keep, s.Daemons) })
	r.add("configuration/limiter", x, millis(limiter))
	return nil
}
