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
	// Policy is the policy that Route belongs to. If it is not the policy of the
	// current table, the indexes in Route are translated. Nil means the policy of
	// the current table.
	Policy *policy.Policy
	// Kind is the required kind of upstream. Empty means KindEngine.
	Kind domain.UpstreamKind
	// Service is the service name for KindService.
	Service string
	// Model and Adapter must be loaded on an engine. An empty Adapter means none.
	Model   domain.ModelID
	Adapter string
	// Role is the phase to run. Empty or RoleBoth means a whole generation.
	Role domain.Role
	// PromptTokens and OutputTokens are the estimated lengths.
	PromptTokens, OutputTokens int
	// Bytes is the expected traffic to and from the upstream.
	Bytes int64
	// Prefix holds the hashes of the prompt's leading blocks; see
	// PrefixHashes.
	Prefix []uint64
	// Deadline is when the first token is due. Zero means no target.
	Deadline time.Time
	// WaitingSince is when the request began to wait for an upstream. Zero means
	// that remote regions may be used at once.
	WaitingSince time.Time
	// Tried lists the indexes in Policy.Upstreams that were already tried.
	Tried []int
	// DryRun makes Pick return a choice without taking a slot.
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

// Group returns a hash that is equal for requests that the same upstreams can
// serve, for admission.Request. Its cost is linear in the route's upstreams, so
// callers cache it per route and model.
func (r *Request) Group() uint64 {
	h := xxhash.Sum64String(string(r.kind()) + "\x00" + r.Service + "\x00" +
		string(r.Model) + "\x00" + r.Adapter + "\x00" + string(r.Role))
	for _, i := range r.Route.Upstreams {
		h = (h ^ uint64(i)) * 0x9e3779b97f4a7c15
		h ^= h >> 29
	}
	return h
}

// Tokens returns the estimated length of prompt and output, at least 1.
func (r *Request) Tokens() int { return max(r.PromptTokens+r.OutputTokens, 1) }

// Query is the input of the filters, scorers and picker: a Request, the time of
// the decision and the table that it is made on.
type Query struct {
	*Request
	Now   time.Time
	Table *Table
}

// Candidate is an eligible upstream: one that passed all filters.
type Candidate struct {
	Upstream *Upstream
	// Cost is the sum of the scores in seconds; lower is better.
	Cost float64
	// TimeToFirstToken and InterTokenLatency are predicted, without the network
	// round trip.
	TimeToFirstToken, InterTokenLatency time.Duration
	// Load is the predicted number of active tokens.
	Load float64
	// CachedTokens is the expected number of prompt tokens in the prefix cache.
	CachedTokens int

	needsProbe bool // whether an attempt would have been a probe when filtered
}

// Choice is the result of Pick.
type Choice struct {
	// Upstream is the index in Policy.Upstreams of the table that was used.
	Upstream int
	ID       domain.UpstreamID
	Address  string
	Remote   bool
	Cost     float64
	// TimeToFirstToken and InterTokenLatency are predicted, without the network
	// round trip.
	TimeToFirstToken, InterTokenLatency time.Duration
	CachedTokens                        int
	// Slot is taken until the caller releases it. It is nil after a dry run.
	Slot *Slot
}

// Explanation holds the inputs and the result of a routing decision, for the
// decision log.
type Explanation struct {
	Candidates []ScoredCandidate
	Excluded   []Exclusion
	// OutsideSubset counts the route's upstreams that this daemon does not use.
	OutsideSubset int
	// Chosen is the picked upstream's index as in Choice.Upstream, or -1.
	Chosen int
	// NearBest is the number of near-best candidates that the picker sampled
	// from.
	NearBest int
}

// ScoredCandidate is a candidate with its scores, in the order of
// Router.Scorers. Cost is their sum.
type ScoredCandidate struct {
	Upstream domain.UpstreamID
	Cost     float64
	Scores   []float64
}

// Exclusion is an upstream that is not eligible, and the reason.
type Exclusion struct {
	Upstream domain.UpstreamID
	Reason   Reason
}

// Reason is why a Filter excludes an upstream. The zero value, Keep, does not
// exclude it.
type Reason uint8

const (
	// Keep means that the upstream is not excluded.
	Keep Reason = iota
	// ReasonSubset means that the upstream is outside the daemon's subset.
	ReasonSubset
	// ReasonTried means that an earlier attempt of the request used it.
	ReasonTried
	// ReasonKind means that it is of another kind or service.
	ReasonKind
	// ReasonModel means that the model or adapter is not loaded.
	ReasonModel
	// ReasonRole means that it does not serve the requested phase.
	ReasonRole
	// ReasonLeaving means that it is draining or has left.
	ReasonLeaving
	// ReasonEjected means that outlier detection ejected it.
	ReasonEjected
	// ReasonProbation means that it is on probation with maxConcurrentProbes in
	// flight.
	ReasonProbation
	// ReasonNoSlot means that the daemon's share of slots is in use and no slot
	// can be borrowed.
	ReasonNoSlot
	// ReasonRefusing means that it refused a request within refusalBackoff.
	ReasonRefusing
	// ReasonLinkDown means that its region is considered unreachable; see link.
	ReasonLinkDown
	// ReasonRemote means that it is in another region and the request has not
	// waited long enough for a local upstream.
	ReasonRemote
)

var reasonNames = [...]string{
	"keep", "outside_subset", "tried", "other_kind", "model_not_loaded",
	"other_role", "leaving", "ejected", "probation", "no_slot", "refusing", "link", "remote",
}

func (r Reason) String() string { return reasonNames[r] }
