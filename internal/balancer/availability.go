package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

const (
	// maxPause bounds the pause that an upstream asks for: no request waits longer. One
	// that still wants no requests then refuses one from each daemon and asks again.
	maxPause = time.Minute
	// A pause is longer by up to pauseSpread of its length, at most maxPauseSpread, so
	// that the daemons do not return at once.
	pauseSpread    = 0.2
	maxPauseSpread = time.Second
	// availabilityTTL is how long the word of a process that is not listed is kept. Its
	// registration may only have lapsed in an outage of the platform.
	availabilityTTL = 10 * time.Minute
)

// Availability is what an upstream says in a response about new requests.
type Availability struct {
	// Leaving means that it takes no more requests.
	Leaving bool
	// Pause is how long it wants no requests from this daemon. Zero means no pause.
	Pause time.Duration
}

// process identifies one start of an upstream at one address.
type process struct {
	id          domain.UpstreamID
	incarnation domain.Incarnation
	address     string
}

// availability is what a process has said. It outlasts its registration, which may lapse
// and come back.
type availability struct {
	leaving bool
	// pausedUntil is when the pause ends. It stays set until a response without a pause
	// shows that the upstream takes requests again.
	pausedUntil time.Time
	// trying is set while the first request after a pause waits for its response.
	trying bool
	// listed is when the process was last listed.
	listed time.Time
}

// admits reports whether a new request may be sent to the process.
func (a *availability) admits(now time.Time) bool {
	return !a.leaving && !now.Before(a.pausedUntil) && (a.pausedUntil.IsZero() || !a.trying)
}

// availabilityOf returns what a process has said so far. The caller holds mu.
func (b *Balancer) availabilityOf(now time.Time, p process) *availability {
	a := b.availabilities[p]
	if a == nil {
		a = &availability{}
		b.availabilities[p] = a
	}
	a.listed = now
	return a
}

// forgetAvailabilities drops what processes said that are gone. The caller holds mu.
func (b *Balancer) forgetAvailabilities(now time.Time) {
	for p, a := range b.availabilities {
		if now.Sub(a.listed) >= availabilityTTL {
			delete(b.availabilities, p)
		}
	}
}

// ObserveAvailability records what the upstream says in the header of its response. It
// reports whether the upstream begins to leave, and how long it is paused from now on;
// zero if that has not changed.
func (r *Reservation) ObserveAvailability(now time.Time, said Availability) (leaving bool, pause time.Duration) {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	r.endTry()
	return r.u.said.observe(now, said)
}

// ObserveAvailability records what an upstream says in a response to another call than
// a request, as Reservation.ObserveAvailability does.
func (b *Balancer) ObserveAvailability(now time.Time, id domain.UpstreamID, said Availability) (leaving bool, pause time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.upstreams[id]
	if u == nil {
		return false, 0
	}
	return u.said.observe(now, said)
}

func (a *availability) observe(now time.Time, said Availability) (leaving bool, pause time.Duration) {
	leaving = said.Leaving && !a.leaving
	a.leaving = a.leaving || said.Leaving
	if said.Pause <= 0 {
		if !now.Before(a.pausedUntil) {
			a.pausedUntil = time.Time{}
		}
		return leaving, 0
	}
	pause = min(said.Pause, maxPause)
	pause += time.Duration(rand.Float64() * float64(min(time.Duration(pauseSpread*float64(pause)), maxPauseSpread)))
	if until := now.Add(pause); until.After(a.pausedUntil) {
		a.pausedUntil = until
		return leaving, pause
	}
	return leaving, 0
}

// Admits reports whether the upstream of the reservation still takes requests.
func (r *Reservation) Admits(now time.Time) bool {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	return r.trying || r.u.said.admits(now)
}

// beginTry marks the request as the first one after a pause. The caller holds mu.
func (r *Reservation) beginTry() {
	if a := r.u.said; !a.pausedUntil.IsZero() {
		a.trying, r.trying = true, true
	}
}

// endTry lets other requests follow the first one after a pause. The caller holds mu.
func (r *Reservation) endTry() {
	if r.trying {
		r.u.said.trying, r.trying = false, false
	}
}

// ResumesIn returns the time until the first upstream of a service takes requests again
// after a pause. It returns false if none is paused.
func (b *Balancer) ResumesIn(now time.Time, serviceName string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[serviceName]
	if s == nil {
		return 0, false
	}
	var first time.Duration
	found := false
	for _, u := range s.serving {
		if wait := u.said.pausedUntil.Sub(now); !u.said.leaving && wait > 0 && (!found || wait < first) {
			first, found = wait, true
		}
	}
	return first, found
}

// Unavailable returns the number of listed upstreams that have said that they are leaving
// and of those that are paused.
func (b *Balancer) Unavailable(now time.Time) (leaving, paused int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, u := range b.upstreams {
		switch {
		case u.said.leaving:
			leaving++
		case now.Before(u.said.pausedUntil):
			paused++
		}
	}
	return leaving, paused
}
