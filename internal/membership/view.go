package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// Status tells what is known about a member.
type Status uint8

const (
	// Live means that the lease is running and no neighbour complains.
	Live Status = iota + 1
	// Suspect means that neighbours do not hear the daemon. It gets no new
	// shared work, but it may still act until it is gone.
	Suspect
	// Gone means that the incarnation ended by the table's word.
	Gone
)

// Entry is one daemon in a View.
type Entry struct {
	ports.Member
	Status Status
	// Since is when the daemon entered Status, by the local clock.
	Since time.Time
}

// View is an immutable snapshot of the roster. Gone daemons are not in it.
type View struct {
	// Number grows with each View of one process.
	Number uint64
	// TableAsOf is when the last successful read of the roster began. Zero
	// means that the roster comes from facts only.
	TableAsOf time.Time
	entries   []Entry
	regions   map[domain.Region][]ports.Member
}

// newView takes ownership of entries.
func newView(number uint64, asOf time.Time, entries []Entry) *View {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Daemon, b.Daemon) })
	v := &View{Number: number, TableAsOf: asOf, entries: entries, regions: map[domain.Region][]ports.Member{}}
	for _, e := range entries {
		if e.Status == Live {
			v.regions[e.Region] = append(v.regions[e.Region], e.Member)
		}
	}
	return v
}

// Entries returns live and suspected daemons, sorted. The caller must not
// change the result; the same holds for the other methods.
func (v *View) Entries() []Entry { return v.entries }

// Live returns the live daemons of a region, sorted, for subsets and shares.
func (v *View) Live(region domain.Region) []ports.Member { return v.regions[region] }

// Members returns live and suspected daemons, for the peer graph and for
// drains, which wait for suspects too.
func (v *View) Members() []ports.Member {
	out := make([]ports.Member, len(v.entries))
	for i, e := range v.entries {
		out[i] = e.Member
	}
	return out
}

// Find returns a daemon that is live or suspected.
func (v *View) Find(id domain.DaemonID) (Entry, bool) {
	i, ok := slices.BinarySearchFunc(v.entries, id, func(e Entry, id domain.DaemonID) int {
		return cmp.Compare(e.Daemon, id)
	})
	if !ok {
		return Entry{}, false
	}
	return v.entries[i], true
}
