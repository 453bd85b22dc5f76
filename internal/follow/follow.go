package follow

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/contain"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// ErrHistoryGone means that the source no longer has all changes after the
// requested version.
var ErrHistoryGone = errors.New("history is no longer available")

// errStaleRead means that a read returned an earlier state than the copy holds.
var errStaleRead = errors.New("table was read as of an earlier version")

const (
	// defaultWait is how long one call waits for a change. A lost response goes
	// unnoticed for that long.
	defaultWait = 5 * time.Second
	// probeWait is how long the first call after a delegation, a failure or a
	// repeated call waits for a change. It is short so that the follower soon
	// learns whether it reaches the platform.
	probeWait = 20 * time.Millisecond
	// responseMargin is how long a response may take beyond the wait.
	responseMargin = time.Second
	// maxDelegatedPause is how often a follower asks whether its read is still
	// delegated.
	maxDelegatedPause = 500 * time.Millisecond
	// minRefreshInterval is the least time between two calls caused by Refresh:
	// processes that take over addresses do so within seconds of each other, and
	// the platform limits the rate of calls.
	minRefreshInterval = 250 * time.Millisecond
	// refreshWindow is how long after Refresh pauses are at most
	// minRefreshInterval: the platform takes about that long to notice that a
	// process has ended, and processes that ended together restart within it.
	refreshWindow = 3 * time.Second
)

// DefaultRetryPolicy bounds the delay after a failure. Its cap is half of the time
// within which upstreams that lapsed during an outage register again.
var DefaultRetryPolicy = backoff.Policy{Floor: 100 * time.Millisecond, Cap: time.Second}

// Source is a table of the platform.
type Source interface {
	Reader
	// Changes returns the rows that changed after a version, in order, and the
	// version they lead to. It waits up to wait for the first change, and returns
	// no rows if there is none.
	Changes(ctx context.Context, after ports.Version, wait time.Duration) ([]ports.Row, ports.Version, error)
}

// Sink receives the rows of a table and the state of the connection to it.
// Replace and Apply are called one at a time, and so are Lost and Regained.
type Sink interface {
	// Replace receives the complete table.
	Replace(now time.Time, rows []ports.Row, version ports.Version)
	// Apply receives changed rows.
	Apply(now time.Time, rows []ports.Row, version ports.Version)
	// Lost reports that reading the table fails, and the time of the last success.
	Lost(err error, since time.Time)
	// Regained reports that reading succeeds again, and the time since the last
	// success before the failures.
	Regained(after time.Duration)
}

// Follower keeps a copy of one Source up to date.
type Follower struct {
	source        Source
	sink          Sink
	wait          atomic.Pointer[Wait]
	coalesceDelay time.Duration
	delegated     func(time.Time) time.Duration
	contact       *Contact
	returnSpread  func() time.Duration
	retryPolicy   func() backoff.Policy
	onGap         func()
	onAnswer      func(since time.Duration)
	log           *telemetry.Log
	rng           *rand.Rand
	// timeout bounds calls that are answered at once. It is used by Run only.
	timeout callTimeout

	// refresh ends a pause early.
	refresh chan struct{}
	// refreshedAt is when Refresh was called last, in nanoseconds since started.
	refreshedAt atomic.Int64
	started     time.Time
	// lastCallAt is when the last call to the platform ended.
	lastCallAt time.Time
	// changed is set if the last step returned changes.
	changed  bool
	failures int
	// probe is set if the next call must not wait for a change: the read was
	// delegated since the last call, or that call failed or was repeated.
	probe bool

	// confirming is a semaphore. Whoever holds it uses confirmedAt, as of which the copy
	// was complete when Confirm last succeeded.
	confirming  chan struct{}
	confirmedAt time.Time

	// mu guards the fields below and is held during Replace and Apply of the sink.
	mu   sync.Mutex
	copy Snapshot
	// incremental is set while the next call may ask only for changes after the
	// copy's version; otherwise the whole table must be read.
	incremental bool
	// failing is set if the last call failed.
	failing bool
	// open is the call that is in progress, or nil.
	open *call
	// lastSuccessAt is when a call to the platform last succeeded, or when Run
	// started.
	lastSuccessAt time.Time
	// currentAt is the time as of which the platform last showed that the copy had all
	// changes. A response may be read long after the platform has sent it.
	currentAt time.Time
	// lastResponseAt is when the platform last responded, including by throttling;
	// lastPageAt is when it last returned a page or changes.
	lastResponseAt, lastPageAt time.Time
	// unreachable is set if the last call failed other than by throttling.
	unreachable bool
	// callWait is how long the current or last call waits for a change.
	callWait time.Duration
}

// Options configures a Follower. Zero values take the defaults given with each
// field.
type Options struct {
	// Wait is how long one call waits for a change. Default 5 s.
	Wait time.Duration
	// CoalesceDelay is the pause after a change, so that changes made close
	// together are read in one call. Default none.
	CoalesceDelay time.Duration
	// Delegated returns for how long another daemon reads the table and passes on
	// its changes. The follower makes no calls meanwhile. Nil means never.
	Delegated func(now time.Time) time.Duration
	// Contact is shared by all that calls the platform in a daemon. Default a
	// Contact of the follower's own.
	Contact *Contact
	// ReturnSpread returns the span over which the daemons spread the calls that
	// they repeat when the platform returns. Nil means that they don't.
	ReturnSpread func() time.Duration
	// RetryPolicy returns the delays after failures while other daemons report the
	// platform's return. Nil means delays of 0.1 to 1 s.
	RetryPolicy func() backoff.Policy
	// OnGap is called before rows are applied if others may have come and gone since the
	// last ones: the whole table had to be read again, or a row is removed that the copy
	// never had. Nil means that nobody needs to know.
	OnGap func()
	// OnAnswer is called after each successful call, with the time since the one before.
	// Nil means that nobody needs to know.
	OnAnswer func(since time.Duration)
	// Log gets the panics of the sink. Default none.
	Log *telemetry.Log
	// Rand adds jitter to the delays after failures. Required.
	Rand *rand.Rand
}

// New returns a Follower of source, which Run starts.
func New(source Source, sink Sink, o Options) *Follower {
	f := &Follower{
		source: source, sink: sink, coalesceDelay: o.CoalesceDelay, delegated: o.Delegated,
		contact: o.Contact, returnSpread: o.ReturnSpread, retryPolicy: o.RetryPolicy, log: cmp.Or(o.Log, telemetry.NopLog()), rng: o.Rand,
		refresh: make(chan struct{}, 1), started: time.Now(), confirming: make(chan struct{}, 1),
	}
	f.onGap = o.OnGap
	if f.onGap == nil {
		f.onGap = func() {}
	}
	f.onAnswer = o.OnAnswer
	if f.onAnswer == nil {
		f.onAnswer = func(time.Duration) {}
	}
	if f.contact == nil {
		f.contact = NewContact()
	}
	if f.retryPolicy == nil {
		f.retryPolicy = func() backoff.Policy { return DefaultRetryPolicy }
	}
	f.refreshedAt.Store(int64(-refreshWindow))
	f.wait.Store(&Wait{Call: cmp.Or(o.Wait, defaultWait)})
	return f
}

// Refresh makes the follower ask the platform for changes now instead of at the
// end of a pause or a delegation, because something showed that the copy is out of
// date. Pauses are short for refreshWindow after it.
func (f *Follower) Refresh() {
	f.refreshedAt.Store(int64(time.Since(f.started)))
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

// coalescePause returns the pause after a change.
func (f *Follower) coalescePause() time.Duration {
	if time.Since(f.started)-time.Duration(f.refreshedAt.Load()) < refreshWindow {
		return min(f.coalesceDelay, minRefreshInterval)
	}
	return f.coalesceDelay
}

// pause waits until d has passed, ctx has ended or Refresh requests a call. It
// reports whether Refresh did; ctx may have ended as well.
func (f *Follower) pause(ctx context.Context, d time.Duration) (refreshed bool) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-ctx.Done():
		return false
	case <-f.refresh:
		backoff.Sleep(ctx, minRefreshInterval-time.Since(f.lastCallAt))
		return true
	}
}

// discardRefresh discards a refresh requested before the last call ended.
func (f *Follower) discardRefresh() {
	select {
	case <-f.refresh:
	default:
	}
}

// CoalesceDelay returns how long after a change further ones are collected before
// they are read.
func (f *Follower) CoalesceDelay() time.Duration { return f.coalesceDelay }

// Wait is how long calls wait for a change.
type Wait struct {
	// Call is how long one call waits.
	Call time.Duration
	// SinceAnswer shortens the wait, so that the platform answers within that time after
	// its last answer, pauses included. Zero means that it does not matter.
	SinceAnswer time.Duration
}

// left returns how long a call waits that begins so long after the last answer.
func (w Wait) left(sinceAnswer time.Duration) time.Duration {
	if w.SinceAnswer <= 0 {
		return w.Call
	}
	return max(min(w.Call, w.SinceAnswer-sinceAnswer), probeWait)
}

// SetWait changes how long calls wait for a change. A call in progress that waits for
// longer is repeated: who relies on this follower could not tell it from a lost one.
func (f *Follower) SetWait(w Wait) {
	previous := f.wait.Load()
	if *previous == w {
		return
	}
	f.wait.Store(&w)
	if previous.left(0) <= w.left(0) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open != nil && f.callWait > w.left(0) {
		f.open.repeat()
	}
}

// Run keeps the copy up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.mu.Lock()
	f.lastSuccessAt = time.Now()
	f.lastResponseAt, f.lastPageAt, f.currentAt = f.lastSuccessAt, f.lastSuccessAt, f.lastSuccessAt
	f.mu.Unlock()
	for ctx.Err() == nil {
		if f.waitWhileDelegated(ctx) {
			continue
		}
		returned := f.contact.Returned()
		err := contain.Do(f.log, "a table read", func() error { return f.step(ctx) })
		if errors.Is(err, contain.ErrPanic) {
			// The sink may have taken over a part of the rows.
			f.setIncremental(false)
		}
		f.probe, f.lastCallAt = false, time.Now()
		if ctx.Err() != nil {
			break
		}
		switch {
		case err == nil:
			f.recordSuccess()
			f.discardRefresh()
			if f.changed {
				f.pause(ctx, f.coalescePause())
			}
		case errors.Is(err, errCallRepeated):
			f.probe = true
		default:
			f.recordFailure(err)
			f.pauseUntilReturn(ctx, returned, f.retryPolicy().Delay(f.failures, f.rng))
		}
	}
	return nil
}

// pauseUntilReturn waits until d has passed or ctx has ended, or until the platform
// returns.
func (f *Follower) pauseUntilReturn(ctx context.Context, returned <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-returned:
		backoff.Sleep(ctx, f.contact.untilRepeat(f.returnDelay()))
	}
}

// returnDelay returns how long after the platform's return a call is repeated.
func (f *Follower) returnDelay() time.Duration {
	if f.returnSpread == nil {
		return 0
	}
	spread := f.returnSpread()
	if spread <= 0 {
		return 0
	}
	return time.Duration(f.rng.Int64N(int64(spread)))
}

// waitWhileDelegated waits while another daemon reads the table for this one. It
// returns false if a call is due: the read is not delegated, the whole table must
// be read, or a refresh was requested.
func (f *Follower) waitWhileDelegated(ctx context.Context) bool {
	if f.delegated == nil || !f.isIncremental() {
		return false
	}
	left := f.delegated(time.Now())
	if left <= 0 {
		return false
	}
	f.probe = true
	return !f.pause(ctx, min(left, maxDelegatedPause))
}

func (f *Follower) step(ctx context.Context) error {
	called := time.Now()
	if !f.isIncremental() {
		return f.readTable(ctx)
	}
	after := f.Versions().AsOf
	rows, version, err := f.readChanges(ctx, after)
	if errors.Is(err, ErrHistoryGone) {
		f.setIncremental(false)
		return nil
	}
	if err != nil {
		return err
	}
	f.changed = len(rows) > 0
	f.mu.Lock()
	defer f.mu.Unlock()
	answered := time.Now()
	if due := called.Add(f.callWait); !f.changed && due.Before(answered) {
		// The platform answers when the wait is over, however late the answer is read.
		answered = due
	}
	if f.copy.AsOf != after {
		// A peer's copy was taken during the call. The next call starts from its version.
		f.recordCurrent(answered, version)
		return nil
	}
	switch era := version.Era(); {
	case era > after.Era():
		// The copy has changes that the platform has lost.
		f.incremental, f.changed = false, false
		return nil
	case era < after.Era():
		return eris.Wrapf(errStaleRead, "era %d after %d", era, after.Era())
	}
	f.applyChanges(rows, version)
	f.recordCurrent(answered, version)
	return nil
}

// recordCurrent records that the platform had no changes after a version at a time, if the
// copy has reached that version. The caller holds mu.
func (f *Follower) recordCurrent(at time.Time, version ports.Version) {
	if f.copy.AsOf >= version && f.copy.AsOf.Era() == version.Era() && at.After(f.currentAt) {
		f.currentAt = at
	}
}

// readChanges calls the platform for the changes after a version.
func (f *Follower) readChanges(ctx context.Context, after ports.Version) (rows []ports.Row, version ports.Version, err error) {
	f.mu.Lock()
	wait, margin := f.wait.Load().left(time.Since(f.lastSuccessAt)), responseMargin
	if f.probe || f.failures > 0 {
		wait, margin = probeWait, 0
	}
	f.callWait = wait
	f.mu.Unlock()
	err = f.do(ctx, wait, margin, func(ctx context.Context) (err error) {
		rows, version, err = f.source.Changes(ctx, after, wait)
		return err
	})
	return rows, version, err
}

// do makes one call to the platform, which answers after wait at the latest if it runs.
// margin is how much longer the response may take to begin; zero means the usual timeout.
// The call ends when the platform returns after an outage, since it may have been open
// during it.
func (f *Follower) do(ctx context.Context, wait, margin time.Duration, send func(context.Context) error) error {
	delay := f.returnDelay()
	returned := f.contact.Returned()
	long := f.timeout.isLong() && f.contact.beginLongCall()
	if long {
		defer f.contact.endLongCall()
	}
	timeout := f.timeout.value(long)
	ctx, c := newCall(ctx, wait+cmp.Or(margin, timeout), timeout)
	go func() {
		select {
		case <-ctx.Done():
		case <-returned:
			if backoff.Sleep(ctx, f.contact.untilRepeat(delay)) {
				c.repeat()
			}
		}
	}()
	f.setOpen(c)
	err := c.end(ctx, send(ctx))
	f.setOpen(nil)
	f.recordContact(err)
	if errors.Is(err, errCallTimeout) && (long || !f.timeout.isLong()) {
		f.timeout.exceeded()
	}
	return err
}

func (f *Follower) setOpen(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open = c
}

// RepeatCall ends the call to the platform that is in progress, unless its response
// has begun, and calls again at once. It is used when another daemon has read a
// change that the call should have returned.
func (f *Follower) RepeatCall() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open != nil {
		f.open.repeat()
	}
}

// OpenFor returns how long the call in progress has waited for its response, or
// zero if there is none.
func (f *Follower) OpenFor(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open == nil || f.open.responding.Load() {
		return 0
	}
	return now.Sub(f.open.started)
}

// Age returns the time since the platform last showed that the copy had all changes.
func (f *Follower) Age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.currentAt)
}

func (f *Follower) setIncremental(incremental bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incremental = incremental
}

func (f *Follower) isIncremental() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.incremental
}

// ReadPage reads a page of the source as one call.
func (r pageReader) ReadPage(ctx context.Context, from string) (page Page, err error) {
	started := time.Now()
	err = r.f.do(ctx, 0, 0, func(ctx context.Context) (err error) {
		page, err = r.f.source.ReadPage(ctx, from)
		return err
	})
	if err == nil {
		r.f.timeout.observe(time.Since(started))
	}
	return page, err
}

// pageReader is the Reader of a Follower's source.
type pageReader struct{ f *Follower }

func (f *Follower) readTable(ctx context.Context) error {
	called := time.Now()
	rows, version, err := ReadAll(ctx, pageReader{f}, f.rng)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if version < f.copy.AsOf {
		return eris.Wrapf(errStaleRead, "version %d of era %d after %d of era %d",
			version.Number(), version.Era(), f.copy.AsOf.Number(), f.copy.AsOf.Era())
	}
	if f.copy.AsOf > 0 {
		// Rows may have come and gone since the last reading.
		f.copy.Changed = version
	}
	f.replace(rows, version)
	f.incremental, f.changed = true, true
	f.recordCurrent(called, version)
	return nil
}

// recordContact records whether the platform responded to a call.
func (f *Follower) recordContact(err error) {
	now := time.Now()
	f.mu.Lock()
	if err == nil {
		f.lastPageAt = now
	}
	responded := err == nil || errors.Is(err, ports.ErrThrottled) || errors.Is(err, ErrHistoryGone)
	if responded {
		f.lastResponseAt = now
	}
	f.mu.Unlock()
	switch {
	case responded:
		f.contact.Responded(now)
	case !errors.Is(err, errCallRepeated):
		f.contact.Failed()
	}
}

func (f *Follower) recordSuccess() {
	now := time.Now()
	f.mu.Lock()
	before := f.lastSuccessAt
	f.lastSuccessAt, f.lastResponseAt, f.lastPageAt, f.unreachable, f.failing = now, now, now, false, false
	f.mu.Unlock()
	if f.failures > 0 {
		f.sink.Regained(now.Sub(before))
	}
	f.failures = 0
	f.onAnswer(now.Sub(before))
}

// recordFailure records a failed call. The copy keeps its version: the platform
// returns the changes since then, or reports that its history does not reach back.
func (f *Follower) recordFailure(err error) {
	f.failures++
	f.mu.Lock()
	f.unreachable = !errors.Is(err, ports.ErrThrottled)
	f.failing = true
	since := f.lastSuccessAt
	f.mu.Unlock()
	if f.failures == 1 {
		f.sink.Lost(err, since)
	}
}
