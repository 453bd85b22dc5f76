package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

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
)

// errBlocked ends attempts whose prompts have a part that was blocked meanwhile.
var errBlocked = errors.New("a part of the prompt crashes upstreams")

// sharedParts returns the parts of a prompt that other requests may have as well: all
// but the last, which belongs to the request or its session.
func sharedParts(prompt []balancer.Part) []quarantine.Part {
	if len(prompt) < 2 {
		return nil
	}
	parts := make([]quarantine.Part, len(prompt)-1)
	for i := range parts {
		parts[i] = quarantine.Part(prompt[i].ID)
	}
	return parts
}

// blocked returns until when requests with the prompt are refused, if they are.
func (q *request) blocked() (until time.Time, ok bool) {
	return q.h.Quarantine.Blocked(time.Now(), q.parts)
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
func (a *attempt) recordSound() {
	if len(a.q.parts) > 0 {
		a.q.h.Quarantine.Sound(time.Now(), a.q.parts)
	}
}

// recordCrash records evidence against the prompt if the upstream crashed before the
// response had shown that the prompt is harmless. An upstream that broke off only this
// response still accepts connections; one that was leaving has ended for another reason.
func (a *attempt) recordCrash(err error) {
	q := a.q
	events := a.events.Load()
	if len(q.parts) == 0 || events >= soundEvents || !connectionEnded(err) || a.choice.Upstream.Draining {
		return
	}
	stage := quarantine.Other
	if a.response != nil && events == 0 {
		stage = quarantine.Begun
	}
	// Requests in the other stages are many, and most have only sound parts.
	if stage == quarantine.Other && !q.h.Quarantine.Unknown(time.Now(), q.parts) {
		return
	}
	ctx, cancel := context.WithTimeout(q.ctx, crashProbeTimeout)
	defer cancel()
	if !q.h.Pool.Refuses(ctx, a.choice.Upstream.Address) {
		return
	}
	q.logCrash(a, stage)
	q.h.Metrics.crashes.Inc(1)
	q.h.Quarantine.Crash(time.Now(), a.choice.Upstream.ID, a.sentAt, stage, q.parts)
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

// openAttempts holds the attempts in progress whose prompts have shared parts.
type openAttempts struct {
	mu  sync.Mutex
	all map[*attempt]struct{}
}

func (o *openAttempts) add(a *attempt) {
	if len(a.q.parts) == 0 {
		return
	}
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
		Strs("parts", formatParts(q.parts)).Send()
}

// logPart logs that a part is blocked or no longer blocked.
func (h *Handler) logPart(c quarantine.Change) {
	if c.Blocked {
		h.Log.Event(telemetry.PartBlocked).Str("part", formatPart(c.Part)).Float64("score", c.Score).
			Int("crashes", c.Crashes).Int("own_crashes", c.Own).
			Int64("hold_ms", time.Until(c.Until).Milliseconds()).Int64("refused", c.Refused).Send()
		return
	}
	h.Log.Event(telemetry.PartUnblocked).Str("part", formatPart(c.Part)).Bool("sound", c.Sound).
		Int64("refused", c.Refused).Send()
}
