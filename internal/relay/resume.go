package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/httproute"
	"github.com/auburndyke/auburndyke/internal/origin"
)

// takeUpMargin is how long after its timeout a caller may still take a stream up.
const takeUpMargin = time.Second

// Origins says at which software version of its upstream a stream began. It is implemented
// by origin.Keeper.
type Origins interface {
	// Begin records that the attempt brought a stream's first event, or that the stream
	// goes on, and until when the caller may take it up.
	Begin(now time.Time, id domain.RequestID, o origin.Origin, until time.Time)
	// End records that the whole stream was sent to the caller.
	End(now time.Time, id domain.RequestID)
	// Resolve returns the version at which the stream of an attempt began. It returns
	// false if that is not known.
	Resolve(ctx context.Context, id domain.RequestID, service string) (softwareVersion string, known bool)
}

// listedVersions are Origins that remember no stream.
type listedVersions struct{ balancer *balancer.Balancer }

func (listedVersions) Begin(time.Time, domain.RequestID, origin.Origin, time.Time) {}
func (listedVersions) End(time.Time, domain.RequestID)                             {}

func (l listedVersions) Resolve(_ context.Context, _ domain.RequestID, service string) (string, bool) {
	versions := l.balancer.SoftwareVersions(service)
	if len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// resumable reports whether the caller may take the request's stream up again.
func (q *request) resumable() bool { return q.route.Type == httproute.Stream && q.route.Resumable }

// takesUp reports whether the caller takes up a stream that an earlier attempt began.
func (q *request) takesUp() bool { return q.resumable() && q.info.LastEventID != "" }

// pinToOrigin limits a stream that the caller takes up to the software version that began
// it. If it reports false, it has written the response.
func (q *request) pinToOrigin() bool {
	if !q.takesUp() {
		return true
	}
	version, known := q.h.Origins.Resolve(q.ctx, q.info.Resumes, q.service)
	switch {
	case known:
		q.pin(version)
		return true
	case q.callerGone():
		q.outcome.setEnded(outcomeCallerDisconnected, "")
	default:
		q.respond(http.StatusServiceUnavailable, reasonUnknownSoftware)
	}
	return false
}

// versionGone reports whether no upstream of the stream's software version takes requests.
// Versions that are replaced do not come back, so that the caller is not told to retry.
func (q *request) versionGone() bool {
	query := q.query()
	query.Tried = nil
	return q.pinned && !q.h.Balancer.HasCandidate(time.Now(), query)
}

// recordOrigin records the software version of the upstream whose event reaches the caller
// first in this attempt.
func (q *request) recordOrigin(softwareVersion string) {
	if !q.resumable() {
		return
	}
	timeout := q.info.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	o := origin.Origin{Service: q.service, SoftwareVersion: softwareVersion}
	q.h.Origins.Begin(time.Now(), q.originID(), o, q.arrived.Add(timeout+takeUpMargin))
}

// originID returns the attempt that brought the first event of the request's stream.
func (q *request) originID() domain.RequestID {
	if q.takesUp() && q.info.Resumes != "" {
		return q.info.Resumes
	}
	return q.info.ID
}
