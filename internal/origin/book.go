package origin

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndyke/auburndyke/internal/domain"
)

const (
	// Memory is how long a stream is remembered at most, and how long a version that is
	// no longer listed counts as in service. Callers take a stream up within the time
	// that they wait for it.
	Memory = 2 * time.Minute
	// endedMemory is how long a complete stream is remembered. Its last events may be
	// lost with the connection to the caller.
	endedMemory = 3 * time.Second
	// maxStreams bounds the streams in a Book. Streams beyond it can't be taken up while
	// several versions serve.
	maxStreams = 20_000
	// expireInterval is the least time between two searches of a full Book for streams
	// to forget.
	expireInterval = time.Second
)

// Origin is where a stream began.
type Origin struct {
	_               struct{} `cbor:",toarray"`
	Service         string
	SoftwareVersion string
}

// key is a hash of the id of the attempt that brought a stream's first event.
type key uint64

func keyOf(id domain.RequestID) key { return key(xxhash.Sum64String(string(id))) }

type stream struct {
	origin Origin
	until  time.Time
}

// Book holds the streams of one daemon and the software versions in service. It is safe
// for concurrent use.
type Book struct {
	mu      sync.Mutex
	streams map[key]stream
	// listed holds the versions of each service's upstreams, and left when a version was
	// last listed that is no longer.
	listed map[string][]string
	left   map[string]map[string]time.Time
	// reported holds when the row of another daemon last said that a service had several
	// versions.
	reported map[string]time.Time
	// knownSince is the time from which the daemon knows all versions that were in
	// service. It is zero before the first list of upstreams.
	knownSince time.Time
	// firstStart means that there were no streams before the process started.
	firstStart bool
	// expiredAt is when streams were last forgotten.
	expiredAt time.Time
	// changes counts the changes of streams.
	changes uint64
}

// NewBook returns a Book without streams.
func NewBook() *Book {
	return &Book{
		streams: make(map[key]stream), listed: make(map[string][]string), left: make(map[string]map[string]time.Time),
		reported: make(map[string]time.Time),
	}
}

// Begin records that the attempt brought a stream's first event, or that the stream goes
// on, and until when the caller may take it up.
func (b *Book) Begin(now time.Time, id domain.RequestID, o Origin, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.streams) >= maxStreams && now.Sub(b.expiredAt) >= expireInterval {
		b.expire(now)
	}
	if len(b.streams) >= maxStreams {
		return
	}
	if latest := now.Add(Memory); until.After(latest) {
		until = latest
	}
	b.streams[keyOf(id)] = stream{o, until}
	b.changes++
}

// End records that the whole stream was sent to the caller.
func (b *Book) End(now time.Time, id domain.RequestID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, known := b.streams[keyOf(id)]
	if until := now.Add(endedMemory); known && until.Before(s.until) {
		s.until = until
		b.streams[keyOf(id)] = s
	}
}

// Lookup returns the software version at which a stream began, if it is known.
func (b *Book) Lookup(now time.Time, id domain.RequestID, service string) (softwareVersion string, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lookup(now, keyOf(id), service)
}

// lookup is Lookup by key. The caller holds mu.
func (b *Book) lookup(now time.Time, k key, service string) (softwareVersion string, known bool) {
	s, known := b.streams[k]
	if !known || s.origin.Service != service || now.After(s.until) {
		return "", false
	}
	return s.origin.SoftwareVersion, true
}

// Observe replaces the versions of the listed upstreams, by service. It reports whether a
// service has several now and had not before.
func (b *Book) Observe(now time.Time, versions map[string][]string) (mixed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := make(map[string]bool)
	for service := range versions {
		before[service] = len(b.inService(now, service)) > 1
	}
	for service, old := range b.listed {
		for _, version := range old {
			if !slices.Contains(versions[service], version) {
				if b.left[service] == nil {
					b.left[service] = make(map[string]time.Time)
				}
				b.left[service][version] = now
			}
		}
	}
	b.listed = versions
	if b.knownSince.IsZero() {
		b.knownSince = now
		if b.firstStart {
			b.knownSince = now.Add(-Memory)
		}
	}
	for service := range versions {
		if !before[service] && len(b.inService(now, service)) > 1 {
			mixed = true
		}
	}
	return mixed
}

// Gap records that versions may have come and gone since the last list of upstreams.
func (b *Book) Gap(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.knownSince.IsZero() {
		b.knownSince = now
	}
}

// inService returns the versions of a service that are listed or were within Memory. The
// caller holds mu.
func (b *Book) inService(now time.Time, service string) []string {
	out := slices.Clone(b.listed[service])
	for version, at := range b.left[service] {
		switch {
		case now.Sub(at) >= Memory:
			delete(b.left[service], version)
		case !slices.Contains(out, version):
			out = append(out, version)
		}
	}
	return out
}

// Only returns the version of a service that is the only one in service, as far as this
// daemon has seen or the rows of others have said.
func (b *Book) Only(now time.Time, service string) (softwareVersion string, only bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	versions := b.inService(now, service)
	if len(versions) != 1 || b.reportedMixed(now, service) {
		return "", false
	}
	return versions[0], true
}

// reportedMixed reports whether another daemon said within Memory that a service had
// several versions. The caller holds mu.
func (b *Book) reportedMixed(now time.Time, service string) bool {
	at, reported := b.reported[service]
	if reported && now.Sub(at) >= Memory {
		delete(b.reported, service)
		return false
	}
	return reported
}

// report records which services had several versions according to the rows of all daemons.
// Daemons write that down for Memory, so that complete rows tell of all versions that were
// in service within Memory before.
func (b *Book) report(readAt time.Time, mixed map[string]bool, complete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service := range mixed {
		b.reported[service] = readAt
	}
	if !complete || b.knownSince.IsZero() || readAt.Before(b.knownSince) {
		return
	}
	if since := readAt.Add(-Memory); since.Before(b.knownSince) {
		b.knownSince = since
	}
}

// knownFor returns for how long the daemon has known all versions in service.
func (b *Book) knownFor(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.knownSince.IsZero() {
		return 0
	}
	return now.Sub(b.knownSince)
}

// versionsKnown reports whether the list of upstreams was read, and whether the daemon knows
// of all versions that were in service within Memory.
func (b *Book) versionsKnown(now time.Time) (listed, all bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.versionsKnownLocked(now)
}

// versionsKnownLocked is versionsKnown. The caller holds mu.
func (b *Book) versionsKnownLocked(now time.Time) (listed, all bool) {
	listed = !b.knownSince.IsZero()
	return listed, listed && now.Sub(b.knownSince) >= Memory
}

// Mixed reports whether any service has several versions in service, as far as this daemon
// has seen or the rows of others have said.
func (b *Book) Mixed(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service := range b.listed {
		if len(b.inService(now, service)) > 1 || b.reportedMixed(now, service) {
			return true
		}
	}
	return false
}

// expire forgets streams that can't be taken up any more. The caller holds mu.
func (b *Book) expire(now time.Time) {
	b.expiredAt = now
	for k, s := range b.streams {
		if now.After(s.until) {
			delete(b.streams, k)
		}
	}
}
