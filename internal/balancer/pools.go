package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/splitmix"
)

const (
	// interactiveGap is the share of a service's longest allowed pause up to
	// which a route counts as interactive.
	interactiveGap = 0.5
	// interactivePrompt is the share of a service's mean prompt up to which a
	// route counts as interactive.
	interactivePrompt = 0.5
	// promptWeight is the weight of one request in the mean prompt of a route.
	promptWeight = 0.05
	// workLife is the time constant over which work is averaged.
	workLife = 3 * time.Second
	// tokenWork is the engine time of one generated token, in milliseconds:
	// the length of a step, divided by the requests that share it.
	tokenWork = 0.8
	// poolPenalty is the cost of leaving the pool. It equals the wait that
	// makes an upstream of the other pool the better choice.
	poolPenalty = 400 * time.Millisecond
	// minPoolSize is the smallest number of upstreams that is split.
	minPoolSize = 4
)

// pools splits the engines of a service into one pool for interactive streams
// and one for all other requests. An engine reads long prompts between the
// tokens of the streams that it runs, so that a stream with short allowed
// pauses is late wherever long prompts are read.
//
// Every daemon orders the engines alike and gives interactive streams as many
// from the start of the order as their share of the work, so that the daemons
// agree without a message. The split is a preference: an engine of the other
// pool is used when it is better by poolPenalty.
type pools struct {
	routes map[string]*routeStats
	// prompt is the mean prompt of all requests, in tokens.
	prompt float64
	// interactive and other are decaying sums of work, in milliseconds.
	interactive float64
	other       float64
	updated     time.Time
	// total is the work of all daemons, told at totalAt.
	total   Work
	totalAt time.Time
}

// routeStats describes the requests of one route.
type routeStats struct {
	prompt float64 // mean prompt in tokens
	gap    time.Duration
}

// observe counts a request's work.
func (p *pools) observe(now time.Time, route string, gap time.Duration, tokens int, work float64) {
	if p.routes == nil {
		p.routes = make(map[string]*routeStats)
	}
	r := p.routes[route]
	if r == nil {
		r = &routeStats{prompt: float64(tokens)}
		p.routes[route] = r
	}
	r.gap = gap
	r.prompt += (float64(tokens) - r.prompt) * promptWeight
	p.prompt += (float64(tokens) - p.prompt) * promptWeight
	p.decay(now)
	if p.isInteractive(r) {
		p.interactive += work
	} else {
		p.other += work
	}
}

func (p *pools) decay(now time.Time) {
	if !p.updated.IsZero() {
		factor := math.Exp(-float64(now.Sub(p.updated)) / float64(workLife))
		p.interactive *= factor
		p.other *= factor
	}
	p.updated = now
}

// classify reports whether the requests of a route are interactive.
func (p *pools) classify(route string) bool {
	r := p.routes[route]
	return r != nil && p.isInteractive(r)
}

func (p *pools) isInteractive(r *routeStats) bool {
	var longest time.Duration
	for _, other := range p.routes {
		longest = max(longest, other.gap)
	}
	return r.gap > 0 && float64(r.gap) <= interactiveGap*float64(longest) && r.prompt <= interactivePrompt*p.prompt
}

// rate returns the work of this daemon.
func (p *pools) rate(now time.Time) Work {
	p.decay(now)
	life := workLife.Seconds()
	return Work{Interactive: p.interactive / life, Other: p.other / life}
}

// work returns the work of all daemons, or of this one while the others are
// not known.
func (p *pools) work(now time.Time) Work {
	if !p.totalAt.IsZero() && now.Sub(p.totalAt) < totalLife {
		return p.total
	}
	return p.rate(now)
}

// size returns how many of n upstreams belong to interactive streams.
func (p *pools) size(now time.Time, n int) int {
	w := p.work(now)
	if n < minPoolSize || w.Interactive == 0 || w.Other == 0 {
		return 0
	}
	share := w.Interactive / (w.Interactive + w.Other)
	return min(max(int(math.Round(share*float64(n))), 1), n-1)
}

// order sorts upstreams into the order from which the pool is taken. All
// daemons have the same.
func order(all []*upstream) []*upstream {
	out := slices.Clone(all)
	slices.SortFunc(out, func(a, b *upstream) int { return cmp.Compare(splitmix.Finalize(a.hash), splitmix.Finalize(b.hash)) })
	return out
}
