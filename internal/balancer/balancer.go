package balancer

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/inventory"
)

// Part is one part of a prompt. Prompts that begin with the same parts share
// them.
type Part struct {
	ID     uint64
	Tokens int
}

// Query describes a request that needs an upstream.
type Query struct {
	Service string
	// Parts is the prompt in order; the last part is the request's own.
	Parts []Part
	// Route names the route; its requests are of one kind.
	Route string
	// MaxGap is the longest pause of the answer's stream that is on time. Zero
	// means that there is no limit.
	MaxGap time.Duration
	// OutputTokens is the expected length of the answer. Zero means unknown.
	OutputTokens int
	// Tried lists upstreams that must not be picked again.
	Tried []domain.UpstreamID
}

// Load is what an upstream reported about itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Balancer knows the upstreams and what this daemon sent to them. It is safe
// for concurrent use.
type Balancer struct {
	site      Site
	mu        sync.Mutex
	upstreams map[domain.UpstreamID]*upstream
	services  map[string]*service
	// learned holds the reports that peers have not been told.
	learned map[uint32]Report
}

// service is a group of equal upstreams.
type service struct {
	// upstreams are in the order that all daemons agree on.
	upstreams []*upstream
	// serving are the upstreams of which the pools are formed.
	serving []*upstream
	speed   prefillSpeed
	pools   pools
	load    typicalLoad
}

// Site is where a daemon runs.
type Site struct {
	Zone   domain.AvailabilityZone
	Region domain.Region
	// Regions maps each zone to its region.
	Regions map[domain.AvailabilityZone]domain.Region
}

// distance is the time that the way to a zone and back adds.
func (s Site) distance(zone domain.AvailabilityZone) time.Duration {
	switch {
	case zone == s.Zone:
		return 0
	case s.Regions[zone] == s.Region:
		return crossZoneCost
	default:
		return crossRegionCost
	}
}

// New returns a Balancer that knows no upstream.
func New(site Site) *Balancer {
	return &Balancer{
		site:      site,
		upstreams: make(map[domain.UpstreamID]*upstream),
		services:  make(map[string]*service),
		learned:   make(map[uint32]Report),
	}
}

// Update takes the list of upstreams. What is known of those that stay in the
// same incarnation is kept. memory returns the number of tokens that an engine
// of a service holds; zero means a plain service.
func (b *Balancer) Update(entries []inventory.Entry, memory func(service string) int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := make(map[domain.UpstreamID]*upstream, len(entries))
	for _, s := range b.services {
		s.upstreams = nil
	}
	for _, e := range entries {
		u := b.upstreams[e.ID]
		if u == nil || u.Incarnation != e.Incarnation || u.Address != e.Address {
			u = &upstream{hash: xxhash.Sum64String(string(e.ID))}
		}
		u.Entry = e
		u.distance = b.site.distance(e.Zone)
		u.cache.capacity = memory(e.Service)
		next[e.ID] = u
		s := b.services[e.Service]
		if s == nil {
			s = &service{}
			b.services[e.Service] = s
		}
		s.upstreams = append(s.upstreams, u)
	}
	for name, s := range b.services {
		if s.upstreams == nil {
			delete(b.services, name)
		}
		s.upstreams = order(s.upstreams)
		s.serving = slices.DeleteFunc(slices.Clone(s.upstreams), func(u *upstream) bool {
			return u.Standing != inventory.Serving
		})
	}
	b.upstreams = next
}

// Choice is a picked upstream together with what decided it.
type Choice struct {
	Upstream inventory.Entry
	// Candidates is the number of upstreams that could take the request.
	Candidates int
	// Cost is the estimated delay of the pick.
	Cost time.Duration
	// Uncached is the number of prompt tokens that the upstream is expected to
	// read.
	Uncached int
	// Interactive tells that the request belongs to the pool for streams with
	// short pauses, which has PoolSize upstreams.
	Interactive bool
	PoolSize    int
	// Rank is the pick's place in the prompt's rendezvous order, from 0.
	Rank int
	// InFlight is the number of requests that this daemon has there.
	InFlight int
	// ReportAge is the age of the upstream's load report; negative without one.
	ReportAge time.Duration

	lease *Lease
}

// Lease returns the handle of the picked place. Done must be called once.
func (c *Choice) Lease() *Lease { return c.lease }

// Pick returns the upstream with the least cost, or false if none can take the
// request.
func (b *Balancer) Pick(now time.Time, q Query) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[q.Service]
	if s == nil {
		return Choice{}, false
	}
	candidates := eligible(s.upstreams, now, q.Tried)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	prompt := newPrompt(q.Parts)
	best, picked := s.pick(now, q, prompt, candidates, s.pools.classify(q.Route))
	best.Upstream = picked.Entry
	best.Candidates = len(candidates)
	best.InFlight = picked.inFlight
	best.ReportAge = picked.reportAge(now)
	best.lease = b.start(now, picked, &s.speed, prompt, best.Uncached)
	return best, true
}

// Arrive counts a new request in the demand. It is called once for a request,
// before the first Pick.
func (b *Balancer) Arrive(now time.Time, q Query) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[q.Service]
	if s == nil || len(q.Parts) == 0 {
		return
	}
	prompt := newPrompt(q.Parts)
	work := float64(prompt.own)/s.speed.tokensPerMS() + float64(q.OutputTokens)*tokenWork
	s.pools.observe(now, q.Route, q.MaxGap, prompt.total, work)
}

// pick returns the candidate with the least cost.
func (s *service) pick(now time.Time, q Query, prompt prompt, candidates []*upstream, interactive bool) (Choice, *upstream) {
	best := Choice{Interactive: interactive}
	if len(prompt.hashes) > 0 {
		best.PoolSize = s.pools.size(now, len(s.serving))
	}
	// The candidates of the request's own pool are ranked first, so that a
	// prompt's home is in its pool.
	pool, rest := split(candidates, s.serving, best.PoolSize)
	if !best.Interactive {
		pool, rest = rest, pool
	}
	picked := s.pickFrom(now, q, prompt, pool, 0, &best, nil)
	picked = s.pickFrom(now, q, prompt, rest, poolPenalty, &best, picked)
	return best, picked
}

// split divides candidates into those among the first size of all and the
// rest. The pool counts upstreams that can't take the request too, so that all
// daemons split alike whatever they have tried or avoid.
func split(candidates, all []*upstream, size int) (first, rest []*upstream) {
	pool := all[:size]
	for _, u := range candidates {
		if slices.Contains(pool, u) {
			first = append(first, u)
		} else {
			rest = append(rest, u)
		}
	}
	return first, rest
}

// pickFrom updates the best choice with the upstreams of one pool.
func (s *service) pickFrom(now time.Time, q Query, prompt prompt, pool []*upstream, penalty time.Duration, best *Choice, picked *upstream) *upstream {
	home, ranked := rendezvous(pool, prompt.affinity)
	for i, u := range pool {
		uncached := u.cache.missing(prompt)
		if prompt.affinity != 0 && u == home && penalty == 0 {
			uncached = min(uncached, prompt.own)
		}
		cost := u.cost(now, s, prompt, uncached) + penalty
		cost += u.distance
		if picked == nil || cost < best.Cost {
			best.Cost, best.Uncached, best.Rank = cost, uncached, ranked[i]
			picked = u
		}
	}
	return picked
}

// eligible returns the upstreams that may take a request. Unlisted and failing
// ones are left out while there are others.
func eligible(all []*upstream, now time.Time, tried []domain.UpstreamID) []*upstream {
	var serving, failing, unlisted []*upstream
	for _, u := range all {
		switch {
		case u.Standing == inventory.Leaving || contains(tried, u.ID):
		case u.Standing == inventory.Unlisted:
			unlisted = append(unlisted, u)
		case u.health.avoided(now):
			failing = append(failing, u)
		default:
			serving = append(serving, u)
		}
	}
	if len(serving) > 0 {
		return serving
	}
	if len(failing) > 0 {
		return failing
	}
	return unlisted
}

func contains(list []domain.UpstreamID, id domain.UpstreamID) bool {
	for _, one := range list {
		if one == id {
			return true
		}
	}
	return false
}

// rendezvous returns the first upstream in the order that all daemons agree on
// for an affinity key, and the place of each candidate in that order.
func rendezvous(candidates []*upstream, key uint64) (*upstream, []int) {
	ranks := make([]int, len(candidates))
	if key == 0 {
		return nil, ranks
	}
	weights := make([]uint64, len(candidates))
	for i, u := range candidates {
		weights[i] = mix(u.hash ^ key)
	}
	var home *upstream
	for i := range candidates {
		for j := range candidates {
			if weights[j] > weights[i] {
				ranks[i]++
			}
		}
		if ranks[i] == 0 {
			home = candidates[i]
		}
	}
	return home, ranks
}

// mix is the finalizer of SplitMix64. It spreads the sum of two hashes.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
