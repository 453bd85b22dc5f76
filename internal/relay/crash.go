package relay

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/balancer"
	"github.com/auburndyke/auburndyke/internal/quarantine"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// soundEvents is the number of events of a stream after which its prompt counts as
	// harmless to its upstream.
	soundEvents = 4
	// crashProbeTimeout bounds the connection that shows whether an upstream has
	// crashed. It covers a round trip to another region.
	crashProbeTimeout = 100 * time.Millisecond
	// maxCopyWait bounds how long a request waits for the attempt of a copy, and
	// copyPollInterval is how often it looks.
	maxCopyWait      = time.Second
	copyPollInterval = 10 * time.Millisecond
	// peerDoubt is how long after a crash a peer's repeat of the request may be at an
	// upstream that has not begun to answer it.
	peerDoubt = 300 * time.Millisecond
	// evidenceWait is the time in which peers tell of other upstreams that crashed, which
	// may explain the crash of this daemon's.
	evidenceWait = 150 * time.Millisecond
)

// errBlocked ends attempts whose prompts have a part that was blocked meanwhile.
var errBlocked = errors.New("a part of the prompt crashes upstreams")

// partsOf returns what may crash upstreams: the parts of the prompt that other requests
// may have as well, which are all but the last, and behind them the whole request.
func partsOf(r *http.Request, prompt []balancer.Part, body []byte) []quarantine.Part {
	parts := make([]quarantine.Part, 0, len(prompt)+1)
	for _, part := range prompt[:max(len(prompt)-1, 0)] {
		parts = append(parts, quarantine.SharedPart(part.ID))
	}
	return append(parts, wholeRequest(r, prompt, body))
}

// wholeRequest identifies a request by its content. The same content has the same
// identity whoever sends it to whichever daemon; its hash says nothing else about it.
func wholeRequest(r *http.Request, prompt []balancer.Part, body []byte) quarantine.Part {
	var h xxhash.Digest
	h.Reset()
	for _, text := range []string{r.Method, r.Host, r.RequestURI} {
		_, _ = h.WriteString(text) // a hash does not fail
		_, _ = h.Write([]byte{0})
	}
	var id [8]byte
	for _, part := range prompt {
		binary.BigEndian.PutUint64(id[:], part.ID)
		_, _ = h.Write(id[:])
	}
	_, _ = h.Write(body)
	return quarantine.WholeRequest(h.Sum64())
}

// sharedParts returns the parts of the prompt among the request's parts.
func (q *request) sharedParts() []quarantine.Part { return q.parts[:len(q.parts)-1] }

// whole returns the whole request among its parts.
func (q *request) whole() quarantine.Part { return q.parts[len(q.parts)-1] }

// blocked returns until when requests with the prompt are refused, if they are.
func (q *request) blocked() (until time.Time, ok bool) {
	return q.h.Quarantine.Blocked(time.Now(), q.parts)
}

// awaitCopies waits while a copy of the request may be at another upstream after it has
// ended one, so that one upstream is risked at a time. It reports whether the request is
// blocked then.
func (q *request) awaitCopies() (blocked bool) {
	wait := min(maxCopyWait, q.remaining()/4)
	for until := time.Now().Add(wait); q.copyInDoubt() && time.Now().Before(until); {
		if !backoff.Sleep(q.ctx, copyPollInterval) {
			break
		}
		if _, blocked = q.blocked(); blocked {
			return true
		}
	}
	return false
}

// copyInDoubt reports whether another copy of a suspected request is at an upstream, or
// may be sent to one again by a peer that has just lost an upstream under it.
func (q *request) copyInDoubt() bool {
	lastCrash, suspected := q.h.Quarantine.Suspected(q.whole())
	if !suspected {
		return false
	}
	return q.h.open.has(q.whole()) || q.sends == 0 && time.Since(lastCrash) < peerDoubt
}

// stillBlocked reports whether the request must not be repeated, because it is blocked and
// stays so when peers have told what they know.
func (q *request) stillBlocked() bool {
	if _, blocked := q.blocked(); !blocked {
		return false
	}
	if !backoff.Sleep(q.ctx, min(evidenceWait, q.remaining()/4)) {
		return true
	}
	_, blocked := q.blocked()
	return blocked
}

// refuseBlocked refuses a request that would crash its upstream, and reports whether it
// did.
func (q *request) refuseBlocked() bool {
	until, blocked := q.blocked()
	if blocked {
		q.refuse(http.StatusServiceUnavailable, reasonCrashesUpstreams, min(time.Until(until), q.maxRetryAfter()))
	}
	return blocked
}

// recordSound records that the upstream got past the prompt without a crash.
func (a *attempt) recordSound() { a.q.h.Quarantine.Sound(time.Now(), a.q.parts) }

// recordCrash records evidence against the prompt if the upstream crashed before the
// response had shown that the prompt is harmless. An upstream that broke off only this
// response still accepts connections; one that was leaving has ended for another reason.
func (a *attempt) recordCrash(err error) {
	q := a.q
	if a.events.Load() >= soundEvents || !connectionEnded(err) || a.choice.Upstream.Draining {
		return
	}
	parts, stage := q.parts, a.crashStage()
	// Requests in the other stages are many, and most have only sound parts.
	if stage == quarantine.Other && !q.h.Quarantine.Unknown(time.Now(), q.sharedParts()) {
		parts = []quarantine.Part{q.whole()}
	}
	ctx, cancel := context.WithTimeout(q.ctx, crashProbeTimeout)
	defer cancel()
	if !q.h.Pool.Refuses(ctx, a.choice.Upstream.Address) {
		return
	}
	q.logCrash(a, stage)
	q.h.Metrics.crashes.Inc(1)
	q.h.Quarantine.Crash(time.Now(), a.choice.Upstream.ID, a.sentAt, stage, parts)
}

// crashStage returns how far the response had come when its upstream crashed. A plain
// service sends the header when the work is done, so that a request that did not have to
// wait there was running.
func (a *attempt) crashStage() quarantine.Stage {
	switch {
	case a.events.Load() > 0:
		return quarantine.Other
	case a.response != nil, !a.q.engine && !a.choice.Queueing:
		return quarantine.Begun
	default:
		return quarantine.Other
	}
}

// connectionEnded reports whether an error means that the upstream closed or reset the
// connection.
func connectionEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, errNoEvents) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// PartChanged takes notice of a part that is blocked or no longer blocked. Attempts
// that have it and no event yet end at once, before they crash their upstreams.
func (h *Handler) PartChanged(c quarantine.Change) {
	h.logPart(c)
	if c.Blocked {
		h.open.cancelBlocked(h.Quarantine)
	} else if c.Sound {
		h.Metrics.refusedSound.Inc(c.Refused)
	}
}

// openAttempts holds the attempts in progress.
type openAttempts struct {
	mu  sync.Mutex
	all map[*attempt]struct{}
}

func (o *openAttempts) add(a *attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.all == nil {
		o.all = make(map[*attempt]struct{})
	}
	o.all[a] = struct{}{}
}

func (o *openAttempts) remove(a *attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.all, a)
}

// has reports whether an attempt of a whole request is in progress that has no event yet.
func (o *openAttempts) has(whole quarantine.Part) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for a := range o.all {
		if a.q.whole() == whole && a.events.Load() == 0 {
			return true
		}
	}
	return false
}

// cancelBlocked ends the attempts without an event that have a blocked part.
func (o *openAttempts) cancelBlocked(t *quarantine.Tracker) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for a := range o.all {
		if a.events.Load() > 0 {
			continue
		}
		if _, blocked := t.Blocked(now, a.q.parts); blocked {
			a.cancel(errBlocked)
		}
	}
}

// logCrash logs the crash of an upstream that had the attempt's request.
func (q *request) logCrash(a *attempt, stage quarantine.Stage) {
	line := q.h.Log.Event(telemetry.UpstreamCrashed)
	if line == nil {
		return
	}
	line.Str("request", string(q.id())).Str("upstream", string(a.choice.Upstream.ID)).
		Str("address", a.choice.Upstream.Address).Bool("begun", stage == quarantine.Begun).
		Strs("parts", formatParts(q.sharedParts())).Str("whole", formatPart(q.whole())).
		Str("route", q.route.Name).Str("customer", string(q.customer)).Send()
}

// logPart logs that a part is blocked or no longer blocked.
func (h *Handler) logPart(c quarantine.Change) {
	if c.Blocked {
		h.Log.Event(telemetry.PartBlocked).Str("part", formatPart(c.Part)).Bool("whole_request", c.Part.Whole()).Float64("score", c.Score).
			Int("crashes", c.Crashes).Int("own_crashes", c.Own).
			Int64("hold_ms", time.Until(c.Until).Milliseconds()).Int64("refused", c.Refused).Send()
		return
	}
	h.Log.Event(telemetry.PartUnblocked).Str("part", formatPart(c.Part)).Bool("whole_request", c.Part.Whole()).Bool("sound", c.Sound).
		Int64("refused", c.Refused).Send()
}
