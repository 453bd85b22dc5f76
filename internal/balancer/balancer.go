package balancer

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/inventory"
	"github.com/auburndyke/auburndyke/internal/splitmix"
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
	// Prompt is empty for a request to a plain service.
	Prompt Prompt
	// Route names the route; its requests are of one kind.
	Route string
	// Rank orders the requests; 0 is the most urgent.
	Rank int
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
	// newReports holds the reports that peers have not been told.
	newReports map[uint32]LoadReport
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
	// predictor knows the pace of streams.
	predictor predictor
	// eventTokens is Engine.EventTokens.
	eventTokens int
	// hasEngines tells that the service consists of model hasEngines.
	hasEngines bool
	// tokenFetchTime is Engine.TokenCopy.
	tokenFetchTime time.Duration
	// poolSize is the size of the interactive pool at the last pick.
	poolSize int
	// firstPick is when the service got its first request.
	firstPick time.Time
}

// Engine describes the engines of a service. The zero value means a plain
// service.
type Engine struct {
	// KVTokens is the number of tokens that an engine's memory holds.
	KVTokens int
	// TokenFetchTime is the time in which an engine copies the memory of one token
	// from another engine. Zero means that engines do not copy.
	TokenFetchTime time.Duration
	// EventTokens is the number of tokens in one event of a stream. Zero counts
	// as one.
	EventTokens int
	// ShortestGap and LongestGap are the shortest and the longest pause that the
	// routes to the service allow in their streams. Zero means that none is known.
	ShortestGap, LongestGap time.Duration
}

// Site is where a daemon runs.
type Site struct {
	Zone   domain.AvailabilityZone
	Region domain.Region
	// Regions maps each zone to its region.
	Regions map[domain.AvailabilityZone]domain.Region
}

// rtt is the time that the way to a zone and back adds.
func (s Site) rtt(zone domain.AvailabilityZone) time.Duration {
	switch {
	case zone == s.Zone:
		return 0
	case s.Regions[zone] == s.Region:
		return crossZoneRTT
	default:
		return crossRegionRTT
	}
}

// New returns a Balancer that knows no upstream.
func New(site Site) *Balancer {
	return &Balancer{
		site:       site,
		upstreams:  make(map[domain.UpstreamID]*upstream),
		services:   make(map[string]*service),
		newReports: make(map[uint32]LoadReport),
	}
}

// Update takes the list of upstreams. What is known of those that stay in the
// same incarnation is kept. engine describes the engines of a service.
func (b *Balancer) Update(now time.Time, entries []inventory.Entry, engine func(service string) Engine) {
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
			// Before the first request no engine holds anything.
			if s := b.services[e.Service]; s != nil && !s.firstPick.IsZero() {
				u.joinedAt = now
			}
		}
		u.Entry = e
		u.rtt = b.site.rtt(e.Zone)
		kind := engine(e.Service)
		u.cache.capacity = kind.KVTokens
		next[e.ID] = u
		s := b.services[e.Service]
		if s == nil {
			s = &service{}
			b.services[e.Service] = s
		}
		s.hasEngines = kind.KVTokens > 0
		s.tokenFetchTime = kind.TokenFetchTime
		s.eventTokens = kind.EventTokens
		s.pools.mixedGaps = kind.ShortestGap > 0 && float64(kind.ShortestGap) <= interactiveGapShare*float64(kind.LongestGap)
		s.pools.shortestGap = kind.ShortestGap
		s.upstreams = append(s.upstreams, u)
	}
	for name, s := range b.services {
		if s.upstreams == nil {
			delete(b.services, name)
		}
		s.upstreams = poolOrder(s.upstreams)
		s.serving = slices.DeleteFunc(slices.Clone(s.upstreams), func(u *upstream) bool {
			return u.State != inventory.Serving
		})
		for _, u := range s.upstreams {
			u.position = -1
		}
		for i, u := range s.serving {
			u.position = i
		}
	}
	b.upstreams = next
}

// Choice is a picked upstream together with what decided it.
type Choice struct {
	Upstream inventory.Entry
	// Eligible is the number of upstreams that could take the request.
	Eligible int
	// Cost is the estimated delay of the pick.
	Cost time.Duration
	// UncachedTokens is the number of prompt tokens on whose reading the choice counted.
	UncachedTokens int
	// FetchedTokens is the number of prompt tokens that the upstream is asked to copy
	// from the engine at FetchFrom. Unless the upstream is the home of the prompt
	// or its alternate, they are part of Uncached, since the copy may fail.
	FetchedTokens int
	FetchFrom     string
	// Interactive tells that the request belongs to the pool for streams with
	// short pauses, which has PoolSize upstreams.
	Interactive bool
	PoolSize    int
	// Preferred tells that the upstream is the one that all daemons prefer for the
	// prompt.
	Preferred bool
	// Queueing tells that requests wait at the service's upstreams.
	Queueing bool
	// InFlight is the number of requests that this daemon has there.
	InFlight int
	// ReportAge is the age of the upstream's load report; negative without one.
	ReportAge time.Duration

	reservation *Reservation
}

// Reservation returns the handle of the picked place. Done must be called once.
func (c Choice) Reservation() *Reservation { return c.reservation }

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
	best, picked := s.pick(now, q, candidates)
	best.Upstream = picked.Entry
	best.Queueing = s.load.pressure >= queueingPressure
	best.Eligible = len(candidates)
	best.InFlight = picked.inFlight
	best.ReportAge = picked.reportAge(now)
	best.reservation = b.reserve(now, picked, s, q, best.UncachedTokens)
	return best, true
}

// RecordArrival counts a new request in the demand. It is called once for a request,
// before the first Pick.
func (b *Balancer) RecordArrival(now time.Time, q Query) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[q.Service]
	if s == nil || q.Prompt.empty() {
		return
	}
	work := float64(q.Prompt.unshared)/s.speed.tokensPerMS() + float64(q.OutputTokens)*decodeWorkPerToken
	s.predictor.observeRank(now, q.Rank)
	s.pools.observe(now, q.Route, q.MaxGap, q.Prompt.total, work)
}

// pick returns the candidate with the least cost.
func (s *service) pick(now time.Time, q Query, candidates []*upstream) (Choice, *upstream) {
	prompt, interactive := &q.Prompt, s.pools.isInteractiveRoute(q.Route)
	best := Choice{Interactive: interactive}
	if !prompt.empty() {
		if s.firstPick.IsZero() {
			s.firstPick = now
		}
		best.PoolSize = s.pools.size(now, s.firstPick, len(s.serving))
		s.resizePool(now, best.PoolSize)
	}
	// A prompt's home is in the pool of its request.
	own := func(u *upstream) bool { return u.inPool(best.PoolSize) == interactive }
	home := rendezvous(candidates, prompt.affinity, own)
	holder := s.holder(now, candidates, prompt, interactive)
	// A full home sends its prompts to one other engine, so that they are copied
	// once. Elsewhere the choice counts on reading.
	var alternate *upstream
	if holder != nil {
		alternate = rendezvous(candidates, prompt.affinity, func(u *upstream) bool { return u != home && own(u) })
	}
	var picked *upstream
	for _, u := range candidates {
		uncached := u.cache.uncached(prompt)
		from, fetched := holder, 0
		if u == holder {
			from = nil
			if u == home {
				from = alternate // it may have read the prompt before its home
			}
		}
		if from != nil && s.worthFetching(uncached-prompt.unshared) {
			fetched = uncached - prompt.unshared
		}
		cost := u.rtt
		switch {
		case u == home:
			uncached = min(uncached, prompt.unshared)
		case u == alternate && fetched > 0:
			uncached = prompt.unshared
			cost += s.fetchCost(fetched)
		}
		cost += u.cost(now, s, prompt, uncached)
		if !own(u) {
			cost += poolPenalty
		}
		if picked == nil || cost < best.Cost {
			best.Cost, best.UncachedTokens, best.FetchedTokens, best.FetchFrom, picked = cost, uncached, fetched, "", u
			if fetched > 0 {
				best.FetchFrom = from.Address
			}
		}
	}
	best.Preferred = picked == home
	return best, picked
}

// eligible returns the upstreams that may take a request. Unlisted and failing
// ones are left out while there are others.
func eligible(all []*upstream, now time.Time, tried []domain.UpstreamID) []*upstream {
	var serving, failing, unlisted []*upstream
	for _, u := range all {
		switch {
		case u.State == inventory.Draining || u.State == inventory.Superseded || contains(tried, u.ID):
		case u.State == inventory.Unlisted:
			unlisted = append(unlisted, u)
		case u.health.ejected(now):
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

// rendezvous returns the upstream that all daemons put first for an affinity
// key, among those that keep accepts. It returns nil without a key.
func rendezvous(candidates []*upstream, key uint64, keep func(*upstream) bool) *upstream {
	if key == 0 {
		return nil
	}
	var home *upstream
	var highest uint64
	for _, u := range candidates {
		if !keep(u) {
			continue
		}
		if weight := splitmix.Finalize(u.hash ^ key); home == nil || weight > highest {
			home, highest = u, weight
		}
	}
	return home
}
