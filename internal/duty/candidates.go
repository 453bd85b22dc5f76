package duty

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// competitors is the number of daemons that compete for the lease.
	competitors = 3
	// sightingTTL is how long a daemon counts after it was last heard from. With 330
	// daemons a sighting reaches all of them within about 4 s.
	sightingTTL = 10 * time.Second
	// kept is the number of first daemons in rendezvous order that are known and passed
	// on, of those that reach the store and of those that don't. When the first three
	// end together, the next ones know of each other without a message.
	kept = 8
	// failingAfter is how long the store must have refused a daemon before others
	// take its place. A renewal and its first repetition fit into it.
	failingAfter = 2500 * time.Millisecond
	// failingFor is how long a daemon that the store refused does not count when it
	// makes no calls that could show the store's return.
	failingFor = 30 * time.Second
	// sightingAgeUnit is the unit of ages in messages.
	sightingAgeUnit = 50 * time.Millisecond
)

// Sighting says that a daemon was heard from.
type Sighting struct {
	_ struct{} `cbor:",toarray"`
	// Rank is a hash of the daemon and its process. Lower ones come first.
	Rank uint32
	// Age is the time since the daemon said so, in units of 50 ms, rounded up so that a
	// sighting that is passed on grows older.
	Age uint16
	// Failing means that the store refuses the daemon's calls, or that it is leaving.
	Failing bool
}

type sighting struct {
	at      time.Time
	failing bool
}

// Candidates decides whether a daemon competes for the lease: it does if it is among the
// first three, in rendezvous order, of the daemons heard from in the last 10 s and
// itself. Each daemon sends the first ones that it knows to others, so that all of them
// know the first ones although each hears from few daemons itself.
//
// A daemon that the store refuses says so, and the next one takes its place. It goes on
// competing if it is also among the first three of all, so that an outage of the store
// does not make ever more daemons ask whether it has ended. Not safe for concurrent use.
type Candidates struct {
	self  uint32
	heard map[uint32]sighting
	// failedSince is when the store began to refuse the daemon's calls, and lastFailed
	// the last time that it did. Zero means that it does not.
	failedSince, lastFailed time.Time
	leaving                 bool
}

// NewCandidates returns the candidates that one process of a daemon knows: itself.
// process differs between the processes of a daemon.
func NewCandidates(daemon, process string) *Candidates {
	return &Candidates{self: uint32(xxhash.Sum64String("duties " + daemon + " " + process)), heard: make(map[uint32]sighting)}
}

// Merge takes over what another daemon says.
func (c *Candidates) Merge(now time.Time, sightings []Sighting) {
	for _, s := range sightings[:min(len(sightings), 2*kept+1)] {
		at := now.Add(-time.Duration(s.Age) * sightingAgeUnit)
		if s.Rank == c.self || now.Sub(at) >= sightingTTL || !at.After(c.heard[s.Rank].at) {
			continue
		}
		c.heard[s.Rank] = sighting{at, s.Failing}
	}
	c.prune(now)
}

// prune drops old sightings, and those behind the first ones.
func (c *Candidates) prune(now time.Time) {
	for rank, s := range c.heard {
		if now.Sub(s.at) >= sightingTTL {
			delete(c.heard, rank)
		}
	}
	for _, failing := range []bool{false, true} {
		ranks := c.ranks(failing)
		for _, rank := range ranks[min(len(ranks), kept):] {
			delete(c.heard, rank)
		}
	}
}

// ranks returns the other daemons that the store refuses, or serves, in order.
func (c *Candidates) ranks(failing bool) []uint32 {
	var out []uint32
	for rank, s := range c.heard {
		if s.failing == failing {
			out = append(out, rank)
		}
	}
	slices.Sort(out)
	return out
}

// Sightings returns what to tell other daemons. A daemon that is not among the first
// ones does not name itself.
func (c *Candidates) Sightings(now time.Time) []Sighting {
	c.prune(now)
	out := []Sighting{{Rank: c.self, Failing: c.failing(now)}}
	for rank, s := range c.heard {
		age := (now.Sub(s.at) + sightingAgeUnit - 1) / sightingAgeUnit
		out = append(out, Sighting{Rank: rank, Age: uint16(age), Failing: s.failing})
	}
	slices.SortFunc(out, func(a, b Sighting) int { return cmp.Compare(a.Rank, b.Rank) })
	counts := make(map[bool]int)
	return slices.DeleteFunc(out, func(s Sighting) bool {
		counts[s.Failing]++
		return counts[s.Failing] > kept
	})
}

// Leave makes the daemon say that others shall take its place.
func (c *Candidates) Leave() { c.leaving = true }

// Competes reports whether the daemon competes for the lease.
func (c *Candidates) Competes(now time.Time) bool {
	c.prune(now)
	failing := c.failing(now)
	before := 0
	for rank, s := range c.heard {
		if rank < c.self && (failing || !s.failing) {
			before++
		}
	}
	return before < competitors
}

// StoreCalled records whether the store served a call of this daemon.
func (c *Candidates) StoreCalled(now time.Time, served bool) {
	switch {
	case served:
		c.failedSince, c.lastFailed = time.Time{}, time.Time{}
	case c.failedSince.IsZero():
		c.failedSince, c.lastFailed = now, now
	default:
		c.lastFailed = now
	}
}

func (c *Candidates) failing(now time.Time) bool {
	if c.leaving {
		return true
	}
	if c.failedSince.IsZero() || now.Sub(c.lastFailed) >= failingFor {
		c.failedSince = time.Time{}
		return false
	}
	return now.Sub(c.failedSince) >= failingAfter
}
