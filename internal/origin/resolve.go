package origin

import (
	"context"
	"time"

	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/contain"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// readMaxAge is how old the rows may be that are read for a caller.
	readMaxAge = 250 * time.Millisecond
	// askDelay is how long the platform has to decide before peers are asked as well.
	askDelay = 50 * time.Millisecond
	// writeMargin is how long a write may take after its interval before a stream that
	// is missing counts as unknown.
	writeMargin = 150 * time.Millisecond
)

// Resolve returns the software version at which a stream began that the caller's attempt
// resumes. It returns false if that is not known, and then has waited for the time in
// which another daemon writes down a stream.
func (k *Keeper) Resolve(ctx context.Context, id domain.RequestID, service string) (softwareVersion string, known bool) {
	asked := time.Now()
	fresh := asked.Add(-readMaxAge)
	for attempt := 0; ; attempt++ {
		if version, known := k.Lookup(time.Now(), id, service); known {
			return version, true
		}
		r := k.search(ctx, asked, fresh, keyOf(id), service)
		if r.known {
			return r.softwareVersion, true
		}
		// Nothing more is to be learned soon from a platform that does not answer.
		if attempt > 0 || r.word.rows == nil || !backoff.Sleep(ctx, k.o.interval()+writeMargin) {
			k.logUnknown(service, r)
			return "", false
		}
		fresh = time.Now()
	}
}

// result is what a search has led to.
type result struct {
	softwareVersion string
	known           bool
	// word is what the platform has told, and question what peers were asked, if they were.
	word     platformWord
	question *round
}

// search looks for a stream in the rows of all daemons, read after fresh, and in the memory
// of peers if the platform does not decide at once. A stream that none of them knows began
// at the only version in service, if there was only one for as long as callers wait, up to
// the moment at which the caller asked.
func (k *Keeper) search(ctx context.Context, asked, fresh time.Time, stream key, service string) (r result) {
	// The readings serve other callers as well, so that they outlast this one's.
	reading := k.readPlatform(context.WithoutCancel(ctx), asked, fresh, service)
	timer := time.NewTimer(askDelay)
	defer timer.Stop()
	select {
	case r.word = <-reading:
		reading = nil
	case <-timer.C:
	case <-ctx.Done():
		return r
	}
	if r.softwareVersion, r.known = k.decide(r.word, stream, service); r.known {
		return r
	}
	r.question = k.ask(service, stream)
	for {
		finished, changed := k.progress(r.question)
		if r.softwareVersion, r.known = k.inquiries.lookup(r.question, stream); r.known {
			return r
		}
		if finished && reading == nil {
			break
		}
		select {
		case r.word = <-reading:
			reading = nil
			if r.softwareVersion, r.known = k.decide(r.word, stream, service); r.known {
				return r
			}
		case <-changed:
		case <-ctx.Done():
			return r
		}
	}
	r.softwareVersion, r.known = k.only(time.Now(), r.question)
	return r
}

// platformWord is what the platform has told for one search.
type platformWord struct {
	// rows are those of all daemons, or nil if they could not be read.
	rows *shared
	// listed reports whether the list of upstreams is complete as of the search.
	listed bool
}

// readPlatform reads the rows of all daemons and, if only one version is known, has the
// list of upstreams confirmed.
func (k *Keeper) readPlatform(ctx context.Context, asked, fresh time.Time, service string) <-chan platformWord {
	out := make(chan platformWord, 1)
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	listed := make(chan bool, 1)
	go func() {
		_, only := k.Only(time.Now(), service)
		listed <- only && contain.Do(k.o.Log, "the list of upstreams", func() error { return k.o.Confirm(ctx, asked) }) == nil
	}()
	go func() {
		defer cancel()
		var word platformWord
		err := contain.Do(k.o.Log, "the origins of streams", func() (err error) {
			word.rows, err = k.read(ctx, fresh)
			return err
		})
		if err != nil { // logged
			out <- platformWord{}
			return
		}
		word.listed = <-listed
		out <- word
	}()
	return out
}

// logUnknown logs what a search without a result rests on.
func (k *Keeper) logUnknown(service string, r result) {
	if r.question == nil {
		return // the caller has left
	}
	rows := "complete"
	switch {
	case r.word.rows == nil:
		rows = "unreachable"
	case !r.word.rows.complete:
		rows = "incomplete"
	}
	asked, answered, fleet := k.count(r.question)
	k.o.Log.Event(telemetry.OriginUnknown).Str("service", service).Str("rows", rows).Bool("listed", r.word.listed).
		Float64("known_s", k.knownFor(time.Now()).Seconds()).Int("asked", asked).Int("answered", answered).Int("fleet", fleet).Send()
}

// decide returns the version at which a stream began if the platform's word tells it.
func (k *Keeper) decide(word platformWord, stream key, service string) (softwareVersion string, known bool) {
	if word.rows == nil {
		return "", false
	}
	if o, known := word.rows.streams[stream]; known && o.Service == service {
		return o.SoftwareVersion, true
	}
	now := time.Now()
	if _, all := k.versionsKnown(now); !all || !word.rows.complete || !word.listed {
		return "", false
	}
	return k.Only(now, service)
}
