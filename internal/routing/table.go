package routing

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// Site is one daemon's location, its subset of upstreams and how many other
// daemons share them.
type Site struct {
	// Daemon is the id of this daemon. Daemons that share upstreams need
	// different ids, or they borrow the same slots.
	Daemon domain.DaemonID
	Region domain.Region
	Zone   domain.AvailabilityZone
	// Subset lists the upstreams that this daemon uses; nil means all.
	Subset []domain.UpstreamID
	// Sharers is the number of daemons that use each upstream, this one
	// included. Missing entries and values below 1 count as 1.
	Sharers map[domain.UpstreamID]int
	// LocalSharers is the number of sharers in the region of each upstream. They
	// borrow more than the others. Missing entries count as 0.
	LocalSharers map[domain.UpstreamID]int
	// Ranks is the position, from 0, of this daemon among the sharers of each
	// upstream, in an order that is the same on all daemons. It decides which
	// daemons get the remainder when the slots are divided by the sharers.
	Ranks map[domain.UpstreamID]int
	// Leaving lists upstreams whose leave was accepted or is listed. They get no
	// new requests.
	Leaving map[domain.UpstreamID]bool
}

// Upstream is one upstream in a Table.
type Upstream struct {
	*policy.Upstream
	// Index is the index in Policy.Upstreams.
	Index int
	// State is the live state, shared by successive tables.
	State *State
	// Remote reports whether the upstream is in another region than the daemon,
	// SameZone whether it is in the same availability zone.
	Remote, SameZone bool
	// RTT is the round-trip time to a remote region.
	RTT time.Duration
	// PricePerGB is the price of a gigabyte to or from a remote region.
	PricePerGB float64
	// Sharers is the number of daemons that use the upstream.
	Sharers int
	// Share is this daemon's share of the slots. More can be borrowed.
	Share int
	// BorrowDivisor is the number by which free slots are divided to get the part
	// that this daemon may borrow; see borrowDivisor.
	BorrowDivisor int
	// Leaving excludes the upstream from new requests.
	Leaving bool
}

// localBorrowWeight is how many times as likely a daemon in the upstream's
// region is to borrow a free slot as a daemon in another region.
const localBorrowWeight = 4

// Table is an immutable snapshot of the upstreams that one daemon may use.
type Table struct {
	Policy *policy.Policy
	Site   Site
	// upstreams is indexed like Policy.Upstreams. Entries outside the subset are
	// nil.
	upstreams []*Upstream
	// members lists the entries of upstreams that are not nil, in order.
	members  []*Upstream
	byID     map[domain.UpstreamID]*Upstream
	links    map[domain.Region]*link
	hasLocal bool // whether any member is in the daemon's region
}

// NewTable builds the snapshot for a policy. Upstreams keep their live state
// from the previous table, which may be nil, if id and address are the same.
func NewTable(now time.Time, previous *Table, p *policy.Policy, site Site) *Table {
	t := &Table{
		Policy:    p,
		Site:      site,
		upstreams: make([]*Upstream, len(p.Upstreams)),
		byID:      map[domain.UpstreamID]*Upstream{},
		links:     inheritLinks(previous, p, site.Region),
	}
	var subset map[domain.UpstreamID]bool
	if site.Subset != nil {
		subset = make(map[domain.UpstreamID]bool, len(site.Subset))
		for _, id := range site.Subset {
			subset[id] = true
		}
	}
	home := p.Regions[site.Region]
	for i := range p.Upstreams {
		u := &p.Upstreams[i]
		if subset != nil && !subset[u.ID] {
			continue
		}
		e := newUpstream(u, i, site, home)
		e.State = t.inheritState(now, previous, e)
		t.byID[u.ID] = e
		t.upstreams[i] = e
		t.members = append(t.members, e)
		t.hasLocal = t.hasLocal || !e.Remote
	}
	return t
}

func newUpstream(u *policy.Upstream, index int, site Site, home *policy.Region) *Upstream {
	e := &Upstream{
		Upstream: u,
		Index:    index,
		Remote:   u.Region != site.Region,
		SameZone: u.Zone == site.Zone,
		Sharers:  max(site.Sharers[u.ID], 1),
		Leaving:  u.Draining || site.Leaving[u.ID],
	}
	e.BorrowDivisor = borrowDivisor(e.Sharers, site.LocalSharers[u.ID], e.Remote)
	e.Share = slotShare(u.Slots, e.Sharers, site.Ranks[u.ID], index)
	if e.Remote && home != nil {
		e.RTT = home.RTT[u.Region]
		e.PricePerGB = home.PricePerGB[u.Region]
	}
	return e
}

// Report applies a load report that arrived now; see State.Report.
func (u *Upstream) Report(now time.Time, r ports.LoadReport) {
	u.State.Report(now, r, u.BorrowDivisor)
}

// borrowDivisor weights the sharers by region and returns the sum of the weights
// divided by the weight of this daemon, rounded up.
func borrowDivisor(sharers, localSharers int, remote bool) int {
	if localSharers < 1 || localSharers >= sharers {
		return sharers
	}
	weights := localBorrowWeight*localSharers + sharers - localSharers
	if remote {
		return weights
	}
	return (weights + localBorrowWeight - 1) / localBorrowWeight
}

// slotShare returns the share of the slots of the daemon with the given rank. The
// remainder goes to successive ranks, starting after the last rank that the
// previous upstream's remainder went to, so that the shares of all daemons add
// up to the slots and are even across upstreams.
func slotShare(slots, sharers, rank, index int) int {
	remainder := slots % sharers
	first := index * remainder % sharers
	if (rank-first+sharers)%sharers < remainder {
		return slots/sharers + 1
	}
	return slots / sharers
}

// inheritLinks returns the links to the other regions. The links of the previous
// table are kept, so that a new configuration does not reset them.
func inheritLinks(previous *Table, p *policy.Policy, home domain.Region) map[domain.Region]*link {
	links := map[domain.Region]*link{}
	if previous != nil {
		links = maps.Clone(previous.links)
	}
	for i := range p.Upstreams {
		region := p.Upstreams[i].Region
		if region != home && links[region] == nil {
			links[region] = &link{}
		}
	}
	return links
}

// inheritState returns the upstream's state in the previous table, or a new one.
// A state that is new since the previous table begins with a slow start.
func (t *Table) inheritState(now time.Time, previous *Table, e *Upstream) *State {
	if previous != nil {
		if old := previous.byID[e.ID]; old != nil && old.Address == e.Address {
			return old.State
		}
	}
	s := NewState(now, e.Upstream)
	s.pairHash = xxhash.Sum64String(string(t.Site.Daemon) + "/" + string(e.ID))
	s.link = t.links[e.Region]
	if previous != nil {
		s.BeginSlowStart(now)
	}
	return s
}

// State returns the live state of an upstream in the table, or nil.
func (t *Table) State(id domain.UpstreamID) *State {
	if u := t.byID[id]; u != nil {
		return u.State
	}
	return nil
}

// Members returns the upstreams of the table in the order of the policy. The
// caller must not modify the slice.
func (t *Table) Members() []*Upstream { return t.members }

// Serves reports whether the upstream is configured for a model and adapter.
func (u *Upstream) Serves(model domain.ModelID, adapter string) bool {
	if !slices.Contains(u.Models, model) {
		return false
	}
	return adapter == "" || len(u.Adapters) == 0 || slices.Contains(u.Adapters, adapter)
}
