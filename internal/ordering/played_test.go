package ordering

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/httproute"
)

const (
	playedStep  = tickInterval
	playedDay   = 42 * time.Second
	playedSlots = 16
	// playedDrain is how long an upstream that is given up still runs, and playedCrash how
	// long a crashed one is away.
	playedDrain = 3 * time.Second
	playedCrash = 5 * time.Second
	// reportDelay, workDelay and listDelay are how late the daemon learns of the load of
	// upstreams, of the work of all daemons, and of upstreams that come and go.
	reportDelay = time.Second
	workDelay   = 2 * time.Second
	listDelay   = 500 * time.Millisecond
	// workMean is the time constant of the moving average of the work.
	workMean = 3 * time.Second
	// reportedShare is the share of the upstreams with a recent report.
	reportedShare = 0.75
	allUpstreams  = 140
	// playedBurst is the factor of a burst.
	playedBurst = 2.7
)

func playedScaling() httproute.Scaling {
	return httproute.Scaling{
		Min: 1, Max: 48, StartTime: 4 * time.Second,
		ZonePrices: map[domain.AvailabilityZone]float64{"a": 0.8, "b": 0.9, "c": 1, "d": 1.05, "e": 1.15, "f": 1.25},
	}
}

// playedUpstream is one upstream of the played platform.
type playedUpstream struct {
	zone       domain.AvailabilityZone
	servesFrom time.Duration
	// drainsAt is when it was given up. Zero means never.
	drainsAt time.Duration
}

// played is a platform with one service. Time is counted from the start of the test.
type played struct {
	scaling   httproute.Scaling
	at        time.Duration
	upstreams []*playedUpstream
	desired   map[domain.AvailabilityZone]int
	// demand is the number of slots that callers need.
	demand func(at time.Duration) float64
	// lostZone is away from lostFrom to lostTo.
	lostZone         domain.AvailabilityZone
	lostFrom, lostTo time.Duration
	// crashEvery is the time between two crashes. Zero means that none crash.
	crashEvery time.Duration
	// reports and listed say whether reports and the list of upstreams reach the daemon.
	reports, listed func(at time.Duration) bool
	// answer is the outcome of an order, and when it takes effect: never if negative. Nil
	// means that each is accepted.
	answer func(at time.Duration, o *Order) (Outcome, time.Duration)
	// late are orders that take effect later.
	late []lateOrder
	// held says which of the daemons holds the duties, negative for none. Nil means that
	// no orders are sent at all.
	held    func(at time.Duration) int
	daemons []*Orderer
	// startsAt is when the second daemon starts.
	startsAt time.Duration
	rng      *rand.Rand

	occupied []float64 // demand of each step
	capacity []float64
	work     float64
	works    []float64

	short, billed, price float64
	orders, lowest       int
	log                  []Order
}

type lateOrder struct {
	at    time.Duration
	order Order
}

func newPlayed(demand func(time.Duration) float64) *played {
	p := &played{
		scaling: playedScaling(), desired: make(map[domain.AvailabilityZone]int), demand: demand, rng: rand.New(rand.NewPCG(5, 9)),
		held: func(time.Duration) int { return 0 }, daemons: []*Orderer{NewOrderer(4, true), NewOrderer(4, true)}, lowest: allUpstreams,
		reports: func(time.Duration) bool { return true }, listed: func(time.Duration) bool { return true },
	}
	zones := []domain.AvailabilityZone{"a", "b", "c", "d", "e", "f"}
	for i := range allUpstreams {
		zone := zones[i%len(zones)]
		p.upstreams = append(p.upstreams, &playedUpstream{zone: zone, servesFrom: -time.Minute})
		p.desired[zone]++
	}
	return p
}

func (p *played) lost(u *playedUpstream, at time.Duration) bool {
	return u.zone == p.lostZone && at >= p.lostFrom && at < p.lostTo
}

func (p *played) serves(u *playedUpstream, at time.Duration) bool {
	return at >= u.servesFrom && u.drainsAt == 0 && !p.lost(u, at)
}

// reconcile starts and gives up upstreams.
func (p *played) reconcile() {
	exists := make(map[domain.AvailabilityZone]int)
	kept := p.upstreams[:0]
	for _, u := range p.upstreams {
		if u.drainsAt != 0 && p.at-u.drainsAt >= playedDrain {
			continue
		}
		kept = append(kept, u)
		if u.drainsAt == 0 {
			exists[u.zone]++
		}
	}
	p.upstreams = kept
	for zone, n := range p.desired {
		for ; exists[zone] < n; exists[zone]++ {
			p.upstreams = append(p.upstreams, &playedUpstream{zone: zone, servesFrom: p.at + p.scaling.StartTime})
		}
		for _, u := range p.upstreams {
			if u.zone == zone && u.drainsAt == 0 && exists[zone] > n {
				u.drainsAt = p.at
				exists[zone]--
			}
		}
	}
}

func (p *played) deliver() {
	for i := 0; i < len(p.late); i++ {
		if p.late[i].at <= p.at {
			p.desired[p.late[i].order.Zone] = p.late[i].order.Desired
			p.late = append(p.late[:i], p.late[i+1:]...)
			i--
		}
	}
}

// delayed returns a value of an earlier step.
func delayed(values []float64, delay time.Duration) float64 {
	return values[max(len(values)-1-int(delay/playedStep), 0)]
}

// input is what a daemon knows.
func (p *played) input() Input {
	in := Input{Service: "model", Scaling: p.scaling, Outdated: !p.listed(p.at), Work: &Work{
		Milliseconds: delayed(p.works, workDelay) / playedSlots * workPerUpstream, Reporting: 81, Listed: 81,
	}}
	load := delayed(p.occupied, reportDelay) / math.Max(delayed(p.capacity, reportDelay), 1)
	for _, u := range p.upstreams {
		if u.drainsAt != 0 || !p.serves(u, max(p.at-listDelay, 0)) {
			continue
		}
		known := Upstream{Zone: u.zone, Slots: playedSlots, ReportAge: reportDelay, Reported: p.rng.Float64() < reportedShare}
		if !p.reports(p.at) {
			known.ReportAge = time.Minute
		}
		all := load * playedSlots * (0.8 + 0.4*p.rng.Float64())
		known.Running = min(int(math.Round(all)), playedSlots)
		known.Waiting = max(int(math.Round(all))-playedSlots, 0)
		in.Upstreams = append(in.Upstreams, known)
	}
	return in
}

// step plays one step.
func (p *played) step() {
	p.deliver()
	p.reconcile()
	if p.crashEvery > 0 && p.at%p.crashEvery < playedStep {
		p.upstreams[p.rng.IntN(len(p.upstreams))].servesFrom = p.at + playedCrash
	}
	serving := 0
	for _, u := range p.upstreams {
		if p.serves(u, p.at) {
			serving++
		}
		p.billed += playedStep.Seconds()
		p.price += playedStep.Seconds() * p.scaling.ZonePrices[u.zone]
	}
	p.lowest = min(p.lowest, serving)
	demand, capacity := p.demand(p.at), float64(serving*playedSlots)
	if demand > capacity {
		p.short += playedStep.Seconds()
	}
	p.occupied, p.capacity = append(p.occupied, demand), append(p.capacity, capacity)
	p.work += (demand - p.work) * playedStep.Seconds() / workMean.Seconds()
	p.works = append(p.works, p.work)
	p.order()
	p.at += playedStep
}

// order lets the holder send one order.
func (p *played) order() {
	if p.held == nil {
		return
	}
	now := time.Unix(0, 0).Add(p.at)
	in := p.input()
	for i, d := range p.daemons {
		if i == 1 && p.at < p.startsAt {
			continue
		}
		held := p.held(p.at) == i
		d.Observe(now, held, []Input{in})
		if !held {
			continue
		}
		o := d.Next(now)
		if o == nil {
			continue
		}
		p.orders++
		p.log = append(p.log, *o)
		outcome, effect := Accepted, time.Duration(0)
		if p.answer != nil {
			outcome, effect = p.answer(p.at, o)
		}
		if effect >= 0 {
			p.late = append(p.late, lateOrder{p.at + effect, *o})
		}
		d.Done(now, o, outcome)
	}
}

// play plays the same load with orders and with all upstreams kept. It checks that the
// orders never create a shortage that the others would not have.
func play(t *testing.T, length time.Duration, setup func() *played) *played {
	t.Helper()
	p, kept := setup(), setup()
	kept.held = nil
	for p.at < length {
		p.step()
		kept.step()
	}
	t.Logf("seconds of upstreams: %.0f, with all kept %.0f (%.0f %%); price %.0f, with all kept %.0f; short %.2f s, with all kept %.2f s; %d orders; fewest serving %d",
		p.billed, kept.billed, 100*p.billed/kept.billed, p.price, kept.price, p.short, kept.short, p.orders, p.lowest)
	assert.Assert(t, p.short <= kept.short, "short for %.2f s, with all kept %.2f s", p.short, kept.short)
	return p
}

// swing is a daily demand between two shares of the slots of all upstreams.
func swing(low, high float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		phase := 2 * math.Pi * at.Seconds() / playedDay.Seconds()
		return allUpstreams * playedSlots * (low + (high-low)*(1-math.Cos(phase))/2)
	}
}

// with multiplies a demand for some time.
func with(demand func(time.Duration) float64, factor float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return factor * demand(at)
		}
		return demand(at)
	}
}

// constant is a demand that stays at a share of the slots of all upstreams.
func constant(share float64) func(time.Duration) float64 { return swing(share, share) }

// Guards against upstreams that are given up at night and missing in the morning.
func TestDailySwing(t *testing.T) {
	play(t, 6*playedDay, func() *played { return newPlayed(swing(0.08, 0.6)) })
	p := play(t, 6*playedDay, func() *played { return newPlayed(swing(0.05, 0.3)) })
	assert.Assert(t, p.lowest < allUpstreams, "nothing was given up")
}

// Guards against upstreams that are never given up on a day that is long compared with
// the start of an upstream.
func TestLongDay(t *testing.T) {
	p := play(t, 20*time.Minute, func() *played {
		return newPlayed(func(at time.Duration) float64 { return swing(0.05, 0.35)(at / 14) })
	})
	assert.Assert(t, p.lowest < allUpstreams/2, "too few were given up")
}

// Guards against upstreams that are given up and ordered again while only the reports of a
// constant demand vary.
func TestConstantDemandSettles(t *testing.T) {
	p := play(t, 10*time.Minute, func() *played { return newPlayed(constant(0.15)) })
	assert.Assert(t, p.lowest < allUpstreams, "nothing was given up")
	for _, o := range p.log {
		assert.Equal(t, o.Reason, reasonSurplus)
	}
}

// Guards against a shortage while engines crash and return all the time, and against
// orders in place of each of them.
func TestSwingWithCrashes(t *testing.T) {
	p := play(t, 6*playedDay, func() *played {
		p := newPlayed(swing(0.05, 0.3))
		p.crashEvery = 2 * time.Second
		return p
	})
	assert.Assert(t, p.lowest < allUpstreams, "nothing was given up")
}

// Guards against a shortage in a burst of 2.7 times the demand, at any time of the day.
func TestBurstAtAnyTime(t *testing.T) {
	for second := 0; second < 42; second += 3 {
		from := 2*playedDay + time.Duration(second)*time.Second
		play(t, 4*playedDay, func() *played {
			return newPlayed(with(swing(0.08, 0.35), playedBurst, from, from+6*time.Second))
		})
	}
}

// Guards against a shortage when the demand doubles within a second and stays.
func TestDemandDoubles(t *testing.T) {
	play(t, 4*playedDay, func() *played { return newPlayed(with(constant(0.2), 2, 80*time.Second, time.Hour)) })
}

// Guards against a number of upstreams that holds only while all zones do, and against
// an order that ends the upstreams of a zone that comes back.
func TestZoneLostAtOnce(t *testing.T) {
	for _, zone := range []domain.AvailabilityZone{"a", "f"} {
		for _, away := range []time.Duration{8 * time.Second, 50 * time.Second} {
			play(t, 5*playedDay, func() *played {
				p := newPlayed(with(swing(0.08, 0.3), playedBurst, 92*time.Second, 97*time.Second))
				p.lostZone, p.lostFrom, p.lostTo = zone, 90*time.Second, 90*time.Second+away
				return p
			})
		}
	}
}

// Guards against a lost order that is never repeated, in either direction.
func TestOrderIsLost(t *testing.T) {
	p := play(t, 5*playedDay, func() *played {
		p := newPlayed(with(swing(0.08, 0.35), playedBurst, 95*time.Second, 101*time.Second))
		p.answer = func(time.Duration, *Order) (Outcome, time.Duration) {
			switch p.orders % 3 {
			case 0:
				return Unanswered, -1
			case 1:
				return NotDone, -1
			default:
				return Accepted, 0
			}
		}
		return p
	})
	assert.Assert(t, p.lowest < allUpstreams, "nothing was given up")
}

// Guards against an order to give up upstreams that arrives after a later order, and
// against a response without effect.
func TestOrderArrivesLate(t *testing.T) {
	play(t, 5*playedDay, func() *played {
		p := newPlayed(with(swing(0.08, 0.35), playedBurst, 95*time.Second, 101*time.Second))
		p.answer = func(time.Duration, *Order) (Outcome, time.Duration) {
			if p.orders%2 == 0 {
				return Unanswered, 3 * time.Second
			}
			return Accepted, 0
		}
		return p
	})
}

// Guards against upstreams that are ordered again and again where there are none, in
// place of in other zones.
func TestOrderIsRefused(t *testing.T) {
	p := play(t, 5*playedDay, func() *played {
		p := newPlayed(with(swing(0.08, 0.35), 2, 95*time.Second, 140*time.Second))
		p.answer = func(_ time.Duration, o *Order) (Outcome, time.Duration) {
			if o.Desired > o.Before && (o.Zone == "a" || o.Zone == "b") {
				return Refused, -1
			}
			return Accepted, 0
		}
		return p
	})
	other := 0
	for _, o := range p.log {
		if o.Desired > o.Before && o.Zone != "a" && o.Zone != "b" {
			other++
		}
	}
	assert.Assert(t, other > 0, "no other zone was asked")
}

// Guards against a new holder that undoes the orders of the one before it, whose last
// one takes effect after the change.
func TestHolderChanges(t *testing.T) {
	p := play(t, 6*playedDay, func() *played {
		p := newPlayed(with(swing(0.08, 0.35), playedBurst, 97*time.Second, 103*time.Second))
		// Each holder acts for 20 s, then nobody for 6 s.
		p.held = func(at time.Duration) int {
			if at%(26*time.Second) >= 20*time.Second {
				return -1
			}
			return int(at/(26*time.Second)) % 2
		}
		p.answer = func(at time.Duration, _ *Order) (Outcome, time.Duration) {
			if at%(26*time.Second) >= 19*time.Second {
				return Unanswered, 4 * time.Second
			}
			return Accepted, 0
		}
		return p
	})
	assert.Assert(t, p.lowest < allUpstreams, "nothing was given up")
}

// Guards against a new holder that started at night and takes the upstreams of the night
// for all that the service has.
func TestHolderStartedAtNight(t *testing.T) {
	const days = 14 // one long day in days of playedDay
	for second := 0; second < 200; second += 40 {
		from := days*playedDay + 130*time.Second + time.Duration(second)*time.Second
		play(t, 2*days*playedDay, func() *played {
			p := newPlayed(with(func(at time.Duration) float64 { return swing(0.05, 0.3)(at / days) }, playedBurst, from, from+6*time.Second))
			// The fewest upstreams serve a little after the end of a day.
			p.startsAt = days*playedDay + 10*time.Second
			p.daemons[1] = NewOrderer(4, false)
			p.held = func(at time.Duration) int {
				switch {
				case at < p.startsAt:
					return 0
				case at < p.startsAt+7*time.Second:
					return -1
				default:
					return 1
				}
			}
			return p
		})
	}
}

// Guards against an unknown load that is taken for none.
func TestReportsStop(t *testing.T) {
	away := func(at time.Duration) bool { return at < 60*time.Second || at >= 120*time.Second }
	for name, stop := range map[string]func(*played){
		"reports": func(p *played) { p.reports = away },
		"list":    func(p *played) { p.listed = away },
	} {
		t.Run(name, func(t *testing.T) {
			p := play(t, 5*playedDay, func() *played {
				p := newPlayed(swing(0.08, 0.35))
				stop(p)
				p.answer = func(at time.Duration, o *Order) (Outcome, time.Duration) {
					assert.Assert(t, away(at) || o.Desired >= o.Before, "upstreams were given up: %+v", o)
					return Accepted, 0
				}
				return p
			})
			assert.Assert(t, p.lowest < allUpstreams, "nothing was given up")
		})
	}
}
