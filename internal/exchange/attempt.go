package exchange

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

const (
	// silenceFactor times the upper range of a stream's own intervals counts
	// as silence.
	silenceFactor = 4
	// minGapSamples is how many intervals the stream's own distribution
	// needs before it is used.
	minGapSamples = 4
)

// attempt is the state of one attempt.
type attempt struct {
	id       domain.AttemptID
	upstream domain.UpstreamID
	hedge    bool
	ended    bool
	// mayHaveRun is cleared only when the upstream is known not to have run
	// the attempt.
	mayHaveRun    bool
	lateCause     domain.WasteCause // of events after the end
	conn          int
	next          int // index of the next event
	tokens        int
	reconnects    int // without progress
	silences      int // without progress
	started       time.Time
	lastProgress  time.Time // last progress, start or resumption
	gaps          gapEstimate
	probing       bool
	probeDeadline time.Time
	reconnectAt   time.Time // pending resumption; zero means none
	moveAt        time.Time // planned move; zero means none
	moveDeadline  time.Time
}

// silentAt returns when the attempt counts as silent.
func (a *attempt) silentAt(cfg *Config) time.Time {
	limit := cfg.FirstTokenSilence
	if a.next > 0 {
		limit = a.gaps.silenceLimit(cfg)
	}
	return a.lastProgress.Add(limit << min(a.silences, 4))
}

// progress records an event at now.
func (a *attempt) progress(now time.Time, tokens int) time.Duration {
	d := now.Sub(a.lastProgress)
	if a.next > 0 && a.reconnects == 0 && a.silences == 0 {
		a.gaps.add(d)
	}
	a.lastProgress = now
	a.next++
	a.tokens += tokens
	a.reconnects = 0
	a.silences = 0
	return d
}

// gapEstimate is a decaying mean and mean deviation of gapEstimate between
// events, with the gains of RFC 6298.
type gapEstimate struct {
	mean, deviation time.Duration
	samples         int
}

func (v *gapEstimate) add(d time.Duration) {
	if v.samples == 0 {
		v.mean = d
		v.deviation = d / 2
	} else {
		v.deviation += ((d - v.mean).Abs() - v.deviation) / 4
		v.mean += (d - v.mean) / 8
	}
	v.samples++
}

func (v *gapEstimate) silenceLimit(cfg *Config) time.Duration {
	if v.samples < minGapSamples {
		if cfg.InterTokenLatency == 0 {
			return cfg.FirstTokenSilence
		}
		return max(cfg.MinSilence, silenceFactor*2*cfg.InterTokenLatency)
	}
	return max(cfg.MinSilence, silenceFactor*(v.mean+4*v.deviation))
}
