package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// Router runs the filters, the scorers and the picker over the current Table.
// All methods are safe for concurrent use; each caller passes its own random
// source.
type Router struct {
	table   atomic.Pointer[Table]
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
	scratch sync.Pool
}

// NewRouter returns a Router with the default filters, scorers and picker.
func NewRouter(t *Table) *Router {
	r := &Router{
		Filters: []Filter{
			LeavingFilter{}, TriedFilter{}, ModelFilter{}, RoleFilter{}, HealthFilter{}, SlotFilter{}, RemoteFilter{},
		},
		Scorers: []Scorer{
			LatencyScorer{}, PrefixScorer{}, RegionScorer{}, StragglerScorer{},
		},
		Picker: NearBestPicker{},
	}
	r.table.Store(t)
	return r
}

// NewBaseline returns a Router with the default filters, no scorers and the
// given picker, for comparison with the default Router.
func NewBaseline(t *Table, p Picker) *Router {
	r := NewRouter(t)
	r.Scorers = nil
	r.Picker = p
	return r
}

// Table returns the current snapshot.
func (r *Router) Table() *Table { return r.table.Load() }

// SetTable replaces the current snapshot.
func (r *Router) SetTable(t *Table) { r.table.Store(t) }

type scratch struct {
	query      Query
	candidates []Candidate
}

// Pick picks an upstream for a request and takes a slot there, unless it is a
// dry run. It returns false when there is no eligible upstream now. The caller
// must release Choice.Slot. Unless it is a dry run, Pick adds the request's
// prefix to what the upstream is assumed to cache, because cache events arrive
// late.
func (r *Router) Pick(now time.Time, req *Request, rng *rand.Rand) (Choice, bool) {
	s, _ := r.scratch.Get().(*scratch)
	if s == nil {
		s = &scratch{}
	}
	defer r.put(s)
	s.query = Query{Request: req, Now: now, Table: r.table.Load()}
	if req.Explain != nil {
		*req.Explain = Explanation{Chosen: -1}
	}
	r.filter(s)
	r.score(s)
	for len(s.candidates) > 0 {
		i, near := r.Picker.Pick(&s.query, s.candidates, rng)
		c := &s.candidates[i]
		if slot, ok := acquireSlot(now, req, c); ok {
			if e := req.Explain; e != nil {
				e.Chosen, e.NearBest = c.Upstream.Index, near
			}
			return c.choice(slot), true
		}
		s.query.exclude(c.Upstream.ID, ReasonNoSlot)
		// A concurrent request took the last slot since the filters ran.
		last := len(s.candidates) - 1
		s.candidates[i] = s.candidates[last]
		s.candidates = s.candidates[:last]
	}
	return Choice{}, false
}

func (r *Router) put(s *scratch) {
	s.query = Query{}
	clear(s.candidates[:cap(s.candidates)])
	s.candidates = s.candidates[:0]
	r.scratch.Put(s)
}

func acquireSlot(now time.Time, req *Request, c *Candidate) (*Slot, bool) {
	if req.DryRun {
		return nil, true
	}
	slot := c.Upstream.State.Acquire(now, c.Upstream.Share, req.Tokens(), c.Load)
	if slot == nil {
		return nil, false
	}
	for _, hash := range req.Prefix {
		c.Upstream.State.Prefixes.Add(hash)
	}
	return slot, true
}

func (c *Candidate) choice(slot *Slot) Choice {
	u := c.Upstream
	return Choice{
		Upstream: u.Index, ID: u.ID, Address: u.Address, Remote: u.Remote,
		Cost: c.Cost, TimeToFirstToken: c.TimeToFirstToken, InterTokenLatency: c.InterTokenLatency,
		CachedTokens: c.CachedTokens, Slot: slot,
	}
}

// sparseFactor is the ratio of a route's upstreams to the table's members above
// which the members are looked up in the route instead of the reverse.
const sparseFactor = 8

// filter collects the eligible upstreams of the route as candidates.
func (r *Router) filter(s *scratch) {
	q := &s.query
	t := q.Table
	if q.Policy != nil && q.Policy != t.Policy {
		r.filterTranslated(s)
		return
	}
	if len(t.members)*sparseFactor < len(q.Route.Upstreams) {
		considered := 0
		for _, u := range t.members {
			if _, allowed := slices.BinarySearch(q.Route.Upstreams, u.Index); allowed {
				r.consider(s, u)
				considered++
			}
		}
		q.countOutsideSubset(len(q.Route.Upstreams) - considered)
		return
	}
	for _, i := range q.Route.Upstreams {
		switch {
		case i >= len(t.upstreams):
			// The route belongs to another policy, which has more upstreams.
		case t.upstreams[i] != nil:
			r.consider(s, t.upstreams[i])
		default:
			q.countOutsideSubset(1)
		}
	}
}

// filterTranslated does the same for a route that was resolved under another
// policy, for example of a request that was queued when the policy changed. It
// translates the route's indexes by upstream id.
func (r *Router) filterTranslated(s *scratch) {
	q := &s.query
	for _, i := range q.Route.Upstreams {
		id := q.Policy.Upstreams[i].ID
		if u := q.Table.byID[id]; u != nil {
			r.consider(s, u)
			continue
		}
		q.countOutsideSubset(1)
	}
}

// consider adds an upstream to the candidates if it passes all filters.
func (r *Router) consider(s *scratch, u *Upstream) {
	if reason := r.check(&s.query, u); reason != Keep {
		s.query.exclude(u.ID, reason)
		return
	}
	s.candidates = append(s.candidates, Candidate{Upstream: u, needsProbe: u.State.health.needsProbe()})
}

// countOutsideSubset counts upstreams outside the daemon's subset. They are not
// listed one by one, because a fleet of the planned size has thousands.
func (q *Query) countOutsideSubset(n int) {
	if q.Explain != nil {
		q.Explain.OutsideSubset += n
	}
}

func (q *Query) exclude(id domain.UpstreamID, reason Reason) {
	if q.Explain != nil {
		q.Explain.Excluded = append(q.Explain.Excluded, Exclusion{id, reason})
	}
}

func (r *Router) check(q *Query, u *Upstream) Reason {
	for _, f := range r.Filters {
		if reason := f.Check(q, u); reason != Keep {
			return reason
		}
	}
	return Keep
}

func (r *Router) score(s *scratch) {
	for i := range s.candidates {
		c := &s.candidates[i]
		var scores []float64
		for _, scorer := range r.Scorers {
			cost := scorer.Score(&s.query, c)
			c.Cost += cost
			if s.query.Explain != nil {
				scores = append(scores, cost)
			}
		}
		if e := s.query.Explain; e != nil {
			e.Candidates = append(e.Candidates, ScoredCandidate{c.Upstream.ID, c.Cost, scores})
		}
	}
}
