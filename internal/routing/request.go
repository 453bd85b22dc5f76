package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
)

// Request is one attempt that needs an upstream.
type Request struct {
	Route *policy.Route
	// Policy is the policy that Route belongs to; its indexes are translated
	// when another one is in force. Nil means the policy in force.
	Policy *policy.Policy
	// Kind is the kind of upstream wanted. Empty means KindEngine.
	Kind domain.UpstreamKind
	// Service is the service name for KindService.
	Service string
	// Model and Adapter are what an engine must hold.
	Model   domain.ModelID
	Adapter string
	// Role is the phase that is wanted; empty or RoleBoth means a whole
	// generation.
	Role domain.Role
	// PromptTokens and AnswerTokens are estimates of the work.
	PromptTokens, AnswerTokens int
	// Bytes is the expected traffic to and from the upstream.
	Bytes int64
	// Prefix holds the hashes of the prompt's leading blocks; see
	// PrefixHashes.
	Prefix []uint64
	// Deadline is when the first token is due. Zero means no target.
	Deadline time.Time
	// WaitingSince is when the request began to wait for an upstream. Zero means that
	// remote regions may be used at once.
	WaitingSince time.Time
	// Tried lists indexes in Policy.Upstreams that were tried already.
	Tried []int
	// DryRun makes Pick choose without taking a slot.
	DryRun bool
	// Explain, when not nil, is filled by Pick.
	Explain *Explanation
}

func (r *Request) kind() domain.UpstreamKind {
	if r.Kind == "" {
		return domain.KindEngine
	}
	return r.Kind
}

// Group returns a value that is equal for requests that the same upstreams can
// serve, for admission.Request. Its cost is linear in the route's upstreams, so
// callers keep it per route and model.
func (r *Request) Group() uint64 {
	h := xxhash.Sum64String(string(r.kind()) + "\x00" + r.Service + "\x00" +
		string(r.Model) + "\x00" + r.Adapter + "\x00" + string(r.Role))
	for _, i := range r.Route.Upstreams {
		h = (h ^ uint64(i)) * 0x9e3779b97f4a7c15
		h ^= h >> 29
	}
	return h
}

// Tokens is the estimated work of the request.
func (r *Request) Tokens() int { return max(r.PromptTokens+r.AnswerTokens, 1) }

// Query is a Request at the moment of a decision, as the stages see it.
type Query struct {
	*Request
	Now   time.Time
	Table *Table
}

// Candidate is one upstream that passed the filters.
type Candidate struct {
	Upstream *Upstream
	// Cost is the sum of the scores in seconds; lower is better.
	Cost float64
	// FirstToken and InterTokenLatency are predicted, without the round trip.
	FirstToken, InterTokenLatency time.Duration
	// Load is the predicted number of active tokens.
	Load float64
	// CachedTokens is the expected part of the prompt in the prefix cache.
	CachedTokens int

	needsProbe bool // on probation when it became a candidate
}

// Choice is the result of Pick.
type Choice struct {
	// Upstream is the index in Policy.Upstreams; ID is its id.
	Upstream int
	ID       domain.UpstreamID
	Address  string
	Remote   bool
	Cost     float64
	// FirstToken and InterTokenLatency are predicted, without the round trip.
	FirstToken, InterTokenLatency time.Duration
	CachedTokens                  int
	// Slot is held until its Release. It is nil after a dry run.
	Slot *Slot
}

// Explanation tells how a choice came about, for the decision log.
type Explanation struct {
	Candidates []ScoredCandidate
	Excluded   []Exclusion
	// OutsideSubset counts the route's upstreams that this daemon does not use.
	OutsideSubset int
	// Chosen is the index in Policy.Upstreams, or -1.
	Chosen int
	// NearBest is the number of candidates that the picker sampled from.
	NearBest int
}

// ScoredCandidate is one candidate with its scores, in the order of Router.Scorers.
type ScoredCandidate struct {
	Upstream domain.UpstreamID
	Cost     float64
	Scores   []float64
}

// Exclusion is one upstream that was not a candidate, and why.
type Exclusion struct {
	Upstream domain.UpstreamID
	Reason   Reason
}

// Reason says why a Filter excludes an upstream. The zero value keeps it.
type Reason uint8

const (
	// Keep does not exclude.
	Keep Reason = iota
	// ReasonSubset: outside the daemon's subset.
	ReasonSubset
	// ReasonTried: an earlier attempt used it.
	ReasonTried
	// ReasonKind: another kind or service.
	ReasonKind
	// ReasonModel: the model or adapter is not loaded.
	ReasonModel
	// ReasonRole: it does not serve the wanted phase.
	ReasonRole
	// ReasonLeaving: it is draining or has left.
	ReasonLeaving
	// ReasonEjected: outlier detection took it out.
	ReasonEjected
	// ReasonProbation: on probation with all its probes in progress.
	ReasonProbation
	// ReasonNoSlot: no slot in the share and none to borrow.
	ReasonNoSlot
	// ReasonRefusing: it refused a request moments ago.
	ReasonRefusing
	// ReasonLinkDown: its region could not be reached moments ago.
	ReasonLinkDown
	// ReasonRemote: the request has not waited long enough for a local one.
	ReasonRemote
)

var reasonNames = [...]string{
	"keep", "outside_subset", "tried", "other_kind", "model_not_loaded",
	"other_role", "leaving", "ejected", "probation", "no_slot", "refusing", "link", "remote",
}

func (r Reason) String() string { return reasonNames[r] }
