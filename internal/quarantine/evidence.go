package quarantine

import (
	"slices"
	"sync/atomic"
	"time"
)

const (
	// begunWeight and otherWeight are the scores of a crash at these stages.
	begunWeight = 0.5
	otherWeight = 0.25

	// A crash counts in full for fullWeightAge, and then less and less until
	// crashTTL.
	fullWeightAge = 30 * time.Second
	crashTTL      = 2 * time.Minute
	// sameCrashTime is the time between reports of one crash of an upstream. No
	// upstream restarts and crashes again sooner.
	sameCrashTime = 2 * time.Second
	// Crashes of several upstreams within commonCauseTime count once, unless the request
	// was sent to one of them only after the other had crashed. Their common cause is
	// likelier the loss of a zone than a part of different requests.
	commonCauseTime = 100 * time.Millisecond
	// A crash is no evidence against a whole request if at least lossCrashes other
	// upstreams crashed within lossTime of it: a request that is sent again during the loss
	// of a zone meets two crashes by chance, and nobody else uses it and shows that it is
	// sound.
	lossTime    = 200 * time.Millisecond
	lossCrashes = 6
	// maxLossCrashes bounds the crashes of all upstreams that are kept for that.
	maxLossCrashes = 256
)

// loss holds the latest crashes of all upstreams, oldest first.
type loss []crash

// add adds a crash. It reports whether it was new.
func (l *loss) add(c crash) bool {
	if slices.ContainsFunc(*l, c.same) {
		return false
	}
	*l = append(*l, c)
	*l = (*l)[max(len(*l)-maxLossCrashes, 0):]
	return true
}

// explains reports whether the crashes of other upstreams explain a crash in the evidence
// against a whole request.
func (l loss) explains(c crash, evidence []crash) bool {
	others := 0
	for _, other := range l {
		if other.at.Sub(c.at).Abs() < lossTime && !slices.ContainsFunc(evidence, other.same) {
			others++
		}
	}
	return others >= lossCrashes
}

// Stage is how far a response had come when its upstream crashed.
type Stage uint8

const (
	// Other responses had no header, and most likely waited in the upstream's queue, or
	// had got past their beginning.
	Other Stage = iota
	// Begun responses had a header and no event.
	Begun
)

func (s Stage) weight() float64 {
	if s == Begun {
		return begunWeight
	}
	return otherWeight
}

// suspect is a part with evidence against it.
type suspect struct {
	crashes []crash // distinct, oldest first
	// blocks is the number of blocks in a row, and until the end of the last one.
	blocks int
	until  time.Time
	// refused counts the requests that the block has refused. Nil means that the part
	// is not blocked.
	refused *atomic.Int64
}

// strong reports whether the evidence is so strong that peers have to know it at once.
// Most requests that an upstream has when it crashes have only sound parts.
func (s *suspect) strong() bool {
	evidence := s.evidence()
	return len(evidence) > 1 || slices.ContainsFunc(evidence, func(c crash) bool { return c.stage == Begun })
}

// reportable reports whether peers have to know the evidence against a part. Each of them
// may see only one of many crashes, so that a weak one counts as well, unless the part is
// known to be sound. Whole requests are too many for that: each that an upstream has is
// one.
func (s *suspect) reportable(part Part, knownSound bool) bool {
	return s.strong() || !part.Whole() && !knownSound && len(s.evidence()) > 0
}

// evidence returns the crashes since the part was last sound, oldest first.
func (s *suspect) evidence() []crash {
	i := 0
	for i < len(s.crashes) && s.crashes[i].cleared {
		i++
	}
	return s.crashes[i:]
}

// blocked reports whether requests with the part are refused.
func (s *suspect) blocked() bool { return s.refused != nil }

// explainsBlock reports whether the crashes of other upstreams leave too little of the
// evidence that a whole request was blocked on, before they were known.
func (l loss) explainsBlock(evidence []crash) bool {
	unexplained := 0
	for _, c := range evidence {
		if !l.explains(c, evidence) {
			unexplained++
		}
	}
	return unexplained <= 1 && unexplained < len(evidence)
}

// score returns the weight of the evidence, without the crashes that a loss of upstreams
// explains. A nil loss explains none.
func (s *suspect) score(now time.Time, l loss) float64 {
	// group is the weight of the crashes that count once, since groupStart.
	var score, group float64
	var groupStart time.Time
	for _, c := range s.evidence() {
		if l.explains(c, s.evidence()) {
			continue
		}
		if c.at.Sub(groupStart) >= commonCauseTime || c.sent.After(groupStart) {
			score, group, groupStart = score+group, 0, c.at
		}
		fading := float64(now.Sub(c.at)-fullWeightAge) / float64(crashTTL-fullWeightAge)
		group = max(group, c.stage.weight()*min(max(1-fading, 0), 1))
	}
	return score + group
}

func (s *suspect) lastCrash() time.Time {
	if len(s.crashes) == 0 {
		return time.Time{}
	}
	return s.crashes[len(s.crashes)-1].at
}

// crash is one crash of an upstream.
type crash struct {
	upstream uint32 // hash of the upstream's id
	stage    Stage
	// sent is when the request was sent to the upstream, and at when that crashed.
	sent, at time.Time
	own      bool
	// cleared is set if the part was sound later. The crash is kept, so that reports of
	// it that still go round are known.
	cleared bool
	// learned is when this daemon learned of the crash or of its stage.
	learned time.Time
}

// same reports whether c and k are reports of one crash.
func (c crash) same(k crash) bool {
	return k.upstream == c.upstream && k.at.Sub(c.at).Abs() < sameCrashTime
}

// covers reports whether a holds all crashes of b.
func covers(a, b []crash) bool {
	return !slices.ContainsFunc(b, func(c crash) bool { return !slices.ContainsFunc(a, c.same) })
}
