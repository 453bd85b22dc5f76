package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/splitmix"
)

const (
	// interactiveGapShare is the share of a service's largest MaxGap up to which the
	// MaxGap of a route counts as interactive.
	interactiveGapShare = 0.5
	// interactivePromptShare is the share of a service's mean prompt length up to
	// which the mean prompt of a route counts as interactive.
	interactivePromptShare = 0.5
	// promptWeight is the weight of one request in a mean prompt length.
	promptWeight = 0.05
	// workTimeConstant is the time constant of the moving averages of work.
	workTimeConstant = 3 * time.Second
	// decodeWorkPerToken is the engine time of one generated token, in milliseconds:
	// the length of a step, divided by the requests that share it.
	decodeWorkPerToken = 0.8
	// poolPenalty is the cost of an upstream outside the pool of the request: the
	// extra wait from which an upstream of the other pool is preferable.
	poolPenalty = 400 * time.Millisecond
	// minSplitSize is the smallest number of upstreams that are split into pools.
	minSplitSize = 4
	// maxRoutes bounds the number of routes with statistics. Revisions of the
	// configuration bring new route names; lost statistics are rebuilt within a few
	// requests.
	maxRoutes = 1000
	// assumedShare is the share of interactive work that is assumed before the work
	// of all daemons is known. Interactive streams are a quarter to a third of the work
	// where they run beside long prompts.
	assumedShare = 0.25
	// assumedWork is the weight of the assumed share for each upstream, in
	// milliseconds of work per second: a tenth of its time, so that measured work
	// outweighs it within a second of ordinary load.
	assumedWork = 100.0
	// assumedPeriod is how long after the first request a pool may be formed on the
	// assumed share alone.
	assumedPeriod = 5 * time.Second
)

// pools splits the engines of a service into the interactive pool, for streams with
// short allowed gaps, and a pool for all other requests. An engine prefills long
// prompts between the tokens of the streams that it runs, so such a stream is late
// on any engine that prefills long prompts.
//
// Every daemon sorts the engines in the same order and forms the interactive pool
// from the first of them, as many as the interactive share of the work, so that the
// daemons agree without coordination. After a simultaneous start no daemon has seen
// more than a few requests, and the shares of those would range from none to half of
// the engines; the assumed share keeps the daemons in agreement until the total work
// is known. The split is a preference: an engine of the other pool is used when its
// cost is lower by more than poolPenalty.
type pools struct {
	routes map[string]*routeStats
	// prompt is the mean prompt length of all requests, in tokens.
	prompt average
	// interactive and other are decaying sums of work, in milliseconds.
	interactive float64
	other       float64
	updated     time.Time
	// mixedGaps reports whether the configuration has routes with both small and
	// large values of MaxGap.
	mixedGaps bool
	// shortestGap is the smallest MaxGap of the configuration's routes.
	shortestGap time.Duration
	// total is the work of all daemons as of totalAt.
	total   Work
	totalAt time.Time
}

// routeStats describes the requests of one route.
type routeStats struct {
	prompt average       // length in tokens
	gap    time.Duration // MaxGap of the last request
}

// average is an exponential moving average that starts as the plain mean of the
// first values.
type average struct {
	value float64
	count int
}

func (a *average) observe(x, weight float64) {
	a.count++
	a.value += (x - a.value) * max(weight, 1/float64(a.count))
}

// observe adds the work of a request.
func (p *pools) observe(now time.Time, route string, gap time.Duration, tokens int, work float64) {
	if p.routes == nil {
		p.routes = make(map[string]*routeStats)
	}
	r := p.routes[route]
	if r == nil {
		if len(p.routes) >= maxRoutes {
			clear(p.routes)
		}
		r = &routeStats{}
		p.routes[route] = r
	}
	r.gap = gap
	r.prompt.observe(float64(tokens), promptWeight)
	p.prompt.observe(float64(tokens), promptWeight)
	p.decay(now)
	if p.isInteractive(r) {
		p.interactive += work
	} else {
		p.other += work
	}
}

func (p *pools) decay(now time.Time) {
	if !p.updated.IsZero() {
		factor := math.Exp(-float64(now.Sub(p.updated)) / float64(workTimeConstant))
		p.interactive *= factor
		p.other *= factor
	}
	p.updated = now
}

// isInteractiveRoute reports whether the requests of a route are interactive.
func (p *pools) isInteractiveRoute(route string) bool {
	r := p.routes[route]
	return r != nil && p.isInteractive(r)
}

// isInteractive reports whether a route has a short MaxGap and short prompts compared
// with the other routes seen. The first route has none to be compared with, so its
// MaxGap alone decides.
func (p *pools) isInteractive(r *routeStats) bool {
	if len(p.routes) == 1 {
		return p.mixedGaps && r.gap <= p.shortestGap
	}
	var longest time.Duration
	for _, other := range p.routes {
		longest = max(longest, other.gap)
	}
	return r.gap > 0 && float64(r.gap) <= interactiveGapShare*float64(longest) && r.prompt.value <= interactivePromptShare*p.prompt.value
}

// localWork returns the work that arrives at this daemon.
func (p *pools) localWork(now time.Time) Work {
	p.decay(now)
	seconds := workTimeConstant.Seconds()
	return Work{Interactive: p.interactive / seconds, Other: p.other / seconds}
}

// work returns the work of all daemons, or of this one alone while no recent total is
// known.
func (p *pools) work(now time.Time) Work {
	if !p.totalAt.IsZero() && now.Sub(p.totalAt) < totalMaxAge {
		return p.total
	}
	return p.localWork(now)
}

// size returns how many of n upstreams form the interactive pool. since is when the
// service got its first request.
func (p *pools) size(now, since time.Time, n int) int {
	w := p.work(now)
	if n < minSplitSize {
		return 0
	}
	assumed := 0.0
	if p.mixedGaps {
		assumed = assumedWork * float64(n)
	}
	if (w.Interactive == 0 || w.Other == 0) && (assumed == 0 || now.Sub(since) >= assumedPeriod) {
		return 0
	}
	share := (w.Interactive + assumedShare*assumed) / (w.Interactive + w.Other + assumed)
	return min(max(int(math.Round(share*float64(n))), 1), n-1)
}

// poolOrder returns the upstreams in the order from which the pools are formed. It
// is the same in all daemons.
func poolOrder(all []*upstream) []*upstream {
	out := slices.Clone(all)
	slices.SortFunc(out, func(a, b *upstream) int { return cmp.Compare(splitmix.Finalize(a.hash), splitmix.Finalize(b.hash)) })
	return out
}
