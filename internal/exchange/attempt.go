package exchange

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

const (
	// silenceFactor times the upper bound that is estimated for a stream's
	// inter-token gaps counts as silence.
	silenceFactor = 4
	// minGapSamples is how many gaps of its own a stream needs before its
	// estimate replaces Config.InterTokenLatency.
	minGapSamples = 4
)

// attempt is the state of one attempt.
type attempt struct {
	id       domain.AttemptID
	upstream domain.UpstreamID
	hedge    bool
	ended    bool
	// mayHaveRun is cleared only when the upstream is known not to have run
	// any part of the attempt.
	mayHaveRun    bool
	lateCause     domain.WasteCause // of tokens that arrive after the end
	conn          int
	next          int // index of the next event
	tokens        int
	reconnects    int // since the last event
	silences      int // since the last event
	started       time.Time
	silenceStart  time.Time // start of the gap in progress
	gaps          gapEstimate
	probing       bool
	probeDeadline time.Time
	reconnectAt   time.Time // pending reconnect; zero means none
	moveAt        time.Time // planned move; zero means none
	moveDeadline  time.Time
}

// silentAt returns when the attempt counts as silent. The limit doubles with
// each silence since the last event.
func (a *attempt) silentAt(cfg *Config) time.Time {
	limit := cfg.FirstTokenSilence
	if a.next > 0 {
		limit = a.gaps.silenceLimit(cfg)
	}
	return a.silenceStart.Add(limit << min(a.silences, 4))
}

// progress records an event at now and returns the gap before it. Gaps that
// contain a reconnect or a silence are left out of the estimate.
func (a *attempt) progress(now time.Time, tokens int) time.Duration {
	d := now.Sub(a.silenceStart)
	if a.next > 0 && a.reconnects == 0 && a.silences == 0 {
		a.gaps.add(d)
	}
	a.silenceStart = now
	a.next++
	a.tokens += tokens
	a.reconnects = 0
	a.silences = 0
	return d
}

// gapEstimate is an exponentially weighted mean and mean deviation of the gaps
// between events, with the gains of RFC 6298.
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

// silenceLimit returns the shortest gap that counts as silence.
func (v *gapEstimate) silenceLimit(cfg *Config) time.Duration {
	if v.samples < minGapSamples {
		if cfg.InterTokenLatency == 0 {
			return cfg.FirstTokenSilence
		}
		return max(cfg.MinSilence, silenceFactor*2*cfg.InterTokenLatency)
	}
	return max(cfg.MinSilence, silenceFactor*(v.mean+4*v.deviation))
}
