package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	// minCallTimeout and maxCallTimeout bound the wait for the response to a call
	// that the platform answers at once, and for each further part of a response.
	// A page takes a few milliseconds, and up to 0.35 s while the platform is slow.
	minCallTimeout = 800 * time.Millisecond
	maxCallTimeout = 3 * time.Second
	// callTimeoutFactor is the timeout as a multiple of the time that responses
	// take.
	callTimeoutFactor = 4
	// longCallEvery is the number of calls without a response of which one has a
	// longer timeout, twice the last one.
	longCallEvery = 8
	// maxTransferTime bounds a response that arrives in parts.
	maxTransferTime = 10 * time.Second
)

var (
	// errCallTimeout means that a call got no response in time.
	errCallTimeout = errors.New("no response within the timeout")
	// errCallRepeated means that a call was ended so that it can be repeated.
	errCallRepeated = errors.New("call ended to be repeated")
)

// callTimeout is the timeout of calls that the platform answers at once. It follows
// the time that recent responses took. While there are none, most calls have a short
// timeout, so that the platform's return is noticed soon, and every longCallEvery-th a
// long one, which a slow platform needs.
type callTimeout struct {
	usual time.Duration
	long  time.Duration
	// misses is the number of calls without a response since the last one.
	misses int
}

// value returns the timeout of the next call, the long one if it is due and long is set.
func (t *callTimeout) value(long bool) time.Duration {
	usual := max(t.usual, minCallTimeout)
	if long && t.isLong() {
		return max(t.long, usual)
	}
	return usual
}

// isLong reports whether a call with a long timeout is due.
func (t *callTimeout) isLong() bool { return t.misses%longCallEvery == longCallEvery-1 }

// observe records how long a response took.
func (t *callTimeout) observe(took time.Duration) {
	t.usual = min(max(callTimeoutFactor*took, t.usual/2), maxCallTimeout)
	t.long, t.misses = 0, 0
}

// exceeded records that a call got no response in time.
func (t *callTimeout) exceeded() {
	t.misses++
	if t.isLong() {
		t.long = min(2*max(t.long, t.usual, minCallTimeout), maxCallTimeout)
	}
}

// call is one call to the platform. It ends if its response does not begin within
// a timeout, or if it stalls for longer than the timeout between parts.
type call struct {
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	stall   time.Duration
	started time.Time
	// responding is set once a part of the response has arrived.
	responding atomic.Bool
}

type callKey struct{}

// newCall starts the timeouts of a call. response bounds the wait for its first
// byte, stall the wait for further ones.
func newCall(ctx context.Context, response, stall time.Duration) (context.Context, *call) {
	ctx, cancel := context.WithCancelCause(ctx)
	c := &call{cancel: cancel, stall: stall, started: time.Now()}
	c.timer = time.AfterFunc(response, func() { cancel(errCallTimeout) })
	return context.WithValue(ctx, callKey{}, c), c
}

// Progress records that a part of the response to a call has arrived. ctx is the
// context that the Source was called with.
func Progress(ctx context.Context) {
	c, ok := ctx.Value(callKey{}).(*call)
	if !ok {
		return
	}
	c.responding.Store(true)
	if elapsed := time.Since(c.started); elapsed < maxTransferTime {
		c.timer.Reset(min(c.stall, maxTransferTime-elapsed))
	}
}

// repeat ends the call so that it can be repeated, unless its response has begun.
func (c *call) repeat() {
	if !c.responding.Load() {
		c.cancel(errCallRepeated)
	}
}

// end releases the call and returns its error. A call that ended early returns the
// reason.
func (c *call) end(ctx context.Context, err error) error {
	c.timer.Stop()
	cause := context.Cause(ctx)
	c.cancel(nil)
	switch {
	case err == nil || cause == nil:
		return err
	case errors.Is(cause, errCallTimeout):
		return eris.Wrapf(errors.Join(ports.ErrUnavailable, errCallTimeout), "after %s", time.Since(c.started).Round(time.Millisecond))
	default:
		return cause
	}
}
