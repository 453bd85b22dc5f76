package exchange

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

const (
	// silenceFactor times the upper range of a stream's own intervals counts
	// as silence.
	silenceFactor = 4
	// intervalSamples is how many intervals the stream's own distribution
	// needs before it is used.
	intervalSamples = 4
)

// attempt is the state of one attempt.
type attempt struct {
	id       domain.AttemptID
	upstream domain.UpstreamID
	hedge    bool
	over     bool
	// mayHaveRun is cleared only when the upstream is known not to have run
	// the attempt.
	mayHaveRun bool
	cause      domain.WasteCause // of events after the end
	conn       int
	next       int // index of the next event
	tokens     int
	resumes    int // without progress
	silences   int // without progress
	started    time.Time
	last       time.Time // last progress, start or resumption
	intervals  intervals
	probing    bool
	probeBy    time.Time
	resumeAt   time.Time // pending resumption; zero means none
	moveAt     time.Time // planned move; zero means none
	moveBy     time.Time
}

// silentAt returns when the attempt counts as silent.
func (a *attempt) silentAt(cfg *Config) time.Time {
	limit := cfg.FirstTokenSilence
	if a.next > 0 {
		limit = a.intervals.limit(cfg)
	}
	return a.last.Add(limit << min(a.silences, 4))
}

// progress records an event at now.
func (a *attempt) progress(now time.Time, tokens int) time.Duration {
	d := now.Sub(a.last)
	if a.next > 0 && a.resumes == 0 && a.silences == 0 {
		a.intervals.add(d)
	}
	a.last = now
	a.next++
	a.tokens += tokens
	a.resumes = 0
	a.silences = 0
	return d
}

// intervals is a decaying mean and mean deviation of intervals between
// events, with the gains of RFC 6298.
type intervals struct {
	mean, deviation time.Duration
	samples         int
}

func (v *intervals) add(d time.Duration) {
	if v.samples == 0 {
		v.mean = d
		v.deviation = d / 2
	} else {
		v.deviation += ((d - v.mean).Abs() - v.deviation) / 4
		v.mean += (d - v.mean) / 8
	}
	v.samples++
}

func (v *intervals) limit(cfg *Config) time.Duration {
	if v.samples < intervalSamples {
		if cfg.InterTokenLatency == 0 {
			return cfg.FirstTokenSilence
		}
		return max(cfg.MinSilence, silenceFactor*2*cfg.InterTokenLatency)
	}
	return max(cfg.MinSilence, silenceFactor*(v.mean+4*v.deviation))
}
