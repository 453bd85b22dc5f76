package estimate

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	// Priors in seconds, used before any observation. The time to first token
	// is 100 ms plus 10 ms per thousand active tokens; the inter-token latency
	// is 20 ms plus 1 ms per thousand.
	priorFirstTokenBase  = 0.1
	priorFirstTokenSlope = 0.01e-3
	priorInterTokenBase  = 0.02
	priorInterTokenSlope = 0.001e-3

	// slowdownGain is the weight of the newest ratio of observed to predicted
	// time to first token. Without new ones the slowdown decays to 1 with
	// slowdownTimeConstant.
	slowdownGain         = 0.3
	slowdownTimeConstant = 10 * time.Second
	minSlowdown          = 0.5
	maxSlowdown          = 20.0

	// fitTimeConstant is the age of the latest observation at which the fit has
	// 1/e of its weight and the prior, normally that of the peers, the rest.
	// Without this decay, an upstream that was slow once and then avoided would
	// be predicted slow forever.
	fitTimeConstant = time.Minute

	// reportTimeConstant is the age at which a load report has 1/e of its weight.
	// With a longer one, daemons herd to an upstream that was idle when it
	// reported; with a shorter one, fresh reports have too little weight.
	reportTimeConstant = 500 * time.Millisecond
	// othersMeanGain is the weight of a new report in the long-term mean of the
	// other daemons' load.
	othersMeanGain = 0.1
	// herdFactor is the part of the load that this daemon added since the report
	// that every other daemon is assumed to have added as well.
	herdFactor = 0.5

	historyStep  = 250 * time.Millisecond
	historySteps = 32 // 8 s
)

// Upstream predicts the latency of one upstream from the observations of this
// daemon and from load reports, which arrive late. Create one with NewUpstream.
// All methods are safe for concurrent use; predictions take no lock and do not
// allocate. Active tokens are the prompt tokens and expected response tokens of
// the requests in progress.
type Upstream struct {
	timeToFirstToken  fit
	interTokenLatency fit

	logSlowdown    atomicFloat  // mean logarithm of observed by predicted time, 0 as predicted
	slowdownExcess atomicFloat  // exp(logSlowdown) - 1
	firstTokenAt   atomic.Int64 // latest first token, Unix ns

	tokens   loadEstimate // active tokens
	requests loadEstimate // requests running or queued at the upstream

	pending         atomic.Int64 // attempts that wait for their first token
	pendingStartSum atomic.Int64 // sum of their start times, µs since epoch
	epoch           int64        // creation time, Unix ns

	reportedAt atomic.Int64 // when the latest report was taken, Unix ns; 0 before any
}

// NewUpstream returns an estimator without observations.
func NewUpstream(now time.Time) *Upstream {
	u := &Upstream{epoch: now.UnixNano()}
	u.timeToFirstToken.setPrior(priorFirstTokenBase, priorFirstTokenSlope)
	u.interTokenLatency.setPrior(priorInterTokenBase, priorInterTokenSlope)
	return u
}

// Forget discards the observations of an upstream that restarts or returns from
// an ejection. Attempts in progress and load reports are kept.
func (u *Upstream) Forget() {
	u.timeToFirstToken.reset()
	u.interTokenLatency.reset()
	u.logSlowdown.store(0)
	u.slowdownExcess.store(0)
}

// Start records the start of an attempt of the given active tokens.
func (u *Upstream) Start(now time.Time, tokens int) {
	u.addLoad(now, int64(tokens), 1)
	u.pending.Add(1)
	u.pendingStartSum.Add(u.microsSinceEpoch(now))
}

// End records the end of an attempt. The started time is the one passed to
// Start; gotFirstToken tells whether ObserveFirstToken was called for the
// attempt.
func (u *Upstream) End(now, started time.Time, tokens int, gotFirstToken bool) {
	u.addLoad(now, -int64(tokens), -1)
	if !gotFirstToken {
		u.endPending(started)
	}
}

// ObserveFirstToken records the first token of an attempt. The load is the
// Prediction.Load that the attempt was started with.
func (u *Upstream) ObserveFirstToken(now, started time.Time, load float64) {
	u.endPending(started)
	observed := max(now.Sub(started), 0).Seconds()
	u.observeSlowdown(now, observed, u.fittedFirstToken(now, load))
	u.timeToFirstToken.observe(load, observed)
}

// ObserveInterTokenLatency records the mean inter-token latency of an attempt.
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
	updated := old + slowdownGain*(math.Log(ratio)-old)
	// Concurrent observations may overwrite each other, which loses a sample.
	u.logSlowdown.store(updated)
	u.slowdownExcess.store(math.Expm1(updated))
	u.firstTokenAt.Store(now.UnixNano())
}

func (u *Upstream) slowdownWeight(now time.Time) float64 {
	return decay(now.UnixNano()-u.firstTokenAt.Load(), slowdownTimeConstant)
}

// decay approximates exp(-age/timeConstant), and falls more slowly at high ages.
// The rational form takes a fifth of the time of math.Exp on the request path.
func decay(age int64, timeConstant time.Duration) float64 {
	x := float64(max(age, 0)) / float64(timeConstant)
	return 1 / (1 + x*(1+x*(1.0/2+x*(1.0/6+x*(1.0/24)))))
}

func (u *Upstream) addLoad(now time.Time, tokens, requests int64) {
	step := u.stepAt(now.UnixNano())
	u.tokens.add(step, tokens)
	u.requests.add(step, requests)
}

// Report applies a load report that arrived now. A report is ignored if it was
// taken before the latest one.
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

// OwnActiveTokens returns the active tokens of this daemon's attempts.
func (u *Upstream) OwnActiveTokens() int64 { return u.tokens.ownNow() }

// ActiveTokens returns the estimated active tokens of all daemons: those of this
// daemon plus the other daemons' part of the latest load report, which regresses
// to its long-term mean with the age of the report.
func (u *Upstream) ActiveTokens(now time.Time) float64 {
	return u.tokens.total(u.reportWeight(now), 1)
}

// ReportAge returns the age of the latest load report, or false without any.
func (u *Upstream) ReportAge(now time.Time) (time.Duration, bool) {
	at := u.reportedAt.Load()
	return time.Duration(max(now.UnixNano()-at, 0)), at != 0
}

// Prediction is the predicted performance of an upstream for a further request.
type Prediction struct {
	TimeToFirstToken  time.Duration
	InterTokenLatency time.Duration
	// Load is the number of active tokens that the prediction assumes. It is
	// passed to ObserveFirstToken with the observed time.
	Load float64
	// Requests is the estimated number of requests at the upstream.
	Requests float64
	// Slowdown is the recent ratio of observed to predicted time to first
	// token; 1 means as predicted.
	Slowdown float64
}

// Predict returns the prediction for a request with the given uncached prompt
// tokens, on an upstream that the given number of daemons use. Observations
// outweigh load reports: the recent slowdown scales the prediction, and the
// predicted time to first token is never below the mean time that pending
// attempts have waited.
func (u *Upstream) Predict(now time.Time, uncachedTokens, daemons int) Prediction {
	weight := u.reportWeight(now)
	load := u.tokens.total(weight, daemons) + float64(uncachedTokens)
	slowdown := u.Slowdown(now)
	seconds := max(u.fittedFirstToken(now, load)*slowdown, u.meanPendingWait(now))
	return Prediction{
		TimeToFirstToken:  time.Duration(seconds * float64(time.Second)),
		InterTokenLatency: time.Duration(u.interTokenLatency.predict(load) * max(slowdown, 1) * float64(time.Second)),
		Load:              load,
		Requests:          u.requests.total(weight, daemons),
		Slowdown:          slowdown,
	}
}

// TimeToFirstTokenAt predicts the time to first token at the given load in active
// tokens, so that upstreams with different loads can be compared.
func (u *Upstream) TimeToFirstTokenAt(now time.Time, load float64) time.Duration {
	seconds := max(u.fittedFirstToken(now, load)*u.Slowdown(now), u.meanPendingWait(now))
	return time.Duration(seconds * float64(time.Second))
}

// fittedFirstToken is the time to first token in seconds that the fit predicts.
// It regresses to the prior with the age of the latest observation.
func (u *Upstream) fittedFirstToken(now time.Time, load float64) float64 {
	prior := u.timeToFirstToken.prior(load)
	weight := decay(now.UnixNano()-u.firstTokenAt.Load(), fitTimeConstant)
	return prior + weight*(u.timeToFirstToken.predict(load)-prior)
}

// TimeToFirstTokenFit returns the fit of the times to first token, in seconds and
// seconds per active token.
func (u *Upstream) TimeToFirstTokenFit() (base, slope float64) {
	return u.timeToFirstToken.base.load(), u.timeToFirstToken.slope.load()
}

// SetPrior sets the fit of the times to first token that is used without recent
// observations, normally the median fit of the upstream's peers.
func (u *Upstream) SetPrior(base, slope float64) { u.timeToFirstToken.setPrior(base, slope) }

// meanPendingWait is the mean time in seconds that pending attempts have waited
// for their first token.
func (u *Upstream) meanPendingWait(now time.Time) float64 {
	n := u.pending.Load()
	if n <= 0 {
		return 0
	}
	mean := float64(u.microsSinceEpoch(now)) - float64(u.pendingStartSum.Load())/float64(n)
	return max(mean, 0) / 1e6
}

// MeanDeviation returns the mean absolute deviation of times to first token from
// the fit.
func (u *Upstream) MeanDeviation() time.Duration {
	return time.Duration(u.timeToFirstToken.meanResidual.load() * float64(time.Second))
}

// TimePerActiveToken returns how much one further active token adds to the time
// to first token.
func (u *Upstream) TimePerActiveToken() time.Duration {
	return time.Duration(u.timeToFirstToken.slope.load() * float64(time.Second))
}

// Slowdown returns the recent ratio of observed to predicted time to first token;
// 1 means as predicted.
func (u *Upstream) Slowdown(now time.Time) float64 {
	excess := u.slowdownExcess.load()
	if excess == 0 {
		return 1
	}
	return 1 + excess*u.slowdownWeight(now)
}

// Samples returns the number of observed first tokens in the fit.
func (u *Upstream) Samples() int64 { return u.timeToFirstToken.samples.Load() }
