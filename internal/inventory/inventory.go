package inventory

import (
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// Registration is what an upstream says about itself.
type Registration struct {
	ID      domain.UpstreamID
	Service string
	Address string // IP:port
	Zone    domain.AvailabilityZone
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// Draining upstreams take no new work.
	Draining bool
	// Incarnation is the start of the upstream's process. A higher one holds
	// and knows nothing of a lower one.
	Incarnation domain.Incarnation
	// TableVersion is the version of the platform's table at which the registration
	// was written.
	TableVersion ports.Version
}

// State tells whether an upstream may get new work.
type State uint8

const (
	// Serving upstreams are registered and take work.
	Serving State = iota
	// Unlisted upstreams have lost their registration a short time ago. They
	// get work only when no Serving upstream can take it.
	Unlisted
	// Draining upstreams take no new work.
	Draining
	// Superseded upstreams have lost their address to a process that started later.
	// Their registration lasts until the platform has missed their heartbeats.
	Superseded
)

// Entry is one upstream in the list.
type Entry struct {
	Registration
	State State
}

type record struct {
	Entry
	removedAt time.Time
}

// Inventory is the list of upstreams. It is not safe for concurrent use.
type Inventory struct {
	removalGrace time.Duration
	records      map[domain.UpstreamID]*record
}

// New returns an empty list. removalHold is how long a removed upstream stays
// Unlisted.
func New(removalHold time.Duration) *Inventory {
	return &Inventory{removalGrace: removalHold, records: make(map[domain.UpstreamID]*record)}
}

// SetRemovalGrace changes how long a removed upstream stays Unlisted.
func (v *Inventory) SetRemovalGrace(d time.Duration) { v.removalGrace = d }

// Register adds or replaces a registration. It ignores one of an earlier
// incarnation than the known one.
func (v *Inventory) Register(r Registration) {
	old := v.records[r.ID]
	if old != nil && r.Incarnation < old.Incarnation {
		return
	}
	standing := Serving
	if r.Draining {
		standing = Draining
	}
	v.records[r.ID] = &record{Entry: Entry{Registration: r, State: standing}}
}

// Remove marks an upstream whose registration is gone.
func (v *Inventory) Remove(now time.Time, id domain.UpstreamID) {
	r := v.records[id]
	if r == nil || !r.removedAt.IsZero() {
		return
	}
	r.removedAt = now
	if r.State == Serving {
		r.State = Unlisted
	}
}

// Replace takes a complete list of registrations. Upstreams that it lacks are
// removed.
func (v *Inventory) Replace(now time.Time, all []Registration) {
	listed := make(map[domain.UpstreamID]bool, len(all))
	for _, r := range all {
		listed[r.ID] = true
		v.Register(r)
	}
	for id := range v.records {
		if !listed[id] {
			v.Remove(now, id)
		}
	}
}

// Expire drops upstreams whose removal is older than the hold. It reports
// whether the list changed.
func (v *Inventory) Expire(now time.Time) bool {
	changed := false
	for id, r := range v.records {
		if !r.removedAt.IsZero() && now.Sub(r.removedAt) >= v.removalGrace {
			delete(v.records, id)
			changed = true
		}
	}
	return changed
}

// NextExpiry returns when Expire has work next.
func (v *Inventory) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, r := range v.records {
		if r.removedAt.IsZero() {
			continue
		}
		if at := r.removedAt.Add(v.removalGrace); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// Entries returns the list, ordered by ID.
func (v *Inventory) Entries() []Entry {
	last := v.latestByAddress()
	out := make([]Entry, 0, len(v.records))
	for _, r := range v.records {
		e := r.Entry
		if last[e.Address].supersedes(e.Registration) {
			e.State = Superseded
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// latestByAddress returns the registration of the process that started last at each
// address. An address belongs to one process at a time.
func (v *Inventory) latestByAddress() map[string]Registration {
	last := make(map[string]Registration, len(v.records))
	for _, r := range v.records {
		if known, ok := last[r.Address]; !ok || r.Incarnation > known.Incarnation {
			last[r.Address] = r.Registration
		}
	}
	return last
}

// supersedes reports whether a process has the address of an earlier one. Both the
// start, which the clock of a VM states, and the order of writing must say so.
func (r Registration) supersedes(earlier Registration) bool {
	return r.Incarnation > earlier.Incarnation && r.TableVersion > earlier.TableVersion
}
