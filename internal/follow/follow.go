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
	"github.com/auburndyke/auburndyke/internal/ports"
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
	// postDelegationWait is how long the first call after a delegation waits for a
	// change. It is short so that the follower soon learns whether it reaches the
	// platform.
	postDelegationWait = 20 * time.Millisecond
	// responseMargin is how long a response may take beyond the wait.
	responseMargin = time.Second
	// minRefreshInterval is the least time between two calls caused by Refresh:
	// processes that take over addresses do so within seconds of each other, and
	// the platform limits the rate of calls.
	minRefreshInterval = 250 * time.Millisecond
	// refreshWindow is how long after Refresh pauses are at most
	// minRefreshInterval: the platform takes about that long to notice that a
	// process has ended, and processes that ended together restart within it.
	refreshWindow = 3 * time.Second
	// failureFloor and failureCap bound the delay after a failure.
	failureFloor = 100 * time.Millisecond
	failureCap   = 2 * time.Second
)

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
	wait          atomic.Int64 // time.Duration
	coalesceDelay time.Duration
	delegated     func(time.Time) time.Duration
	rng           *rand.Rand

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
	// wasDelegated is set if the read was delegated to another daemon since the
	// last call.
	wasDelegated bool

	// mu guards the fields below and is held during Replace and Apply of the sink.
	mu   sync.Mutex
	copy Snapshot
	// incremental is set while the next call may ask only for changes after the
	// copy's version; otherwise the whole table must be read.
	incremental bool
	// lastSuccessAt is when a call to the platform last succeeded, or when Run
	// started.
	lastSuccessAt time.Time
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
	// Rand adds jitter to the delays after failures. Required.
	Rand *rand.Rand
}

// New returns a Follower of source, which Run starts.
func New(source Source, sink Sink, o Options) *Follower {
	f := &Follower{source: source, sink: sink, coalesceDelay: o.CoalesceDelay, delegated: o.Delegated, rng: o.Rand, refresh: make(chan struct{}, 1), started: time.Now()}
	f.refreshedAt.Store(int64(-refreshWindow))
	f.SetWait(cmp.Or(o.Wait, defaultWait))
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

// SetWait changes how long one call waits for a change.
func (f *Follower) SetWait(d time.Duration) { f.wait.Store(int64(d)) }

func (f *Follower) waitTime() time.Duration { return time.Duration(f.wait.Load()) }

// Run keeps the copy up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.mu.Lock()
	f.lastSuccessAt = time.Now()
	f.lastResponseAt, f.lastPageAt = f.lastSuccessAt, f.lastSuccessAt
	f.mu.Unlock()
	retry := backoff.Policy{Floor: failureFloor, Cap: failureCap}
	for ctx.Err() == nil {
		if f.waitWhileDelegated(ctx) {
			continue
		}
		err := f.step(ctx)
		f.wasDelegated, f.lastCallAt = false, time.Now()
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			f.recordSuccess()
			f.discardRefresh()
			if f.changed {
				f.pause(ctx, f.coalescePause())
			}
			continue
		}
		f.recordFailure(err)
		if !backoff.Sleep(ctx, retry.Delay(f.failures, f.rng)) {
			break
		}
	}
	return nil
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
	f.wasDelegated = true
	return !f.pause(ctx, left)
}

func (f *Follower) step(ctx context.Context) error {
	if !f.isIncremental() {
		return f.readTable(ctx)
	}
	wait := f.waitTime()
	if f.wasDelegated {
		wait = postDelegationWait
	}
	f.mu.Lock()
	f.callWait = wait
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+responseMargin)
	defer cancel()
	after := f.Versions().AsOf
	rows, version, err := f.source.Changes(ctx, after, wait)
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
	if f.copy.AsOf != after {
		return nil // a peer's copy was taken during the call; the next call starts from its version
	}
	if f.changed {
		f.copy.apply(rows)
		f.sink.Apply(time.Now(), rows, version)
	}
	f.copy.AsOf = max(f.copy.AsOf, version)
	return nil
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

func (f *Follower) readTable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.waitTime()+responseMargin)
	defer cancel()
	rows, version, err := ReadAll(ctx, contactRecorder{f.source, f}, f.rng)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if version < f.copy.AsOf {
		return eris.Wrapf(errStaleRead, "version %d after %d", version, f.copy.AsOf)
	}
	f.replace(rows, version)
	f.incremental, f.changed = true, true
	return nil
}

func (f *Follower) recordSuccess() {
	now := time.Now()
	f.mu.Lock()
	before := f.lastSuccessAt
	f.lastSuccessAt, f.lastResponseAt, f.lastPageAt, f.unreachable = now, now, now, false
	f.mu.Unlock()
	if f.failures > 0 {
		f.sink.Regained(now.Sub(before))
	}
	f.failures = 0
}

func (f *Follower) recordFailure(err error) {
	f.failures++
	f.mu.Lock()
	f.unreachable = !errors.Is(err, ports.ErrThrottled)
	f.mu.Unlock()
	if f.failures == 1 {
		f.mu.Lock()
		since := f.lastSuccessAt
		f.mu.Unlock()
		f.sink.Lost(err, since)
	}
	// The next call reads the whole table: rows may have expired and been written
	// again.
	f.setIncremental(false)
}
