package estimate

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	// Assumed before any observation: a base of 100 ms and 10 ms more per
	// thousand active tokens to the first token, 20 ms and 1 ms between tokens.
	priorFirstTokenBase  = 0.1
	priorFirstTokenSlope = 0.01e-3
	priorInterTokenBase  = 0.02
	priorInterTokenSlope = 0.001e-3

	// slowdownGain is the weight of the newest ratio of observed to predicted
	// time; latenessMemory is how long it is believed without a new one.
	slowdownGain         = 0.3
	slowdownTimeConstant = 10 * time.Second
	minSlowdown          = 0.5
	maxSlowdown          = 20.0

	// fitTimeConstant is the age of the last observation at which the fit keeps 1/e of
	// its weight against the peers' prior. Without it, an upstream that was
	// slow once and then avoided would look slow forever.
	fitTimeConstant = time.Minute

	// reportTimeConstant is the age at which a load report keeps 1/e of its weight.
	// A longer memory lets daemons gather at an upstream that was idle when it
	// reported; a shorter one wastes fresh reports.
	reportTimeConstant = 500 * time.Millisecond
	// othersMeanGain is the weight of a new report in the long-term mean of the
	// other daemons' load.
	othersMeanGain = 0.1
	// herdFactor is the part of this daemon's growth since the report that
	// each other daemon is assumed to have added too.
	herdFactor = 0.5

	historyStep  = 250 * time.Millisecond
	historySteps = 32 // 8 s
)

// Upstream predicts the latency of one upstream from the daemon's own
// observations and from late load reports. Create one with NewUpstream. All
// methods are safe for concurrent use; predictions take no lock and do not
// allocate. Active tokens are prompt plus expected answer tokens of the
// requests in progress.
type Upstream struct {
	timeToFirstToken  fit
	interTokenLatency fit

	logSlowdown    atomicFloat  // mean logarithm of observed by predicted, +0 is as predicted
	slowdownExcess atomicFloat  // its exponential minus 1
	firstTokenAt   atomic.Int64 // Unix ns

	tokens   loadEstimate // active tokens
	requests loadEstimate // requests running or queued at the upstream

	pending         atomic.Int64 // attempts without a first token
	pendingStartSum atomic.Int64 // sum of their start times, µs since epoch
	epoch           int64        // Unix ns

	reportedAt atomic.Int64 // Unix ns; 0 before the first report
}

// NewUpstream returns an estimator without observations.
func NewUpstream(now time.Time) *Upstream {
	u := &Upstream{epoch: now.UnixNano()}
	u.timeToFirstToken.setPrior(priorFirstTokenBase, priorFirstTokenSlope)
	u.interTokenLatency.setPrior(priorInterTokenBase, priorInterTokenSlope)
	return u
}

// Forget drops the observations of an upstream that restarts or returns from
// an ejection. Work in progress and reports stay.
func (u *Upstream) Forget() {
	u.timeToFirstToken.reset()
	u.interTokenLatency.reset()
	u.logSlowdown.store(0)
	u.slowdownExcess.store(0)
}

// Start records that this daemon sends an attempt of the given tokens.
func (u *Upstream) Start(now time.Time, tokens int) {
	u.addWork(now, int64(tokens), 1)
	u.pending.Add(1)
	u.pendingStartSum.Add(u.microsSinceEpoch(now))
}

// End records that an attempt is over. The started time is that of Start;
// answered tells whether FirstToken was called for it.
func (u *Upstream) End(now, started time.Time, tokens int, answered bool) {
	u.addWork(now, -int64(tokens), -1)
	if !answered {
		u.endPending(started)
	}
}

// ObserveFirstToken records the first token of an attempt that was started when load
// active tokens (from Predict) were expected.
func (u *Upstream) ObserveFirstToken(now, started time.Time, load float64) {
	u.endPending(started)
	observed := max(now.Sub(started), 0).Seconds()
	u.observeSlowdown(now, observed, u.fittedFirstToken(now, load))
	u.timeToFirstToken.observe(load, observed)
}

// ObserveInterTokenLatency records the mean interval between the tokens of an attempt.
func (u *Upstream) ObserveInterTokenLatency(now time.Time, mean time.Duration) {
	u.interTokenLatency.observe(u.ActiveTokens(now), mean.Seconds())
}

func (u *Upstream) endPending(started time.Time) {
	u.pending.Add(-1)
	u.pendingStartSum.Add(-u.microsSinceEpoch(started))
}

func (u *Upstream) microsSinceEpoch(t time.Time) int64 { return (t.UnixNano() - u.epoch) / 1e3 }

func (u *Upstream) observeSlowdown(now time.Time, observed, predicted float64) {
	ratio := min(max(observed/max(predicted, 1e-6), minSlowdown), maxSlowdown)
	old := u.logSlowdown.load() * u.slowdownWeight(now)
	log := old + slowdownGain*(math.Log(ratio)-old)
	// A lost update of a concurrent observation loses one sample.
	u.logSlowdown.store(log)
	u.slowdownExcess.store(math.Expm1(log))
	u.firstTokenAt.Store(now.UnixNano())
}

func (u *Upstream) slowdownWeight(now time.Time) float64 {
	return decay(now.UnixNano()-u.firstTokenAt.Load(), slowdownTimeConstant)
}

// decay falls from 1 like exp(-age/memory), but not as far for high ages. The
// rational form takes a fifth of the time of math.Exp on the request path.
func decay(age int64, memory time.Duration) float64 {
	x := float64(max(age, 0)) / float64(memory)
	return 1 / (1 + x*(1+x*(1.0/2+x*(1.0/6+x*(1.0/24)))))
}

func (u *Upstream) addWork(now time.Time, tokens, requests int64) {
	step := u.stepAt(now.UnixNano())
	u.tokens.add(step, tokens)
	u.requests.add(step, requests)
}

// Report applies a load report that arrived now. Reports that were taken
// before the latest one are ignored.
func (u *Upstream) Report(now time.Time, r ports.LoadReport) {
	taken := now.UnixNano() - int64(max(r.Age, 0))
	previous := u.reportedAt.Load()
	if taken < previous {
		return
	}
	step := u.stepAt(taken)
	u.tokens.report(step, r.ActiveTokens, previous == 0)
	u.requests.report(step, r.Running+r.Queued, previous == 0)
	u.reportedAt.Store(taken)
}

// OwnActiveTokens returns the active tokens of this daemon.
func (u *Upstream) OwnActiveTokens() int64 { return u.tokens.ownNow() }

// ActiveTokens returns the expected active tokens of all daemons. It is the sum of
// the own ones and of the other daemons' last reported load, which regresses
// to its long-term mean with the age of the report.
func (u *Upstream) ActiveTokens(now time.Time) float64 {
	return u.tokens.total(u.reportWeight(now), 1)
}

// ReportAge returns the age of the latest report, or false without any.
func (u *Upstream) ReportAge(now time.Time) (time.Duration, bool) {
	at := u.reportedAt.Load()
	return time.Duration(max(now.UnixNano()-at, 0)), at != 0
}

// Prediction is what a further request can expect of an upstream.
type Prediction struct {
	TimeToFirstToken  time.Duration
	InterTokenLatency time.Duration
	// Load is the active tokens that the prediction assumes; FirstToken takes
	// it back as the explanation of the observed time.
	Load float64
	// Requests is the expected number of requests at the upstream.
	Requests float64
	// Slowdown is the recent ratio of observed to predicted first-token time;
	// 1 means as predicted.
	Slowdown float64
}

// Predict returns the prediction for a request that adds work tokens (prompt
// tokens that are not cached), where sharers daemons use the upstream.
// Observed answers outweigh reports: recent lateness scales the prediction,
// and it is never below the mean time that attempts already wait.
func (u *Upstream) Predict(now time.Time, work, sharers int) Prediction {
	weight := u.reportWeight(now)
	load := u.tokens.total(weight, sharers) + float64(work)
	lateness := u.Slowdown(now)
	first := max(u.fittedFirstToken(now, load)*lateness, u.meanPendingWait(now))
	return Prediction{
		TimeToFirstToken:  time.Duration(first * float64(time.Second)),
		InterTokenLatency: time.Duration(u.interTokenLatency.predict(load) * max(lateness, 1) * float64(time.Second)),
		Load:              load,
		Requests:          u.requests.total(weight, sharers),
		Slowdown:          lateness,
	}
}

// TimeToFirstTokenAt predicts the first-token time at a given number of active
// tokens, so that upstreams with different loads can be compared.
func (u *Upstream) TimeToFirstTokenAt(now time.Time, load float64) time.Duration {
	seconds := max(u.fittedFirstToken(now, load)*u.Slowdown(now), u.meanPendingWait(now))
	return time.Duration(seconds * float64(time.Second))
}

// fittedFirstToken is the fit's prediction in seconds, which regresses to the prior with
// the time since the last observation.
func (u *Upstream) fittedFirstToken(now time.Time, load float64) float64 {
	prior := u.timeToFirstToken.prior(load)
	weight := decay(now.UnixNano()-u.firstTokenAt.Load(), fitTimeConstant)
	return prior + weight*(u.timeToFirstToken.predict(load)-prior)
}

// TimeToFirstTokenFit returns the fit of first-token times in seconds and seconds
// per active token.
func (u *Upstream) TimeToFirstTokenFit() (base, slope float64) {
	return u.timeToFirstToken.base.load(), u.timeToFirstToken.slope.load()
}

// SetPrior sets what is assumed of first-token times without recent
// observations, normally the median fit of the upstream's peers.
func (u *Upstream) SetPrior(base, slope float64) { u.timeToFirstToken.setPrior(base, slope) }

// meanPendingWait is the mean time in seconds that pending attempts have meanPendingWait.
func (u *Upstream) meanPendingWait(now time.Time) float64 {
	n := u.pending.Load()
	if n <= 0 {
		return 0
	}
	mean := float64(u.microsSinceEpoch(now)) - float64(u.pendingStartSum.Load())/float64(n)
	return max(mean, 0) / 1e6
}

// MeanDeviation returns the mean deviation of first-token times from the fit.
func (u *Upstream) MeanDeviation() time.Duration {
	return time.Duration(u.timeToFirstToken.meanResidual.load() * float64(time.Second))
}

// TimePerActiveToken returns the first-token time that one further active token adds.
func (u *Upstream) TimePerActiveToken() time.Duration {
	return time.Duration(u.timeToFirstToken.slope.load() * float64(time.Second))
}

// Slowdown returns the recent ratio of observed to predicted first-token time;
// 1 means as predicted.
func (u *Upstream) Slowdown(now time.Time) float64 {
	excess := u.slowdownExcess.load()
	if excess == 0 {
		return 1
	}
	return 1 + excess*u.slowdownWeight(now)
}

// Samples returns the number of first-token observations.
func (u *Upstream) Samples() int64 { return u.timeToFirstToken.samples.Load() }
