package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/splitmix"
)

const (
	// interactiveGapShare is the share of a service's longest allowed pause up to
	// which a route counts as interactive.
	interactiveGapShare = 0.5
	// interactivePromptShare is the share of a service's mean prompt up to which a
	// route counts as interactive.
	interactivePromptShare = 0.5
	// promptWeight is the weight of one request in the mean prompt of a route.
	promptWeight = 0.05
	// workTimeConstant is the time constant over which work is averaged.
	workTimeConstant = 3 * time.Second
	// decodeWorkPerToken is the engine time of one generated token, in milliseconds:
	// the length of a step, divided by the requests that share it.
	decodeWorkPerToken = 0.8
	// poolPenalty is the cost of leaving the pool. It equals the wait that
	// makes an upstream of the other pool the better choice.
	poolPenalty = 400 * time.Millisecond
	// minSplitSize is the smallest number of upstreams that is split.
	minSplitSize = 4
	// maxRoutes bounds the routes of which something is known. Revisions of the
	// configuration bring new names; what is learned again takes a few requests.
	maxRoutes = 1000
	// assumedShare is the share of interactive work that is assumed before the
	// work of all daemons is known. Chats bring a quarter to a third of the work
	// where they run beside long prompts.
	assumedShare = 0.25
	// assumedWork is how much each upstream counts for the assumption, in
	// milliseconds of work per second: a tenth of its time, so that work that is
	// known outweighs it within a second of an ordinary load.
	assumedWork = 100.0
	// assumedPeriod is for how long after the first request a pool is formed on
	// the assumption alone.
	assumedPeriod = 5 * time.Second
)

// pools splits the engines of a service into one pool for interactive streams
// and one for all other requests. An engine reads long prompts between the
// tokens of the streams that it runs, so that a stream with short allowed
// pauses is late wherever long prompts are read.
//
// Every daemon orders the engines alike and gives interactive streams as many
// from the start of the order as their share of the work, so that the daemons
// agree without a message. After a common start no daemon has seen more than a
// few requests, and shares of those would differ from none to half of the engines;
// the assumed share keeps the daemons together until they know. The split is a
// preference: an engine of the other pool is used when it is better by poolPenalty.
type pools struct {
	routes map[string]*routeStats
	// prompt is the mean prompt of all requests, in tokens.
	prompt average
	// interactive and other are decaying sums of work, in milliseconds.
	interactive float64
	other       float64
	updated     time.Time
	// mixedGaps tells that the configuration has routes with both short and long
	// allowed pauses.
	mixedGaps bool
	// shortestGap is the shortest pause that the configuration's routes allow.
	shortestGap time.Duration
	// total is the work of all daemons, told at totalAt.
	total   Work
	totalAt time.Time
}

// routeStats describes the requests of one route.
type routeStats struct {
	prompt average // in tokens
	gap    time.Duration
}

// average is the mean of the first values and then one in which older values
// fade.
type average struct {
	value float64
	count int
}

func (a *average) observe(x, weight float64) {
	a.count++
	a.value += (x - a.value) * max(weight, 1/float64(a.count))
}

// observe counts a request's work.
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

// isInteractive compares a route with the others that were seen. The first route
// has none to be compared with, so that its pauses alone decide.
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

// localWork returns the work of this daemon.
func (p *pools) localWork(now time.Time) Work {
	p.decay(now)
	life := workTimeConstant.Seconds()
	return Work{Interactive: p.interactive / life, Other: p.other / life}
}

// work returns the work of all daemons, or of this one while the others are
// not known.
func (p *pools) work(now time.Time) Work {
	if !p.totalAt.IsZero() && now.Sub(p.totalAt) < totalMaxAge {
		return p.total
	}
	return p.localWork(now)
}

// size returns how many of n upstreams belong to interactive streams. since is
// when the service got its first request.
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

// poolOrder sorts upstreams into the poolOrder from which the pool is taken. All
// daemons have the same.
func poolOrder(all []*upstream) []*upstream {
	out := slices.Clone(all)
	slices.SortFunc(out, func(a, b *upstream) int { return cmp.Compare(splitmix.Finalize(a.hash), splitmix.Finalize(b.hash)) })
	return out
}
