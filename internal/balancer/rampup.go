package balancer

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/splitmix"
)

const (
	// startingShare is the share of its usual requests that an upstream gets when it has
	// started. Its pace is unknown and its prefix cache is most likely empty.
	startingShare = 1.0 / 16
	// recoveringShare is the share after a failure or a refusal.
	recoveringShare = 1.0 / 4
	// answerRaise multiplies the share for each answer of this daemon at the usual pace.
	answerRaise = 2.0
	// reportRaise multiplies the share for a load report or a gap between events that shows the
	// usual pace. It is smaller than answerRaise because both say less about the pace: with few
	// requests, a slow upstream has few in progress and short gaps.
	reportRaise = 1.5
	// idleShare is the share of the expected requests in progress below which a load report
	// counts like an answer: the upstream has room, whatever its pace.
	idleShare = 0.5
	// slowLower multiplies the share when the upstream is slower than usual.
	slowLower = 0.5
	// rampUpFeedback is the shortest time between two reductions. A change of the share shows
	// in the reports after about one exchange between peers.
	rampUpFeedback = 500 * time.Millisecond
	// rampUpRaiseInterval is the shortest time between two load reports or gaps that raise the
	// share. Peers send a report in each exchange, at irregular ages, and a stream has many gaps.
	rampUpRaiseInterval = 300 * time.Millisecond
	// rampUpSilence is how long the share stays unchanged without an answer or a report
	// while no request of this daemon waits there. It then grows, since a daemon with few
	// requests may get no answers.
	rampUpSilence = 2 * time.Second
	// maxRampUp bounds a ramp-up. An upstream that is still slow by then has a slow machine,
	// which its load reports show as at any other time.
	maxRampUp = 30 * time.Second
	// slowPace is the multiple of the usual time from which an answer counts as slow, and
	// usualPace the one up to which it counts as usual.
	slowPace  = 2.0
	usualPace = 1.5
	// paceWeight is the weight of one answer or report in the usual pace of a service.
	paceWeight = 0.05
	// maxSlowdown bounds the slowdown of one answer in the usual pace, which a single
	// stalled stream would shift otherwise.
	maxSlowdown = 10.0
	// inProgressMargin is added to the expected number of requests in progress: a random
	// arrival process exceeds a small mean by about that much.
	inProgressMargin = 2.0
	// overflowShare is the number of upstreams that a request without a preference considers
	// among those in ramp-up of a whole pool. More would send the overflow of all daemons to
	// the one new upstream that looks idle.
	overflowShare = 2.0
	// settledHeadroom is how much more than their usual load the other upstreams of a pool
	// take during ramp-ups, as a share of it, while no requests wait there.
	settledHeadroom = 0.5
	// heldBackCost is added to the cost of an upstream that is to get no request now. It is
	// the extra wait elsewhere from which it gets one nevertheless.
	heldBackCost = time.Second
)

// rampUp decides which share of its usual requests an upstream gets after it has started or
// recovered. The zero value is not in ramp-up.
//
// The share applies to requests rather than to a daemon's requests in progress, so that the
// rate at the upstream does not grow with the number of daemons.
type rampUp struct {
	// since is when the ramp-up began; it may be in the future, at the end of an ejection.
	since time.Time
	share float64
	// alone is set if other daemons may send the upstream their usual requests.
	alone bool
	// floor is the least share that the other upstreams of the pool can do without.
	floor float64
	// evidenceAt is when an answer, a report or a silence last changed the share.
	evidenceAt time.Time
	loweredAt  time.Time
	// raisedAt is when a report or a gap last raised the share.
	raisedAt time.Time
}

// start begins the ramp-up of an upstream that all daemons see start.
func (r *rampUp) start(now time.Time) {
	*r = rampUp{since: now, share: startingShare, evidenceAt: now}
}

// recover begins the ramp-up of an upstream that failed or refused requests of this daemon.
// One in progress goes on with the smaller share.
func (r *rampUp) recover(now time.Time) {
	next := rampUp{since: now, share: recoveringShare, evidenceAt: now, alone: true}
	if r.active(now) {
		next.share, next.alone = min(next.share, r.share), r.alone
	}
	*r = next
}

func (r *rampUp) active(now time.Time) bool {
	return !r.since.IsZero() && r.share < 1 && now.Sub(r.since) < maxRampUp
}

// observePace takes the time of an answer as a multiple of the usual time.
func (r *rampUp) observePace(now time.Time, slowdown float64) {
	switch {
	case slowdown >= slowPace:
		r.lower(now)
	case slowdown <= usualPace:
		r.raise(now, answerRaise)
	}
}

// observeLoad takes the requests in progress in a load report. usual is their mean number
// at upstreams that are not in ramp-up.
func (r *rampUp) observeLoad(now time.Time, inProgress int, usual float64) {
	switch {
	case float64(inProgress) >= r.limit(usual):
		r.lower(now)
	case float64(inProgress) < idleShare*r.expected(usual):
		r.raiseSlowly(now, answerRaise)
	default:
		r.raiseSlowly(now, reportRaise)
	}
}

// observeGap takes the gap between events of a stream as a multiple of the usual gap.
func (r *rampUp) observeGap(now time.Time, slowdown float64) {
	switch {
	case slowdown >= slowPace:
		r.lower(now)
	case slowdown <= usualPace:
		r.raiseSlowly(now, reportRaise)
	}
}

// raiseSlowly raises the share for evidence that arrives many times a second, also without
// new requests.
func (r *rampUp) raiseSlowly(now time.Time, factor float64) {
	if now.Sub(r.raisedAt) >= rampUpRaiseInterval {
		r.raisedAt = now
		r.raise(now, factor)
	}
}

// observeSilence raises the share after a time without evidence.
func (r *rampUp) observeSilence(now time.Time) {
	if now.Sub(r.evidenceAt) >= rampUpSilence {
		r.raise(now, reportRaise)
	}
}

func (r *rampUp) raise(now time.Time, factor float64) {
	r.share, r.evidenceAt = r.share*factor, now
}

func (r *rampUp) lower(now time.Time) {
	r.evidenceAt = now
	if now.Sub(r.loweredAt) >= rampUpFeedback {
		r.share, r.loweredAt = max(r.share*slowLower, startingShare), now
	}
}

// current returns the share that applies.
func (r *rampUp) current() float64 { return min(max(r.share, r.floor), 1) }

// limit returns the number of requests in progress, of all daemons, from which the upstream
// gets no more. An upstream at the usual pace has its share of the usual number.
func (r *rampUp) limit(usual float64) float64 {
	return usualPace*r.expected(usual) + inProgressMargin
}

// expected returns the number of requests in progress, of all daemons, at the usual pace.
func (r *rampUp) expected(usual float64) float64 {
	if r.alone {
		return usual
	}
	return r.current() * usual
}

// usualPaces are the figures of a service's upstreams that are not in ramp-up.
type usualPaces struct {
	// slowdown is the mean time to the first event as a multiple of the predicted time.
	slowdown average
	// inProgress is the mean number of requests in progress in load reports.
	inProgress average
	// pressure is the share of their load reports with waiting requests.
	pressure average
}

// rampsUp reports whether the service's upstreams ramp up.
func (s *service) rampsUp() bool { return s.hasEngines && s.announcesSlowStart }

// observeRampUpLoad takes a load report of an upstream.
func (s *service) observeRampUpLoad(now time.Time, u *upstream, l Load) {
	if inProgress := l.Running + l.Waiting; u.ramp.active(now) {
		u.ramp.observeLoad(now, inProgress, s.usual.inProgress.value)
	} else {
		s.usual.inProgress.observe(float64(inProgress), paceWeight)
		waits := 0.0
		if l.Waiting > 0 {
			waits = 1
		}
		s.usual.pressure.observe(waits, paceWeight)
	}
}

// observeRampUpAnswer takes the time to the first event of a request, and the time that was
// predicted for it.
func (s *service) observeRampUpAnswer(now time.Time, u *upstream, took, predicted time.Duration) {
	if predicted <= 0 {
		return
	}
	slowdown := min(float64(took)/float64(predicted), maxSlowdown)
	switch {
	case !u.ramp.active(now):
		s.usual.slowdown.observe(slowdown, paceWeight)
	case s.usual.slowdown.count > 0:
		u.ramp.observePace(now, slowdown/s.usual.slowdown.value)
	}
}

// observeRampUpGap takes the gap between events of a stream, and the mean gap of the pool.
func (s *service) observeRampUpGap(now time.Time, u *upstream, gap, usual time.Duration) {
	if u.ramp.active(now) && usual > 0 {
		u.ramp.observeGap(now, float64(gap)/float64(usual))
	}
}

// holdBack sets heldBack of the candidates that are to get no request like this one now, and
// returns their number. It is deterministic: the request's own hash decides.
func (s *service) holdBack(now time.Time, p *Prompt, candidates []*upstream, samePool func(*upstream) bool) int {
	active, starting, pool := 0, 0, 0
	for _, u := range candidates {
		u.heldBack = false
		ramps := u.ramp.active(now)
		if ramps {
			active++
		}
		if samePool(u) {
			pool++
			if ramps {
				starting++
			}
		}
	}
	if !s.rampsUp() || p.empty() || active == 0 {
		return 0
	}
	floor := 0.0
	if starting > 0 {
		headroom := settledHeadroom * (1 - s.usual.pressure.value)
		floor = max(1-headroom*float64(pool-starting)/float64(starting), 0)
	}
	if floor >= 1 {
		return 0
	}
	first := rendezvous(candidates, p.affinity, samePool)
	held := 0
	for _, u := range candidates {
		if !u.ramp.active(now) {
			continue
		}
		u.ramp.floor = floor
		if u.inFlight == 0 {
			u.ramp.observeSilence(now)
		}
		share := u.ramp.current()
		if u != first {
			share *= min(max(overflowShare/float64(len(candidates)), floor), 1)
		}
		draw := float64(splitmix.Finalize(u.hash^p.hashes[len(p.hashes)-1])>>11) / (1 << 53)
		if draw >= share || u.inProgress(now) >= u.ramp.limit(s.usual.inProgress.value) {
			u.heldBack = true
			held++
		}
	}
	if held == len(candidates) {
		for _, u := range candidates {
			u.heldBack = false
		}
		return 0
	}
	return held
}

// inProgress returns the known number of requests of all daemons at the upstream.
func (u *upstream) inProgress(now time.Time) float64 {
	return u.reportWeight(now)*u.othersReported() + float64(u.inFlight)
}

// predictFirstEvent returns the time to the first event of a request at the upstream at the
// usual pace.
func (u *upstream) predictFirstEvent(now time.Time, s *service, uncached int) time.Duration {
	return u.rtt + s.speed.duration(u.prefillTokens+uncached) +
		time.Duration((u.inProgress(now)+1)*float64(decodeDelay))
}

// RampingUp returns the number of listed upstreams in ramp-up.
func (b *Balancer) RampingUp(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, u := range b.upstreams {
		if s := b.services[u.Service]; s != nil && s.rampsUp() && u.ramp.active(now) {
			n++
		}
	}
	return n
}
