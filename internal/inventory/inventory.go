package inventory

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// Registration is what an upstream registers about itself.
type Registration struct {
	ID      domain.UpstreamID
	Service string
	Address string // IP:port
	Zone    domain.AvailabilityZone
	// SoftwareVersion is the version of the upstream's software. Versions have no order.
	// Empty means that it is not stated.
	SoftwareVersion string
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// Draining upstreams take no new requests.
	Draining bool
	// Incarnation is the start time of the upstream's process. A process has none of
	// the requests and caches of an earlier incarnation.
	Incarnation domain.Incarnation
	// Seq counts the registrations of an incarnation. Zero means that it is not stated.
	Seq uint64
	// SlowStart is how much longer the upstream says that it stays slow after its
	// start. It falls from one registration of an incarnation to the next.
	SlowStart time.Duration
	// TableVersion is the version of the platform's table at which the registration
	// was written.
	TableVersion ports.Version
}

// State determines whether an upstream may get new requests.
type State uint8

const (
	// Serving upstreams are registered and take requests.
	Serving State = iota
	// Unlisted upstreams lost their registration less than the removal grace period
	// ago. They get requests only when no Serving upstream can take them.
	Unlisted
	// Draining upstreams take no new requests.
	Draining
	// Superseded upstreams have lost their address to a process that started later, as
	// far as the registrations tell. Theirs last until the platform has missed some of
	// their heartbeats. They get requests only when no other upstream can take them.
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
	// keepUntil is the earliest time at which a removed record expires.
	keepUntil time.Time
}

// expiresAt returns when a removed record expires.
func (r *record) expiresAt(removalGrace time.Duration) time.Time {
	at := r.removedAt.Add(removalGrace)
	if at.Before(r.keepUntil) {
		return r.keepUntil
	}
	return at
}

// Inventory is the list of upstreams. It is not safe for concurrent use.
type Inventory struct {
	removalGrace time.Duration
	keepUntil    time.Time
	// records holds the registrations of each ID, at most one of a service. All but the
	// one that is listed are removed.
	records map[domain.UpstreamID][]*record
}

// New returns an empty list. removalGrace is how long a removed upstream stays
// Unlisted.
func New(removalGrace time.Duration) *Inventory {
	return &Inventory{removalGrace: removalGrace, records: make(map[domain.UpstreamID][]*record)}
}

// SetRemovalGrace changes how long a removed upstream stays Unlisted.
func (v *Inventory) SetRemovalGrace(d time.Duration) { v.removalGrace = d }

// KeepRemovedUntil makes upstreams that are removed from now on stay Unlisted at
// least until t.
func (v *Inventory) KeepRemovedUntil(t time.Time) { v.keepUntil = t }

// Register adds or replaces a registration. It ignores one that is earlier than the known
// one, which a platform lists that was restored from an older copy of its data. A
// registration of the same ID for another service is removed, but not forgotten: the new
// one may come from another writer.
func (v *Inventory) Register(now time.Time, r Registration) {
	records := v.records[r.ID]
	same := slices.IndexFunc(records, func(old *record) bool { return old.Service == r.Service })
	if same >= 0 {
		if r.earlierThan(records[same].Registration) {
			return
		}
		records = slices.Delete(records, same, same+1)
	}
	for _, other := range records {
		v.remove(now, other)
	}
	state := Serving
	if r.Draining {
		state = Draining
	}
	v.records[r.ID] = append(records, &record{Entry: Entry{Registration: r, State: state}})
}

// Remove records that an upstream has no registration any more. The removal grace
// period starts at the first call.
func (v *Inventory) Remove(now time.Time, id domain.UpstreamID) {
	for _, r := range v.records[id] {
		v.remove(now, r)
	}
}

func (v *Inventory) remove(now time.Time, r *record) {
	if !r.removedAt.IsZero() {
		return
	}
	r.removedAt, r.keepUntil = now, v.keepUntil
	if r.State == Serving {
		r.State = Unlisted
	}
}

// Replace registers a complete list of registrations and removes the upstreams that
// it lacks.
func (v *Inventory) Replace(now time.Time, all []Registration) {
	listed := make(map[domain.UpstreamID]bool, len(all))
	for _, r := range all {
		listed[r.ID] = true
		v.Register(now, r)
	}
	for id := range v.records {
		if !listed[id] {
			v.Remove(now, id)
		}
	}
}

// Expire deletes upstreams that were removed at least the removal grace period ago.
// It reports whether the list changed.
func (v *Inventory) Expire(now time.Time) bool {
	changed := false
	for id, records := range v.records {
		kept := slices.DeleteFunc(records, func(r *record) bool {
			return !r.removedAt.IsZero() && !now.Before(r.expiresAt(v.removalGrace))
		})
		changed = changed || len(kept) < len(records)
		if len(kept) == 0 {
			delete(v.records, id)
		} else {
			v.records[id] = kept
		}
	}
	return changed
}

// NextExpiry returns when the next removed upstream expires, or false if none was
// removed.
func (v *Inventory) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, records := range v.records {
		for _, r := range records {
			if r.removedAt.IsZero() {
				continue
			}
			if at := r.expiresAt(v.removalGrace); next.IsZero() || at.Before(next) {
				next = at
			}
		}
	}
	return next, !next.IsZero()
}

// Entries returns the list, sorted by ID. configured reports whether the configuration
// names a service: a registration for any other service comes from another writer, or is
// ahead of the configuration or behind it. It changes nothing about the upstreams of
// configured services.
func (v *Inventory) Entries(configured func(service string) bool) []Entry {
	out := make([]Entry, 0, len(v.records))
	latest := make(map[string]Registration, len(v.records)) // by address
	for _, records := range v.records {
		e := inForce(records, configured).Entry
		out = append(out, e)
		// An address belongs to one process at a time, the one that started last.
		if known, ok := latest[e.Address]; configured(e.Service) && (!ok || e.Incarnation > known.Incarnation) {
			latest[e.Address] = e.Registration
		}
	}
	for i, e := range out {
		if e.State != Draining && latest[e.Address].supersedes(e.Registration) {
			out[i].State = Superseded
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// inForce returns the registration of an ID that holds: the newest one for a configured
// service, or else the newest one. Registrations are in the order in which they came.
func inForce(records []*record, configured func(service string) bool) *record {
	for _, r := range slices.Backward(records) {
		if configured(r.Service) {
			return r
		}
	}
	return records[len(records)-1]
}

// earlierThan reports whether an upstream registered r before other.
func (r Registration) earlierThan(other Registration) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation < other.Incarnation
	}
	return r.Seq != 0 && r.Seq < other.Seq
}

// supersedes reports whether a process has taken over the address of an earlier one.
// Both the start times, which come from the clocks of VMs and may disagree, and the
// order of the registrations must show it.
func (r Registration) supersedes(earlier Registration) bool {
	return r.Incarnation > earlier.Incarnation && r.TableVersion > earlier.TableVersion
}
