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

// Part is one part of a prompt. Prompts that begin with the same parts have a
// common prefix.
type Part struct {
	ID     uint64
	Tokens int
}

// Query describes a request that needs an upstream.
type Query struct {
	Service string
	// Prompt is empty for a request to a plain service.
	Prompt Prompt
	// Route names the route. Requests of one route are assumed to be alike.
	Route string
	// Rank orders the requests; 0 is the most urgent.
	Rank int
	// MaxGap is the longest acceptable gap between events of the stream. Zero
	// means no limit.
	MaxGap time.Duration
	// OutputTokens is the expected length of the response. Zero means unknown.
	OutputTokens int
	// Tried lists upstreams that must not be picked again.
	Tried []domain.UpstreamID
	// Pinned limits the pick to upstreams of SoftwareVersion.
	Pinned          bool
	SoftwareVersion string
}

// candidates returns the upstreams that may take a request. The caller holds mu.
func (s *service) candidates(now time.Time, q Query) []*upstream {
	all := s.upstreams
	if q.Pinned {
		all = slices.DeleteFunc(slices.Clone(all), func(u *upstream) bool { return u.SoftwareVersion != q.SoftwareVersion })
	}
	return eligible(all, now, q.Tried)
}

// Load is the load that an upstream reports about itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// WorkTime is how long work takes on the upstream's machine at the moment, in percent
	// of the usual. It changes many times a second. Zero means that it is not reported.
	WorkTime int
}

// Balancer tracks the upstreams and the requests that this daemon sent to them.
// It is safe for concurrent use.
type Balancer struct {
	site      Site
	mu        sync.Mutex
	upstreams map[domain.UpstreamID]*upstream
	services  map[string]*service
	// newReports holds the load reports not yet sent to peers.
	newReports map[uint32]LoadReport
	// availabilities holds what the upstreams have said about new requests.
	availabilities map[process]*availability
}

// service is a group of interchangeable upstreams.
type service struct {
	// upstreams are in pool order, which is the same in all daemons.
	upstreams []*upstream
	// serving are the upstreams that the pools are formed from, in pool order.
	serving []*upstream
	speed   prefillSpeed
	pools   pools
	load    typicalLoad
	// predictor tracks how fast the engines respond.
	predictor predictor
	// eventTokens is Engine.EventTokens.
	eventTokens int
	// hasEngines reports whether the service consists of model engines.
	hasEngines bool
	// tokenFetchTime is Engine.TokenFetchTime.
	tokenFetchTime time.Duration
	// poolSize is the size of the interactive pool at the last pick.
	poolSize int
	// firstPick is when the service got its first request.
	firstPick time.Time
	// announcesSlowStart is set once a registration of the service has had a SlowStart. It
	// enables ramp-ups: where upstreams start at full speed, holding them back costs callers.
	announcesSlowStart bool
	usual              usualPaces
}

// Engine describes the engines of a service. The zero value means a plain
// service.
type Engine struct {
	// KVTokens is the capacity of an engine's KV cache, in tokens.
	KVTokens int
	// TokenFetchTime is the time that an engine needs to fetch the KV cache of one
	// token from another engine. Zero means that engines can't fetch.
	TokenFetchTime time.Duration
	// EventTokens is the number of tokens in one event of a stream. Zero counts
	// as one.
	EventTokens int
	// ShortestGap and LongestGap are the smallest and the largest MaxGap of the
	// routes to the service. Zero means that no route states one.
	ShortestGap, LongestGap time.Duration
}

// Site is where a daemon runs.
type Site struct {
	Zone   domain.AvailabilityZone
	Region domain.Region
	// Regions maps each zone to its region.
	Regions map[domain.AvailabilityZone]domain.Region
}

// rtt returns the typical round-trip time to a zone.
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

// New returns a Balancer without upstreams.
func New(site Site) *Balancer {
	return &Balancer{
		site:       site,
		upstreams:  make(map[domain.UpstreamID]*upstream),
		services:   make(map[string]*service),
		newReports: make(map[uint32]LoadReport),

		availabilities: make(map[process]*availability),
	}
}

// Update replaces the list of upstreams. The state of an upstream is kept unless
// its incarnation or address has changed. engineOf describes the engines of a
// service.
func (b *Balancer) Update(now time.Time, entries []inventory.Entry, engineOf func(service string) Engine) {
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
			// Before the first request all prefix caches are empty.
			if s := b.services[e.Service]; s != nil && !s.firstPick.IsZero() {
				u.joinedAt = now
				u.ramp.start(now)
			}
		}
		if u.State == inventory.Unlisted && e.State == inventory.Serving {
			u.ramp.start(now)
		}
		u.Entry = e
		u.said = b.availabilityOf(now, process{e.ID, e.Incarnation, e.Address})
		u.rtt = b.site.rtt(e.Zone)
		engine := engineOf(e.Service)
		u.cache.capacity = engine.KVTokens
		next[e.ID] = u
		s := b.services[e.Service]
		if s == nil {
			s = &service{}
			b.services[e.Service] = s
		}
		if e.SlowStart > 0 {
			s.announcesSlowStart = true
		}
		s.hasEngines = engine.KVTokens > 0
		s.tokenFetchTime = engine.TokenFetchTime
		s.eventTokens = engine.EventTokens
		s.pools.mixedGaps = engine.ShortestGap > 0 && float64(engine.ShortestGap) <= interactiveGapShare*float64(engine.LongestGap)
		s.pools.shortestGap = engine.ShortestGap
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
	b.forgetAvailabilities(now)
}

// Choice is a picked upstream with the figures behind the pick.
type Choice struct {
	Upstream inventory.Entry
	// Eligible is the number of upstreams that could take the request.
	Eligible int
	// Cost is the estimated delay until the first event, with weights and penalties
	// added.
	Cost time.Duration
	// UncachedTokens is the number of prompt tokens that the upstream is expected
	// to prefill.
	UncachedTokens int
	// FetchedTokens is the number of prompt tokens that the upstream is asked to
	// fetch from the engine at FetchFrom. They are also counted in UncachedTokens,
	// since the fetch may fail, unless the upstream is the preferred one of the
	// prompt or its alternate.
	FetchedTokens int
	FetchFrom     string
	// Interactive reports whether the request belongs to the interactive pool, which
	// has PoolSize upstreams.
	Interactive bool
	PoolSize    int
	// Preferred reports whether the upstream is the prompt's first in rendezvous
	// order.
	Preferred bool
	// Queueing reports whether requests wait at the service's upstreams.
	Queueing bool
	// InFlight is the number of requests of this daemon at the upstream, without
	// this one.
	InFlight int
	// ReportAge is the age of the upstream's load report; negative without one.
	ReportAge time.Duration
	// RampUp is the share of its usual requests that the upstream gets in its ramp-up;
	// zero if it is in none.
	RampUp float64
	// HeldBack is the number of upstreams in ramp-up that were to get no request now.
	HeldBack int

	reservation *Reservation
}

// Reservation returns the handle for the request at the picked upstream. Its Done
// must be called.
func (c Choice) Reservation() *Reservation { return c.reservation }

// Pick reserves the eligible upstream with the least cost. It returns false if no
// upstream is eligible.
func (b *Balancer) Pick(now time.Time, q Query) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[q.Service]
	if s == nil {
		return Choice{}, false
	}
	candidates := s.candidates(now, q)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	best, picked := s.pick(now, q, candidates)
	best.Upstream = picked.Entry
	best.Queueing = s.load.pressure >= queueingPressure
	best.Eligible = len(candidates)
	best.InFlight = picked.inFlight
	best.ReportAge = picked.reportAge(now)
	if s.rampsUp() && picked.ramp.active(now) {
		best.RampUp = picked.ramp.current()
	}
	best.reservation = b.reserve(now, picked, s, q, best.UncachedTokens)
	return best, true
}

// HasCandidate reports whether Pick would find an upstream.
func (b *Balancer) HasCandidate(now time.Time, q Query) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[q.Service]
	return s != nil && len(s.candidates(now, q)) > 0
}

// SoftwareVersions returns the versions of a service's listed upstreams, sorted.
func (b *Balancer) SoftwareVersions(serviceName string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[serviceName]
	if s == nil {
		return nil
	}
	var out []string
	for _, u := range s.upstreams {
		out = append(out, u.SoftwareVersion)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// RecordArrival adds a new request to the measured work. It is called once for each
// request, before the first Pick.
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
	// The preferred upstream of a prompt is in the pool of its request.
	samePool := func(u *upstream) bool { return u.inPool(best.PoolSize) == interactive }
	best.HeldBack = s.holdBack(now, prompt, candidates, samePool)
	mayPrefer := func(u *upstream) bool { return samePool(u) && !u.heldBack }
	preferred := rendezvous(candidates, prompt.affinity, mayPrefer)
	holder := s.holder(now, candidates, prompt, interactive)
	// Prompts that leave a full upstream go to one alternate, so that their shared
	// parts are fetched once. At all other upstreams the cost assumes a prefill.
	var alternate *upstream
	if holder != nil {
		alternate = rendezvous(candidates, prompt.affinity, func(u *upstream) bool { return u != preferred && mayPrefer(u) })
	}
	var picked *upstream
	for _, u := range candidates {
		uncached := u.cache.uncached(prompt)
		from, fetched := holder, 0
		if u == holder {
			from = nil
			if u == preferred {
				from = alternate // it may have prefilled the prompt before the preferred upstream
			}
		}
		if from != nil && s.worthFetching(uncached-prompt.unshared) {
			fetched = uncached - prompt.unshared
		}
		cost := u.rtt
		switch {
		case u == preferred:
			uncached = min(uncached, prompt.unshared)
		case u == alternate && fetched > 0:
			uncached = prompt.unshared
			cost += s.fetchCost(fetched)
		}
		cost += u.cost(now, s, prompt, uncached)
		if !samePool(u) {
			cost += poolPenalty
		}
		if u.heldBack {
			cost += heldBackCost
		}
		if picked == nil || cost < best.Cost {
			best.Cost, best.UncachedTokens, best.FetchedTokens, best.FetchFrom, picked = cost, uncached, fetched, "", u
			if fetched > 0 {
				best.FetchFrom = from.Address
			}
		}
	}
	best.Preferred = picked == preferred
	return best, picked
}

// eligible returns the upstreams that may take a request: those that serve and are
// not ejected, or else the ejected ones, or else the unlisted ones, or else the
// superseded ones. Those that have said that they take no requests are none of them.
//
// A registration that supersedes a process by mistake costs callers the process, and a
// request to one that has ended costs them a round trip: another process at its address
// refuses it without running it, and the upstream is ejected then.
func eligible(all []*upstream, now time.Time, tried []domain.UpstreamID) []*upstream {
	var serving, ejected, unlisted, superseded []*upstream
	for _, u := range all {
		switch {
		case u.State == inventory.Draining || contains(tried, u.ID) || !u.said.admits(now):
		case u.State == inventory.Superseded:
			if !u.health.ejected(now) {
				superseded = append(superseded, u)
			}
		case u.State == inventory.Unlisted:
			unlisted = append(unlisted, u)
		case u.health.ejected(now):
			ejected = append(ejected, u)
		default:
			serving = append(serving, u)
		}
	}
	for _, list := range [][]*upstream{serving, ejected, unlisted} {
		if len(list) > 0 {
			return list
		}
	}
	return superseded
}

func contains(list []domain.UpstreamID, id domain.UpstreamID) bool {
	for _, item := range list {
		if item == id {
			return true
		}
	}
	return false
}

// rendezvous returns the candidate with the highest rendezvous hash for an affinity
// key, among those for which keep returns true. All daemons get the same one. It
// returns nil if the key is zero.
func rendezvous(candidates []*upstream, key uint64, keep func(*upstream) bool) *upstream {
	if key == 0 {
		return nil
	}
	var first *upstream
	var highest uint64
	for _, u := range candidates {
		if !keep(u) {
			continue
		}
		if weight := splitmix.Finalize(u.hash ^ key); first == nil || weight > highest {
			first, highest = u, weight
		}
	}
	return first
}
